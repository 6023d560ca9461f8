//! Two entries in different regions that know one replica in the second region.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::intake::process_limits::derive_limits;
use daisyhinge::lease::LapsePolicy;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::state::{ForwardSettings, ForwardState};
use daisyhinge::shell::http_port::reply::{ReplyBody, reply_text};
use daisyhinge::vocabulary::feature::FeatureLevel;
use daisyhinge::vocabulary::registration::{EntryPhase, EntryPresence};
use daisyhinge::vocabulary::site::{
    CallerLimits, GatherPlan, RouteKind, RouteTarget, SiteConfig, SiteRoute, SiteService,
};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response};
use parking_lot::Mutex;

use crate::known_replica::{BUDGET, header_names, sync_reply_with};
use crate::reserved_network::reserved_host;

pub const RELAY_PORT: u16 = 27_841;
pub const CALLER_PORT: u16 = 27_842;
pub const REPLICA_PORT: u16 = 27_843;
pub const RECORDS: &str = "cccccccccccccccc\
                       aaaaaaaaaaaaaaaa\
                       bbbbbbbbbbbbbbbb";

pub fn host(number: u8) -> IpAddr {
    reserved_host(62, 0, number)
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "required by the type of a decoder"
)]
pub fn decode_site(_: &[u8]) -> Result<SiteConfig, ResultCode> {
    let shard = ServiceName::from("shard");
    let route = SiteRoute {
        name: "sweep".into(),
        host: "labels.example".into(),
        path_prefix: "/sweep/".into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(400),
        attempts_max: 2,
        priority: 1,
        allowed_regions: Arc::from([]),
        is_public: false,
        target: RouteTarget::Gather(GatherPlan {
            shards: Arc::from([shard.clone()]),
            top_records: 2,
            min_coverage: 1.0,
        }),
    };
    Ok(SiteConfig {
        version: 1,
        routes: vec![Arc::new(route)],
        services: vec![SiteService {
            name: shard,
            connections_max: 20,
            cold_per_second: None,
        }],
        limits: CallerLimits::default(),
        customers: None,
    })
}

pub fn presence(number: u8, centre: &str) -> EntryPresence {
    EntryPresence {
        vm: format!("entry-{number}").into(),
        incarnation: 1,
        address: SocketAddr::new(host(number), CALLER_PORT),
        data_centre: centre.into(),
        phase: EntryPhase::Serving,
        stamp: 1,
        holder: 1,
        feature_level: FeatureLevel::BASE,
    }
}

/// Opens an entry at `centre` that knows both entries and the replica in data centre `b`.
pub fn open_entry(number: u8, centre: &str) -> Arc<ForwardState> {
    open_entry_at(number, centre, SocketAddr::new(host(9), REPLICA_PORT))
}

pub fn open_entry_at(number: u8, centre: &str, replica: SocketAddr) -> Arc<ForwardState> {
    open_entry_with(number, centre, replica, false)
}

/// Opens an entry as [`open_entry_at`] does, in a deployment with or without rollouts.
pub fn open_entry_with(
    number: u8,
    centre: &str,
    replica: SocketAddr,
    rollouts: bool,
) -> Arc<ForwardState> {
    let regions = [("a", "north"), ("b", "south")];
    let state = ForwardState::open(ForwardSettings {
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
        revocation_delay: None,
        quota_slack: 0.0,
        limits: derive_limits(160 << 20, 4_096),
        rollouts,
    });
    let entries = vec![presence(1, "a"), presence(2, "b")];
    let reply = sync_reply_with(replica, "shard", "b", entries);
    state.apply_reply(reply, true);
    state
}

pub type SeenHeads = Arc<Mutex<Vec<(String, HeaderMap)>>>;

pub fn answer_replica(seen: &SeenHeads, request: &Request<Incoming>) -> Response<ReplyBody> {
    let path = request.uri().path().to_owned();
    seen.lock().push((path, request.headers().clone()));
    let mut answer = reply_text("application/octet-stream", RECORDS.to_owned());
    let headers = answer.headers_mut();
    headers.insert("x-seal", HeaderValue::from_static("seal-1"));
    let id = request.headers().get("x-id").cloned();
    headers.insert("x-id", id.expect("an identifier"));
    answer
}

pub async fn wait_until(description: &str, done: impl Fn() -> bool) {
    for _ in 0..200 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{description}");
}
