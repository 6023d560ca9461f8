//! Decides when a request is answered or refused, and merges the answer.

use crate::prelude::*;
use crate::search::claiming::return_claim;
use crate::search::route::RouteTable;
use crate::search::shard::ShardState;
use crate::search::suspect::Suspicion;
use crate::search::{RequestSearch, SearchAction, SearchPhase, is_covered};
use crate::vocabulary::answer::{AnswerPart, MissingShard, QueryAnswer, QueryRefusal};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::query::AnswerPreference;

/// When to come back if no keeper said, in milliseconds.
const RETRY_DEFAULT_MS: u64 = 100;

/// Longest time to come back that is told, in milliseconds.
const RETRY_MAX_MS: u64 = 5_000;

impl RequestSearch {
    /// Answers or refuses as soon as waiting is of no more use.
    pub(super) fn conclude(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        match self.phase {
            SearchPhase::Running if self.rows.is_empty() => {}
            SearchPhase::Running => self.conclude_running(now, routes, actions),
            SearchPhase::Claiming(attempt) if now >= self.answer_by => {
                return_claim(attempt, actions);
                self.refuse(ResultCode::ClaimUnavailable, actions);
            }
            SearchPhase::Returning if now >= self.answer_by => {
                self.refuse(ResultCode::DeadlinePassed, actions);
            }
            SearchPhase::Lingering => self.end_lingering(now, routes),
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
        let is_hopeless = !self.covers(reachable, self.answered_count + self.open_count);
        let is_whole = self.open_count == 0;
        if !(is_late || is_hopeless || is_whole || self.is_rest_late(now)) {
            return;
        }
        let is_covered = self.covers(self.answered_weight, self.answered_count);
        let is_condemned = self.suspicion == Suspicion::Condemned;
        let code = if is_late && !is_hopeless && !is_condemned {
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
                self.phase = SearchPhase::Lingering;
            }
        }
    }

    /// The caller went away. What may be repeated is cancelled; a claimed dispatch runs on, so
    /// that its outcome is there when the caller sends it again.
    pub(super) fn lose_caller(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        match self.phase {
            SearchPhase::Lingering | SearchPhase::Done => return,
            SearchPhase::Claiming(attempt) => return_claim(attempt, actions),
            _ => {}
        }
        if !self.plan.repeatable && self.phase == SearchPhase::Running && self.open_count > 0 {
            self.run = self.run.join(RunState::Unknown);
            self.refuse(ResultCode::CallerGone, actions);
            self.phase = SearchPhase::Lingering;
            return;
        }
        self.cancel_all(now, routes, actions);
        self.refuse(ResultCode::CallerGone, actions);
    }

    /// Ends once the outcome came or can no longer come.
    fn end_lingering(&mut self, now: MonotonicTime, routes: &mut RouteTable) {
        let is_awaited = self.rows.iter().any(|row| row.running_count() > 0);
        if is_awaited && now < self.plan.deadline {
            return;
        }
        // Nothing is cancelled: the sub-request has expired at the backend server by now.
        let mut unsent = Vec::new();
        self.cancel_all(now, routes, &mut unsent);
        self.phase = SearchPhase::Done;
    }

    /// Whether the request can do with what is here and the rest is later than its hedges.
    fn is_rest_late(&self, now: MonotonicTime) -> bool {
        self.plan.preference == AnswerPreference::Latency
            && self.plan.repeatable
            && self.covers(self.answered_weight, self.answered_count)
            && self.rows_late_at().is_some_and(|late_at| now >= late_at)
    }

    fn rows_late_at(&self) -> Option<MonotonicTime> {
        let open = self.rows.iter().filter(|row| row.is_open());
        open.map(|row| row.late_at).max()
    }

    fn covers(&self, weight: u64, count: usize) -> bool {
        let is_all = count == self.rows.len();
        is_all || is_covered(weight, self.wanted_weight(), self.plan.minimum_ppm)
    }

    /// Starts again, once, on a newer snapshot if the pinned one is being dropped by replicas.
    fn restart(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) -> bool {
        let may_restart = self.plan.repeatable
            && !self.restarted
            && self.open_count + self.answered_count < self.rows.len()
            && self.suspicion == Suspicion::Clear;
        if !may_restart || !self.is_snapshot_lost(routes) {
            return false;
        }
        let reachable = self.answered_weight + self.open_weight;
        let is_hopeless = !self.covers(reachable, self.answered_count + self.open_count);
        if !is_hopeless && self.plan.preference == AnswerPreference::Latency {
            return false;
        }
        if !self.is_newer_better(now, routes) {
            return false;
        }
        self.restarted = true;
        self.cancel_all(now, routes, actions);
        self.owners.fill(u32::MAX);
        self.pin(routes);
        self.scatter(now, routes, actions);
        true
    }

    fn is_snapshot_lost(&self, routes: &RouteTable) -> bool {
        let Some(pinned) = &self.pinned else {
            return false;
        };
        self.rows.iter().any(|row| match row.state {
            ShardState::Missing(ResultCode::SnapshotNotHeld) => true,
            ShardState::Missing(_) => {
                row.pinned.known
                    && routes
                        .find_partition(self.service, pinned.key)
                        .is_none_or(|partition| partition.replicas(row.pinned.shard).is_empty())
            }
            _ => false,
        })
    }

    /// Whether a newer snapshot would give more, and there is time for it.
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

    pub(super) fn wanted_weight(&self) -> u64 {
        match (&self.pinned, self.plan.shard) {
            (Some(pinned), None) => pinned.whole_weight,
            _ => self.rows.iter().map(|row| row.pinned.weight).sum(),
        }
    }

    fn merge_answer(&mut self, actions: &mut Vec<SearchAction>) -> QueryAnswer {
        let whole_weight = self.wanted_weight();
        let snapshot = SnapshotNumber(self.pinned_number());
        let mut parts = Vec::with_capacity(self.answered_count);
        let mut missing = Vec::new();
        let mut weight = 0;
        for row in &mut self.rows {
            let shard = row.pinned.shard;
            let code = match &mut row.state {
                ShardState::Answered(answer) => {
                    assert_eq!(answer.snapshot, snapshot, "one snapshot for each answer");
                    assert_eq!(answer.shard, shard, "each part is of its own shard");
                    weight += row.pinned.weight;
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
            "coverage is counted over the parts"
        );
        assert!(
            weight <= whole_weight,
            "no answer has more than its snapshot"
        );
        for row in &missing {
            let event = EventDraft::new(EventKind::ShardMissing)
                .with_request(&self.plan.request)
                .with_code(row.code)
                .with_value(row.shard.0.into());
            actions.push(SearchAction::Note(event));
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

    /// Why less than the minimum could be had.
    pub(super) fn refusal_code(&self) -> ResultCode {
        if self.suspicion == Suspicion::Condemned {
            return ResultCode::RequestPoisoned;
        }
        let missing = || {
            self.rows.iter().filter_map(|row| match row.state {
                ShardState::Missing(code) => Some(code),
                _ => None,
            })
        };
        if missing().next().is_some() && missing().all(is_busy) {
            return ResultCode::Overloaded;
        }
        if let (1, Some(code)) = (self.rows.len(), missing().next()) {
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
        (0..self.rows.len()).for_each(|index| self.cancel_row(now, index, routes, actions));
    }

    pub(super) fn refuse(&mut self, code: ResultCode, actions: &mut Vec<SearchAction>) {
        let hint = self.retry_ms.unwrap_or(RETRY_DEFAULT_MS);
        let refusal = QueryRefusal {
            request: self.plan.request.clone(),
            code,
            run: self.run,
            retry_ms: may_come_back(code).then_some(hint.clamp(1, RETRY_MAX_MS)),
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

    /// Works out when to look at the request next.
    pub(super) fn plan_wake(&mut self, now: MonotonicTime) {
        self.wake = match self.phase {
            SearchPhase::Lingering => self.plan.deadline,
            SearchPhase::Running => self.next_due(now),
            _ => self.answer_by,
        };
    }

    fn next_due(&self, now: MonotonicTime) -> MonotonicTime {
        let mut due = self.answer_by;
        if now < self.wake && self.wake < due {
            // Nothing was sent since that could be due earlier: hedges come in order of sending.
            return self.wake;
        }
        if self.may_hedge() {
            let hedges = self.rows.iter().filter(|row| row.awaits_hedge());
            due = hedges.map(|row| row.hedge_at).fold(due, MonotonicTime::min);
        }
        if self.plan.preference == AnswerPreference::Latency
            && self.covers(self.answered_weight, self.answered_count)
        {
            due = self.rows_late_at().map_or(due, |late_at| due.min(late_at));
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

/// Whether the same request can end otherwise later.
fn may_come_back(code: ResultCode) -> bool {
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
