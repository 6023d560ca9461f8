//! A replica as a process of its own: sends heartbeats, answers requests, and may crash at one path.

use std::fs::OpenOptions;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Message, call, read_message};

/// Interval between heartbeats, as in the settings of the deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time to run a request.
const WORK: Duration = Duration::from_millis(20);
/// Size of the body of an answer, and of the part that is sent before a crash.
const BODY_BYTES: usize = 3_000;
const PART_BYTES: usize = 600;
/// Path of the request that crashes the replicas that run it.
pub const CRASHING_PATH: &str = "/card/crashes";

/// Whether this process has fallen silent.
static IS_SILENT: AtomicBool = AtomicBool::new(false);
/// Time for which a silent process keeps its connections; longer than any deadline.
const SILENCE: Duration = Duration::from_secs(30);

/// When a replica crashes while it runs [`CRASHING_PATH`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crash {
    Never,
    /// Before any byte of an answer.
    Early,
    /// After the head and a part of the body of its answer.
    Midway,
    /// Without a sign: its connections stay open, and it answers and sends nothing any more, as when its
    /// machine loses power.
    Silent,
}

impl Crash {
    pub fn parse(word: &str) -> Self {
        match word {
            "early" => Self::Early,
            "midway" => Self::Midway,
            "silent" => Self::Silent,
            _ => Self::Never,
        }
    }

    pub fn word(self) -> &'static str {
        match self {
            Self::Never => "never",
            Self::Early => "early",
            Self::Midway => "midway",
            Self::Silent => "silent",
        }
    }
}

/// What a replica process is told on its command line.
#[derive(Clone, Debug)]
pub struct ReplicaOrder {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub crash: Crash,
    /// File to which each run of a request is appended.
    pub runs: String,
    pub control: Vec<SocketAddr>,
}

impl ReplicaOrder {
    /// Returns the path of the file that shows that the replica has fallen silent.
    pub fn silent_mark(&self) -> String {
        format!("{}-silent-{}", self.runs, self.id)
    }

    pub fn to_words(&self) -> Vec<String> {
        let control: Vec<String> = self.control.iter().map(ToString::to_string).collect();
        vec![
            "replica".to_owned(),
            self.id.clone(),
            self.service.clone(),
            self.address.to_string(),
            self.zone.clone(),
            self.crash.word().to_owned(),
            self.runs.clone(),
            control.join(","),
        ]
    }

    pub fn from_words(words: &[String]) -> Option<Self> {
        let [id, service, address, zone, crash, runs, control] = words else {
            return None;
        };
        let control = control.split(',').map(str::parse);
        Some(Self {
            id: id.clone(),
            service: service.clone(),
            address: address.parse().ok()?,
            zone: zone.clone(),
            crash: Crash::parse(crash),
            runs: runs.clone(),
            control: control.collect::<Result<_, _>>().ok()?,
        })
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

/// Runs a replica until its process is killed.
pub fn run_replica(order: ReplicaOrder) -> std::io::Result<()> {
    let listener = TcpListener::bind(order.address)?;
    let order = Arc::new(order);
    let beating = Arc::clone(&order);
    thread::spawn(move || send_heartbeats(&beating));
    loop {
        let (stream, _) = listener.accept()?;
        wait_if_silent();
        let order = Arc::clone(&order);
        // A connection that fails ends alone.
        thread::spawn(move || drop(serve(&order, stream)));
    }
}

/// Never returns in time for any caller if this process has fallen silent.
fn wait_if_silent() {
    if IS_SILENT.load(Ordering::SeqCst) {
        thread::sleep(SILENCE);
        std::process::exit(1);
    }
}

fn send_heartbeats(order: &ReplicaOrder) {
    let born = unix_ms();
    for sequence in 1_usize.. {
        wait_if_silent();
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"concurrency\":3,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":{sequence},\
             \"born\":{born}}}",
            order.service, order.address, order.zone
        );
        let head = format!("PUT /daisyhinge/instances/{}", order.id);
        // The next node is called if one does not acknowledge.
        for turn in 0..order.control.len() {
            let address = order.control[(sequence + turn) % order.control.len()];
            let host = [("Host", address.to_string())];
            let answer = call(address, &head, &host, &body, Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status() / 100 == 2) {
                break;
            }
        }
        thread::sleep(HEARTBEAT);
    }
}

fn serve(order: &ReplicaOrder, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        wait_if_silent();
        answer(order, &request, &mut writer)?;
    }
    Ok(())
}

fn answer(order: &ReplicaOrder, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
    let path = request.first.split(' ').nth(1).unwrap_or("");
    let id = request.header("daisyhinge-request-id").unwrap_or("-");
    let echo = format!("Daisyhinge-Request-Id: {id}\r\n");
    if path == "/health" {
        let text = format!(
            "HTTP/1.1 200 OK\r\nDaisyhinge-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            order.id
        );
        return writer.write_all(text.as_bytes());
    }
    let expected = request.header("daisyhinge-expect-instance");
    if expected.is_some_and(|expected| expected != order.id) {
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\n{echo}Daisyhinge-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        return writer.write_all(text.as_bytes());
    }
    let line = format!(
        "{} run replica={} request={id} path={path}\n",
        unix_ms(),
        order.id
    );
    let mut runs = OpenOptions::new()
        .append(true)
        .create(true)
        .open(&order.runs)?;
    runs.write_all(line.as_bytes())?;
    thread::sleep(WORK);
    wait_if_silent();
    let crashes = path == CRASHING_PATH;
    if crashes && order.crash == Crash::Early {
        std::process::exit(1);
    }
    if crashes && order.crash == Crash::Silent {
        IS_SILENT.store(true, Ordering::SeqCst);
        std::fs::write(order.silent_mark(), "")?;
        wait_if_silent();
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\n{echo}Daisyhinge-Response-Seal: seal-{id}\r\n\
         Keep-Alive: timeout=30\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    if crashes && order.crash == Crash::Midway {
        bytes.resize(bytes.len() + PART_BYTES, b'x');
        writer.write_all(&bytes)?;
        thread::sleep(Duration::from_millis(5));
        std::process::exit(1);
    }
    bytes.resize(bytes.len() + BODY_BYTES, b'x');
    writer.write_all(&bytes)
}
