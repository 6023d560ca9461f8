//! Answers that a replica cuts at any byte, over loopback. A cut answer must not be taken for a
//! whole one, nor for a sign that the request did not run.

#[path = "cut_answers/entry.rs"]
mod entry;
#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "cut_answers/replica.rs"]
mod replica;

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
use daisyhinge::shell::forward::relay::{HeadRef, RelayLinkClient, RelayRequest};
use daisyhinge::shell::forward::state::ForwardState;
use daisyhinge::shell::pool::ServerPool;
use daisyhinge::vocabulary::site::RouteKind;
use daisyhinge::vocabulary::subrequest::SubRequest;
use entry::{ID, open_entry, outgoing};
use futures::StreamExt;
use replica::{
    AnswerForm, BODY, ConnectionEnd, Cut, CuttingReplica, FORMS, head_length, list_cuts,
};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

const CALLER_PORT: u16 = 27_861;
const RELAY_PORT: u16 = 27_862;
/// Number of entries that are checked at the same time.
const CHECKS_AT_ONCE: usize = 8;
const ENDS: [ConnectionEnd; 2] = [ConnectionEnd::Closed, ConnectionEnd::Reset];

/// Returns one of the addresses of these tests. A block is for one test.
fn host(block: u8, number: usize) -> IpAddr {
    let number = u8::try_from(number).expect("a small number");
    IpAddr::from([127, 105, block, number])
}

async fn spawn_replica(block: u8) -> CuttingReplica {
    CuttingReplica::spawn(host(block, 1)).await
}

/// A head without any length whose connection is closed in the body is a whole answer.
fn is_whole(cut: Cut) -> bool {
    cut.form == AnswerForm::Unsized
        && cut.end == ConnectionEnd::Closed
        && cut.bytes >= head_length(cut.form, ID)
}

fn check_report(cut: Cut, report: &AttemptReport) {
    if is_whole(cut) {
        assert_eq!(report.end, AttemptEnd::Answered, "{cut:?}");
        return;
    }
    let may_have_run = matches!(report.end, AttemptEnd::Lost | AttemptEnd::Reset);
    assert!(may_have_run, "{cut:?}: {report:?}");
    assert!(report.answer.is_none(), "{cut:?}: {report:?}");
}

async fn attempt(
    entry: &Arc<ForwardState>,
    kind: RouteKind,
    top_records: Option<usize>,
    path: &str,
) -> AttemptReport {
    let request = outgoing(entry, kind, top_records, path);
    run_attempt(
        Arc::clone(entry),
        request,
        1,
        ReplicaIndex(0),
        Arc::default(),
    )
    .await
}

/// On a busy machine a connect may take too long. That is true only if the replica got no request.
fn is_retried(end: AttemptEnd, replica: &CuttingReplica, path: &str) -> bool {
    end == AttemptEnd::NotSent && replica.arrivals_of(path).is_empty()
}

/// Sends a request for each cut on connections that are new, or that have carried another request.
async fn check_cuts(replica: CuttingReplica, cuts: Vec<Cut>, on_reused: bool, is_part: bool) {
    let entry = open_entry("b", replica.address, replica.address, None);
    let kind = if is_part {
        RouteKind::Safe
    } else {
        RouteKind::Unsafe
    };
    let top_records = is_part.then_some(2);
    for cut in cuts {
        if on_reused {
            while attempt(&entry, kind, top_records, "/whole").await.end != AttemptEnd::Answered {}
        }
        let path = format!("/{on_reused}/{is_part}/{}", cut.path());
        let mut report = attempt(&entry, kind, top_records, &path).await;
        while is_retried(report.end, &replica, &path) {
            report = attempt(&entry, kind, top_records, &path).await;
        }
        check_report(cut, &report);
        assert_eq!(replica.arrivals_of(&path), [on_reused], "{cut:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_cut_at_any_byte_is_neither_an_answer_nor_a_sign_that_nothing_ran() {
    let replica = spawn_replica(1).await;
    let mut checks = JoinSet::new();
    for form in FORMS {
        for end in ENDS {
            for (on_reused, is_part) in [(false, false), (false, true), (true, false), (true, true)]
            {
                let cuts = list_cuts(form, end, ID);
                checks.spawn(check_cuts(replica.clone(), cuts, on_reused, is_part));
            }
        }
    }
    checks.join_all().await;
}

/// Runs a check for every cut of two forms, each with an address of its own in one of two blocks.
async fn run_checks<F: Future<Output = ()>>(block: u8, check: impl Fn(usize, IpAddr, Cut) -> F) {
    for (block, form) in (block..).zip([AnswerForm::Sized, AnswerForm::Chunked]) {
        let cuts = list_cuts(form, ConnectionEnd::Closed, ID);
        let cuts = futures::stream::iter(cuts.into_iter().enumerate());
        let checks = cuts.map(|(number, cut)| check(number, host(block, number + 1), cut));
        checks
            .buffer_unordered(CHECKS_AT_ONCE)
            .collect::<()>()
            .await;
    }
}

/// Calls an entry's relay port as another entry would. Each cut has an entry of its own, since a
/// replica is ejected after two cut answers.
async fn check_relayed(replica: CuttingReplica, address: SocketAddr, cut: Cut, is_part: bool) {
    let entry = open_entry("b", replica.address, replica.address, None);
    let bound = bind_relay(entry, address).await;
    bound.expect("bind the port");
    let stream = TcpStream::connect(address).await.expect("a link");
    let transport = Transport::from((stream, Bincode::default()));
    let client = RelayLinkClient::new(client::Config::default(), transport).spawn();
    let path = format!("/relay/{}", cut.path());
    let text = format!("GET\n{path}\nhost:labels.example\nx-id:{ID}");
    let request = RelayRequest {
        replica: "replica-1".into(),
        left_ms: 900,
        top_records: is_part.then_some(2),
        kind: RouteKind::Unsafe,
        body: Bytes::new(),
        head: HeadRef::Whole {
            number: 1,
            text: text.into(),
        },
    };
    let reply = loop {
        let reply = client.relay(context::current(), request.clone()).await;
        let reply = reply.expect("a reply");
        if !is_retried(reply.end, &replica, &path) {
            break reply;
        }
    };
    let may_have_run = matches!(reply.end, AttemptEnd::Lost | AttemptEnd::Reset);
    assert!(may_have_run || is_whole(cut), "{cut:?}: {reply:?}");
    assert!(
        reply.answer.is_none() || is_whole(cut),
        "{cut:?}: {reply:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_cut_at_any_byte_is_not_relayed_as_an_answer() {
    let replica = spawn_replica(2).await;
    let check = |number: usize, ip, cut| {
        let address = SocketAddr::new(ip, RELAY_PORT);
        check_relayed(replica.clone(), address, cut, number.is_multiple_of(2))
    };
    run_checks(3, check).await;
}

/// The whole way of a part: the entry that the caller asked, the link, the other entry, the replica.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cut_part_that_crosses_a_link_is_lost() {
    for (number, bytes) in [0, 1, 14, 15, 16, 40, 60, 61, 70, 75]
        .into_iter()
        .enumerate()
    {
        let replica = spawn_replica(6).await;
        let address = host(5, number + 1);
        let remote = open_entry("b", replica.address, replica.address, None);
        let bound = bind_relay(remote, SocketAddr::new(address, RELAY_PORT)).await;
        bound.expect("bind the port");
        let local = open_entry("a", replica.address, replica.address, Some(address));
        let links = tokio::spawn(run_links(Arc::clone(&local), RELAY_PORT));
        while !local.has_link(&RegionName::from("south")) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let cut = Cut {
            form: AnswerForm::Sized,
            bytes,
            end: ConnectionEnd::Closed,
        };
        let path = format!("/l/{}", cut.path());
        let mut report = attempt(&local, RouteKind::Safe, Some(2), &path).await;
        while is_retried(report.end, &replica, &path) {
            report = attempt(&local, RouteKind::Safe, Some(2), &path).await;
        }
        check_report(cut, &report);
        assert!(local.counters.relayed.get() >= 1);
        assert_eq!(local.counters.connections_opened.get(), 0);
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
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    read.expect("a whole answer");
    answer
}

/// Sends one request on each route to an entry of its own, and checks what its caller gets.
async fn check_callers(cutting: CuttingReplica, whole: SocketAddr, ip: IpAddr, cut: Cut) {
    let address = SocketAddr::new(ip, CALLER_PORT);
    for route in ["once", "safe", "both", "half"] {
        let entry = open_entry("b", cutting.address, whole, None);
        let stop = CancellationToken::new();
        let grace = Duration::from_secs(1);
        let serving = tokio::spawn(serve_callers(entry, address, stop.clone(), grace));
        while TcpStream::connect(address).await.is_err() {
            assert!(!serving.is_finished(), "the port is bound");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let path = format!("/{route}/{}", cut.path());
        let mut answer = call(address, &path).await;
        while answer.starts_with("HTTP/1.1 503") && cutting.arrivals_of(&path).is_empty() {
            answer = call(address, &path).await;
        }
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
        let runs = cutting.arrivals_of(&path).len();
        if route == "half" {
            assert!(head.starts_with("HTTP/1.1 200"), "{cut:?}: {answer}");
            assert!(head.contains("x-missing: 1\r\n"), "{cut:?}: {answer}");
            assert_eq!(body, BODY, "{cut:?}");
        } else {
            assert!(head.starts_with("HTTP/1.1 502"), "{cut:?}: {answer}");
        }
        let runs_max = if route == "once" { 1 } else { 2 };
        assert!(
            (1..=runs_max).contains(&runs),
            "{cut:?} {route}: {runs} runs"
        );
        serving.abort();
        // The port is free once the task has ended.
        drop(serving.await);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn caller_gets_no_success_for_an_answer_cut_at_any_byte_and_nothing_runs_again() {
    let cutting = spawn_replica(7).await;
    let whole = CuttingReplica::spawn_whole(host(7, 2)).await;
    run_checks(8, |_, ip, cut| {
        check_callers(cutting.clone(), whole, ip, cut)
    })
    .await;
}

/// Answers one connection's first request with `answer` and closes it.
async fn answer_once(listener: TcpListener, answer: Vec<u8>) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut read = Vec::new();
    let mut buffer = [0; 4_096];
    while !read.ends_with(b"\r\n\r\n{}") {
        let count = stream.read(&mut buffer).await.expect("a request");
        read.extend_from_slice(&buffer[..count]);
    }
    drop(stream.write_all(&answer).await);
}

fn sub_request() -> SubRequest {
    SubRequest {
        attempt: AttemptId {
            origin: 1,
            sequence: 7,
        },
        request: "r".into(),
        digest: RequestDigest(1),
        service: "s".into(),
        replica: "replica-1".into(),
        shard: ShardNumber(1),
        snapshot: SnapshotNumber(1),
        version: VersionNumber(1),
        expires_us: 1_000_000,
        repeatable: false,
        hedge: false,
        suspect: false,
        body: Bytes::from_static(b"{}"),
    }
}

fn backend_answer(length: &str) -> String {
    let request = sub_request();
    format!(
        "HTTP/1.1 200 OK\r\ndaisyhinge-request: r\r\ndaisyhinge-attempt: {}\r\n\
         daisyhinge-shard: {}\r\ndaisyhinge-snapshot: {}\r\ndaisyhinge-length: 7\r\n\
         daisyhinge-checksum: {:08x}\r\n{length}\r\n{{\"a\":1}}",
        request.attempt,
        request.shard,
        request.snapshot,
        crc32fast::hash(b"{\"a\":1}")
    )
}

/// Sends a sub-request to a backend server that answers with `answer` and closes the connection.
async fn send_to_backend(answer: Vec<u8>) -> DispatchOutcome {
    let listener = TcpListener::bind(SocketAddr::new(host(10, 1), 0)).await;
    let listener = listener.expect("bind a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(answer_once(listener, answer));
    let pool = ServerPool::new(address, IncarnationNumber(1), 5);
    let left = Duration::from_secs(1);
    let check = move || Some(left);
    let reply = send_subrequest(&pool, &sub_request(), left, 1_000, check).await;
    let is_answered = matches!(reply.outcome, DispatchOutcome::Answered { .. });
    assert_eq!(reply.body.is_some(), is_answered);
    reply.outcome
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_of_a_backend_server_cut_at_any_byte_is_not_accepted() {
    for length in ["content-length: 7\r\n", ""] {
        let answer = backend_answer(length);
        let mut checks = JoinSet::new();
        for bytes in 0..=answer.len() {
            let part = answer.as_bytes()[..bytes].to_vec();
            checks.spawn(async move { (bytes, send_to_backend(part).await) });
        }
        for (bytes, outcome) in checks.join_all().await {
            if bytes == answer.len() {
                assert!(
                    matches!(outcome, DispatchOutcome::Answered { .. }),
                    "{outcome:?}"
                );
                continue;
            }
            let may_have_run = matches!(
                outcome,
                DispatchOutcome::Reset | DispatchOutcome::BadAnswer(_)
            );
            assert!(may_have_run, "{bytes} bytes: {outcome:?}");
        }
    }
}
