//! Pinning of snapshots and selection of replicas from published records, the retry budget and
//! admission control.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::admission::{AdmissionController, AdmissionLimits};
use daisyhinge::search::budget::ExtraBudget;
use daisyhinge::search::route::RouteTable;
use daisyhinge::search::{RequestSearch, SearchAction, SearchEvent};
use daisyhinge::vocabulary::announcement::ReplicaSnapshot;
use daisyhinge::vocabulary::environment::{
    CentreEntry, CentreState, EnvironmentDocument, RegionEntry,
};
use daisyhinge::vocabulary::replica::{KeeperLoad, ReplicaAvailability, ReplicaRecord, TableDelta};
use daisyhinge::vocabulary::view::{ControlView, EntryRecord, EntryState};

use crate::fleet::{CENTRES, SERVICE, plan};

/// Returns shard `shard` of a snapshot with `shards` shards of weight 10 each, as announced.
pub fn held_snapshot(snapshot: u64, shard: u32, shards: u32) -> ReplicaSnapshot {
    ReplicaSnapshot {
        snapshot: SnapshotNumber(snapshot),
        generation: 1,
        shard: ShardNumber(shard),
        shards,
        weight: 10,
        whole_weight: u64::from(shards) * 10,
    }
}

pub fn record(replica: &str, centre: usize, snapshots: &[ReplicaSnapshot]) -> ReplicaRecord {
    ReplicaRecord {
        replica: replica.into(),
        service: SERVICE.into(),
        data_centre: CENTRES[centre].into(),
        incarnation: IncarnationNumber(1),
        state: ReplicaAvailability::Warm,
        slots: 2,
        snapshots: Arc::from(snapshots),
        load: KeeperLoad {
            limit: 2,
            ..KeeperLoad::default()
        },
    }
}

pub fn delta(cursor: u64, whole: bool, records: Vec<ReplicaRecord>, gone: &[&str]) -> TableDelta {
    TableDelta {
        table: 1,
        cursor,
        whole,
        records,
        gone: gone.iter().map(|name| (*name).into()).collect(),
        crashes: Vec::new(),
    }
}

/// Creates a table with one keeper that published `records`.
fn routes_with(records: Vec<ReplicaRecord>) -> RouteTable {
    let mut routes = RouteTable::seeded(1);
    routes.apply_delta(&"k".into(), delta(1, true, records, &[]));
    routes
}

/// Starts a request and returns the replicas and keepers of its dispatches.
pub fn dispatched(routes: &mut RouteTable, shard: u32, repeatable: bool) -> Vec<(String, String)> {
    let mut plan = plan(1, MonotonicTime(5_000_000), Duration::from_secs(1));
    (plan.shard, plan.repeatable) = (Some(ShardNumber(shard)), repeatable);
    let mut actions = Vec::new();
    let mut search = RequestSearch::new(plan);
    search.step(
        MonotonicTime(5_000_000),
        SearchEvent::Start,
        routes,
        &mut actions,
    );
    let sent = actions.iter().filter_map(|action| match action {
        SearchAction::Dispatch(sub) => Some((sub.replica.to_string(), sub.keeper.to_string())),
        _ => None,
    });
    sent.collect()
}

fn make_view(evacuated: Option<usize>) -> Arc<ControlView> {
    let centre = |index: usize| CentreEntry {
        name: CENTRES[index].into(),
        state: if evacuated == Some(index) {
            CentreState::Out
        } else {
            CentreState::In
        },
        power_cap: None,
    };
    let regions = (0..3).map(|index| RegionEntry {
        name: format!("region-{index}").into(),
        data_centres: vec![centre(index)],
    });
    let document = EnvironmentDocument {
        regions: regions.collect(),
        ..EnvironmentDocument::default()
    };
    let entries = (0..3_u16).map(|index| EntryRecord {
        vm: format!("entry-{index}").into(),
        environment: "production".into(),
        data_centre: CENTRES[usize::from(index)].into(),
        incarnation: IncarnationNumber(1),
        caller_address: ([127, 0, 0, 1], 9_000 + index).into(),
        peer_address: ([127, 0, 0, 1], 9_100 + index).into(),
        state: EntryState::Live,
    });
    Arc::new(ControlView {
        version: VersionNumber(1),
        environments: BTreeMap::from([("production".into(), Arc::new(document))]),
        entries: entries.collect(),
        departed: Vec::new(),
    })
}

#[test]
fn the_newest_snapshot_with_enough_shards_is_pinned() {
    let both = [held_snapshot(2, 0, 2), held_snapshot(1, 0, 2)];
    let mut routes = routes_with(vec![
        record("a", 0, &both),
        record("b", 0, &[held_snapshot(1, 1, 2)]),
    ]);
    let pin = |routes: &RouteTable, minimum, loss| {
        let pinned = routes.pin_snapshot(&SERVICE.into(), minimum, loss);
        pinned.expect("a snapshot is usable").snapshot.0
    };
    assert_eq!(
        pin(&routes, 1_000_000, 0),
        1,
        "the newer snapshot lacks a shard"
    );
    assert_eq!(
        pin(&routes, 500_000, 0),
        1,
        "the newer snapshot would lose coverage"
    );
    assert_eq!(
        pin(&routes, 500_000, 600_000),
        2,
        "the loss of coverage is within the limit"
    );
    let both = [held_snapshot(2, 1, 2), held_snapshot(1, 1, 2)];
    routes.apply_delta(
        &"k".into(),
        delta(2, false, vec![record("b", 0, &both)], &[]),
    );
    assert_eq!(pin(&routes, 1_000_000, 0), 2);
}

#[test]
fn a_shard_without_replicas_keeps_its_weight() {
    let mut routes = routes_with(vec![
        record("a", 0, &[held_snapshot(1, 0, 2)]),
        record("b", 0, &[held_snapshot(1, 1, 2)]),
    ]);
    routes.apply_delta(&"k".into(), delta(2, false, Vec::new(), &["b"]));
    let pinned = routes
        .pin_snapshot(&SERVICE.into(), 0, 0)
        .expect("a snapshot is usable");
    assert_eq!((pinned.whole_weight, pinned.shards.len()), (20, 2));
    assert_eq!(pinned.shards[1].weight, 10, "the weight is retained");
    assert!(pinned.shards[1].known);
}

#[test]
fn contradictory_partitions_are_never_mixed() {
    let mut other = held_snapshot(1, 1, 2);
    other.generation = 2;
    let mut routes = routes_with(vec![
        record("a", 0, &[held_snapshot(1, 0, 2)]),
        record("b", 0, &[other]),
    ]);
    let pinned = routes
        .pin_snapshot(&SERVICE.into(), 0, 0)
        .expect("a snapshot is usable");
    let known = pinned.shards.iter().filter(|pinned| pinned.known).count();
    assert_eq!(known, 1, "the pinned partition knows only one shard");
    // A different weight for a known shard is rejected.
    let mut heavier = held_snapshot(1, 0, 2);
    heavier.weight = 15;
    routes.apply_delta(
        &"k".into(),
        delta(2, false, vec![record("c", 0, &[heavier])], &["a"]),
    );
    assert!(dispatched(&mut routes, 0, true).is_empty());
}

#[test]
fn the_keeper_named_by_the_view_wins_and_stale_replies_are_ignored() {
    let mut routes = RouteTable::seeded(1);
    let shard = [held_snapshot(1, 0, 1)];
    for keeper in ["entry-1", "entry-0", "entry-2"] {
        routes.apply_delta(
            &keeper.into(),
            delta(5, true, vec![record("a", 0, &shard)], &[]),
        );
    }
    routes.adopt_view(make_view(None), "production".into(), CENTRES[0].into());
    assert_eq!(
        dispatched(&mut routes, 0, true),
        [("a".into(), "entry-0".into())]
    );
    // A late reply of the keeper with an older cursor is ignored.
    routes.apply_delta(&"entry-0".into(), delta(4, false, Vec::new(), &["a"]));
    assert_eq!(dispatched(&mut routes, 0, true)[0].1, "entry-0");
    routes.drop_keeper(&"entry-0".into());
    assert_ne!(dispatched(&mut routes, 0, true)[0].1, "entry-0");
}

#[test]
fn the_nearest_data_centre_in_service_is_chosen() {
    let shard = [held_snapshot(1, 0, 1)];
    let records = (0..3)
        .map(|centre| record(&format!("r{centre}"), centre, &shard))
        .collect();
    let mut routes = routes_with(records);
    routes.adopt_view(make_view(None), "production".into(), CENTRES[1].into());
    assert_eq!(dispatched(&mut routes, 0, true)[0].0, "r1");
    routes.adopt_view(make_view(Some(1)), "production".into(), CENTRES[1].into());
    assert_ne!(
        dispatched(&mut routes, 0, true)[0].0,
        "r1",
        "its data centre is out of service"
    );
}

#[test]
fn a_cold_replica_is_chosen_only_without_an_available_warm_replica() {
    let shard = [held_snapshot(1, 0, 1)];
    let mut cold = record("cold", 0, &shard);
    (cold.state, cold.load.limit) = (ReplicaAvailability::Cold, 1);
    let mut warm = record("warm", 0, &shard);
    let mut routes = routes_with(vec![cold.clone(), warm.clone()]);
    assert_eq!(dispatched(&mut routes, 0, true)[0].0, "warm");
    warm.state = ReplicaAvailability::Closed;
    routes.apply_delta(&"k".into(), delta(2, false, vec![warm], &[]));
    assert_eq!(dispatched(&mut routes, 0, true)[0].0, "cold");
    cold.state = ReplicaAvailability::Closed;
    routes.apply_delta(&"k".into(), delta(3, false, vec![cold], &[]));
    assert!(dispatched(&mut routes, 0, true).is_empty());
}

#[test]
fn the_budget_bounds_extra_work_and_allows_a_single_request_to_retry() {
    let mut budget = ExtraBudget::default();
    let now = MonotonicTime(0);
    let granted = (0..100).filter(|_| budget.withdraw(now, 50_000)).count();
    assert_eq!(granted, 10, "the reserve");
    assert!(!budget.withdraw(now, 50_000));
    assert!(
        budget.withdraw(now + Duration::from_secs(1), 50_000),
        "one is refilled each second"
    );
    (0..40).for_each(|_| budget.deposit(50_000));
    let granted = (0..100).filter(|_| budget.withdraw(now, 50_000)).count();
    assert_eq!(granted, 2, "a twentieth of the primary sub-requests");
    assert!(
        !ExtraBudget::default().withdraw(now, 0),
        "a share of 0 forbids all extra work"
    );
}

#[test]
fn admission_refuses_requests_over_its_limits_or_expected_to_be_late() {
    let mut admission = AdmissionController::default();
    let (now, service) = (MonotonicTime(5_000_000), SERVICE.into());
    let bounds = AdmissionLimits {
        running_max: 4,
        total_max: 100,
    };
    let long_time_left = Duration::from_secs(1);
    for _ in 0..4 {
        assert_eq!(
            admission.admit(now, &service, bounds, long_time_left),
            Ok(())
        );
    }
    let refusal = admission
        .admit(now, &service, bounds, long_time_left)
        .expect_err("four requests are running");
    assert_eq!(refusal.code, ResultCode::Overloaded);
    assert!(refusal.retry_ms > 0);
    admission.leave(now, &service, Duration::from_millis(80));
    let short_time_left = Duration::from_millis(50);
    admission
        .admit(now, &service, bounds, short_time_left)
        .expect_err("the typical latency of 80 ms exceeds the 50 ms allowed");
    assert_eq!(
        admission.admit(now, &service, bounds, long_time_left),
        Ok(())
    );
    assert_eq!(admission.running(), 4);
}
