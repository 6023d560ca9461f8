//! Costs that grow with the size of the system, each measured at several sizes, with a straight
//! line fitted to the points. `docs/CAPACITY.md` derives the cost at the target size from the fits.
//!
//! Prints one line per point and one per fit. This is not a criterion benchmark, because the
//! growth with size matters rather than the spread of each measurement.

#[path = "slopes/crash_reports.rs"]
mod crash_reports;

use std::hint::black_box;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyhinge::keeper::keeper_set::{KeeperSet, KeeperSetEvent};
use daisyhinge::keeper::view_history::EntryIdentity;
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::rendezvous::find_keeper;
use daisyhinge::search::route::RouteTable;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaSnapshot, ServerState};
use daisyhinge::vocabulary::environment::EnvironmentDocument;
use daisyhinge::vocabulary::replica::{
    KeeperLoad, ReplicaAvailability, ReplicaRecord, TableDelta, TableRequest,
};
use daisyhinge::vocabulary::view::{ControlView, EntryRecord, EntryState};
use serde::Serialize;
use serde_json::json;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

const ENVIRONMENT: &str = "production";
const CENTRES: usize = 17;
const SHARDS: u32 = 200;
const ROUNDS: u32 = 20;
const LEASE: Duration = Duration::from_secs(3);

/// Cost measured at one size.
#[derive(Clone, Copy, Debug)]
struct SlopePoint {
    size: f64,
    cost: f64,
}

fn main() {
    show_views();
    show_routes();
    show_keeper_sets();
    crash_reports::show_crash_reports();
}

fn show_views() {
    let entries = [219, 875, 3_500];
    show("view bytes by entries", &entries, |size| {
        encoded_len(&*make_view(size))
    });
    show("view adoption at a root, us by entries", &entries, |size| {
        let mut routes = filled_routes(5_000, &make_view(16));
        let view = make_view(size);
        time_us(|| routes.adopt_view(Arc::clone(&view), ENVIRONMENT.into(), centre(0)))
    });
    show("choice of a keeper, us by entries", &entries, |size| {
        let view = make_view(size);
        let (environment, replica) = (ENVIRONMENT.into(), ReplicaName::from("r-1"));
        time_us(|| {
            black_box(find_keeper(&view, &environment, &centre(3), &replica));
        })
    });
    show(
        "view adoption at a keeper of 29 replicas, us by entries",
        &entries,
        |size| {
            let mut keeper_set = filled_keeper_set(29, &make_view(16));
            let view = make_view(size);
            let mut version = 10;
            time_us(|| {
                version += 1;
                let view = ControlView {
                    version: VersionNumber(version),
                    ..ControlView::clone(&view)
                };
                keeper_set.step(
                    MonotonicTime(9_000_000),
                    KeeperSetEvent::View(Arc::new(view)),
                    &mut Vec::new(),
                );
            })
        },
    );
}

fn show_routes() {
    let replicas = [6_250, 25_000, 100_000];
    show(
        "route table bytes by replicas (resident)",
        &replicas,
        |size| {
            let before = resident_bytes();
            let routes = filled_routes(size, &make_view(64));
            let after = resident_bytes();
            // Leaked, so that the measurement of the next size can't reuse this memory.
            std::mem::forget(routes);
            after.saturating_sub(before) as f64
        },
    );
    show("table delta bytes by replicas", &replicas, |size| {
        let records = (0..size).map(make_record).collect();
        encoded_len(&make_delta(1, 1, records))
    });
    show(
        "table delta of one replica, us by replicas known",
        &replicas,
        |size| {
            let mut routes = filled_routes(size, &make_view(64));
            let mut cursor = 1;
            time_us(|| {
                cursor += 1;
                let mut record = make_record(7);
                record.incarnation.0 = cursor;
                routes.apply_delta(&vm(7), make_delta(cursor, cursor, vec![record]));
            })
        },
    );
}

fn show_keeper_sets() {
    let replica_counts = [8, 29, 116];
    show(
        "announcement at its keeper, us by replicas kept",
        &replica_counts,
        |size| {
            let mut keeper_set = filled_keeper_set(size, &make_view(16));
            let mut sequence = 100;
            time_us(|| {
                sequence += 1;
                let next = ReplicaAnnouncement {
                    sequence,
                    ..make_announcement(0)
                };
                keeper_set.step(now(), KeeperSetEvent::Announced(next), &mut Vec::new());
            })
        },
    );
    show(
        "tick of a roster, us by replicas kept",
        &replica_counts,
        |size| {
            let mut keeper_set = filled_keeper_set(size, &make_view(16));
            time_us(|| keeper_set.step(now(), KeeperSetEvent::Tick, &mut Vec::new()))
        },
    );
    show(
        "empty table poll, us by replicas kept",
        &replica_counts,
        |size| {
            let keeper_set = filled_keeper_set(size, &make_view(16));
            let cursor = keeper_set
                .delta(
                    now(),
                    TableRequest {
                        table: 0,
                        cursor: 0,
                    },
                )
                .cursor;
            time_us(|| {
                black_box(keeper_set.delta(now(), TableRequest { table: 5, cursor }));
            })
        },
    );
}

fn show(name: &str, sizes: &[usize], measure: impl Fn(usize) -> f64) {
    let points: Vec<SlopePoint> = sizes
        .iter()
        .map(|size| SlopePoint {
            size: *size as f64,
            cost: measure(*size),
        })
        .collect();
    for point in &points {
        println!(
            "point name={name:?} size={} cost={:.2}",
            point.size, point.cost
        );
    }
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
    let size_variance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let covariance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.cost - mean_cost))
        .sum();
    let slope = covariance / size_variance;
    println!(
        "fit name={name:?} slope={slope:.4} base={:.2}",
        mean_cost - slope * mean_size
    );
}

/// Returns the duration of a call in microseconds, the minimum of several rounds.
fn time_us(mut call: impl FnMut()) -> f64 {
    let mut minimum = f64::MAX;
    for _ in 0..ROUNDS {
        let started = Instant::now();
        call();
        minimum = minimum.min(started.elapsed().as_secs_f64() * 1e6);
    }
    minimum
}

fn encoded_len<T: Serialize + Unpin>(value: &T) -> f64 {
    let mut codec = Bincode::<(), T>::default();
    Pin::new(&mut codec)
        .serialize(value)
        .map_or(0.0, |bytes| bytes.len() as f64)
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn now() -> MonotonicTime {
    MonotonicTime(8_000_000)
}

fn vm(index: usize) -> VmName {
    VmName::from(format!("entry-{index:04}"))
}

fn centre(index: usize) -> CentreName {
    CentreName::from(format!("centre-{}", index % CENTRES))
}

fn make_document() -> EnvironmentDocument {
    let region = |index: usize| {
        let centres: Vec<_> = (0..CENTRES)
            .filter(|centre_index| centre_index % 7 == index)
            .map(|centre_index| json!({"name": centre(centre_index)}))
            .collect();
        json!({"name": format!("region-{index}"), "data_centres": centres})
    };
    let regions: Vec<_> = (0..7).map(region).collect();
    let services: Vec<_> = (0..40)
        .map(|index| json!({"name": format!("service-{index}"), "repeatable": true}))
        .collect();
    let document = json!({"regions": regions, "services": services});
    serde_json::from_value(document).unwrap_or_default()
}

fn make_view(entries: usize) -> Arc<ControlView> {
    let make_entry = |index: usize| EntryRecord {
        vm: vm(index),
        environment: ENVIRONMENT.into(),
        data_centre: centre(index),
        incarnation: IncarnationNumber(1),
        caller_address: ([10, 0, 0, 1], 8_000).into(),
        peer_address: ([10, 0, 0, 1], 8_001).into(),
        state: EntryState::Live,
    };
    let mut view = ControlView {
        version: VersionNumber(2),
        ..ControlView::default()
    };
    view.environments
        .insert(ENVIRONMENT.into(), Arc::new(make_document()));
    view.entries = (0..entries).map(make_entry).collect();
    Arc::new(view)
}

fn make_snapshots(index: usize) -> Arc<[ReplicaSnapshot]> {
    let shard = ShardNumber(u32::try_from(index).unwrap_or(0) % SHARDS);
    let make_snapshot = |snapshot| ReplicaSnapshot {
        snapshot: SnapshotNumber(snapshot),
        generation: 1,
        shard,
        shards: SHARDS,
        weight: 100,
        whole_weight: u64::from(SHARDS) * 100,
    };
    Arc::from([make_snapshot(2), make_snapshot(1)])
}

fn make_record(index: usize) -> ReplicaRecord {
    ReplicaRecord {
        replica: ReplicaName::from(format!("replica-{index}")),
        service: ServiceName::from(format!("service-{}", index / (3 * SHARDS as usize))),
        data_centre: centre(index),
        incarnation: IncarnationNumber(1),
        state: ReplicaAvailability::Warm,
        slots: 2,
        snapshots: make_snapshots(index),
        load: KeeperLoad::default(),
    }
}

fn make_delta(table: u64, cursor: u64, records: Vec<ReplicaRecord>) -> TableDelta {
    TableDelta {
        table: table.min(1),
        cursor,
        whole: false,
        records,
        gone: Vec::new(),
        crashes: Vec::new(),
    }
}

fn filled_routes(replicas: usize, view: &Arc<ControlView>) -> RouteTable {
    let mut routes = RouteTable::seeded(1);
    routes.advance(now());
    routes.adopt_view(Arc::clone(view), ENVIRONMENT.into(), centre(0));
    for keeper in 0..64 {
        let records = (0..replicas)
            .filter(|index| index % 64 == keeper)
            .map(make_record);
        routes.apply_delta(&vm(keeper), make_delta(1, 1, records.collect()));
    }
    routes
}

fn make_announcement(index: usize) -> ReplicaAnnouncement {
    ReplicaAnnouncement {
        replica: ReplicaName::from(format!("replica-{index}")),
        service: "service-0".into(),
        data_centre: centre(0),
        address: ([10, 0, 0, 2], 9_000).into(),
        slots: 2,
        connections: 25,
        state: ServerState::Ready,
        incarnation: IncarnationNumber(1),
        sequence: 1,
        cold_allowance: 0,
        snapshots: make_snapshots(index),
    }
}

/// Returns a keeper set that keeps all replicas, because its entry is the only one of its data
/// centre.
fn filled_keeper_set(replicas: usize, view: &Arc<ControlView>) -> KeeperSet {
    let identity = EntryIdentity {
        vm: vm(0),
        incarnation: IncarnationNumber(1),
        environment: ENVIRONMENT.into(),
    };
    let mut keeper_set = KeeperSet::new(identity, 5, 4_096);
    let mut actions = Vec::new();
    keeper_set.step(
        MonotonicTime(1),
        KeeperSetEvent::View(Arc::clone(view)),
        &mut actions,
    );
    let mut lease = FreshnessLease::default();
    lease.renew(view.version, now(), Duration::ZERO);
    keeper_set.step(now(), KeeperSetEvent::Lease(lease), &mut actions);
    for index in 0..replicas {
        keeper_set.step(
            now(),
            KeeperSetEvent::Announced(make_announcement(index)),
            &mut actions,
        );
    }
    assert_eq!(keeper_set.len(), replicas, "an announcement was refused");
    assert!(lease.expires_at() > now() + LEASE);
    keeper_set
}
