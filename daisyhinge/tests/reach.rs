//! An entry that has lost its way to the replicas, over loopback.

#[path = "reach/fixture.rs"]
mod fixture;
#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use daisyhinge::dispatch::fleet::{ReplicaIndex, ReplicaReach};
use daisyhinge::dispatch::reach::ReachMonitor;
use daisyhinge::dispatch::request::AttemptEnd;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::listen::serve_callers;
use daisyhinge::shell::forward::reach::run_reach_probes;
use daisyhinge::shell::forward::relay::link::run_links;
use daisyhinge::shell::forward::relay::serve::bind_relay;
use daisyhinge::shell::http_port::HttpPort;
use daisyhinge::shell::http_port::reply::reply_text;
use fixture::{
    CALLER_PORT, RELAY_PORT, REPLICA_PORT, call, call_at, host, open_entry, send_card,
    serve_connection,
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn callers_of_an_entry_that_reaches_no_replica_are_served_through_another_entry() {
    let runs = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&runs);
    let answer = move |request: Request<Incoming>| {
        let counter = Arc::clone(&counter);
        async move {
            counter.fetch_add(1, Ordering::Relaxed);
            let id = request.headers()["x-id"].clone();
            let body = request.into_body().collect().await.expect("a body");
            let body = String::from_utf8(body.to_bytes().to_vec()).expect("text");
            let mut answer = reply_text("text/plain", format!("0123456789abcdef{body}"));
            let headers = answer.headers_mut();
            headers.insert("x-seal", HeaderValue::from_static("seal-1"));
            headers.insert("x-shelf", HeaderValue::from_static("9"));
            headers.insert("x-id", id);
            answer
        }
    };
    let replicas = HttpPort::bind(SocketAddr::new(host(9), REPLICA_PORT), answer).await;
    let replicas = replicas.expect("bind the port");
    // Nothing listens where the first entry looks for the replicas.
    let cut_off = open_entry(1, host(8));
    let sound = open_entry(2, host(9));
    bind_relay(sound, SocketAddr::new(host(2), RELAY_PORT))
        .await
        .expect("bind the port");
    let links = tokio::spawn(run_links(Arc::clone(&cut_off), RELAY_PORT));
    let probes = tokio::spawn(run_reach_probes(Arc::clone(&cut_off)));
    let stop = CancellationToken::new();
    let address = SocketAddr::new(host(1), CALLER_PORT);
    let grace = Duration::from_secs(1);
    let serving = serve_callers(Arc::clone(&cut_off), address, stop.clone(), grace);
    let serving = tokio::spawn(serving);
    tokio::time::sleep(Duration::from_millis(50)).await;

    // Within this time the entry finds out that it reaches no replica.
    for _ in 0..20 {
        call(Method::GET, "/card/1", b"").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    runs.store(0, Ordering::Relaxed);
    for number in 0..20 {
        let card = call(Method::GET, "/card/1", b"").await;
        assert_eq!(card.status(), 200, "request {number}");
        assert_eq!(&**card.body(), b"0123456789abcdef");
        assert_eq!(card.headers()["x-shelf"], "9");
        assert_eq!(card.headers()["x-seal"], "seal-1");
        let sweep = call(Method::GET, "/sweep/1", b"").await;
        assert_eq!(sweep.status(), 200, "request {number}");
        assert_eq!(&**sweep.body(), b"0123456789abcdef");
        let print = call(Method::POST, "/print/1", b"-roll").await;
        assert_eq!(print.status(), 200, "request {number}");
        assert_eq!(&**print.body(), b"0123456789abcdef-roll");
    }
    assert_eq!(runs.load(Ordering::Relaxed), 60);
    stop.cancel();
    drop(serving.await);
    links.abort();
    probes.abort();
    replicas.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn requests_beyond_the_open_connections_go_through_another_entry() {
    let listener = TcpListener::bind(SocketAddr::new(host(19), REPLICA_PORT)).await;
    let listener = listener.expect("bind the port");
    let accepting = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream));
        }
    });
    let sound_listener = TcpListener::bind(SocketAddr::new(host(18), REPLICA_PORT)).await;
    let sound_listener = sound_listener.expect("bind the port");
    let sound_accepting = tokio::spawn(async move {
        while let Ok((stream, _)) = sound_listener.accept().await {
            tokio::spawn(serve_connection(stream));
        }
    });
    let partly_cut = open_entry(11, host(19));
    let sound = open_entry(12, host(18));
    bind_relay(sound, SocketAddr::new(host(12), RELAY_PORT))
        .await
        .expect("bind the port");
    let links = tokio::spawn(run_links(Arc::clone(&partly_cut), RELAY_PORT));
    let probes = tokio::spawn(run_reach_probes(Arc::clone(&partly_cut)));
    let stop = CancellationToken::new();
    let address = SocketAddr::new(host(11), CALLER_PORT);
    let grace = Duration::from_secs(1);
    let serving = serve_callers(Arc::clone(&partly_cut), address, stop.clone(), grace);
    let serving = tokio::spawn(serving);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let call_many = |count: usize| {
        let calls = (0..count).map(|_| call_at(address, Method::GET, "/card/1", b""));
        futures::future::join_all(calls)
    };
    call_many(4).await;
    accepting.abort();
    // Within this time the entry finds out that it can open no further connection.
    for _ in 0..10 {
        call_many(12).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for round in 0..20 {
        let answers = call_many(12).await;
        let served = answers.iter().filter(|answer| answer.status() == 200);
        assert_eq!(served.count(), 12, "round {round}");
    }
    stop.cancel();
    drop(serving.await);
    [links, probes, sound_accepting]
        .iter()
        .for_each(JoinHandle::abort);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn attempt_whose_connect_shows_that_none_succeeds_goes_through_another_entry() {
    let listener = TcpListener::bind(SocketAddr::new(host(28), REPLICA_PORT)).await;
    let listener = listener.expect("bind the port");
    let accepting = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream));
        }
    });
    // Nothing listens where the first entry looks for the replicas.
    let cut_off = open_entry(21, host(29));
    let sound = open_entry(22, host(28));
    bind_relay(sound, SocketAddr::new(host(22), RELAY_PORT))
        .await
        .expect("bind the port");
    let links = tokio::spawn(run_links(Arc::clone(&cut_off), RELAY_PORT));
    tokio::time::sleep(Duration::from_millis(400)).await;
    for replica in 0..7 {
        assert_eq!(send_card(&cut_off, replica).await.end, AttemptEnd::NotSent);
    }
    assert_eq!(send_card(&cut_off, 7).await.end, AttemptEnd::Answered);
    assert_eq!(send_card(&cut_off, 0).await.end, AttemptEnd::Answered);
    links.abort();
    accepting.abort();
}

/// What it would report of a replica is due to itself, and would back the replica off.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn entry_with_no_open_connection_left_refuses_to_relay_instead_of_trying_to_connect() {
    let listener = TcpListener::bind(SocketAddr::new(host(39), REPLICA_PORT)).await;
    let listener = listener.expect("bind the port");
    let accepting = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        drop(listener);
        serve_connection(stream).await;
    });
    let cut_off = open_entry(21, host(38));
    let peer = open_entry(22, host(39));
    bind_relay(Arc::clone(&peer), SocketAddr::new(host(22), RELAY_PORT + 1))
        .await
        .expect("bind the port");
    let links = tokio::spawn(run_links(Arc::clone(&cut_off), RELAY_PORT + 1));
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(send_card(&peer, 0).await.end, AttemptEnd::Answered);
    for replica in 1..9 {
        assert_eq!(send_card(&peer, replica).await.end, AttemptEnd::NotSent);
    }
    assert_eq!(*peer.watch_reach().borrow(), ReplicaReach::OpenOnly);
    for replica in 0..7 {
        assert_eq!(send_card(&cut_off, replica).await.end, AttemptEnd::NotSent);
    }
    assert_eq!(send_card(&cut_off, 7).await.end, AttemptEnd::Withdrawn);
    links.abort();
    accepting.abort();
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000_000 + ms * 1_000)
}

#[test]
fn reach_is_lost_once_many_replicas_take_no_connection_and_none_answers() {
    let mut monitor = ReachMonitor::default();
    monitor.record_answer(at(0));
    for replica in 0..7 {
        monitor.record_failed(ReplicaIndex(replica));
        monitor.record_failed(ReplicaIndex(replica));
    }
    assert_eq!(monitor.reach(at(1_000), 30), ReplicaReach::Full);
    assert_eq!(monitor.reach(at(1_000), 7), ReplicaReach::Lost);
    monitor.record_failed(ReplicaIndex(7));
    assert_eq!(monitor.reach(at(100), 30), ReplicaReach::OpenOnly);
    assert_eq!(monitor.reach(at(1_000), 30), ReplicaReach::Lost);
    monitor.record_answer(at(1_010));
    assert_eq!(monitor.reach(at(1_020), 30), ReplicaReach::OpenOnly);
    monitor.record_connected(at(2_000));
    assert_eq!(monitor.reach(at(2_000), 30), ReplicaReach::Full);
}

#[test]
fn late_failures_after_a_connect_do_not_count_as_lost_reach() {
    let mut monitor = ReachMonitor::default();
    for replica in 0..8 {
        monitor.record_failed(ReplicaIndex(replica));
    }
    assert_eq!(monitor.reach(at(1_000), 30), ReplicaReach::Lost);
    monitor.record_connected(at(1_000));
    for replica in 0..8 {
        monitor.record_failed(ReplicaIndex(replica));
    }
    assert_eq!(monitor.reach(at(1_100), 30), ReplicaReach::OpenOnly);
    assert_eq!(monitor.reach(at(1_400), 30), ReplicaReach::Lost);
}
