//! Tests of sub-requests that are relayed through an entry in another region, over loopback.

#[path = "relay/fixture.rs"]
mod fixture;
#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyhinge::dispatch::fleet::ReplicaIndex;
use daisyhinge::dispatch::request::AttemptEnd;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::attempt::run_attempt;
use daisyhinge::shell::forward::gate::WritePermit;
use daisyhinge::shell::forward::listen::serve_callers;
use daisyhinge::shell::forward::outgoing::OutgoingRequest;
use daisyhinge::shell::forward::relay::head::{read_head, write_head};
use daisyhinge::shell::forward::relay::head_cache::{ReceivedHeads, SentHeads};
use daisyhinge::shell::forward::relay::link::run_links;
use daisyhinge::shell::forward::relay::serve::bind_relay;
use daisyhinge::shell::forward::relay::{HeadRef, RelayLinkClient, RelayRequest};
use daisyhinge::shell::forward::state::ForwardState;
use daisyhinge::shell::http_port::HttpPort;
use daisyhinge::vocabulary::site::RouteKind;
use fixture::{
    CALLER_PORT, RELAY_PORT, REPLICA_PORT, SeenHeads, answer_replica, host, open_entry,
    open_entry_at, wait_until,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

fn outgoing_request(entry: &ForwardState) -> Arc<OutgoingRequest> {
    Arc::new(OutgoingRequest {
        number: 1,
        method: Method::GET,
        target: Uri::from_static("/sweep/1"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        id: Some(HeaderValue::from_static("id-7")),
        kind: RouteKind::Safe,
        top_records: Some(2),
        deadline: entry.clock.now() + Duration::from_secs(2),
        access: None,
    })
}

async fn call_entry(number: u8) -> Response<Bytes> {
    let address = SocketAddr::new(host(number), CALLER_PORT);
    let stream = TcpStream::connect(address)
        .await
        .expect("the port accepts connections");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("open a connection");
    tokio::spawn(connection);
    let request = Request::get("/sweep/1?q=2")
        .header("host", "labels.example")
        .header("x-id", "id-7")
        .header("x-left", "900")
        .header("user-agent", "desk")
        .body(Full::<Bytes>::default())
        .expect("a request");
    let (head, body) = sender
        .send_request(request)
        .await
        .expect("an answer")
        .into_parts();
    let body = body.collect().await.expect("a complete answer").to_bytes();
    Response::from_parts(head, body)
}

/// The part crosses regions on the link, and the other entry forwards the caller's path and headers
/// to the replica. If that entry hangs, the link is dropped and the replica is called directly.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn part_is_relayed_until_the_link_hangs() {
    let seen = SeenHeads::default();
    let recorder = Arc::clone(&seen);
    let answer =
        move |request: Request<Incoming>| std::future::ready(answer_replica(&recorder, &request));
    let replica = HttpPort::bind(SocketAddr::new(host(9), REPLICA_PORT), answer).await;
    let replica = replica.expect("bind the port");
    let local_entry = open_entry(1, "a");
    let remote_entry = open_entry(2, "b");
    let relay = SocketAddr::new(host(2), RELAY_PORT);
    bind_relay(Arc::clone(&remote_entry), relay)
        .await
        .expect("bind the port");
    let links = tokio::spawn(run_links(Arc::clone(&local_entry), RELAY_PORT));
    let stop = CancellationToken::new();
    let address = SocketAddr::new(host(1), CALLER_PORT);
    let serving = serve_callers(
        Arc::clone(&local_entry),
        address,
        stop.clone(),
        Duration::from_secs(1),
    );
    tokio::spawn(serving);
    wait_until("the link is open", || {
        local_entry.has_link(&RegionName::from("south"))
    })
    .await;

    let answer = call_entry(1).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["x-seals"], "seal-1");
    assert_eq!(answer.body(), "ccccccccccccccccbbbbbbbbbbbbbbbb");
    assert_eq!(local_entry.counters.connections_opened.get(), 0);
    assert_eq!(remote_entry.counters.connections_opened.get(), 1);
    let (path, headers) = seen.lock().pop().expect("the replica received a request");
    assert_eq!(path, "/sweep/1");
    assert_eq!(headers["x-id"], "id-7");
    assert_eq!(headers["x-expect"], "replica-1");
    assert_eq!(headers["user-agent"], "desk");
    let remaining_ms: u64 = headers["x-left"]
        .to_str()
        .expect("text")
        .parse()
        .expect("a number");
    assert!((500..=900).contains(&remaining_ms), "{remaining_ms}");

    links.abort();
    check_silent_link(&local_entry).await;
    replica.close().await;
    stop.cancel();
}

/// Checks that a link is dropped if the other end accepts calls but never replies.
async fn check_silent_link(local_entry: &Arc<ForwardState>) {
    let silent = TcpListener::bind(SocketAddr::new(host(2), RELAY_PORT + 10)).await;
    let silent = silent.expect("bind the port");
    local_entry.drop_links();
    let links = tokio::spawn(run_links(Arc::clone(local_entry), RELAY_PORT + 10));
    wait_until("the link is open", || {
        local_entry.has_link(&RegionName::from("south"))
    })
    .await;
    let first = call_entry(1).await;
    assert_ne!(first.status(), 200, "the only replica did not answer");
    wait_until("the link is dropped", || {
        !local_entry.has_link(&RegionName::from("south"))
    })
    .await;
    let second = call_entry(1).await;
    assert_eq!(second.status(), 200);
    links.abort();
    drop(silent);
}

/// An attempt may be superseded, or its request answered, before the attempt runs for the first time.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn attempt_over_a_link_is_not_sent_after_its_permit_was_revoked() {
    let seen = SeenHeads::default();
    let recorder = Arc::clone(&seen);
    let answer =
        move |request: Request<Incoming>| std::future::ready(answer_replica(&recorder, &request));
    let address = SocketAddr::new(host(29), REPLICA_PORT);
    let replica = HttpPort::bind(address, answer).await;
    let replica = replica.expect("bind the port");
    let local_entry = open_entry_at(1, "a", address);
    let remote_entry = open_entry_at(2, "b", address);
    let relay = SocketAddr::new(host(2), RELAY_PORT + 20);
    bind_relay(remote_entry, relay)
        .await
        .expect("bind the port");
    let links = tokio::spawn(run_links(Arc::clone(&local_entry), RELAY_PORT + 20));
    wait_until("the link is open", || {
        local_entry.has_link(&RegionName::from("south"))
    })
    .await;
    let request = outgoing_request(&local_entry);
    for (revoked, end) in [(true, AttemptEnd::Withdrawn), (false, AttemptEnd::Answered)] {
        let permit = Arc::<WritePermit>::default();
        if revoked {
            permit.revoke();
        }
        let entry = Arc::clone(&local_entry);
        let report = run_attempt(entry, Arc::clone(&request), 1, ReplicaIndex(0), permit).await;
        assert_eq!(report.end, end);
        assert_eq!(seen.lock().len(), usize::from(!revoked));
    }
    links.abort();
    replica.close().await;
}

/// The entry that answers the caller and the one that called the replica both stop using it.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn replica_that_leaves_is_not_used_again_by_either_end_of_a_link() {
    let seen = SeenHeads::default();
    let recorder = Arc::clone(&seen);
    let answer = move |request: Request<Incoming>| {
        let mut answer = answer_replica(&recorder, &request);
        let leaving = HeaderValue::from_static("1");
        answer.headers_mut().insert("x-leaving", leaving);
        std::future::ready(answer)
    };
    let address = SocketAddr::new(host(39), REPLICA_PORT);
    let replica = HttpPort::bind(address, answer).await;
    let replica = replica.expect("bind the port");
    let local_entry = open_entry_at(1, "a", address);
    let remote_entry = open_entry_at(2, "b", address);
    let relay = SocketAddr::new(host(2), RELAY_PORT + 30);
    bind_relay(Arc::clone(&remote_entry), relay)
        .await
        .expect("bind the port");
    let links = tokio::spawn(run_links(Arc::clone(&local_entry), RELAY_PORT + 30));
    wait_until("the link is open", || {
        local_entry.has_link(&RegionName::from("south"))
    })
    .await;
    let send = |entry: &Arc<ForwardState>| {
        let request = outgoing_request(entry);
        let permit = Arc::<WritePermit>::default();
        run_attempt(Arc::clone(entry), request, 1, ReplicaIndex(0), permit)
    };
    assert_eq!(send(&local_entry).await.end, AttemptEnd::Answered);
    assert_eq!(send(&remote_entry).await.end, AttemptEnd::Withdrawn);
    links.abort();
    local_entry.drop_links();
    assert_eq!(send(&local_entry).await.end, AttemptEnd::Withdrawn);
    assert_eq!(seen.lock().len(), 1);
    replica.close().await;
}

/// The entry that calls the replica counts what it sends for others, too.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn requests_over_a_link_keep_to_the_rate_that_the_replica_states() {
    let seen = SeenHeads::default();
    let recorder = Arc::clone(&seen);
    let is_limited = Arc::new(AtomicBool::new(true));
    let limited = Arc::clone(&is_limited);
    let answer = move |request: Request<Incoming>| {
        let mut answer = answer_replica(&recorder, &request);
        if limited.load(Ordering::Relaxed) {
            let rate = HeaderValue::from_static("4.0");
            answer.headers_mut().insert("x-limit", rate);
        }
        std::future::ready(answer)
    };
    let address = SocketAddr::new(host(49), REPLICA_PORT);
    let replica = HttpPort::bind(address, answer).await;
    let replica = replica.expect("bind the port");
    let local_entry = open_entry_at(1, "a", address);
    let remote_entry = open_entry_at(2, "b", address);
    let relay = SocketAddr::new(host(2), RELAY_PORT + 40);
    bind_relay(remote_entry, relay)
        .await
        .expect("bind the port");
    let links = tokio::spawn(run_links(Arc::clone(&local_entry), RELAY_PORT + 40));
    wait_until("the link is open", || {
        local_entry.has_link(&RegionName::from("south"))
    })
    .await;
    let send = || {
        let request = outgoing_request(&local_entry);
        let permit = Arc::<WritePermit>::default();
        run_attempt(
            Arc::clone(&local_entry),
            request,
            1,
            ReplicaIndex(0),
            permit,
        )
    };
    let started = Instant::now();
    for _ in 0..100 {
        let end = send().await.end;
        assert!(matches!(end, AttemptEnd::Answered | AttemptEnd::PeerBusy));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let arrived = seen.lock().len();
    let elapsed = started.elapsed();
    // One at once, then four a second.
    let arrived_max = 1 + usize::try_from(elapsed.as_millis() * 4 / 1_000).expect("a short time");
    assert!(
        (2..=arrived_max).contains(&arrived),
        "{arrived} in {elapsed:?}"
    );
    is_limited.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(500)).await;
    send().await;
    for _ in 0..20 {
        assert_eq!(send().await.end, AttemptEnd::Answered);
    }
    links.abort();
    replica.close().await;
}

/// The head of a request is sent once on a link. If the receiver no longer stores the head, it
/// requests the head again and sends nothing to the replica in the meantime.
#[tokio::test]
async fn unknown_head_is_resent() {
    let seen = SeenHeads::default();
    let recorder = Arc::clone(&seen);
    let answer =
        move |request: Request<Incoming>| std::future::ready(answer_replica(&recorder, &request));
    let replica = HttpPort::bind(SocketAddr::new(host(19), REPLICA_PORT), answer).await;
    let replica = replica.expect("bind the port");
    let remote_entry = open_entry_at(12, "b", SocketAddr::new(host(19), REPLICA_PORT));
    let relay = SocketAddr::new(host(12), RELAY_PORT);
    bind_relay(remote_entry, relay)
        .await
        .expect("bind the port");
    let stream = TcpStream::connect(relay)
        .await
        .expect("the port accepts connections");
    let transport = Transport::from((stream, Bincode::default()));
    let client = RelayLinkClient::new(client::Config::default(), transport).spawn();
    let text = || Bytes::from_static(b"GET\n/sweep/1\nhost:labels.example\nx-id:id-7");
    let relay_request = |head| RelayRequest {
        replica: "replica-1".into(),
        left_ms: 900,
        top_records: Some(2),
        kind: RouteKind::Safe,
        body: Bytes::new(),
        head,
    };
    let mut sent = SentHeads::default();
    let full_head = sent.head_ref(7, text);
    let known = sent.head_ref(7, || unreachable!("the head was sent before"));
    assert_eq!(known, HeadRef::Known(7));
    for (head, is_unknown) in [(known.clone(), true), (full_head, false), (known, false)] {
        let calls_before = seen.lock().len();
        let reply = client.relay(context::current(), relay_request(head)).await;
        let reply = reply.expect("a reply");
        assert_eq!(reply.head_unknown, is_unknown);
        assert_eq!(reply.answer.is_none(), is_unknown);
        assert_eq!(seen.lock().len() - calls_before, usize::from(!is_unknown));
    }
    replica.close().await;
}

/// The receiver still stores every head that the sender refers to, even after calls of other
/// requests.
#[test]
fn receiver_stores_every_head_the_sender_references() {
    let mut sent = SentHeads::default();
    let mut received = ReceivedHeads::default();
    for number in 0..200 {
        let text = || Bytes::from(number.to_string());
        assert_eq!(received.find(sent.head_ref(number, text)), Some(text()));
        let earlier = u64::from(number % 2 == 0) * number / 2;
        let head = sent.head_ref(earlier, || Bytes::from(earlier.to_string()));
        assert_eq!(received.find(head), Some(Bytes::from(earlier.to_string())));
    }
}

#[test]
fn head_round_trips() {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("labels.example"));
    headers.append("x-many", HeaderValue::from_static("a: b"));
    headers.append("x-many", HeaderValue::from_static(""));
    let target = Uri::from_static("/sweep/1?q=2");
    let head = read_head(&write_head(&Method::GET, &target, &headers)).expect("a head");
    assert_eq!(
        (head.method, head.target, head.headers),
        (Method::GET, target, headers)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    /// Arbitrary and truncated input must not panic.
    #[test]
    fn read_head_accepts_arbitrary_bytes(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        length in 0_usize..80,
    ) {
        drop(read_head(&bytes));
        let full_head = b"GET\n/sweep/1\nhost:labels.example\nx-id:id-7";
        drop(read_head(&full_head[..length.min(full_head.len())]));
    }
}
