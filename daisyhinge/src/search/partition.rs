//! Partitions of snapshots into shards. A shard stays known after its last replica has left.

use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::search::plan::{PartitionKey, PinnedShard, PinnedSnapshot};
use crate::vocabulary::announcement::ReplicaSnapshot;
use crate::vocabulary::environment::PPM_SCALE;

/// Maximum shards of a partition; announcements with more are ignored.
pub const SHARDS_MAX: u32 = 65_536;

/// Maximum partitions without a usable replica that are retained for a service.
pub const UNUSED_PARTITIONS_MAX: usize = 16;

/// Retention of a partition without usable replicas after its last announcement.
pub const PARTITION_RETENTION: Duration = Duration::from_mins(10);

/// Whether an announced shard is within the bounds of its own partition.
pub fn is_plausible(announced: &ReplicaSnapshot) -> bool {
    announced.shards <= SHARDS_MAX
        && announced.shard.0 < announced.shards
        && announced.weight <= announced.whole_weight
}

/// A partition with the weights and the usable replicas of its shards.
#[derive(Clone, Debug)]
pub struct PartitionTable {
    key: PartitionKey,
    shards: Arc<[PinnedShard]>,
    starts: Vec<u32>,
    rows: Vec<u32>,
    last_seen: MonotonicTime,
    usable_weight: u64,
    is_consistent: bool,
}

/// A usable replica of a shard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShardReplica {
    /// Shard that the replica serves.
    pub shard: ShardNumber,
    /// Row of the replica in the route table.
    pub row: u32,
}

impl PartitionTable {
    /// Creates a partition whose shard weights are unknown. `known` says whether its shards may
    /// have been announced earlier, before the partition was evicted.
    pub fn new(key: PartitionKey, now: MonotonicTime, known: bool) -> Self {
        let shards = (0..key.shards).map(|shard| PinnedShard {
            shard: ShardNumber(shard),
            weight: 0,
            known,
        });
        Self {
            key,
            shards: shards.collect(),
            starts: vec![0; key.shards as usize + 1],
            rows: Vec::new(),
            last_seen: now,
            usable_weight: 0,
            is_consistent: true,
        }
    }

    /// Key that identifies the partition.
    pub fn key(&self) -> PartitionKey {
        self.key
    }

    /// Whether the partition has no usable replica and its retention has ended.
    pub fn is_expired(&self, now: MonotonicTime) -> bool {
        self.rows.is_empty() && now.since(self.last_seen) >= PARTITION_RETENTION
    }

    /// Whether the partition has any usable replica.
    pub fn has_replicas(&self) -> bool {
        !self.rows.is_empty()
    }

    /// Records the announced weight of a shard. Returns `false` if the shard does not exist or is
    /// known with a different weight.
    pub fn record_weight(&mut self, now: MonotonicTime, shard: ShardNumber, weight: u64) -> bool {
        self.last_seen = now;
        let Some(pinned) = self.shards.get(shard.0 as usize) else {
            return false;
        };
        if pinned.known && pinned.weight != 0 {
            return pinned.weight == weight;
        }
        let pinned = &mut Arc::make_mut(&mut self.shards)[shard.0 as usize];
        pinned.weight = weight;
        pinned.known = true;
        true
    }

    /// Replaces the usable replicas; `replicas` must be sorted by shard.
    pub fn set_replicas(&mut self, replicas: &[ShardReplica]) {
        self.rows.clear();
        self.rows.extend(replicas.iter().map(|replica| replica.row));
        self.starts.clear();
        let mut next = 0;
        for shard in 0..self.key.shards {
            self.starts.push(next);
            let found = replicas[next as usize..]
                .iter()
                .take_while(|replica| replica.shard.0 == shard)
                .count();
            next += u32::try_from(found).unwrap_or(u32::MAX);
        }
        self.starts.push(next);
        let usable = |shard: &&PinnedShard| !self.replicas(shard.shard).is_empty();
        self.usable_weight = self
            .shards
            .iter()
            .filter(usable)
            .map(|pinned| pinned.weight)
            .sum();
        let known = self.shards.iter().map(|pinned| u128::from(pinned.weight));
        self.is_consistent = known.sum::<u128>() <= u128::from(self.key.whole_weight);
    }

    /// Rows of the usable replicas of a shard.
    pub fn replicas(&self, shard: ShardNumber) -> &[u32] {
        let index = shard.0 as usize;
        match (self.starts.get(index), self.starts.get(index + 1)) {
            (Some(start), Some(end)) => &self.rows[*start as usize..*end as usize],
            _ => &[],
        }
    }

    /// Usable share of the partition's total weight in parts per million; 0 if the shard weights
    /// add up to more than that weight.
    pub fn usable_ppm(&self) -> u32 {
        if !self.is_consistent || self.key.whole_weight == 0 {
            return 0;
        }
        let share = u128::from(self.usable_weight) * u128::from(PPM_SCALE)
            / u128::from(self.key.whole_weight);
        u32::try_from(share).unwrap_or(PPM_SCALE)
    }

    /// Snapshot that a request is pinned to when it uses this partition.
    pub fn pin(&self) -> PinnedSnapshot {
        PinnedSnapshot {
            snapshot: self.key.snapshot,
            whole_weight: self.key.whole_weight,
            key: self.key,
            shards: Arc::clone(&self.shards),
        }
    }
}

/// Chooses the partition for a request: the newest with a usable share of at least `minimum_ppm`
/// and at most `loss_ppm` below the best share, else the one with the best share.
pub fn choose_partition(
    partitions: &[PartitionTable],
    minimum_ppm: u32,
    loss_ppm: u32,
) -> Option<&PartitionTable> {
    let best = partitions
        .iter()
        .filter(|partition| partition.usable_ppm() > 0)
        .max_by_key(|partition| (partition.usable_ppm(), partition.key))?;
    let needed = minimum_ppm.max(best.usable_ppm().saturating_sub(loss_ppm));
    let newest = partitions
        .iter()
        .rev()
        .find(|partition| partition.usable_ppm() >= needed.max(1));
    newest.or(Some(best))
}
