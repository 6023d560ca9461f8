//! Parameters of a request with all defaults filled in, and the snapshot that it is pinned to.

use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::announcement::ReplicaSnapshot;
use crate::vocabulary::query::AnswerPreference;

/// Range of attempt numbers reserved for each request of an entry.
pub const SEQUENCE_STRIDE: u64 = 1 << 20;

/// Parameters of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SearchPlan {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Digest of service and body.
    pub digest: RequestDigest,
    /// Service to search; selects the replicas, latency statistics and retry budget.
    pub service: ServiceName,
    /// Shard of a lookup; unset for a search of all shards.
    pub shard: Option<ShardNumber>,
    /// Time at which the request arrived at this entry.
    pub arrived: MonotonicTime,
    /// Time after which an answer is useless to the caller.
    pub deadline: MonotonicTime,
    /// Minimum answered share of the requested weight, in parts per million.
    pub minimum_ppm: u32,
    /// Whether to answer early with missing shards or to wait for coverage.
    pub preference: AnswerPreference,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Hedges and retries allowed per million sub-requests.
    pub extra_work_ppm: u32,
    /// Random number drawn at the start of the entry; part of each attempt id.
    pub origin: u64,
    /// Sequence number that precedes that of the first attempt.
    pub sequence_base: u64,
}

/// Longest margin between the completion of an answer and its deadline, reserved for delivery.
pub const ANSWER_MARGIN_MAX: Duration = Duration::from_millis(10);

/// The margin is the allowed time divided by this value, at most [`ANSWER_MARGIN_MAX`].
const ANSWER_MARGIN_DIVISOR: u32 = 20;

impl SearchPlan {
    /// Latest time at which the answer is completed.
    pub fn answer_by(&self) -> MonotonicTime {
        let margin = self.deadline.since(self.arrived) / ANSWER_MARGIN_DIVISOR;
        self.deadline.before(margin.min(ANSWER_MARGIN_MAX))
    }
}

/// One shard of a pinned snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PinnedShard {
    /// Shard number within the partition.
    pub shard: ShardNumber,
    /// Weight of the shard; 0 if it was never announced.
    pub weight: u64,
    /// Whether a replica of the shard was ever announced.
    pub known: bool,
}

/// Reason for sending an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DispatchKind {
    Primary,
    /// Replaces an attempt that certainly did not run.
    Replacement,
    Hedge,
    Retry,
}

/// Identity of a partition. Partitions with different keys are never mixed in one answer, even if
/// they share a snapshot number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartitionKey {
    /// Snapshot that is partitioned.
    pub snapshot: SnapshotNumber,
    /// Generation of the partition, as announced by its replicas.
    pub generation: u64,
    /// Number of shards of the partition.
    pub shards: u32,
    /// Weight of all shards.
    pub whole_weight: u64,
}

impl PartitionKey {
    /// Key of the partition that an announced shard belongs to.
    pub fn from_announced(announced: &ReplicaSnapshot) -> Self {
        Self {
            snapshot: announced.snapshot,
            generation: announced.generation,
            shards: announced.shards,
            whole_weight: announced.whole_weight,
        }
    }
}

/// Snapshot that a request is pinned to, with all shards of its partition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PinnedSnapshot {
    /// Snapshot from which all parts of the answer come.
    pub snapshot: SnapshotNumber,
    /// Weight of all shards, including those never announced.
    pub whole_weight: u64,
    /// Key of the partition that the shards belong to.
    pub key: PartitionKey,
    /// All shards, indexed by shard number.
    pub shards: Arc<[PinnedShard]>,
}
