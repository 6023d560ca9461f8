//! Test fixture: an entry, a scripted replica and a caller.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::known_replica::{BUDGET, header_names, sync_reply_with};
use crate::reserved_network::reserved_host;
use bytes::Bytes;
use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::intake::process_limits::derive_limits;
use daisyhinge::lease::LapsePolicy;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::listen::serve_callers;
use daisyhinge::shell::forward::state::{ConfigDecoder, ForwardSettings, ForwardState};
use daisyhinge::vocabulary::site::{
    CallerLimits, RouteKind, RouteTarget, SiteConfig, SiteRoute, SiteService, SplitPart,
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

pub const CALLER_PORT: u16 = 27_852;
pub const REPLICA_PORT: u16 = 27_853;

/// Returns the answer of a scripted replica to the request with the given identifier.
pub type AnswerScript = fn(id: &str) -> ReplicaAnswer;

/// Bytes of an answer, and what the replica does after it has sent them.
pub struct ReplicaAnswer {
    pub bytes: String,
    pub then: AfterAnswer,
}

pub enum AfterAnswer {
    /// The connection stays open.
    Stay,
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// More bytes follow after a short delay.
    Late(String),
}

pub fn complete_answer(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-seal: s\r\nx-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Counts of the connections that the simulated replica accepted.
#[derive(Debug, Default)]
pub struct SeenConnections {
    pub opened: AtomicUsize,
    /// Connections closed by the entry.
    pub ended: AtomicUsize,
}

pub async fn run_replica(listener: TcpListener, script: AnswerScript, seen: Arc<SeenConnections>) {
    while let Ok((stream, _)) = listener.accept().await {
        seen.opened.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(answer_requests(stream, script, Arc::clone(&seen)));
    }
}

pub async fn answer_requests(
    mut stream: TcpStream,
    script: AnswerScript,
    seen: Arc<SeenConnections>,
) {
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

#[expect(
    clippy::unnecessary_wraps,
    reason = "required by the type of a decoder"
)]
pub fn decode_site(_: &[u8]) -> Result<SiteConfig, ResultCode> {
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
        is_public: false,
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
        customers: None,
    })
}

pub fn open_entry(host: IpAddr) -> Arc<ForwardState> {
    open_entry_with(host, LapsePolicy::default())
}

pub fn open_entry_with(host: IpAddr, policy: LapsePolicy) -> Arc<ForwardState> {
    open_entry_decoding(host, policy, decode_site)
}

pub fn open_entry_decoding(
    host: IpAddr,
    policy: LapsePolicy,
    decode: ConfigDecoder,
) -> Arc<ForwardState> {
    let state = ForwardState::open(ForwardSettings {
        location: FleetLocation {
            vm: "entry-1".into(),
            data_centre: "a".into(),
            regions: [("a".into(), "north".into())].into(),
        },
        budget: BUDGET,
        names: header_names(),
        decode,
        policy,
        revocation_delay: None,
        quota_slack: 0.0,
        limits: derive_limits(160 << 20, 4_096),
        rollouts: false,
    });
    let replica = SocketAddr::new(host, REPLICA_PORT);
    let reply = sync_reply_with(replica, "card", "a", Vec::new());
    state.apply_reply(reply, true);
    state
}

pub async fn call_entry(host: IpAddr, id: &str) -> Response<Bytes> {
    let stream = TcpStream::connect(SocketAddr::new(host, CALLER_PORT)).await;
    call_entry_on(stream.expect("the port accepts connections"), id).await
}

pub async fn call_entry_on(stream: TcpStream, id: &str) -> Response<Bytes> {
    let request = Request::get("/card/1")
        .header("host", "labels.example")
        .header("x-id", id)
        .body(Full::<Bytes>::default());
    send_on(stream, request.expect("a request")).await
}

pub async fn send_on(stream: TcpStream, request: Request<Full<Bytes>>) -> Response<Bytes> {
    let stream = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream)
        .await
        .expect("open a connection");
    // Aborts the connection task when this function returns.
    let mut connection_task = tokio::task::JoinSet::new();
    connection_task.spawn(connection);
    let answer = sender.send_request(request).await;
    let (head, body) = answer.expect("an answer").into_parts();
    let body = body.collect().await.expect("a complete answer").to_bytes();
    Response::from_parts(head, body)
}

/// An entry and a scripted replica.
pub struct Fixture {
    pub state: Arc<ForwardState>,
    pub host: IpAddr,
    pub seen: Arc<SeenConnections>,
    pub stop: CancellationToken,
    pub serving: JoinHandle<Result<(), ResultCode>>,
}

pub async fn open_fixture(number: u8, script: AnswerScript) -> Fixture {
    open_fixture_decoding(number, script, decode_site).await
}

pub async fn open_fixture_decoding(
    number: u8,
    script: AnswerScript,
    decode: ConfigDecoder,
) -> Fixture {
    let host = reserved_host(63, 0, number);
    let listener = TcpListener::bind(SocketAddr::new(host, REPLICA_PORT)).await;
    let seen = Arc::new(SeenConnections::default());
    let running = run_replica(listener.expect("bind the port"), script, Arc::clone(&seen));
    tokio::spawn(running);
    let state = open_entry_decoding(host, LapsePolicy::default(), decode);
    let address = SocketAddr::new(host, CALLER_PORT);
    let stop = CancellationToken::new();
    let grace = Duration::from_secs(1);
    let serving = serve_callers(Arc::clone(&state), address, stop.clone(), grace);
    let serving = tokio::spawn(serving);
    while TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Fixture {
        state,
        host,
        seen,
        stop,
        serving,
    }
}

/// Sends two requests, one after the other. Returns the answers and the number of connections that
/// the replica accepted.
pub async fn send_two_requests(
    number: u8,
    script: AnswerScript,
) -> (Response<Bytes>, Response<Bytes>, usize) {
    let fixture = open_fixture(number, script).await;
    let first = call_entry(fixture.host, "id-1").await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    let second = call_entry(fixture.host, "id-2").await;
    fixture.stop.cancel();
    (first, second, fixture.seen.opened.load(Ordering::Relaxed))
}
