//! How a snapshot is cut into shards, remembered also when replicas of a shard are gone.

use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::search::plan::{PartitionKey, PinnedShard, PinnedSnapshot};
use crate::vocabulary::announcement::HeldSnapshot;
use crate::vocabulary::environment::WHOLE_PPM;

/// Shards of a partition at most; an announcement of more is not believed.
pub const SHARDS_MAX: u32 = 65_536;

/// Partitions of a service that no usable replica holds, remembered at most.
pub const UNHELD_MAX: usize = 16;

/// How long a partition is remembered after the last replica that held it was heard of.
pub const PARTITION_KEEP: Duration = Duration::from_mins(10);

/// Whether a replica's place in a partition is possible at all.
pub fn is_possible(held: &HeldSnapshot) -> bool {
    held.shards <= SHARDS_MAX && held.shard.0 < held.shards && held.weight <= held.whole_weight
}

/// One partition: weights of its shards, and the usable replicas of each.
#[derive(Clone, Debug)]
pub struct PartitionTable {
    key: PartitionKey,
    shards: Arc<[PinnedShard]>,
    starts: Vec<u32>,
    rows: Vec<u32>,
    heard: MonotonicTime,
    usable_weight: u64,
    is_consistent: bool,
}

/// A usable replica of a shard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ShardReplica {
    /// The shard.
    pub shard: ShardNumber,
    /// Row of the replica.
    pub row: u32,
}

impl PartitionTable {
    /// A partition of which no shard's weight is known yet. `known` says whether its shards may
    /// have announced themselves before, in a time that is forgotten.
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
            heard: now,
            usable_weight: 0,
            is_consistent: true,
        }
    }

    /// What tells it from others.
    pub fn key(&self) -> PartitionKey {
        self.key
    }

    /// Whether it has been out of use for so long that it can be forgotten.
    pub fn is_forgotten(&self, now: MonotonicTime) -> bool {
        self.rows.is_empty() && now.since(self.heard) >= PARTITION_KEEP
    }

    /// Whether any usable replica holds it.
    pub fn is_held(&self) -> bool {
        !self.rows.is_empty()
    }

    /// Learns the weight of a shard. `false` if the shard is known with another weight.
    pub fn learn(&mut self, now: MonotonicTime, shard: ShardNumber, weight: u64) -> bool {
        self.heard = now;
        let Some(row) = self.shards.get(shard.0 as usize) else {
            return false;
        };
        if row.known && row.weight != 0 {
            return row.weight == weight;
        }
        let row = &mut Arc::make_mut(&mut self.shards)[shard.0 as usize];
        row.weight = weight;
        row.known = true;
        true
    }

    /// Takes the usable replicas, in order of shard.
    pub fn fill(&mut self, replicas: &[ShardReplica]) {
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
            .map(|row| row.weight)
            .sum();
        let known = self.shards.iter().map(|row| u128::from(row.weight));
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

    /// Usable share of the whole weight in parts per million; 0 if its weights cannot be true.
    pub fn usable_ppm(&self) -> u32 {
        if !self.is_consistent || self.key.whole_weight == 0 {
            return 0;
        }
        let share = u128::from(self.usable_weight) * u128::from(WHOLE_PPM)
            / u128::from(self.key.whole_weight);
        u32::try_from(share).unwrap_or(WHOLE_PPM)
    }

    /// The partition as a request keeps it.
    pub fn pin(&self) -> PinnedSnapshot {
        PinnedSnapshot {
            snapshot: self.key.snapshot,
            whole_weight: self.key.whole_weight,
            key: self.key,
            shards: Arc::clone(&self.shards),
        }
    }
}

/// Chooses the snapshot for a request: the newest that has enough usable weight and loses at most
/// `loss_ppm` against the best one held; if none has enough, the one with the most.
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
