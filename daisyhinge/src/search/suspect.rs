//! Keeps a request that may crash backend servers from reaching more of them.
//!
//! A reset connection may mean that the request crashed the server. Until the request has been
//! answered by any server, attempts after a reset go out one at a time: a probe. Its answer
//! clears the request; a second reset in a row ends it.

use crate::prelude::*;
use crate::search::choice::FAR_DISTANCE;
use crate::search::plan::DispatchKind;
use crate::search::poison::CRASHES_MAX;
use crate::search::route::RouteTable;
use crate::search::{RequestSearch, SearchAction};
use crate::vocabulary::event::EventKind;

/// Connections reset under one shard after which it is not tried again.
const SHARD_RESETS_MAX: u8 = 2;

/// What is thought of a running request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Suspicion {
    /// Nothing is against it.
    Clear,
    /// It may crash servers; this probe is to tell. No probe is under way if unset.
    Suspect(Option<AttemptId>),
    /// It crashed two servers: nothing more is sent.
    Condemned,
}

impl RequestSearch {
    /// Refuses at once what crashed servers before; suspects what crashed one.
    pub(super) fn refuse_poisoned(
        &mut self,
        routes: &RouteTable,
        actions: &mut Vec<SearchAction>,
    ) -> bool {
        let crashes = routes.crashes(self.plan.digest);
        if crashes >= CRASHES_MAX {
            self.suspicion = Suspicion::Condemned;
            self.note_value(EventKind::RequestPoisoned, crashes.into(), actions);
            self.refuse(ResultCode::RequestPoisoned, actions);
            return true;
        }
        if crashes > 0 {
            self.suspicion = Suspicion::Suspect(None);
        }
        false
    }

    /// Whether attempts wait for a probe that is under way.
    pub(super) fn holds_back(&self) -> bool {
        matches!(
            self.suspicion,
            Suspicion::Suspect(Some(_)) | Suspicion::Condemned
        )
    }

    /// If the request is suspect, the attempt about to be sent is its probe.
    pub(super) fn note_probe(&mut self, attempt: AttemptId) {
        if self.suspicion == Suspicion::Suspect(None) {
            self.suspicion = Suspicion::Suspect(Some(attempt));
        }
    }

    /// Whether the attempt that ended was the probe; if so, none is under way any more.
    pub(super) fn end_probe(&mut self, attempt: AttemptId) -> bool {
        let was_probe = self.suspicion == Suspicion::Suspect(Some(attempt));
        if was_probe {
            self.suspicion = Suspicion::Suspect(None);
        }
        was_probe
    }

    /// A connection was reset under an attempt.
    pub(super) fn take_reset(
        &mut self,
        now: MonotonicTime,
        index: usize,
        attempt: AttemptId,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        self.rows[index].resets += 1;
        self.rows[index].is_free = false;
        let was_probe = self.end_probe(attempt);
        let is_spent = self.rows[index].resets >= SHARD_RESETS_MAX;
        if self.answered_count == 0 {
            routes.poison.suspect(now, self.plan.digest);
            let is_poison = routes.crashes(self.plan.digest) >= CRASHES_MAX;
            if was_probe || is_spent || is_poison {
                routes.poison.condemn(now, self.plan.digest);
                self.note_value(EventKind::RequestPoisoned, CRASHES_MAX.into(), actions);
                self.condemn(index);
                return;
            }
            if self.suspicion == Suspicion::Clear {
                self.suspicion = Suspicion::Suspect(None);
            }
        }
        if self.rows[index].running_count() > 0 {
            return;
        }
        if is_spent {
            self.miss(index, ResultCode::ConnectionReset);
        } else {
            self.retry_or_hold(now, index, routes, actions);
        }
        self.pass_probe_on(now, routes, actions);
    }

    /// Sends nothing more; what is under way may still answer.
    pub(super) fn condemn(&mut self, index: usize) {
        self.suspicion = Suspicion::Condemned;
        for row in 0..self.rows.len() {
            let is_idle = self.rows[row].running_count() == 0;
            if is_idle && (row == index || self.rows[row].is_held) {
                self.miss(row, ResultCode::RequestPoisoned);
            }
        }
    }

    /// A server answered the request: it does not crash those that run it, and what was held
    /// back is sent.
    pub(super) fn clear_suspicion(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        routes.poison.absolve(now, self.plan.digest);
        if self.suspicion == Suspicion::Clear {
            return;
        }
        self.suspicion = Suspicion::Clear;
        for index in 0..self.rows.len() {
            if self.rows[index].is_held {
                self.release(now, index, routes, actions);
            }
        }
    }

    /// If no probe is under way, the next shard that was held back becomes one.
    pub(super) fn pass_probe_on(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        while self.suspicion == Suspicion::Suspect(None) {
            let Some(index) = self.rows.iter().position(|row| row.is_held) else {
                return;
            };
            self.release(now, index, routes, actions);
        }
    }

    fn release(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        self.rows[index].is_held = false;
        if !self.rows[index].tried().is_empty() {
            self.retry(now, index, routes, actions);
            return;
        }
        if now >= self.answer_by {
            self.miss(index, ResultCode::ShardLate);
            return;
        }
        let Some(choice) = self.choose_row(index, false, FAR_DISTANCE, routes) else {
            self.miss(index, ResultCode::NoReplica);
            return;
        };
        let attempt = self.next_attempt(index);
        self.note_probe(attempt);
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
