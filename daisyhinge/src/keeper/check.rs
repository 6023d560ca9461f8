//! Validation of a single announcement.

use crate::prelude::*;
use crate::vocabulary::announcement::{ReplicaAnnouncement, ReplicaSnapshot};
use crate::vocabulary::name::check_name;

/// Maximum number of slots, and of connections, that one replica may announce.
pub const SLOTS_MAX: u32 = 65_536;

/// Maximum number of snapshots that one replica may announce.
pub const SNAPSHOTS_MAX: usize = 64;

/// Maximum number of shards in a partition.
pub const SHARDS_MAX: u32 = 1 << 20;

/// Returns [`ResultCode::Ok`] or the code of the first error in the announcement.
pub fn check_announcement(announcement: &ReplicaAnnouncement) -> ResultCode {
    let names = [
        announcement.replica.as_str(),
        announcement.service.as_str(),
        announcement.data_centre.as_str(),
    ];
    if !names.into_iter().all(check_name) {
        return ResultCode::BadName;
    }
    let snapshots = &announcement.snapshots;
    let counts = [announcement.slots, announcement.connections];
    let in_range = counts.iter().all(|count| (1..=SLOTS_MAX).contains(count))
        && snapshots.len() <= SNAPSHOTS_MAX
        && announcement.address.port() != 0
        && !announcement.address.ip().is_unspecified();
    if !in_range {
        return ResultCode::AnnouncementRange;
    }
    if !snapshots.iter().all(is_valid_snapshot) {
        return ResultCode::BadPartition;
    }
    if announcement.cold_allowance > announcement.slots || !are_consistent(snapshots) {
        return ResultCode::AnnouncementContradicts;
    }
    ResultCode::Ok
}

fn is_valid_snapshot(snapshot: &ReplicaSnapshot) -> bool {
    let single = snapshot.shards == 1;
    (1..=SHARDS_MAX).contains(&snapshot.shards)
        && snapshot.shard.0 < snapshot.shards
        && snapshot.whole_weight > 0
        && snapshot.weight <= snapshot.whole_weight
        && (!single || snapshot.weight == snapshot.whole_weight)
}

/// Returns whether the snapshots are sorted newest first without duplicates and agree on the number
/// of shards in each generation.
fn are_consistent(snapshots: &[ReplicaSnapshot]) -> bool {
    let ordered = snapshots
        .windows(2)
        .all(|pair| pair[0].snapshot > pair[1].snapshot);
    let same = |first: &ReplicaSnapshot, second: &ReplicaSnapshot| {
        first.generation != second.generation || first.shards == second.shards
    };
    let uniform = snapshots
        .iter()
        .enumerate()
        .all(|(index, snapshot)| snapshots[index..].iter().all(|other| same(snapshot, other)));
    ordered && uniform
}
