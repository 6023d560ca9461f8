//! Processor time that an entry spends for each part of a gather, over loopback.
//!
//! The entry runs on a thread of its own, whose processor time is measured; replicas and the caller
//! run on another. `cargo bench --bench gather` prints one line for each number of shards.

#[path = "../tests/support/known_replica.rs"]
mod known_replica;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::intake::process_limits::derive_limits;
use daisyhinge::lease::LapsePolicy;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::listen::serve_callers;
use daisyhinge::shell::forward::state::{ForwardSettings, ForwardState};
use daisyhinge::shell::forward::warm::run_warming;
use daisyhinge::vocabulary::registration::ReplicaRecord;
use daisyhinge::vocabulary::site::{
    CallerLimits, GatherPlan, RouteKind, RouteTarget, SiteConfig, SiteDocument, SiteRoute,
    SiteService,
};
use known_replica::{BUDGET, header_names, sync_reply_with};
use rustix::time::{ClockId, clock_gettime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Numbers of shards that are measured, each on a loopback network of its own.
const SHARDS: [usize; 3] = [10, 90, 200];
/// Second number of the loopback addresses of the first network.
const FIRST_NETWORK: u8 = 70;
const CALLER_PORT: u16 = 28_226;
const REPLICA_PORT: u16 = 28_300;
/// Gathers before the measurement, in which connections are opened.
const WARM_UP: usize = 30;
/// Time for which gathers are measured.
const MEASURED: Duration = Duration::from_secs(2);
/// Body of each part: 25 records.
const PART: &str = "0123456789abcdef";
const PART_RECORDS: usize = 25;

fn network(index: usize) -> u8 {
    FIRST_NETWORK + u8::try_from(index).expect("few networks")
}

fn replica_address(index: usize, shard: usize) -> SocketAddr {
    let shard = u8::try_from(shard).expect("at most 250 shards");
    SocketAddr::new(
        IpAddr::from([127, network(index), 1, shard + 1]),
        REPLICA_PORT,
    )
}

fn shard_name(shard: usize) -> ServiceName {
    format!("shard-{shard}").into()
}

/// Decodes the number of shards.
fn decode_site(text: &[u8]) -> Result<SiteConfig, ResultCode> {
    let shards = std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse().ok());
    let shards: usize = shards.ok_or(ResultCode::NotJson)?;
    let names: Arc<[ServiceName]> = (0..shards).map(shard_name).collect();
    let route = SiteRoute {
        name: "sweep".into(),
        host: "labels.example".into(),
        path_prefix: "/sweep/".into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(2),
        objective: Duration::from_secs(1),
        attempts_max: 2,
        priority: 1,
        allowed_regions: Arc::from([]),
        is_public: false,
        target: RouteTarget::Gather(GatherPlan {
            shards: Arc::clone(&names),
            top_records: 20,
            min_coverage: 1.0,
        }),
    };
    let service = |name: &ServiceName| SiteService {
        name: name.clone(),
        connections_max: 40,
        cold_per_second: None,
    };
    Ok(SiteConfig {
        version: 1,
        routes: vec![Arc::new(route)],
        services: names.iter().map(service).collect(),
        limits: CallerLimits::default(),
        customers: None,
    })
}

fn open_entry(index: usize, shards: usize) -> Arc<ForwardState> {
    let state = ForwardState::open(ForwardSettings {
        location: FleetLocation {
            vm: "entry-1".into(),
            data_centre: "a".into(),
            regions: [("a".into(), "north".into())].into(),
        },
        budget: BUDGET,
        names: header_names(),
        decode: decode_site,
        policy: LapsePolicy::default(),
        revocation_delay: None,
        quota_slack: 0.0,
        limits: derive_limits(160 << 20, 4_096),
        rollouts: false,
    });
    let mut reply = sync_reply_with(replica_address(index, 0), "shard-0", "a", Vec::new());
    let known = reply.replicas.remove(0);
    reply.replicas = (0..shards)
        .map(|shard| ReplicaRecord {
            name: format!("replica-{shard}").into(),
            service: shard_name(shard),
            address: replica_address(index, shard),
            ..known.clone()
        })
        .collect();
    let site = Arc::make_mut(reply.site.as_mut().expect("a site"));
    let document = SiteDocument::pack(1, shards.to_string().as_bytes());
    site.document = Some(document);
    state.apply_reply(reply, true);
    state
}

async fn run_replica(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream));
    }
}

async fn serve(mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut buffer = [0; 4_096];
    loop {
        let count = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
        let id = text.lines().find_map(|line| line.strip_prefix("x-id: "))?;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nx-id: {id}\r\n\
             content-length: {}\r\n\r\n{}",
            PART.len() * PART_RECORDS,
            PART.repeat(PART_RECORDS)
        );
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
}

/// Starts the entry on its own thread. The answer to each message is its processor time so far.
fn spawn_entry(index: usize, shards: usize) -> (mpsc::Sender<()>, mpsc::Receiver<Duration>) {
    let (ask, asked) = mpsc::channel();
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("start the runtime").block_on(async move {
            let state = open_entry(index, shards);
            tokio::spawn(run_warming(Arc::clone(&state)));
            let address = SocketAddr::new(IpAddr::from([127, network(index), 0, 1]), CALLER_PORT);
            let stop = CancellationToken::new();
            tokio::spawn(serve_callers(state, address, stop, Duration::ZERO));
            loop {
                match asked.try_recv() {
                    Ok(()) => {
                        let time = clock_gettime(ClockId::ThreadCPUTime);
                        let time = Duration::try_from(time).expect("a positive time");
                        tell.send(time).expect("the caller waits");
                    }
                    Err(mpsc::TryRecvError::Empty) => {}
                    Err(mpsc::TryRecvError::Disconnected) => return,
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    });
    (ask, told)
}

async fn send_gather(stream: &mut TcpStream, number: usize) {
    let request = format!(
        "GET /sweep/{number} HTTP/1.1\r\nhost: labels.example\r\nx-id: id-{number}\r\nx-left: 1500\r\n\
         user-agent: bench\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("write the request");
    let mut read = Vec::new();
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = stream.read(&mut buffer).await.expect("read the answer");
        assert!(count > 0, "the entry closed the connection");
        read.extend_from_slice(&buffer[..count]);
        let Some(end) = read.windows(4).position(|part| part == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&read[..end]).into_owned();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.expect("a length").parse().expect("a number");
        if read.len() >= end + 4 + length {
            return;
        }
    }
}

async fn measure(index: usize, shards: usize) {
    for shard in 0..shards {
        let listener = TcpListener::bind(replica_address(index, shard)).await;
        tokio::spawn(run_replica(listener.expect("bind the port")));
    }
    let (ask, told) = spawn_entry(index, shards);
    let time = || {
        ask.send(()).expect("the entry runs");
        told.recv().expect("the entry runs")
    };
    let address = SocketAddr::new(IpAddr::from([127, network(index), 0, 1]), CALLER_PORT);
    let mut stream = loop {
        if let Ok(stream) = TcpStream::connect(address).await {
            break stream;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    stream.set_nodelay(true).expect("set an option");
    for number in 0..WARM_UP {
        send_gather(&mut stream, number).await;
    }
    let (before, started) = (time(), Instant::now());
    let mut gathers = 0;
    while started.elapsed() < MEASURED {
        send_gather(&mut stream, WARM_UP + gathers).await;
        gathers += 1;
    }
    let spent = time()
        .checked_sub(before)
        .expect("time does not run backwards");
    let parts = gathers * shards;
    println!(
        "{shards} shards: {:.1} us of processor time a part, {:.2} ms a gather ({gathers} gathers)",
        spent.as_secs_f64() * 1e6 / parts as f64,
        spent.as_secs_f64() * 1e3 / gathers as f64,
    );
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("start the runtime").block_on(async {
        for (index, shards) in SHARDS.into_iter().enumerate() {
            measure(index, shards).await;
        }
    });
}
