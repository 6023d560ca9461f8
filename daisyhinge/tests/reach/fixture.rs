//! Entries of which one looks for the replicas where nothing listens, scripted replicas and a caller.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::known_replica::{BUDGET, header_names, sync_reply_with};
use crate::reserved_network::reserved_host;
use bytes::Bytes;
use daisyhinge::dispatch::fleet::{FleetLocation, ReplicaIndex};
use daisyhinge::intake::process_limits::derive_limits;
use daisyhinge::lease::LapsePolicy;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::attempt::{AttemptReport, run_attempt};
use daisyhinge::shell::forward::gate::WritePermit;
use daisyhinge::shell::forward::outgoing::OutgoingRequest;
use daisyhinge::shell::forward::state::{ForwardSettings, ForwardState};
use daisyhinge::shell::http_port::reply::reply_text;
use daisyhinge::vocabulary::feature::FeatureLevel;
use daisyhinge::vocabulary::registration::{EntryPhase, EntryPresence, ReplicaRecord, SyncReply};
use daisyhinge::vocabulary::site::{
    CallerLimits, GatherPlan, RouteKind, RouteTarget, SiteConfig, SiteRoute, SiteService, SplitPart,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

pub const CALLER_PORT: u16 = 27_862;
pub const RELAY_PORT: u16 = 27_863;
pub const REPLICA_PORT: u16 = 27_864;
pub const REPLICAS: u8 = 10;

pub fn host(number: u8) -> IpAddr {
    reserved_host(66, 0, number)
}

pub fn card_route(name: &str, kind: RouteKind, target: RouteTarget) -> Arc<SiteRoute> {
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
        is_public: false,
        target,
    })
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "required by the type of a decoder"
)]
pub fn decode_site(_: &[u8]) -> Result<SiteConfig, ResultCode> {
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
        customers: None,
    })
}

/// Entry 21 is in another region than the replicas and the other entries.
pub fn centre_of(number: u8) -> CentreName {
    let centre = if number == 21 { "b" } else { "a" };
    centre.into()
}

pub fn presence(number: u8) -> EntryPresence {
    EntryPresence {
        vm: format!("entry-{number}").into(),
        incarnation: 1,
        address: SocketAddr::new(host(number), CALLER_PORT),
        data_centre: centre_of(number),
        phase: EntryPhase::Serving,
        stamp: 1,
        holder: 1,
        feature_level: FeatureLevel::BASE,
    }
}

/// Opens an entry that knows itself and one other, and all replicas at `replicas`.
pub fn open_entry(number: u8, replicas: IpAddr) -> Arc<ForwardState> {
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
        revocation_delay: None,
        quota_slack: 0.0,
        limits: derive_limits(160 << 20, 4_096),
        rollouts: false,
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

pub async fn call(method: Method, path: &str, body: &'static [u8]) -> Response<Bytes> {
    call_at(SocketAddr::new(host(1), CALLER_PORT), method, path, body).await
}

pub async fn call_at(
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

/// Sends one attempt of a request for a card to a replica.
pub async fn send_card(entry: &Arc<ForwardState>, replica: u32) -> AttemptReport {
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
        access: None,
    };
    let (entry, permit) = (Arc::clone(entry), Arc::<WritePermit>::default());
    run_attempt(entry, Arc::new(request), 1, ReplicaIndex(replica), permit).await
}

/// Answers requests on one connection for as long as it is open.
pub async fn serve_connection(stream: TcpStream) {
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
