//! Entries that send to a replica that cuts its answers.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::intake::process_limits::derive_limits;
use daisyhinge::lease::LapsePolicy;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::outgoing::OutgoingRequest;
use daisyhinge::shell::forward::state::{ForwardSettings, ForwardState};
use daisyhinge::vocabulary::feature::FeatureLevel;
use daisyhinge::vocabulary::registration::{EntryPhase, EntryPresence};
use daisyhinge::vocabulary::site::{
    CallerLimits, GatherPlan, RouteKind, RouteTarget, SiteConfig, SiteRoute, SiteService, SplitPart,
};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method};

use crate::known_replica::{BUDGET, header_names, sync_reply_with};

/// Identifier of all requests.
pub const ID: &str = "i";

fn route(name: &str, kind: RouteKind, target: RouteTarget) -> Arc<SiteRoute> {
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

fn gather(min_coverage: f64) -> RouteTarget {
    RouteTarget::Gather(GatherPlan {
        shards: Arc::from(["cut".into(), "whole".into()]),
        top_records: 2,
        min_coverage,
    })
}

fn single() -> RouteTarget {
    RouteTarget::Split(Arc::from([SplitPart {
        service: "cut".into(),
        weight: 1,
    }]))
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "required by the type of a decoder"
)]
fn decode_site(_: &[u8]) -> Result<SiteConfig, ResultCode> {
    let service = |name: &str| SiteService {
        name: name.into(),
        connections_max: 20,
        cold_per_second: None,
    };
    Ok(SiteConfig {
        version: 1,
        routes: vec![
            route("once", RouteKind::Unsafe, single()),
            route("safe", RouteKind::Safe, single()),
            route("both", RouteKind::Safe, gather(1.0)),
            route("half", RouteKind::Safe, gather(0.5)),
        ],
        services: vec![service("cut"), service("whole")],
        limits: CallerLimits::default(),
        customers: None,
    })
}

/// Opens an entry in data centre `centre` of two. The service `cut` has the replica `cut` in data
/// centre `b`, the service `whole` the replica `whole`.
pub fn open_entry(
    centre: &str,
    cut: SocketAddr,
    whole: SocketAddr,
    peer: Option<IpAddr>,
) -> Arc<ForwardState> {
    let regions = [("a", "north"), ("b", "south")];
    let state = ForwardState::open(ForwardSettings {
        location: FleetLocation {
            vm: format!("entry-{centre}").into(),
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
        rollouts: false,
    });
    let peer = peer.map(|ip| EntryPresence {
        vm: "entry-b".into(),
        incarnation: 1,
        address: SocketAddr::new(ip, 1),
        data_centre: "b".into(),
        phase: EntryPhase::Serving,
        stamp: 1,
        holder: 1,
        feature_level: FeatureLevel::BASE,
    });
    let mut reply = sync_reply_with(cut, "cut", "b", peer.into_iter().collect());
    let mut other = reply.replicas[0].clone();
    other.name = "replica-2".into();
    other.service = "whole".into();
    other.address = whole;
    reply.replicas.push(other);
    state.apply_reply(reply, true);
    state
}

/// Returns a request for a replica; for a part if `top_records` is set.
pub fn outgoing(
    entry: &ForwardState,
    kind: RouteKind,
    top_records: Option<usize>,
    path: &str,
) -> Arc<OutgoingRequest> {
    Arc::new(OutgoingRequest {
        number: 1,
        method: Method::GET,
        target: path.parse().expect("a path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        id: Some(HeaderValue::from_static(ID)),
        kind,
        top_records,
        deadline: entry.clock.now() + Duration::from_secs(2),
        access: None,
    })
}
