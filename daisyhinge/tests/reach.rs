//! An entry that has lost its way to the replicas, over loopback.

#[path = "support/known_replica.rs"]
mod known_replica;

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::dispatch::fleet::{FleetLocation, ReplicaIndex, ReplicaReach};
use daisyhinge::dispatch::reach::ReachMonitor;
use daisyhinge::dispatch::request::AttemptEnd;
use daisyhinge::lease::LapsePolicy;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::attempt::{AttemptReport, run_attempt};
use daisyhinge::shell::forward::gate::WritePermit;
use daisyhinge::shell::forward::listen::serve_callers;
use daisyhinge::shell::forward::outgoing::OutgoingRequest;
use daisyhinge::shell::forward::reach::run_reach_probes;
use daisyhinge::shell::forward::relay::link::run_links;
use daisyhinge::shell::forward::relay::serve::bind_relay;
use daisyhinge::shell::forward::state::{ForwardSettings, ForwardState};
use daisyhinge::shell::http_port::HttpPort;
use daisyhinge::shell::http_port::reply::reply_text;
use daisyhinge::vocabulary::registration::{EntryPhase, EntryPresence, ReplicaRecord, SyncReply};
use daisyhinge::vocabulary::site::{
    CallerLimits, GatherPlan, RouteKind, RouteTarget, SiteConfig, SiteRoute, SiteService, SplitPart,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response};
use hyper_util::rt::TokioIo;
use known_replica::{BUDGET, header_names, sync_reply_with};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const CALLER_PORT: u16 = 27_862;
const RELAY_PORT: u16 = 27_863;
const REPLICA_PORT: u16 = 27_864;
const REPLICAS: u8 = 10;

fn host(number: u8) -> IpAddr {
    IpAddr::from([127, 66, 0, number])
}

fn card_route(name: &str, kind: RouteKind, target: RouteTarget) -> Arc<SiteRoute> {
    Arc::new(SiteRoute {
        name: name.into(),
        host: "labels.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(400),
        attempts_max: 2,
        priority: 1,
        allowed_regions: Arc::from([]),
        target,
    })
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "required by the type of a decoder"
)]
fn decode_site(_: &[u8]) -> Result<SiteConfig, ResultCode> {
    let card = ServiceName::from("card");
    let single = || {
        RouteTarget::Split(Arc::from([SplitPart {
            service: card.clone(),
            weight: 1,
        }]))
    };
    let gather = RouteTarget::Gather(GatherPlan {
        shards: Arc::from([card.clone()]),
        top_records: 2,
        min_coverage: 1.0,
    });
    Ok(SiteConfig {
        version: 1,
        routes: vec![
            card_route("card", RouteKind::Safe, single()),
            card_route("print", RouteKind::Unsafe, single()),
            card_route("sweep", RouteKind::Safe, gather),
        ],
        services: vec![SiteService {
            name: card,
            connections_max: 100,
            cold_per_second: None,
        }],
        limits: CallerLimits::default(),
    })
}

/// Entry 21 is in another region than the replicas and the other entries.
fn centre_of(number: u8) -> CentreName {
    let centre = if number == 21 { "b" } else { "a" };
    centre.into()
}

fn presence(number: u8) -> EntryPresence {
    EntryPresence {
        vm: format!("entry-{number}").into(),
        incarnation: 1,
        address: SocketAddr::new(host(number), CALLER_PORT),
        data_centre: centre_of(number),
        phase: EntryPhase::Serving,
        stamp: 1,
        holder: 1,
    }
}

/// Opens an entry that knows itself and one other, and all replicas at `replicas`.
fn open_entry(number: u8, replicas: IpAddr) -> Arc<ForwardState> {
    let state = ForwardState::open(ForwardSettings {
        location: FleetLocation {
            vm: format!("entry-{number}").into(),
            data_centre: centre_of(number),
            regions: [("a", "north"), ("b", "south")]
                .map(|(centre, region)| (centre.into(), region.into()))
                .into(),
        },
        budget: BUDGET,
        names: header_names(),
        decode: decode_site,
        policy: LapsePolicy::default(),
        answer_memory_max: 32 << 20,
    });
    let address = SocketAddr::new(replicas, REPLICA_PORT);
    // The numbers of the two entries of a test differ by one, the first one is odd.
    let first = number - u8::from(number.is_multiple_of(2));
    let entries = vec![presence(first), presence(first + 1)];
    let reply = sync_reply_with(address, "card", "a", entries);
    let known = (0..REPLICAS).map(|replica| ReplicaRecord {
        name: format!("replica-{replica}").into(),
        ..reply.replicas[0].clone()
    });
    let reply = SyncReply {
        replicas: known.collect(),
        ..reply
    };
    state.apply_reply(reply, true);
    state
}

async fn call(method: Method, path: &str, body: &'static [u8]) -> Response<Bytes> {
    call_at(SocketAddr::new(host(1), CALLER_PORT), method, path, body).await
}

async fn call_at(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &'static [u8],
) -> Response<Bytes> {
    let stream = TcpStream::connect(address).await.expect("an open port");
    let io = TokioIo::new(stream);
    let (mut sender, driver) = hyper::client::conn::http1::handshake(io)
        .await
        .expect("an HTTP connection");
    let driver = tokio::spawn(driver);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "labels.example")
        .header("x-id", "id-7")
        .header("x-left", "1500")
        .body(Full::new(Bytes::from_static(body)))
        .expect("a request");
    let (head, body) = sender
        .send_request(request)
        .await
        .expect("an answer")
        .into_parts();
    let body = body.collect().await.expect("a complete answer").to_bytes();
    driver.abort();
    Response::from_parts(head, body)
}

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

/// Sends one attempt of a request for a card to a replica.
async fn send_card(entry: &Arc<ForwardState>, replica: u32) -> AttemptReport {
    let request = OutgoingRequest {
        number: u64::from(replica),
        method: Method::GET,
        target: "/card/1".parse().expect("a path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        id: Some(HeaderValue::from_static("id-7")),
        kind: RouteKind::Safe,
        top_records: None,
        deadline: entry.clock.now() + Duration::from_secs(1),
    };
    let (entry, permit) = (Arc::clone(entry), Arc::<WritePermit>::default());
    run_attempt(entry, Arc::new(request), 1, ReplicaIndex(replica), permit).await
}

/// Answers requests on one connection for as long as it is open.
async fn serve_connection(stream: TcpStream) {
    let answer = |request: Request<Incoming>| async move {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let mut answer = reply_text("text/plain", "0123456789abcdef".to_owned());
        let headers = answer.headers_mut();
        headers.insert("x-seal", HeaderValue::from_static("seal-1"));
        headers.insert("x-id", request.headers()["x-id"].clone());
        Ok::<_, Infallible>(answer)
    };
    let service = hyper::service::service_fn(answer);
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    drop(served);
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
