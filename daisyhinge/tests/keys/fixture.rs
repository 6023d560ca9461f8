//! An entry with customers, a replica that records what it receives, and a caller.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::customer::digest_key;
use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::intake::process_limits::derive_limits;
use daisyhinge::lease::LapsePolicy;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::listen::serve_callers;
use daisyhinge::shell::forward::state::{ForwardSettings, ForwardState};
use daisyhinge::shell::http_port::HttpPort;
use daisyhinge::shell::http_port::reply::reply_text;
use daisyhinge::shell::site::follow::ReplyProof;
use daisyhinge::vocabulary::registration::{EntryPhase, EntryPresence, SyncReply};
use daisyhinge::vocabulary::site::{
    CallerLimits, GatherPlan, RouteKind, RouteTarget, SiteConfig, SiteCustomer, SiteDocument,
    SiteRoute, SiteService, SiteState, SplitPart,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::known_replica::{BUDGET, header_names, sync_reply_with};
use crate::reserved_network::reserved_host;

pub const CALLER_PORT: u16 = 27_862;
pub const RELAY_PORT: u16 = 27_861;
const REPLICA_PORT: u16 = 27_863;

/// An empty list of customers.
pub const NO_CUSTOMERS: &str = "none";

/// Customers of most tests: the name, the allowed regions or `-`, the priority and the keys of each.
pub const CUSTOMERS: &str = "acme - 3 key-1 key-2\nnorthern north 0 key-3\nsouthern south 0 key-4";

pub fn host(number: u8) -> IpAddr {
    reserved_host(69, 0, number)
}

fn route(name: &str, regions: &[&str], target: RouteTarget) -> Arc<SiteRoute> {
    Arc::new(SiteRoute {
        name: name.into(),
        host: "labels.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(8),
        objective: Duration::from_secs(4),
        attempts_max: 2,
        priority: 1,
        allowed_regions: regions.iter().map(|name| RegionName::from(*name)).collect(),
        is_public: name == "public",
        target,
    })
}

/// Decodes the lines of a list; no lines for a configuration without a list.
fn read_customers(lines: &[&str]) -> Option<Vec<Arc<SiteCustomer>>> {
    match lines {
        [] => None,
        [NO_CUSTOMERS] => Some(Vec::new()),
        _ => Some(lines.iter().map(|line| read_customer(line)).collect()),
    }
}

fn read_customer(line: &str) -> Arc<SiteCustomer> {
    let words: Vec<&str> = line.split(' ').collect();
    Arc::new(SiteCustomer {
        name: words[0].into(),
        allowed_regions: words[1]
            .split(',')
            .filter(|region| *region != "-")
            .map(RegionName::from)
            .collect(),
        priority: words[2].parse().ok(),
        digests: words[3..]
            .iter()
            .map(|key| digest_key(key.as_bytes()))
            .collect(),
        quota: None,
    })
}

/// Decodes a text whose first line is the version, and the others are the list of customers.
#[expect(
    clippy::unnecessary_wraps,
    reason = "required by the type of a decoder"
)]
fn decode_site(text: &[u8]) -> Result<SiteConfig, ResultCode> {
    let text = String::from_utf8_lossy(text);
    let mut lines = text.lines();
    let version = lines.next().and_then(|line| line.parse().ok());
    let service = ServiceName::from("card");
    let single = || {
        RouteTarget::Split(Arc::from([SplitPart {
            service: service.clone(),
            weight: 1,
        }]))
    };
    let gather = RouteTarget::Gather(GatherPlan {
        shards: Arc::from([service.clone()]),
        top_records: 2,
        min_coverage: 1.0,
    });
    Ok(SiteConfig {
        version: version.expect("a version"),
        routes: vec![
            route("card", &[], single()),
            route("public", &[], single()),
            route("south", &["south"], single()),
            route("sweep", &[], gather),
        ],
        services: vec![SiteService {
            name: service.clone(),
            connections_max: 4,
            cold_per_second: None,
        }],
        limits: CallerLimits::default(),
        customers: read_customers(&lines.collect::<Vec<_>>()),
    })
}

/// Headers of the requests that the replica received.
pub type SeenHeads = Arc<Mutex<Vec<HeaderMap>>>;

/// Starts a replica that takes `delay` for each answer.
pub async fn bind_replica(number: u8, seen: &SeenHeads, delay: Duration) -> HttpPort {
    bind_replica_with(number, seen, delay, StatusCode::OK).await
}

/// Starts a replica that takes `delay` for each answer, whose status is `status`.
pub async fn bind_replica_with(
    number: u8,
    seen: &SeenHeads,
    delay: Duration,
    status: StatusCode,
) -> HttpPort {
    let seen = Arc::clone(seen);
    let answer = move |request: Request<Incoming>| {
        seen.lock().push(request.headers().clone());
        let id = request.headers().get("x-id").cloned();
        async move {
            tokio::time::sleep(delay).await;
            let mut answer = reply_text("application/octet-stream", "a".repeat(16));
            *answer.status_mut() = status;
            let headers = answer.headers_mut();
            headers.insert("x-seal", HeaderValue::from_static("seal-1"));
            headers.insert("x-id", id.expect("an identifier"));
            answer
        }
    };
    let address = SocketAddr::new(host(number), REPLICA_PORT);
    let port = HttpPort::bind(address, answer).await;
    port.expect("bind the port")
}

fn presence(number: u8, centre: &str) -> EntryPresence {
    EntryPresence {
        vm: format!("entry-{number}").into(),
        incarnation: 1,
        address: SocketAddr::new(host(number), CALLER_PORT),
        data_centre: centre.into(),
        phase: EntryPhase::Serving,
        feature_level: daisyhinge::vocabulary::feature::FeatureLevel::SUPPORTED,
        stamp: 1,
        holder: 1,
    }
}

/// Returns a reply of control with a configuration. The replica with this number is in `centre`.
pub fn reply(replica: u8, centre: &str, version: u64, customers: &str) -> SyncReply {
    let address = SocketAddr::new(host(replica), REPLICA_PORT);
    let entries = vec![presence(1, "a"), presence(2, "b")];
    let text = format!("{version}\n{customers}");
    let site = SiteState {
        revision: version,
        document: Some(SiteDocument::pack(version, text.as_bytes())),
        ..SiteState::default()
    };
    SyncReply {
        site: Some(Arc::new(site)),
        ..sync_reply_with(address, "card", centre, entries)
    }
}

/// Adds another replica to a reply.
pub fn with_second_replica(mut reply: SyncReply, number: u8) -> SyncReply {
    let mut second = reply.replicas[0].clone();
    second.name = "replica-2".into();
    second.address = SocketAddr::new(host(number), REPLICA_PORT);
    reply.replicas.push(second);
    reply
}

/// Opens an entry without a configuration.
pub fn open_entry(
    number: u8,
    centre: &str,
    revocation_delay: Option<Duration>,
) -> Arc<ForwardState> {
    let regions = [("a", "north"), ("b", "south")];
    ForwardState::open(ForwardSettings {
        location: FleetLocation {
            vm: format!("entry-{number}").into(),
            data_centre: centre.into(),
            regions: regions
                .map(|(centre, region)| (centre.into(), region.into()))
                .into(),
        },
        budget: BUDGET,
        names: header_names(),
        decode: decode_site,
        policy: LapsePolicy::default(),
        revocation_delay,
        rollouts: false,
        quota_slack: 0.0,
        limits: derive_limits(160 << 20, 4_096),
    })
}

/// Accepts callers at the entry until the test ends.
pub async fn serve(number: u8, state: &Arc<ForwardState>) {
    let address = SocketAddr::new(host(number), CALLER_PORT);
    let stop = CancellationToken::new();
    let serving = serve_callers(Arc::clone(state), address, stop, Duration::from_secs(1));
    tokio::spawn(serving);
    while TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Applies a reply from control whose confirmation by a quorum is `age` old.
pub fn prove(state: &ForwardState, reply: SyncReply, age: Duration) {
    let quorum_age_ms = u64::try_from(age.as_millis()).ok();
    let proof = ReplyProof {
        fresh: true,
        waited: Duration::ZERO,
    };
    let reply = SyncReply {
        quorum_age_ms,
        ..reply
    };
    state.apply_proven(reply, proof);
}

/// A connection of a caller.
pub struct Caller(SendRequest<Full<Bytes>>);

impl Caller {
    pub async fn connect(number: u8) -> Self {
        let stream = TcpStream::connect(SocketAddr::new(host(number), CALLER_PORT)).await;
        let stream = TokioIo::new(stream.expect("the port accepts connections"));
        let (sender, connection) = hyper::client::conn::http1::handshake(stream)
            .await
            .expect("open a connection");
        tokio::spawn(connection);
        Self(sender)
    }

    pub async fn send(&mut self, path: &str, headers: &[(&str, &str)]) -> Response<Bytes> {
        let mut request = Request::get(path)
            .header("host", "labels.example")
            .header("x-id", "id-1");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::default()).expect("a request");
        let answer = self.0.send_request(request).await.expect("an answer");
        let (head, body) = answer.into_parts();
        let body = body.collect().await.expect("a complete answer").to_bytes();
        Response::from_parts(head, body)
    }
}

/// Sends a request on a new connection. Returns the status and the result code, 0 for success.
pub async fn call(number: u8, path: &str, headers: &[(&str, &str)]) -> (u16, u64) {
    let answer = Caller::connect(number).await.send(path, headers).await;
    let body: Option<serde_json::Value> = serde_json::from_slice(answer.body()).ok();
    let code = body.and_then(|body| body["code"].as_u64());
    (answer.status().as_u16(), code.unwrap_or(0))
}

/// Returns the header that carries a key.
pub fn with_key(value: &str) -> [(&str, &str); 1] {
    [("authorization", value)]
}
