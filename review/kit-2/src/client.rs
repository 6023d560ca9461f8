//! Stand-ins for clients: they ask the directory, send at a steady rate and record each attempt.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{Message, exchange};
use crate::world::World;

pub const HOST: &str = "leno12.example";

/// One client attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub kind: &'static str,
    pub id: String,
    pub sent: Instant,
    /// Status of the answer; 0 without a complete answer.
    pub status: u16,
    /// Signature of the answer.
    pub seal: Option<String>,
}

/// What all clients sent, with the answers.
#[derive(Default)]
pub struct Attempts(Mutex<Vec<Attempt>>);

impl Attempts {
    pub fn all(&self) -> Vec<Attempt> {
        self.0.lock().unwrap().clone()
    }
}

/// What a client sends.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub path: String,
    /// Whether each request has a path of its own.
    pub distinct: bool,
    pub deadline_ms: u64,
    /// Time after which the client leaves without an answer, if that is before its deadline.
    pub leave_after_ms: Option<u64>,
    /// Header `Authorization`, if the requests carry one.
    pub key: Option<&'static str>,
    /// Header `Daisyhinge-Tenant`, which only the system may set.
    pub tenant: Option<&'static str>,
    /// Body of a job, sent with POST; requests without one are sent with GET.
    pub job: Option<&'static str>,
}

/// Sends one request on a new connection to `address`.
pub fn send_once(world: &World, attempts: &Attempts, address: SocketAddr, kind: &Kind) -> Attempt {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok();
    send(world, attempts, address, kind, &mut { stream })
}

fn send(
    world: &World,
    attempts: &Attempts,
    address: SocketAddr,
    kind: &Kind,
    stream: &mut Option<TcpStream>,
) -> Attempt {
    let id = format!("{:016x}", world.random());
    let sent = Instant::now();
    let limit = Duration::from_millis(kind.leave_after_ms.unwrap_or(kind.deadline_ms));
    let deadline = kind.deadline_ms.to_string();
    let path = if kind.distinct {
        format!("{}{id}", kind.path)
    } else {
        kind.path.clone()
    };
    let mut headers = vec![
        ("Host", HOST),
        ("Daisyhinge-Request-Id", id.as_str()),
        ("Daisyhinge-Request-Deadline", deadline.as_str()),
    ];
    if let Some(key) = kind.key {
        headers.push(("Authorization", key));
    }
    if let Some(tenant) = kind.tenant {
        headers.push(("Daisyhinge-Tenant", tenant));
    }
    let answer = stream.as_mut().and_then(|stream| {
        drop(stream.set_nodelay(true));
        let method = if kind.job.is_some() { "POST" } else { "GET" };
        exchange(
            stream,
            method,
            &path,
            &headers,
            kind.job.unwrap_or(""),
            sent + limit,
        )
    });
    let status = answer.as_ref().map_or(0, Message::status);
    let keep = answer.as_ref().is_some_and(|answer| {
        let header = answer.header("connection");
        !header.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    });
    if !keep {
        *stream = None;
    }
    let retry_after = answer
        .as_ref()
        .and_then(|answer| answer.header("retry-after"));
    world.record.line(&format!(
        "client {} {id} {path} to {address}: {status} seal={} retry_after={} took_ms={}",
        kind.name,
        answer
            .as_ref()
            .and_then(|answer| answer.header("daisyhinge-response-seal"))
            .unwrap_or("-"),
        retry_after.unwrap_or("-"),
        sent.elapsed().as_millis()
    ));
    let seal = answer
        .as_ref()
        .and_then(|answer| answer.header("daisyhinge-response-seal"));
    let attempt = Attempt {
        kind: kind.name,
        seal: seal.map(str::to_owned),
        id,
        sent,
        status,
    };
    attempts.0.lock().unwrap().push(attempt.clone());
    attempt
}

/// A client that sends until it is stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `clients` in `zone`, each of which sends a request every `interval`.
    pub fn start(
        world: &Arc<World>,
        attempts: &Arc<Attempts>,
        zone: &'static str,
        clients: u32,
        interval: Duration,
        kind: &Kind,
    ) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let threads = (0..clients).map(|number| {
            let (world, attempts) = (Arc::clone(world), Arc::clone(attempts));
            let (stop, kind) = (Arc::clone(&stop), kind.clone());
            thread::spawn(move || {
                thread::sleep(interval * number / clients);
                run_client(&world, &attempts, zone, interval, &kind, &stop);
            })
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            drop(thread.join());
        }
    }
}

fn run_client(
    world: &World,
    attempts: &Attempts,
    zone: &'static str,
    interval: Duration,
    kind: &Kind,
    stop: &AtomicBool,
) {
    let mut addresses = world.resolve(HOST, zone);
    let mut resolved = Instant::now();
    let mut address = None;
    let mut stream = None;
    let mut next = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        if resolved.elapsed() > Duration::from_secs(5) || addresses.is_empty() {
            let newer = world.resolve(HOST, zone);
            if !newer.is_empty() {
                addresses = newer;
                resolved = Instant::now();
            }
        }
        if address.is_some_and(|address| !addresses.contains(&address)) {
            stream = None;
        }
        if stream.is_none() && !addresses.is_empty() {
            let picked = addresses[world.random() as usize % addresses.len()];
            address = Some(picked);
            stream = TcpStream::connect_timeout(&picked, Duration::from_secs(1)).ok();
        }
        if let Some(address) = address {
            send(world, attempts, address, kind, &mut stream);
        }
        next += interval;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}
