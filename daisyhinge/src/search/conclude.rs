//! Decides when a request is answered or refused, and merges the answer.

use crate::prelude::*;
use crate::search::claiming::return_claim;
use crate::search::probe::PoisonState;
use crate::search::route::RouteTable;
use crate::search::shard::ShardState;
use crate::search::{RequestSearch, SearchAction, SearchPhase, is_covered};
use crate::vocabulary::answer::{AnswerPart, MissingShard, QueryAnswer, QueryRefusal};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::query::AnswerPreference;

/// Retry hint if no keeper gave one, in milliseconds.
const RETRY_DEFAULT_MS: u64 = 100;

/// Longest retry hint for a caller, in milliseconds.
const RETRY_MAX_MS: u64 = 5_000;

impl RequestSearch {
    /// Answers or refuses as soon as further waiting cannot improve the result.
    pub(super) fn conclude(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        match self.phase {
            SearchPhase::Running if self.shards.is_empty() => {}
            SearchPhase::Running => self.conclude_running(now, routes, actions),
            SearchPhase::Claiming(attempt) if now >= self.answer_by => {
                return_claim(attempt, actions);
                self.refuse(ResultCode::ClaimUnavailable, actions);
            }
            SearchPhase::ReturningClaim if now >= self.answer_by => {
                self.refuse(ResultCode::DeadlinePassed, actions);
            }
            SearchPhase::AwaitingOutcome => self.end_awaiting_outcome(now, routes),
            _ => {}
        }
    }

    fn conclude_running(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let is_late = now >= self.answer_by;
        if !is_late && self.restart(now, routes, actions) {
            return;
        }
        if self.phase != SearchPhase::Running {
            return;
        }
        let reachable = self.answered_weight + self.open_weight;
        let is_unreachable = !self.covers(reachable, self.answered_count + self.open_count);
        let is_settled = self.open_count == 0;
        if !(is_late || is_unreachable || is_settled || self.is_remainder_late(now)) {
            return;
        }
        let is_covered = self.covers(self.answered_weight, self.answered_count);
        let is_poisoned = self.poison_state == PoisonState::Poisoned;
        let code = if is_late && !is_unreachable && !is_poisoned {
            ResultCode::DeadlinePassed
        } else {
            self.refusal_code()
        };
        if is_covered {
            self.cancel_all(now, routes, actions);
            let answer = self.merge_answer(actions);
            self.finish(Ok(answer), actions);
        } else if self.plan.repeatable {
            self.cancel_all(now, routes, actions);
            self.refuse(code, actions);
        } else {
            let is_awaited = self.open_count > 0;
            if is_awaited {
                self.run = self.run.join(RunState::Unknown);
            }
            self.refuse(code, actions);
            if is_awaited {
                self.phase = SearchPhase::AwaitingOutcome;
            }
        }
    }

    /// Handles a disconnected caller. A repeatable request is cancelled; a claimed dispatch
    /// continues, so that its outcome is recorded for a resend.
    pub(super) fn handle_caller_gone(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        match self.phase {
            SearchPhase::AwaitingOutcome | SearchPhase::Done => return,
            SearchPhase::Claiming(attempt) => return_claim(attempt, actions),
            _ => {}
        }
        if !self.plan.repeatable && self.phase == SearchPhase::Running && self.open_count > 0 {
            self.run = self.run.join(RunState::Unknown);
            self.refuse(ResultCode::CallerGone, actions);
            self.phase = SearchPhase::AwaitingOutcome;
            return;
        }
        self.cancel_all(now, routes, actions);
        self.refuse(ResultCode::CallerGone, actions);
    }

    /// Ends the request once the outcome has arrived or can no longer arrive.
    fn end_awaiting_outcome(&mut self, now: MonotonicTime, routes: &mut RouteTable) {
        let is_awaited = self
            .shards
            .iter()
            .any(|progress| progress.running_count() > 0);
        if is_awaited && now < self.plan.deadline {
            return;
        }
        // Nothing is cancelled: the sub-request has expired at the backend server by now.
        let mut unsent = Vec::new();
        self.cancel_all(now, routes, &mut unsent);
        self.phase = SearchPhase::Done;
    }

    /// Whether the request prefers latency, meets its minimum coverage, and every open shard is
    /// late.
    fn is_remainder_late(&self, now: MonotonicTime) -> bool {
        self.plan.preference == AnswerPreference::Latency
            && self.plan.repeatable
            && self.covers(self.answered_weight, self.answered_count)
            && self
                .remainder_late_at()
                .is_some_and(|late_at| now >= late_at)
    }

    fn remainder_late_at(&self) -> Option<MonotonicTime> {
        let open = self.shards.iter().filter(|progress| progress.is_open());
        open.map(|progress| progress.late_at).max()
    }

    fn covers(&self, weight: u64, count: usize) -> bool {
        let is_all = count == self.shards.len();
        is_all || is_covered(weight, self.requested_weight(), self.plan.minimum_ppm)
    }

    /// Restarts the request, at most once, on a newer snapshot if replicas are dropping the pinned
    /// one.
    fn restart(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) -> bool {
        let may_restart = self.plan.repeatable
            && !self.restarted
            && self.open_count + self.answered_count < self.shards.len()
            && self.poison_state == PoisonState::Clear;
        if !may_restart || !self.is_snapshot_dropped(routes) {
            return false;
        }
        let reachable = self.answered_weight + self.open_weight;
        let is_unreachable = !self.covers(reachable, self.answered_count + self.open_count);
        if !is_unreachable && self.plan.preference == AnswerPreference::Latency {
            return false;
        }
        if !self.is_newer_better(now, routes) {
            return false;
        }
        self.restarted = true;
        self.cancel_all(now, routes, actions);
        self.shard_of_attempt.fill(u32::MAX);
        self.pin(routes);
        self.scatter(now, routes, actions);
        true
    }

    fn is_snapshot_dropped(&self, routes: &RouteTable) -> bool {
        let Some(pinned) = &self.pinned else {
            return false;
        };
        self.shards.iter().any(|progress| match progress.state {
            ShardState::Missing(ResultCode::SnapshotNotHeld) => true,
            ShardState::Missing(_) => {
                progress.pinned.known
                    && routes
                        .find_partition(self.service, pinned.key)
                        .is_none_or(|partition| {
                            partition.replicas(progress.pinned.shard).is_empty()
                        })
            }
            _ => false,
        })
    }

    /// Whether a newer snapshot offers more coverage and enough time is left for a restart.
    fn is_newer_better(&self, now: MonotonicTime, routes: &RouteTable) -> bool {
        let (Some(newer), Some(pinned)) = (self.find_pin(routes), &self.pinned) else {
            return false;
        };
        let usable = routes
            .find_partition(self.service, newer.key)
            .map_or(0, |partition| u128::from(partition.usable_ppm()));
        let reachable = u128::from(self.answered_weight + self.open_weight) * 1_000_000;
        let reachable_ppm = reachable / u128::from(pinned.whole_weight.max(1));
        let usual = routes.hedge_delay(self.service, false).unwrap_or_default();
        newer.key > pinned.key && usable > reachable_ppm && now + usual < self.answer_by
    }

    pub(super) fn requested_weight(&self) -> u64 {
        match (&self.pinned, self.plan.shard) {
            (Some(pinned), None) => pinned.whole_weight,
            _ => self
                .shards
                .iter()
                .map(|progress| progress.pinned.weight)
                .sum(),
        }
    }

    fn merge_answer(&mut self, actions: &mut Vec<SearchAction>) -> QueryAnswer {
        let whole_weight = self.requested_weight();
        let snapshot = SnapshotNumber(self.pinned_number());
        let mut parts = Vec::with_capacity(self.answered_count);
        let mut missing = Vec::new();
        let mut weight = 0;
        for progress in &mut self.shards {
            let shard = progress.pinned.shard;
            let code = match &mut progress.state {
                ShardState::Answered(answer) => {
                    assert_eq!(
                        answer.snapshot, snapshot,
                        "all parts belong to the pinned snapshot"
                    );
                    assert_eq!(answer.shard, shard, "a part belongs to the requested shard");
                    weight += progress.pinned.weight;
                    let body = std::mem::take(&mut answer.body);
                    parts.push(AnswerPart { shard, body });
                    continue;
                }
                ShardState::Missing(code) => *code,
                ShardState::Open => ResultCode::ShardLate,
            };
            missing.push(MissingShard { shard, code });
        }
        assert_eq!(
            weight, self.answered_weight,
            "the answered weight is the sum over the parts"
        );
        assert!(
            weight <= whole_weight,
            "the answered weight is within the weight of the snapshot"
        );
        for missing_shard in &missing {
            let event = EventDraft::new(EventKind::ShardMissing)
                .with_request(&self.plan.request)
                .with_code(missing_shard.code)
                .with_value(missing_shard.shard.0.into());
            actions.push(SearchAction::RecordEvent(event));
        }
        QueryAnswer {
            request: self.plan.request.clone(),
            snapshot,
            answered_weight: weight,
            whole_weight,
            missing,
            parts,
            resent: false,
        }
    }

    /// Result code for a request that misses its minimum coverage.
    pub(super) fn refusal_code(&self) -> ResultCode {
        if self.poison_state == PoisonState::Poisoned {
            return ResultCode::RequestPoisoned;
        }
        let missing = || {
            self.shards
                .iter()
                .filter_map(|progress| match progress.state {
                    ShardState::Missing(code) => Some(code),
                    _ => None,
                })
        };
        if missing().next().is_some() && missing().all(is_busy) {
            return ResultCode::Overloaded;
        }
        if let (1, Some(code)) = (self.shards.len(), missing().next()) {
            return code;
        }
        let is_absent = |code| matches!(code, ResultCode::NoReplica | ResultCode::ShardAbsent);
        if missing().all(is_absent) {
            ResultCode::CoverageTooLow
        } else {
            ResultCode::GivenUp
        }
    }

    fn cancel_all(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        (0..self.shards.len()).for_each(|index| self.cancel_shard(now, index, routes, actions));
    }

    pub(super) fn refuse(&mut self, code: ResultCode, actions: &mut Vec<SearchAction>) {
        let hint = self.retry_ms.unwrap_or(RETRY_DEFAULT_MS);
        let refusal = QueryRefusal {
            request: self.plan.request.clone(),
            code,
            run: self.run,
            retry_ms: may_succeed_later(code).then_some(hint.clamp(1, RETRY_MAX_MS)),
            addresses: Vec::new(),
        };
        self.finish(Err(refusal), actions);
    }

    pub(super) fn finish(
        &mut self,
        result: Result<QueryAnswer, QueryRefusal>,
        actions: &mut Vec<SearchAction>,
    ) {
        assert!(!self.is_finished(), "a caller is answered once");
        self.phase = SearchPhase::Done;
        actions.push(SearchAction::Finish(result));
    }

    pub(super) fn schedule_wake(&mut self, now: MonotonicTime) {
        self.wake_at = match self.phase {
            SearchPhase::AwaitingOutcome => self.plan.deadline,
            SearchPhase::Running => self.next_timer(now),
            _ => self.answer_by,
        };
    }

    fn next_timer(&self, now: MonotonicTime) -> MonotonicTime {
        let mut due = self.answer_by;
        if now < self.wake_at && self.wake_at < due {
            // Attempts sent since then have later timers: hedges are due in order of dispatch.
            return self.wake_at;
        }
        if self.may_hedge() {
            let hedges = self
                .shards
                .iter()
                .filter(|progress| progress.awaits_hedge());
            due = hedges
                .map(|progress| progress.hedge_at)
                .fold(due, MonotonicTime::min);
        }
        if self.plan.preference == AnswerPreference::Latency
            && self.covers(self.answered_weight, self.answered_count)
        {
            due = self
                .remainder_late_at()
                .map_or(due, |late_at| due.min(late_at));
        }
        due
    }
}

fn is_busy(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::SlotsBusy
            | ResultCode::ServerShed
            | ResultCode::ServerCold
            | ResultCode::PowerCapReached
    )
}

/// Whether the same request may succeed if sent again later.
fn may_succeed_later(code: ResultCode) -> bool {
    !matches!(
        code,
        ResultCode::RequestPoisoned
            | ResultCode::OutcomeUnknown
            | ResultCode::UnknownShard
            | ResultCode::AmbiguousShard
            | ResultCode::RequestIdReused
            | ResultCode::RequestTooOld
            | ResultCode::CallerGone
    )
}
