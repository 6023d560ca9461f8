//! Handles the replies to sub-requests and retries failed ones on other replicas.

use crate::prelude::*;
use crate::search::feedback::DispatchEnd;
use crate::search::plan::DispatchKind;
use crate::search::probe::PoisonState;
use crate::search::route::RouteTable;
use crate::search::shard::ShardState;
use crate::search::{RequestSearch, SearchAction, SearchPhase};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::subrequest::{SubAnswer, SubRefusal, SubReply};

impl RequestSearch {
    /// Handles the end of a sub-request. Ignored if the attempt is no longer outstanding.
    pub(super) fn handle_reply(
        &mut self,
        now: MonotonicTime,
        attempt: AttemptId,
        reply: SubReply,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let Some(index) = self.shard_index(attempt) else {
            return;
        };
        let Some(ended) = self.shards[index].end_attempt(attempt) else {
            return;
        };
        match self.check_answer(index, reply) {
            Ok(answer) => {
                let took = now.since(ended.started);
                let load = answer.load;
                let expected_us = ended.expected_us;
                let end = DispatchEnd::Answered {
                    took,
                    expected_us,
                    load,
                };
                routes.end_dispatch(self.service, ended.key, end);
                self.handle_answer(now, index, attempt, answer, routes, actions);
            }
            Err(refusal) => {
                routes.end_dispatch(self.service, ended.key, DispatchEnd::Refused(refusal));
                self.handle_refusal(now, index, attempt, refusal, routes, actions);
            }
        }
    }

    /// Rejects an answer that is not of the requested snapshot and shard.
    fn check_answer(&self, index: usize, reply: SubReply) -> Result<SubAnswer, SubRefusal> {
        let answer = reply?;
        let shard = self.shards[index].pinned.shard;
        if answer.snapshot.0 == self.pinned_number() && answer.shard == shard {
            return Ok(answer);
        }
        Err(SubRefusal {
            code: ResultCode::AnswerMismatch,
            run: RunState::Unknown,
            retry_ms: 0,
            load: answer.load,
        })
    }

    fn handle_answer(
        &mut self,
        now: MonotonicTime,
        index: usize,
        attempt: AttemptId,
        answer: SubAnswer,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        self.run = RunState::Ran;
        if !self.plan.repeatable {
            self.end_claim_answered(attempt, &answer, actions);
        }
        self.cancel_shard(now, index, routes, actions);
        let progress = &mut self.shards[index];
        assert!(progress.is_open(), "a shard is answered once");
        progress.state = ShardState::Answered(answer);
        self.open_count -= 1;
        self.open_weight -= progress.pinned.weight;
        self.answered_count += 1;
        self.answered_weight += progress.pinned.weight;
        self.clear_suspicion(now, routes, actions);
    }

    fn handle_refusal(
        &mut self,
        now: MonotonicTime,
        index: usize,
        attempt: AttemptId,
        refusal: SubRefusal,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        self.run = self.run.join(refusal.run);
        self.shards[index].code = refusal.code;
        self.record_failure(index, refusal.code, actions);
        if refusal.retry_ms > 0 {
            let hint = self.retry_ms.unwrap_or(u64::MAX);
            self.retry_ms = Some(hint.min(refusal.retry_ms));
        }
        if !self.plan.repeatable {
            if refusal.run == RunState::NotRun {
                self.end_claim_not_run(attempt, routes, actions);
            }
            if self.phase == SearchPhase::Running {
                self.mark_missing(index, refusal.code);
            }
        } else if refusal.code == ResultCode::RequestPoisoned {
            self.mark_poisoned(index);
        } else if is_reset(&refusal) {
            self.handle_reset(now, index, attempt, routes, actions);
        } else {
            let is_free = refusal.run == RunState::NotRun && refusal.code != ResultCode::ServerShed;
            self.end_probe(attempt);
            self.shards[index].is_free = is_free;
            if self.shards[index].running_count() == 0 {
                self.retry_or_defer(now, index, routes, actions);
            }
            self.start_next_probe(now, routes, actions);
        }
    }

    /// Retries on another replica, or defers the retry until the outstanding probe has ended.
    pub(super) fn retry_or_defer(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        match self.poison_state {
            PoisonState::Poisoned => self.mark_missing(index, self.shards[index].code),
            PoisonState::Suspect(Some(_)) => self.shards[index].is_deferred = true,
            PoisonState::Suspect(None) | PoisonState::Clear => {
                self.retry(now, index, routes, actions);
            }
        }
    }

    /// Retries on another replica, or marks the shard as missing if that is impossible. Replacing
    /// an attempt that certainly did not run costs no budget, since only one of the two attempts
    /// causes work.
    pub(super) fn retry(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let (code, is_free) = (self.shards[index].code, self.shards[index].is_free);
        let max_distance = self.extra_max_distance(index);
        let may_attempt = self.shards[index].may_attempt() && now < self.answer_by;
        let choice = may_attempt.then(|| self.choose_replica(index, false, max_distance, routes));
        let Some(choice) = choice.flatten() else {
            self.mark_missing(index, code);
            return;
        };
        if !is_free && !self.withdraw_budget(now, index, routes, actions) {
            self.mark_missing(index, code);
            return;
        }
        let kind = if is_free {
            DispatchKind::Replacement
        } else {
            DispatchKind::Retry
        };
        let attempt = self.next_attempt(index);
        self.assign_probe(attempt);
        self.dispatch(index, attempt, choice, kind, routes, actions);
    }

    fn record_failure(&self, index: usize, code: ResultCode, actions: &mut Vec<SearchAction>) {
        let event = EventDraft::new(EventKind::SubFailed)
            .with_request(&self.plan.request)
            .with_code(code)
            .with_value(self.shards[index].pinned.shard.0.into());
        actions.push(SearchAction::RecordEvent(event));
    }
}

/// Whether the backend server may have crashed during the request.
fn is_reset(refusal: &SubRefusal) -> bool {
    refusal.code == ResultCode::ConnectionReset && refusal.run != RunState::NotRun
}
