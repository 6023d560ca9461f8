//! Fixtures for replicas, routes and dispatchers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::dispatch::Dispatcher;
use daisyhinge::dispatch::budget::BudgetLimits;
use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::dispatch::request::RequestPlan;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::registration::{ReplicaPhase, ReplicaRecord};
use daisyhinge::vocabulary::site::{
    CallerLimits, GatherPlan, RouteKind, RouteTarget, SiteConfig, SiteRoute, SiteService, SplitPart,
};

pub const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    slack: 52.0,
    window: Duration::from_secs(10),
};

pub fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000_000 + ms * 1_000)
}

pub fn location() -> FleetLocation {
    let regions = [("a", "north"), ("b", "south"), ("c", "east")];
    FleetLocation {
        vm: "entry-1".into(),
        data_centre: "a".into(),
        regions: regions
            .into_iter()
            .map(|(centre, region)| (centre.into(), region.into()))
            .collect::<HashMap<_, _>>(),
    }
}

pub fn record(name: &str, service: &str, centre: &str, port: u16) -> ReplicaRecord {
    ReplicaRecord {
        name: name.into(),
        service: service.into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        data_centre: centre.into(),
        version: "v1".into(),
        slots: 2,
        phase: ReplicaPhase::Ready,
        born_ms: Some(1),
        sequence: 1,
        cold_left_ms: 0,
        holder: 1,
    }
}

pub fn service(name: &str) -> SiteService {
    SiteService {
        name: name.into(),
        connections_max: 25,
        cold_per_second: None,
    }
}

pub fn route(name: &str, kind: RouteKind, target: RouteTarget) -> SiteRoute {
    SiteRoute {
        name: name.into(),
        host: "labels.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(120),
        attempts_max: 2,
        priority: 1,
        allowed_regions: Arc::from([]),
        is_public: false,
        target,
    }
}

pub fn single(service: &str) -> RouteTarget {
    RouteTarget::Split(Arc::from([SplitPart {
        service: service.into(),
        weight: 1,
    }]))
}

pub fn gather(shards: usize, min_coverage: f64) -> RouteTarget {
    RouteTarget::Gather(GatherPlan {
        shards: (0..shards).map(shard_name).collect(),
        top_records: 5,
        min_coverage,
    })
}

pub fn shard_name(shard: usize) -> ServiceName {
    format!("shard-{shard}").into()
}

pub fn config(services: &[ServiceName], routes: Vec<SiteRoute>) -> SiteConfig {
    SiteConfig {
        version: 1,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: services.iter().map(|name| service(name.as_str())).collect(),
        limits: CallerLimits::default(),
        customers: None,
    }
}

/// Creates a dispatcher with one replica of each shard in each of three data centres.
pub fn dispatcher(shards: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::open(location(), LIMITS);
    let names: Vec<ServiceName> = (0..shards).map(shard_name).collect();
    dispatcher.apply_config(&config(&names, Vec::new()));
    add_replicas(&mut dispatcher, &names);
    dispatcher
}

/// Creates the dispatcher of another entry, with one shard whose replicas accept `connections_max`
/// connections.
pub fn dispatcher_at(vm: &VmName, centre: &CentreName, connections_max: u32) -> Dispatcher {
    let at = FleetLocation {
        vm: vm.clone(),
        data_centre: centre.clone(),
        ..location()
    };
    let mut dispatcher = Dispatcher::open(at, LIMITS);
    let names = [shard_name(0)];
    let mut services = config(&names, Vec::new());
    services.services[0].connections_max = connections_max;
    dispatcher.apply_config(&services);
    add_replicas(&mut dispatcher, &names);
    dispatcher
}

fn add_replicas(dispatcher: &mut Dispatcher, names: &[ServiceName]) {
    let mut port = 1_000;
    for name in names {
        for centre in ["a", "b", "c"] {
            port += 1;
            let replica = format!("{name}-{centre}");
            let announced = record(&replica, name.as_str(), centre, port);
            dispatcher.fleet.update_replica(at(0), announced);
        }
    }
}

pub fn plan(route: SiteRoute, started: MonotonicTime) -> RequestPlan {
    let deadline = started + route.timeout;
    RequestPlan {
        allowed_regions: Arc::clone(&route.allowed_regions),
        priority: route.priority,
        customer: None,
        digest: RequestDigest(1),
        route: Arc::new(route),
        started,
        deadline,
        spent: Duration::ZERO,
        margin: Duration::from_millis(9),
    }
}
