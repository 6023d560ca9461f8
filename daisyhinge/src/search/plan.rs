//! A caller's request with every default filled in, and the snapshot that it is pinned to.

use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::announcement::HeldSnapshot;
use crate::vocabulary::query::AnswerPreference;

/// Attempts that one request may number; requests of one entry are this far apart.
pub const SEQUENCE_STRIDE: u64 = 1 << 20;

/// What a request is run by.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SearchPlan {
    /// The caller's request.
    pub request: RequestId,
    /// Digest of service and body.
    pub digest: RequestDigest,
    /// Service asked.
    pub service: ServiceName,
    /// The one shard that is asked for; all if unset.
    pub shard: Option<ShardNumber>,
    /// When it came in.
    pub arrived: MonotonicTime,
    /// When an answer is of no use any more.
    pub deadline: MonotonicTime,
    /// Smallest coverage of use, in parts per million.
    pub minimum_ppm: u32,
    /// What to prefer.
    pub preference: AnswerPreference,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Hedges and retries allowed per million sub-requests.
    pub extra_work_ppm: u32,
    /// Random number that the entry drew when it started.
    pub origin: u64,
    /// Attempts are numbered upwards from here.
    pub sequence_base: u64,
}

/// Longest time before the deadline at which an answer is finished, so that it arrives in time.
pub const ANSWER_MARGIN_MAX: Duration = Duration::from_millis(10);

/// The margin is this part of the time allowed, at most [`ANSWER_MARGIN_MAX`].
const ANSWER_MARGIN_DIVISOR: u32 = 20;

impl SearchPlan {
    /// When the answer is finished at the latest.
    pub fn answer_by(&self) -> MonotonicTime {
        let margin = self.deadline.since(self.arrived) / ANSWER_MARGIN_DIVISOR;
        self.deadline.before(margin.min(ANSWER_MARGIN_MAX))
    }
}

/// One shard of a pinned snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PinnedShard {
    /// The shard.
    pub shard: ShardNumber,
    /// Its weight; 0 if it never announced.
    pub weight: u64,
    /// Whether a replica of it ever announced itself.
    pub known: bool,
}

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DispatchKind {
    Primary,
    /// In place of one that certainly did not run.
    Replaced,
    Hedge,
    Retry,
}

/// What tells one partition from another. Two that differ are never mixed, also under the same
/// snapshot number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartitionKey {
    /// The snapshot.
    pub snapshot: SnapshotNumber,
    /// Generation of the partition.
    pub generation: u64,
    /// Number of shards.
    pub shards: u32,
    /// Weight of all shards.
    pub whole_weight: u64,
}

impl PartitionKey {
    /// The partition that a replica says it holds a shard of.
    pub fn of(held: &HeldSnapshot) -> Self {
        Self {
            snapshot: held.snapshot,
            generation: held.generation,
            shards: held.shards,
            whole_weight: held.whole_weight,
        }
    }
}

/// The snapshot that a request is pinned to, with every shard of its partition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PinnedSnapshot {
    /// The snapshot.
    pub snapshot: SnapshotNumber,
    /// Weight of all shards, those that never announced included.
    pub whole_weight: u64,
    /// The partition that its shards belong to.
    pub key: PartitionKey,
    /// All shards, by number.
    pub shards: Arc<[PinnedShard]>,
}
