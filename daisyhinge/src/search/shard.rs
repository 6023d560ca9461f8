//! Progress of one shard of a running request.

use crate::prelude::*;
use crate::search::plan::PinnedShard;
use crate::search::route::RouteKey;
use crate::search::selection::ATTEMPTS_MAX;
use crate::vocabulary::subrequest::SubAnswer;

/// Maximum hedges of one shard. With 1 straggler in 20 attempts and 10 shards, 1 search in 40 has a
/// hedge that is a straggler too; with a single hedge those would set the 99th percentile.
pub(super) const HEDGES_MAX: u8 = 2;

/// Maximum concurrent attempts of one shard: the first one and its hedges.
pub(super) const RUNNING_MAX: usize = 1 + HEDGES_MAX as usize;

#[derive(Clone, Copy, Debug)]
pub(super) struct RunningAttempt {
    pub(super) attempt: AttemptId,
    pub(super) key: RouteKey,
    pub(super) started: MonotonicTime,
    /// Expected time in microseconds; 0 if unknown.
    pub(super) expected_us: u64,
}

#[derive(Clone, Debug)]
pub(super) enum ShardState {
    /// Attempts are outstanding, or the shard waits for the outcome of a probe.
    Open,
    Answered(SubAnswer),
    /// The shard will not be answered, for this reason.
    Missing(ResultCode),
}

/// Progress of one shard of a running request.
#[derive(Clone, Debug)]
pub(super) struct ShardProgress {
    pub(super) pinned: PinnedShard,
    pub(super) state: ShardState,
    running: [Option<RunningAttempt>; RUNNING_MAX],
    tried: [u32; ATTEMPTS_MAX],
    tried_count: u8,
    /// Connection resets during attempts of the shard.
    pub(super) resets: u8,
    /// Whether the shard waits for a probe to show whether the request crashes servers.
    pub(super) is_deferred: bool,
    /// Whether the next attempt costs no budget, since the last one certainly did not run.
    pub(super) is_free: bool,
    pub(super) hedges_left: u8,
    pub(super) hedge_at: MonotonicTime,
    /// Time after which the shard is late; see `LATE_DELAYS`.
    pub(super) late_at: MonotonicTime,
    /// Result code of the last failed attempt.
    pub(super) code: ResultCode,
}

impl ShardProgress {
    pub(super) fn new(pinned: PinnedShard) -> Self {
        Self {
            pinned,
            state: ShardState::Open,
            running: [None; RUNNING_MAX],
            tried: [0; ATTEMPTS_MAX],
            tried_count: 0,
            resets: 0,
            is_deferred: false,
            is_free: false,
            hedges_left: HEDGES_MAX,
            hedge_at: MonotonicTime::default(),
            late_at: MonotonicTime::default(),
            code: ResultCode::NoReplica,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, ShardState::Open)
    }

    pub(super) fn tried(&self) -> &[u32] {
        &self.tried[..usize::from(self.tried_count)]
    }

    pub(super) fn may_attempt(&self) -> bool {
        usize::from(self.tried_count) < ATTEMPTS_MAX
    }

    pub(super) fn running_count(&self) -> usize {
        self.running.iter().flatten().count()
    }

    pub(super) fn add_attempt(&mut self, running: RunningAttempt) {
        let free_slot = self.running.iter_mut().find(|slot| slot.is_none());
        *free_slot.expect("a shard has a slot for each of its hedges") = Some(running);
        self.tried[usize::from(self.tried_count)] = running.key.row;
        self.tried_count += 1;
    }

    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<RunningAttempt> {
        let ended = |slot: &&mut Option<RunningAttempt>| {
            slot.is_some_and(|running| running.attempt == attempt)
        };
        self.running.iter_mut().find(ended)?.take()
    }

    pub(super) fn take_attempts(&mut self) -> [Option<RunningAttempt>; RUNNING_MAX] {
        std::mem::take(&mut self.running)
    }

    /// Whether a hedge may still be sent.
    pub(super) fn awaits_hedge(&self) -> bool {
        self.is_open()
            && self.hedges_left > 0
            && self.resets == 0
            && self.may_attempt()
            && (1..RUNNING_MAX).contains(&self.running_count())
    }
}

impl ShardProgress {
    /// Copies the list of tried replicas from `other`.
    pub(super) fn copy_tried(&mut self, other: &Self) {
        self.tried = other.tried;
        self.tried_count = other.tried_count;
    }
}
