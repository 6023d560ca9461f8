//! Announcements that are invalid or contradict each other.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use std::sync::Arc;

use daisyhinge::keeper::check::check_announcement;
use daisyhinge::keeper::partition::PartitionRegistry;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaSnapshot};
use proptest::prelude::*;
use support::*;

type Change = fn(&mut ReplicaAnnouncement);

fn change_snapshot(
    announcement: &mut ReplicaAnnouncement,
    change: impl FnOnce(&mut ReplicaSnapshot),
) {
    let mut snapshots = announcement.snapshots.to_vec();
    change(&mut snapshots[0]);
    announcement.snapshots = snapshots.into();
}

#[test]
fn each_invalid_announcement_has_its_result_code() {
    let range = ResultCode::AnnouncementRange;
    let partition = ResultCode::BadPartition;
    let contradicts = ResultCode::AnnouncementContradicts;
    let cases: [(Change, ResultCode); 19] = [
        (|_| {}, ResultCode::Ok),
        (|next| next.snapshots = Arc::from([]), ResultCode::Ok),
        (|next| next.replica = "".into(), ResultCode::BadName),
        (|next| next.service = "a b".into(), ResultCode::BadName),
        (|next| next.slots = 0, range),
        (|next| next.slots = u32::MAX, range),
        (|next| next.connections = 0, range),
        (|next| next.address.set_port(0), range),
        (|next| next.address = ([0, 0, 0, 0], 80).into(), range),
        (
            |next| next.snapshots = (0..100).rev().map(|at| replica_snapshot(at, 0)).collect(),
            range,
        ),
        (
            |next| change_snapshot(next, |snapshot| snapshot.shard = ShardNumber(4)),
            partition,
        ),
        (
            |next| change_snapshot(next, |snapshot| snapshot.shards = 0),
            partition,
        ),
        (
            |next| change_snapshot(next, |snapshot| snapshot.shards = u32::MAX),
            partition,
        ),
        (
            |next| change_snapshot(next, |snapshot| snapshot.weight = 41),
            partition,
        ),
        (
            |next| change_snapshot(next, |snapshot| snapshot.whole_weight = 0),
            partition,
        ),
        (
            |next| change_snapshot(next, |snapshot| snapshot.shards = 1),
            partition,
        ),
        (|next| next.cold_allowance = 3, contradicts),
        (
            |next| next.snapshots = Arc::from([replica_snapshot(7, 0), replica_snapshot(7, 1)]),
            contradicts,
        ),
        (
            |next| next.snapshots = Arc::from([replica_snapshot(7, 0), replica_snapshot(8, 0)]),
            contradicts,
        ),
    ];
    for (index, (change, code)) in cases.into_iter().enumerate() {
        let mut next = announce("r1", 1);
        change(&mut next);
        assert_eq!(check_announcement(&next), code, "case {index}");
    }
    let mut next = announce("r1", 1);
    next.snapshots = Arc::from([
        replica_snapshot(8, 0),
        ReplicaSnapshot {
            shards: 5,
            ..replica_snapshot(7, 0)
        },
    ]);
    assert_eq!(check_announcement(&next), contradicts);
}

#[test]
fn a_conflicting_partition_is_rejected_while_another_replica_holds_it() {
    let mut registry = PartitionRegistry::default();
    let first = announce("r1", 1);
    registry.add(&first);
    let mut second = announce("r2", 1);
    change_snapshot(&mut second, |snapshot| snapshot.whole_weight = 41);
    assert!(!registry.agrees(None, &second));
    change_snapshot(&mut second, |snapshot| snapshot.generation = 2);
    assert!(registry.agrees(None, &second));
    // The only replica that holds a snapshot may change its partition; one of two may not.
    let mut next = announce("r1", 2);
    change_snapshot(&mut next, |snapshot| snapshot.whole_weight = 50);
    assert!(registry.agrees(Some(&first), &next));
    registry.add(&announce("r3", 1));
    assert!(!registry.agrees(Some(&first), &next));
    registry.remove(&first);
    registry.remove(&first);
    assert!(registry.is_empty());
    assert!(registry.agrees(None, &next));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn accepted_announcements_are_consistent(
        slots in 0_u32..4,
        connections in 0_u32..4,
        allowance in 0_u32..4,
        snapshot_fields in prop::collection::vec((0_u64..4, 0_u64..2, 0_u32..4, 0_u32..4, 0_u64..4, 0_u64..4), 0..3),
    ) {
        let snapshots: Vec<_> = snapshot_fields.into_iter().map(|fields| ReplicaSnapshot {
            snapshot: SnapshotNumber(fields.0),
            generation: fields.1,
            shard: ShardNumber(fields.2),
            shards: fields.3,
            weight: fields.4,
            whole_weight: fields.5,
        }).collect();
        let next = ReplicaAnnouncement {
            slots, connections, cold_allowance: allowance, snapshots: snapshots.clone().into(),
            ..announce("r1", 1)
        };
        let consistent = slots > 0 && connections > 0 && allowance <= slots
            && snapshots.iter().all(|snapshot| {
                snapshot.shard.0 < snapshot.shards && snapshot.weight <= snapshot.whole_weight
                    && snapshot.whole_weight > 0
                    && (snapshot.shards > 1 || snapshot.weight == snapshot.whole_weight)
            })
            && (1..snapshots.len()).all(|at| snapshots[at].snapshot < snapshots[at - 1].snapshot)
            && snapshots.iter().all(|first| snapshots.iter().all(|other| {
                first.generation != other.generation || first.shards == other.shards
            }));
        prop_assert_eq!(check_announcement(&next) == ResultCode::Ok, consistent);
    }
}
