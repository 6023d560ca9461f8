//! Stand-ins for replicas: they announce themselves, run requests and record what reaches them.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, call, read_message};
use crate::world::{HEARTBEAT, Outcome, Record, World};

/// A request that reached a replica and was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub replica: String,
    pub id: String,
    pub path: String,
    /// Name of the caller's tenant, as the system states it.
    pub tenant: Option<String>,
    /// Whether the caller's key came with the request.
    pub has_key: bool,
}

/// What all replicas ran.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

/// Time after which a replica that has crashed is back.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Path whose requests crash each replica that runs them.
pub const CRASHING_PATH: &str = "/card/crashes";

/// Time for which a replica works on such a request until it crashes.
const CRASH_AFTER: Duration = Duration::from_millis(200);

/// One incarnation.
#[derive(Clone, Debug)]
struct Identity {
    id: String,
    born_ms: u64,
}

pub struct Replica {
    identity: Mutex<Identity>,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    work: Duration,
    sequence: AtomicU64,
    /// After each so many answers it sends additional bytes; 0 for never.
    pub extra_every: AtomicU64,
    /// How often it sent additional bytes.
    pub extras: AtomicU64,
    answers: AtomicU64,
    cold_until: Mutex<Option<Instant>>,
    down: AtomicBool,
    crashes: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Replica {
    /// Starts a replica that announces itself to all of `control` in turn.
    pub fn start(
        world: &World,
        runs: &Arc<Runs>,
        number: u8,
        service: &'static str,
        zone: &'static str,
        work: Duration,
    ) -> Outcome<Arc<Self>> {
        let address = SocketAddr::from((world.ip(number), world.replica_port()));
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let replica = Arc::new(Self {
            identity: Mutex::new(Identity {
                id: format!("i-{:08x}", world.random() as u32),
                born_ms: now_ms(),
            }),
            service,
            zone,
            address,
            work,
            sequence: AtomicU64::new(0),
            extra_every: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            cold_until: Mutex::default(),
            down: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
            streams: Mutex::default(),
            runs: Arc::clone(runs),
            record: Arc::clone(&world.record),
        });
        let server = Arc::clone(&replica);
        thread::spawn(move || server.accept(listener));
        let (beats, control) = (Arc::clone(&replica), world.control_addresses());
        thread::spawn(move || beats.announce(&control));
        Ok(replica)
    }

    pub fn id(&self) -> String {
        self.identity.lock().unwrap().id.clone()
    }

    /// How often the replica has crashed.
    pub fn crash_count(&self) -> u64 {
        self.crashes.load(Ordering::Relaxed)
    }

    /// Time from the start of a run that crashes a replica to the crash.
    pub fn crash_after() -> Duration {
        CRASH_AFTER
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Accepts connections; while the replica is down, nothing listens at its address.
    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let Some(open) = listener
                .take()
                .or_else(|| TcpListener::bind(self.address).ok())
            else {
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            if open.set_nonblocking(true).is_err() {
                return;
            }
            while !self.is_down() {
                let Ok((stream, _)) = open.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let (Ok(()), Ok(copy)) = (stream.set_nonblocking(false), stream.try_clone()) else {
                    continue;
                };
                self.streams.lock().unwrap().push(copy);
                let server = Arc::clone(&self);
                thread::spawn(move || server.serve(stream));
            }
            drop(open);
            while self.is_down() {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Ends the incarnation with all its connections; the next one starts after [`DOWN_TIME`].
    fn crash_now(self: &Arc<Self>) {
        if self.down.swap(true, Ordering::Relaxed) {
            return;
        }
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.record.line(&format!("{} crashes", self.id()));
        for stream in self.streams.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
        let replica = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            let mut identity = replica.identity.lock().unwrap();
            let born_ms = now_ms();
            let (first, _) = identity.id.split_once('.').unwrap_or((&identity.id, ""));
            identity.id = format!("{first}.{born_ms:x}");
            identity.born_ms = born_ms;
            replica.record.line(&format!("{} starts", identity.id));
            replica.sequence.store(0, Ordering::Relaxed);
            replica.down.store(false, Ordering::Relaxed);
        });
    }

    fn announce(&self, control: &[SocketAddr]) {
        let mut at = usize::from(self.address.port()) + self.id().len();
        loop {
            if self.is_down() {
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            let beat_at = Instant::now();
            let Identity { id, born_ms } = self.identity.lock().unwrap().clone();
            let path = format!("/daisyhinge/instances/{id}");
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","concurrency":3,"state":"ready","warmup_left_ms":{},"sequence":{sequence},"born":{born_ms}}}"#,
                self.service,
                self.address,
                self.zone,
                self.cold_left().as_millis()
            );
            for _ in 0..control.len() {
                let address = control[at % control.len()];
                let answer = call(address, "PUT", &path, &[], &body, Duration::from_secs(1));
                if answer.is_some_and(|answer| (200..300).contains(&answer.status())) {
                    break;
                }
                at += 1;
            }
            while beat_at.elapsed() < HEARTBEAT && self.id() == id {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// The replica is cold from now on.
    pub fn chill(&self, time: Duration) {
        *self.cold_until.lock().unwrap() = Some(Instant::now() + time);
    }

    pub fn cold_left(&self) -> Duration {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let mut extra: Option<String> = None;
        while let Some(request) = read_message(&mut stream, None) {
            if let Some(extra) = extra.take() {
                self.extras.fetch_add(1, Ordering::Relaxed);
                self.record
                    .line(&format!("{} sends additional bytes: {extra:?}", self.id()));
                if stream.write_all(extra.as_bytes()).is_err() {
                    return;
                }
            }
            if self.answer(&mut stream, &request).is_none() {
                return;
            }
            extra = self.next_extra(&request);
        }
    }

    /// Returns what follows the complete answer to a request, late: where the next one is expected. It
    /// belongs to no request and has no identifier.
    fn next_extra(&self, request: &Message) -> Option<String> {
        let every = self.extra_every.load(Ordering::Relaxed);
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        if every == 0 || !number.is_multiple_of(every) {
            return None;
        }
        if request.start.starts_with("POST") {
            return Some(
                "HTTP/1.1 503 -\r\nDaisyhinge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .to_owned(),
            );
        }
        let seal = self.seal(request.header("daisyhinge-request-id")?);
        let length = seal.len();
        Some(format!(
            "HTTP/1.1 200 -\r\nDaisyhinge-Response-Seal: {seal}\r\nContent-Length: {length}\r\n\r\n{seal}"
        ))
    }

    fn seal(&self, id: &str) -> String {
        format!("{}.{}.{id}", self.id(), self.service)
    }

    fn answer(self: &Arc<Self>, stream: &mut TcpStream, request: &Message) -> Option<()> {
        let own = self.id();
        if request.word() == "/health" {
            let warmup = self.cold_left().as_millis().to_string();
            let headers = [
                ("Daisyhinge-Instance-Id", own.as_str()),
                ("Daisyhinge-Warmup-Remaining", warmup.as_str()),
            ];
            return write_answer(stream, 200, &headers, b"");
        }
        let Some(id) = request.header("daisyhinge-request-id") else {
            return write_answer(stream, 400, &[("Daisyhinge-Not-Executed", "1")], b"");
        };
        let expected = request.header("daisyhinge-expect-instance");
        if expected.is_some_and(|expected| expected != own) {
            let headers = [
                ("Daisyhinge-Request-Id", id),
                ("Daisyhinge-Not-Executed", "1"),
            ];
            return write_answer(stream, 421, &headers, b"");
        }
        let run = Run {
            at: Instant::now(),
            replica: own.clone(),
            id: id.to_owned(),
            path: request.word().to_owned(),
            tenant: request.header("daisyhinge-tenant").map(str::to_owned),
            has_key: request.header("authorization").is_some(),
        };
        self.record.line(&format!(
            "{} ({}, {}) runs {} {} tenant={} key_passed_on={}",
            self.id(),
            self.service,
            self.zone,
            run.id,
            run.path,
            run.tenant.as_deref().unwrap_or("-"),
            run.has_key
        ));
        self.runs.0.lock().unwrap().push(run);
        if request.word() == CRASHING_PATH {
            // It works on when its caller has left.
            thread::sleep(CRASH_AFTER);
            self.crash_now();
            return None;
        }
        thread::sleep(self.work);
        let seal = self.seal(id);
        let headers = [
            ("Daisyhinge-Request-Id", id),
            ("Daisyhinge-Response-Seal", seal.as_str()),
        ];
        write_answer(stream, 200, &headers, seal.as_bytes())
    }
}

fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()
}

pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
