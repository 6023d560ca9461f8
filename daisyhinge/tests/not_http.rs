//! Answers of replicas whose head is not HTTP, over loopback, on each way of sending. Such bytes must
//! not reach a caller as an answer, and are no sign that the request did not run.

#[path = "cut_answers/entry.rs"]
mod entry;
#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::dispatch::fleet::ReplicaIndex;
use daisyhinge::dispatch::request::AttemptEnd;
use daisyhinge::keeper::sub_request::DispatchOutcome;
use daisyhinge::prelude::*;
use daisyhinge::shell::backend::send_subrequest;
use daisyhinge::shell::forward::attempt::{AttemptReport, run_attempt};
use daisyhinge::shell::forward::listen::serve_callers;
use daisyhinge::shell::forward::relay::link::run_links;
use daisyhinge::shell::forward::relay::serve::bind_relay;
use daisyhinge::shell::forward::state::ForwardState;
use daisyhinge::shell::pool::ServerPool;
use daisyhinge::vocabulary::site::RouteKind;
use daisyhinge::vocabulary::subrequest::SubRequest;
use entry::{ID, open_entry, outgoing};
use reserved_network::reserved_host;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const CALLER_PORT: u16 = 27_871;
const RELAY_PORT: u16 = 27_872;
/// Body of every answer: two records.
const BODY: &str = "bbbbbbbbbbbbbbbbaaaaaaaaaaaaaaaa";

/// Status lines that HTTP does not have, or that end no exchange.
const STATUS_LINES: [&str; 20] = [
    "HTTP/1.1 000 Zero",
    "HTTP/1.1 001 One",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 High",
    "HTTP/1.1 700 High",
    "HTTP/1.1 999 High",
    "HTTP/1.1 20 Short",
    "HTTP/1.1 2000 Long",
    "HTTP/1.1 -20 Negative",
    "HTTP/1.1 2x0 Letters",
    "HTTP/1.1  200 Spaces",
    "HTTP/2.0 200 Version",
    "HTTP/0.9 200 Version",
    "HTTP/1.10 200 Version",
    "http/1.1 200 Case",
    "RTSP/1.0 200 Protocol",
    "ICY 200 Protocol",
    "200 OK",
    "",
];

/// Header lines that make a head unusable.
const HEADER_LINES: [&str; 7] = [
    "no colon",
    "x-space : a",
    " x-folded: a",
    ": a",
    "x-null: a\0b",
    "content-length: 1x",
    "content-length: -1",
];

/// Returns the number of answers that [`wrong_answer`] knows.
fn answer_count() -> usize {
    STATUS_LINES.len() + HEADER_LINES.len() + 1
}

/// Returns an answer that is not HTTP.
fn wrong_answer(number: usize) -> String {
    let ordinary = "HTTP/1.1 200 OK";
    let (status, line) = match number.checked_sub(STATUS_LINES.len()) {
        None => (STATUS_LINES[number], "x-a: b"),
        Some(number) => (
            ordinary,
            *HEADER_LINES.get(number).unwrap_or(&"content-length: 16"),
        ),
    };
    let length = BODY.len();
    format!(
        "{status}\r\nx-seal: s\r\nx-id: {ID}\r\n{line}\r\ncontent-length: {length}\r\n\r\n{BODY}"
    )
}

/// Returns one of the addresses of these tests. A block is for one test.
fn host(block: u8, number: u8) -> IpAddr {
    reserved_host(114, block, number)
}

/// Starts a replica that answers a path ending in a number with that wrong answer, others properly.
async fn spawn_replica(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await;
    let listener = listener.expect("bind a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) {
    let mut read = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        read.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&read).into_owned();
        let is_whole = text.ends_with("\r\n\r\n") || text.ends_with("\r\n\r\n{}");
        if !is_whole {
            continue;
        }
        read.clear();
        let path = text.split(' ').nth(1).expect("a path");
        let number = path.rsplit('/').next().and_then(|word| word.parse().ok());
        let number = number.or_else(|| {
            let header = text
                .lines()
                .find_map(|line| line.strip_prefix("daisyhinge-service: "));
            header.and_then(|word| word.parse().ok())
        });
        let answer = number.map_or_else(
            || {
                let length = BODY.len();
                format!(
                    "HTTP/1.1 200 OK\r\nx-seal: s\r\nx-id: {ID}\r\ncontent-length: {length}\r\n\r\n{BODY}"
                )
            },
            wrong_answer,
        );
        drop(stream.write_all(answer.as_bytes()).await);
    }
}

async fn attempt(
    entry: &Arc<ForwardState>,
    kind: RouteKind,
    top_records: Option<usize>,
    path: &str,
) -> AttemptReport {
    let request = outgoing(entry, kind, top_records, path);
    let replica = ReplicaIndex(0);
    run_attempt(Arc::clone(entry), request, 1, replica, Arc::default()).await
}

fn check_lost(number: usize, report: &AttemptReport) {
    let answer = wrong_answer(number);
    let may_have_run = matches!(report.end, AttemptEnd::Lost | AttemptEnd::Reset);
    assert!(may_have_run, "{answer:?}: {report:?}");
    assert!(report.answer.is_none(), "{answer:?}: {report:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_that_is_not_http_counts_as_an_answer_or_as_not_run() {
    let replica = spawn_replica(host(1, 1)).await;
    for number in 0..answer_count() {
        for (kind, top_records) in [(RouteKind::Unsafe, None), (RouteKind::Safe, Some(2))] {
            for on_reused in [false, true] {
                let entry = open_entry("b", replica, replica, None);
                while on_reused
                    && attempt(&entry, kind, top_records, "/whole").await.end
                        != AttemptEnd::Answered
                {}
                let path = format!("/direct/{number}");
                let mut report = attempt(&entry, kind, top_records, &path).await;
                while report.end == AttemptEnd::NotSent {
                    report = attempt(&entry, kind, top_records, &path).await;
                }
                check_lost(number, &report);
                // What is left of the answer must not meet the next request.
                let mut next = attempt(&entry, kind, top_records, "/whole").await;
                while next.end == AttemptEnd::NotSent {
                    next = attempt(&entry, kind, top_records, "/whole").await;
                }
                assert_eq!(next.end, AttemptEnd::Answered, "{:?}", wrong_answer(number));
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_that_is_not_http_crosses_a_link_as_an_answer() {
    for number in 0..answer_count() {
        let replica = spawn_replica(host(2, 1)).await;
        let address = host(3, u8::try_from(number + 1).expect("a small number"));
        let remote = open_entry("b", replica, replica, None);
        let bound = bind_relay(remote, SocketAddr::new(address, RELAY_PORT)).await;
        bound.expect("bind the port");
        let local = open_entry("a", replica, replica, Some(address));
        let links = tokio::spawn(run_links(Arc::clone(&local), RELAY_PORT));
        while !local.has_link(&RegionName::from("south")) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let path = format!("/link/{number}");
        let mut report = attempt(&local, RouteKind::Safe, Some(2), &path).await;
        while report.end == AttemptEnd::NotSent {
            report = attempt(&local, RouteKind::Safe, Some(2), &path).await;
        }
        check_lost(number, &report);
        assert!(local.counters.relayed.get() >= 1);
        links.abort();
    }
}

/// Sends one request of a caller and returns the answer.
async fn call(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let text = format!(
        "GET {path} HTTP/1.1\r\nhost: labels.example\r\nx-id: {ID}\r\nconnection: close\r\n\r\n"
    );
    let sent = stream.write_all(text.as_bytes()).await;
    sent.expect("send the request");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer).await;
    read.expect("a whole answer");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn caller_gets_a_status_that_http_does_not_have() {
    let replica = spawn_replica(host(4, 1)).await;
    let whole = spawn_replica(host(4, 2)).await;
    let address = SocketAddr::new(host(4, 3), CALLER_PORT);
    for number in 0..answer_count() {
        for route in ["once", "safe", "both"] {
            let entry = open_entry("b", replica, whole, None);
            let stop = CancellationToken::new();
            let serving = serve_callers(entry, address, stop, Duration::from_secs(1));
            let serving = tokio::spawn(serving);
            while TcpStream::connect(address).await.is_err() {
                assert!(!serving.is_finished(), "the port is bound");
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let answer = call(address, &format!("/{route}/{number}")).await;
            let wrong = wrong_answer(number);
            assert!(answer.starts_with("HTTP/1.1 502"), "{wrong:?}: {answer:?}");
            assert!(!answer.contains("x-seal"), "{wrong:?}: {answer:?}");
            serving.abort();
            // The port is free once the task has ended.
            drop(serving.await);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sub_request_takes_an_answer_that_is_not_http() {
    let replica = spawn_replica(host(5, 1)).await;
    for number in 0..answer_count() {
        let pool = ServerPool::new(replica, IncarnationNumber(1), 2);
        let sub_request = SubRequest {
            attempt: AttemptId {
                origin: 1,
                sequence: 7,
            },
            request: "r".into(),
            digest: RequestDigest(1),
            service: number.to_string().as_str().into(),
            replica: "replica-1".into(),
            shard: ShardNumber(1),
            snapshot: SnapshotNumber(1),
            version: VersionNumber(1),
            expires_us: 1_000_000,
            repeatable: false,
            hedge: false,
            suspect: false,
            body: Bytes::from_static(b"{}"),
        };
        let left = Duration::from_secs(2);
        let check = move || Some(left);
        let reply = send_subrequest(&pool, &sub_request, left, 1 << 20, check).await;
        let may_have_run = matches!(
            reply.outcome,
            DispatchOutcome::BadAnswer(_) | DispatchOutcome::Reset
        );
        assert!(may_have_run, "{:?}: {reply:?}", wrong_answer(number));
        assert!(reply.body.is_none());
        assert!(pool.take_idle().is_none(), "{:?}", wrong_answer(number));
    }
}
