//! Answers of replicas that are damaged, foreign or late, over loopback: a caller never gets one as
//! its own.

#[path = "support/known_replica.rs"]
mod known_replica;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::dispatch::fleet::FleetPlace;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::listen::serve_callers;
use daisyhinge::shell::forward::state::{ForwardSettings, ForwardState};
use daisyhinge::vocabulary::site::{
    CallerLimits, RouteKind, RouteTarget, SiteConfig, SiteRoute, SiteService, SplitPart,
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use known_replica::{BUDGET, header_names, tell_replica};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const CALLER_PORT: u16 = 27_852;
const REPLICA_PORT: u16 = 27_853;

/// What a stand-in for a replica writes for a request of that identifier.
type AnswerScript = fn(id: &str) -> ReplicaAnswer;

/// Bytes of an answer, and what comes after them.
struct ReplicaAnswer {
    bytes: String,
    then: AfterAnswer,
}

enum AfterAnswer {
    /// The connection stays.
    Stay,
    /// It ends.
    Close,
    /// It is reset.
    Reset,
    /// More bytes come a little later.
    Late(String),
}

fn whole(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-seal: s\r\nx-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Connections as a replica sees them.
#[derive(Debug, Default)]
struct SeenConnections {
    opened: AtomicUsize,
    /// Those that the entry closed.
    ended: AtomicUsize,
}

async fn run_replica(listener: TcpListener, script: AnswerScript, seen: Arc<SeenConnections>) {
    while let Ok((stream, _)) = listener.accept().await {
        seen.opened.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(answer_requests(stream, script, Arc::clone(&seen)));
    }
}

async fn answer_requests(mut stream: TcpStream, script: AnswerScript, seen: Arc<SeenConnections>) {
    let mut read = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer).await {
        if count == 0 {
            seen.ended.fetch_add(1, Ordering::Relaxed);
            return;
        }
        read.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&read).into_owned();
        if !text.ends_with("\r\n\r\n") {
            continue;
        }
        read.clear();
        let id = text.lines().find_map(|line| line.strip_prefix("x-id: "));
        let answer = script(id.expect("an identifier"));
        if stream.write_all(answer.bytes.as_bytes()).await.is_err() {
            return;
        }
        match answer.then {
            AfterAnswer::Stay => {}
            AfterAnswer::Close => return,
            AfterAnswer::Reset => {
                tokio::time::sleep(Duration::from_millis(30)).await;
                let _ends_with_a_reset = stream.set_zero_linger();
                return;
            }
            AfterAnswer::Late(bytes) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                drop(stream.write_all(bytes.as_bytes()).await);
            }
        }
    }
}

#[expect(clippy::unnecessary_wraps, reason = "a decoder may refuse")]
fn read_site(_: &[u8]) -> Result<SiteConfig, ResultCode> {
    let service = ServiceName::from("card");
    let route = SiteRoute {
        name: "card".into(),
        host: "labels.example".into(),
        path_prefix: "/card/".into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        attempts_max: 1,
        priority: 1,
        allowed_regions: Arc::from([]),
        target: RouteTarget::Split(Arc::from([SplitPart {
            service: service.clone(),
            weight: 1,
        }])),
    };
    Ok(SiteConfig {
        version: 1,
        routes: vec![Arc::new(route)],
        services: vec![SiteService {
            name: service,
            connections_max: 10,
            cold_per_second: None,
        }],
        limits: CallerLimits::default(),
    })
}

fn open_entry(host: IpAddr) -> Arc<ForwardState> {
    let state = ForwardState::open(ForwardSettings {
        place: FleetPlace {
            vm: "entry-1".into(),
            data_centre: "a".into(),
            regions: [("a".into(), "north".into())].into(),
        },
        budget: BUDGET,
        names: header_names(),
        decode: read_site,
    });
    let replica = SocketAddr::new(host, REPLICA_PORT);
    let reply = tell_replica(replica, "card", "a", Vec::new());
    state.take_reply(reply, true);
    state
}

async fn ask(host: IpAddr, id: &str) -> Response<Bytes> {
    let stream = TcpStream::connect(SocketAddr::new(host, CALLER_PORT)).await;
    ask_on(stream.expect("it listens"), id).await
}

async fn ask_on(stream: TcpStream, id: &str) -> Response<Bytes> {
    let stream = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream)
        .await
        .expect("a connection");
    // Ends with this call.
    let mut driving = tokio::task::JoinSet::new();
    driving.spawn(connection);
    let request = Request::get("/card/1")
        .header("host", "labels.example")
        .header("x-id", id)
        .body(Full::<Bytes>::default());
    let answer = sender.send_request(request.expect("a request")).await;
    let (head, body) = answer.expect("an answer").into_parts();
    let body = body.collect().await.expect("a whole answer").to_bytes();
    Response::from_parts(head, body)
}

/// An entry and a replica that answers by a script.
struct Stand {
    host: IpAddr,
    seen: Arc<SeenConnections>,
    stop: CancellationToken,
    serving: JoinHandle<Result<(), ResultCode>>,
}

async fn open_stand(number: u8, script: AnswerScript) -> Stand {
    let host = IpAddr::from([127, 63, 0, number]);
    let listener = TcpListener::bind(SocketAddr::new(host, REPLICA_PORT)).await;
    let seen = Arc::new(SeenConnections::default());
    let running = run_replica(listener.expect("a free port"), script, Arc::clone(&seen));
    tokio::spawn(running);
    let state = open_entry(host);
    let address = SocketAddr::new(host, CALLER_PORT);
    let stop = CancellationToken::new();
    let serving = serve_callers(state, address, stop.clone(), Duration::from_secs(1));
    let serving = tokio::spawn(serving);
    while TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Stand {
        host,
        seen,
        stop,
        serving,
    }
}

/// Two requests, one after the other. Returns their answers and the connections that the replica
/// saw.
async fn play(number: u8, script: AnswerScript) -> (Response<Bytes>, Response<Bytes>, usize) {
    let stand = open_stand(number, script).await;
    let first = ask(stand.host, "id-1").await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    let second = ask(stand.host, "id-2").await;
    stand.stop.cancel();
    (first, second, stand.seen.opened.load(Ordering::Relaxed))
}

#[tokio::test]
async fn a_whole_answer_is_passed_on_and_its_connection_used_again() {
    let script = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label"),
        then: AfterAnswer::Stay,
    };
    let (first, second, opened) = play(1, script).await;
    assert_eq!(
        (first.status().as_u16(), second.status().as_u16()),
        (200, 200)
    );
    assert_eq!((&**first.body(), opened), (&b"label"[..], 1));
    assert_eq!(first.headers()["x-seal"], "s");
}

#[tokio::test]
async fn a_cut_answer_is_none() {
    let script = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label").replace("length: 5", "length: 9"),
        then: AfterAnswer::Close,
    };
    let (first, _, _) = play(2, script).await;
    assert_eq!(first.status(), 502);
    assert!(!first.headers().contains_key("x-seal"));
}

#[tokio::test]
async fn bytes_after_an_answer_are_nobodys() {
    let script = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label") + &whole("id-2", "wrong"),
        then: AfterAnswer::Stay,
    };
    let (first, second, opened) = play(3, script).await;
    assert_eq!(
        (first.status().as_u16(), &**first.body()),
        (200, &b"label"[..])
    );
    assert_eq!(
        (second.status().as_u16(), &**second.body()),
        (200, &b"label"[..])
    );
    assert_eq!(opened, 2, "the connection is not used again");
}

#[tokio::test]
async fn an_answer_that_comes_late_is_nobodys() {
    let script = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label"),
        then: AfterAnswer::Late(whole("id-2", "wrong")),
    };
    let (_, second, opened) = play(4, script).await;
    assert_eq!(
        (second.status().as_u16(), &**second.body()),
        (200, &b"label"[..])
    );
    assert_eq!(opened, 2, "the connection is not used again");
}

#[tokio::test]
async fn answers_of_another_request_unsigned_or_encoded_are_none() {
    let foreign = |_: &str| ReplicaAnswer {
        bytes: whole("id-9", "label"),
        then: AfterAnswer::Stay,
    };
    let unsigned = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label").replace("x-seal: s\r\n", ""),
        then: AfterAnswer::Stay,
    };
    let encoded = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label").replace("x-seal", "content-encoding: br\r\nx-seal"),
        then: AfterAnswer::Stay,
    };
    for (number, script) in [(5, foreign as AnswerScript), (6, unsigned), (7, encoded)] {
        let (first, second, _) = play(number, script).await;
        assert_eq!(
            (first.status().as_u16(), second.status().as_u16()),
            (502, 502)
        );
    }
}

/// An answer without a length ends with its connection; whole only if that was not reset.
#[tokio::test]
async fn an_answer_that_ends_with_a_reset_is_none() {
    let closed = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label").replace("content-length: 5\r\n", ""),
        then: AfterAnswer::Close,
    };
    let (first, _, _) = play(8, closed).await;
    assert_eq!(
        (first.status().as_u16(), &**first.body()),
        (200, &b"label"[..])
    );
    let reset = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label").replace("content-length: 5\r\n", ""),
        then: AfterAnswer::Reset,
    };
    let (first, _, _) = play(9, reset).await;
    assert_eq!(first.status(), 502);
}

/// A replica that never answers hears within a few milliseconds that its caller has gone.
#[tokio::test]
async fn a_request_ends_with_its_callers_connection() {
    let silent = |_: &str| ReplicaAnswer {
        bytes: String::new(),
        then: AfterAnswer::Stay,
    };
    let stand = open_stand(10, silent).await;
    let host = stand.host;
    let asking = tokio::time::timeout(Duration::from_millis(100), ask(host, "id-1"));
    assert!(asking.await.is_err(), "nothing is answered");
    for _ in 0..40 {
        if stand.seen.ended.load(Ordering::Relaxed) == 1 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(stand.seen.ended.load(Ordering::Relaxed), 1);
    stand.stop.cancel();
}

/// What runs when an entry is told to stop is answered, and callers are told to connect elsewhere.
#[tokio::test]
async fn what_runs_at_the_stop_is_answered() {
    let late = |id: &str| ReplicaAnswer {
        bytes: String::new(),
        then: AfterAnswer::Late(whole(id, "label")),
    };
    let stand = open_stand(11, late).await;
    let asking = tokio::spawn(ask(stand.host, "id-1"));
    while stand.seen.opened.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    stand.stop.cancel();
    let answer = asking.await.expect("it ends");
    assert_eq!(
        (answer.status().as_u16(), &**answer.body()),
        (200, &b"label"[..])
    );
    stand
        .serving
        .await
        .expect("it ends")
        .expect("it has stopped");
    let refused = TcpStream::connect(SocketAddr::new(stand.host, CALLER_PORT)).await;
    assert!(refused.is_err(), "it takes no more connections");
}

/// Callers whose connections the kernel has taken, but not yet the entry, when it is told to stop.
#[tokio::test]
async fn connections_that_wait_at_the_stop_are_answered() {
    let script = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label"),
        then: AfterAnswer::Stay,
    };
    let stand = open_stand(12, script).await;
    let address = SocketAddr::new(stand.host, CALLER_PORT);
    // No task of the entry runs between these lines.
    let connect = |_| std::net::TcpStream::connect(address).expect("it listens");
    let streams: Vec<_> = (0..8).map(connect).collect();
    stand.stop.cancel();
    let mut asking = tokio::task::JoinSet::new();
    for (number, stream) in streams.into_iter().enumerate() {
        stream.set_nonblocking(true).expect("a socket");
        let stream = TcpStream::from_std(stream).expect("a socket");
        asking.spawn(async move { ask_on(stream, &format!("id-{number}")).await });
    }
    for answer in asking.join_all().await {
        assert_eq!(answer.status(), 200);
    }
}
