//! One shard of a running request.

use crate::prelude::*;
use crate::search::choice::TRIES_MAX;
use crate::search::plan::PinnedShard;
use crate::search::route::RouteKey;
use crate::vocabulary::subrequest::SubAnswer;

/// Hedges of one shard at most. With one straggler in 20 and 10 shards, 1 search in 40 meets a
/// second one on its hedge, which one hedge would leave in the 99th percentile.
pub(super) const HEDGES_MAX: u8 = 2;

/// Attempts for one shard that may be under way at a time: a first one and its hedges.
pub(super) const RUNNING_MAX: usize = 1 + HEDGES_MAX as usize;

/// An attempt under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningTry {
    pub(super) attempt: AttemptId,
    pub(super) key: RouteKey,
    pub(super) started: MonotonicTime,
    /// How long it was expected to take in microseconds, 0 if not known.
    pub(super) expected_us: u64,
}

/// What became of a shard.
#[derive(Clone, Debug)]
pub(super) enum ShardState {
    /// Attempts are under way, or it waits for the outcome of a probe.
    Open,
    /// Its answer is here.
    Answered(SubAnswer),
    /// There will be no answer.
    Missing(ResultCode),
}

/// One shard of a running request.
#[derive(Clone, Debug)]
pub(super) struct ShardRow {
    pub(super) pinned: PinnedShard,
    pub(super) state: ShardState,
    running: [Option<RunningTry>; RUNNING_MAX],
    tried: [u32; TRIES_MAX],
    tried_count: u8,
    /// Connections that were reset under it.
    pub(super) resets: u8,
    /// Waits until a probe shows whether the request crashes servers.
    pub(super) is_held: bool,
    /// The next attempt costs no budget, since the last one certainly did not run.
    pub(super) is_free: bool,
    /// Hedges that may still be sent.
    pub(super) hedges_left: u8,
    /// When a hedge is due.
    pub(super) hedge_at: MonotonicTime,
    /// From when on the shard counts as late.
    pub(super) late_at: MonotonicTime,
    /// Why the last attempt failed.
    pub(super) code: ResultCode,
}

impl ShardRow {
    pub(super) fn new(pinned: PinnedShard) -> Self {
        Self {
            pinned,
            state: ShardState::Open,
            running: [None; RUNNING_MAX],
            tried: [0; TRIES_MAX],
            tried_count: 0,
            resets: 0,
            is_held: false,
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

    pub(super) fn may_try(&self) -> bool {
        usize::from(self.tried_count) < TRIES_MAX
    }

    pub(super) fn running_count(&self) -> usize {
        self.running.iter().flatten().count()
    }

    pub(super) fn add_try(&mut self, running: RunningTry) {
        let free = self.running.iter_mut().find(|slot| slot.is_none());
        *free.expect("a shard has room for its hedges") = Some(running);
        self.tried[usize::from(self.tried_count)] = running.key.row;
        self.tried_count += 1;
    }

    pub(super) fn end_try(&mut self, attempt: AttemptId) -> Option<RunningTry> {
        let ended =
            |slot: &&mut Option<RunningTry>| slot.is_some_and(|held| held.attempt == attempt);
        self.running.iter_mut().find(ended)?.take()
    }

    pub(super) fn take_tries(&mut self) -> [Option<RunningTry>; RUNNING_MAX] {
        std::mem::take(&mut self.running)
    }

    /// Whether a hedge may still become due.
    pub(super) fn awaits_hedge(&self) -> bool {
        self.is_open()
            && self.hedges_left > 0
            && self.resets == 0
            && self.may_try()
            && (1..RUNNING_MAX).contains(&self.running_count())
    }
}

impl ShardRow {
    /// Takes over which replicas were tried.
    pub(super) fn copy_tried(&mut self, other: &Self) {
        self.tried = other.tried;
        self.tried_count = other.tried_count;
    }
}
