//! Limits the number of backend servers that one poison request can crash.
//!
//! A connection reset may mean that the request crashed the server. After a reset, until any server
//! has answered the request, attempts are sent one at a time as probes. An answer to a probe clears
//! the request; a second consecutive reset poisons it.

use crate::prelude::*;
use crate::search::plan::DispatchKind;
use crate::search::poison::CRASHES_MAX;
use crate::search::route::RouteTable;
use crate::search::selection::OTHER_REGION_DISTANCE;
use crate::search::{RequestSearch, SearchAction};
use crate::vocabulary::event::EventKind;

/// Connection resets after which a shard is not retried.
const SHARD_RESETS_MAX: u8 = 2;

/// Whether a running request is suspected of crashing backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PoisonState {
    Clear,
    /// The request may crash servers; holds the outstanding probe, if any.
    Suspect(Option<AttemptId>),
    /// The request crashed two servers; no further attempts are sent.
    Poisoned,
}

impl RequestSearch {
    /// Refuses a request that reached [`CRASHES_MAX`] before; suspects one with fewer crashes.
    pub(super) fn refuse_poisoned(
        &mut self,
        routes: &RouteTable,
        actions: &mut Vec<SearchAction>,
    ) -> bool {
        let crashes = routes.crashes(self.plan.digest);
        if crashes >= CRASHES_MAX {
            self.poison_state = PoisonState::Poisoned;
            self.record_value_event(EventKind::RequestPoisoned, crashes.into(), actions);
            self.refuse(ResultCode::RequestPoisoned, actions);
            return true;
        }
        if crashes > 0 {
            self.poison_state = PoisonState::Suspect(None);
        }
        false
    }

    /// Whether no further attempt may be sent: a probe is outstanding or the request is poisoned.
    pub(super) fn must_wait_for_probe(&self) -> bool {
        matches!(
            self.poison_state,
            PoisonState::Suspect(Some(_)) | PoisonState::Poisoned
        )
    }

    /// Makes the attempt about to be sent the probe if the request is suspected and has none.
    pub(super) fn assign_probe(&mut self, attempt: AttemptId) {
        if self.poison_state == PoisonState::Suspect(None) {
            self.poison_state = PoisonState::Suspect(Some(attempt));
        }
    }

    /// Ends the probe if `attempt` was the probe; returns whether it was.
    pub(super) fn end_probe(&mut self, attempt: AttemptId) -> bool {
        let was_probe = self.poison_state == PoisonState::Suspect(Some(attempt));
        if was_probe {
            self.poison_state = PoisonState::Suspect(None);
        }
        was_probe
    }

    /// Handles a connection reset during an attempt.
    pub(super) fn handle_reset(
        &mut self,
        now: MonotonicTime,
        index: usize,
        attempt: AttemptId,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        self.shards[index].resets += 1;
        self.shards[index].is_free = false;
        let was_probe = self.end_probe(attempt);
        let resets_exhausted = self.shards[index].resets >= SHARD_RESETS_MAX;
        if self.answered_count == 0 {
            routes.poison.record_reset(now, self.plan.digest);
            let is_poison = routes.crashes(self.plan.digest) >= CRASHES_MAX;
            if was_probe || resets_exhausted || is_poison {
                routes.poison.mark_poisoned(now, self.plan.digest);
                self.record_value_event(EventKind::RequestPoisoned, CRASHES_MAX.into(), actions);
                self.mark_poisoned(index);
                return;
            }
            if self.poison_state == PoisonState::Clear {
                self.poison_state = PoisonState::Suspect(None);
            }
        }
        if self.shards[index].running_count() > 0 {
            return;
        }
        if resets_exhausted {
            self.mark_missing(index, ResultCode::ConnectionReset);
        } else {
            self.retry_or_defer(now, index, routes, actions);
        }
        self.start_next_probe(now, routes, actions);
    }

    /// Stops all further attempts; outstanding ones may still be answered.
    pub(super) fn mark_poisoned(&mut self, index: usize) {
        self.poison_state = PoisonState::Poisoned;
        for other in 0..self.shards.len() {
            let is_idle = self.shards[other].running_count() == 0;
            if is_idle && (other == index || self.shards[other].is_deferred) {
                self.mark_missing(other, ResultCode::RequestPoisoned);
            }
        }
    }

    /// Clears the suspicion after a server answered the request, and dispatches all deferred
    /// shards.
    pub(super) fn clear_suspicion(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        routes.poison.record_answer(now, self.plan.digest);
        if self.poison_state == PoisonState::Clear {
            return;
        }
        self.poison_state = PoisonState::Clear;
        for index in 0..self.shards.len() {
            if self.shards[index].is_deferred {
                self.dispatch_deferred(now, index, routes, actions);
            }
        }
    }

    /// Sends the next deferred shard as the probe if none is outstanding.
    pub(super) fn start_next_probe(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        while self.poison_state == PoisonState::Suspect(None) {
            let Some(index) = self.shards.iter().position(|progress| progress.is_deferred) else {
                return;
            };
            self.dispatch_deferred(now, index, routes, actions);
        }
    }

    fn dispatch_deferred(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        self.shards[index].is_deferred = false;
        if !self.shards[index].tried().is_empty() {
            self.retry(now, index, routes, actions);
            return;
        }
        if now >= self.answer_by {
            self.mark_missing(index, ResultCode::ShardLate);
            return;
        }
        let Some(choice) = self.choose_replica(index, false, OTHER_REGION_DISTANCE, routes) else {
            self.mark_missing(index, ResultCode::NoReplica);
            return;
        };
        let attempt = self.next_attempt(index);
        self.assign_probe(attempt);
        self.dispatch(
            index,
            attempt,
            choice,
            DispatchKind::Primary,
            routes,
            actions,
        );
    }
}
