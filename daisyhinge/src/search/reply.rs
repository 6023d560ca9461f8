//! Takes the replies to sub-requests, and tries other replicas.

use crate::prelude::*;
use crate::search::outcome::DispatchEnd;
use crate::search::plan::DispatchKind;
use crate::search::route::RouteTable;
use crate::search::shard::ShardState;
use crate::search::suspect::Suspicion;
use crate::search::{RequestSearch, SearchAction, SearchPhase};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::subrequest::{SubAnswer, SubRefusal, SubReply};

impl RequestSearch {
    /// Takes the end of a dispatch. One that is not under way any more is ignored.
    pub(super) fn take_reply(
        &mut self,
        now: MonotonicTime,
        attempt: AttemptId,
        reply: SubReply,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let Some(index) = self.owner_of(attempt) else {
            return;
        };
        let Some(ended) = self.rows[index].end_try(attempt) else {
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
                self.take_answer(now, index, attempt, answer, routes, actions);
            }
            Err(refusal) => {
                routes.end_dispatch(self.service, ended.key, DispatchEnd::Refused(refusal));
                self.take_refusal(now, index, attempt, refusal, routes, actions);
            }
        }
    }

    /// An answer from another snapshot or shard than was asked for is none.
    fn check_answer(&self, index: usize, reply: SubReply) -> Result<SubAnswer, SubRefusal> {
        let answer = reply?;
        let shard = self.rows[index].pinned.shard;
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

    fn take_answer(
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
            self.end_answered(attempt, &answer, actions);
        }
        self.cancel_row(now, index, routes, actions);
        let row = &mut self.rows[index];
        assert!(row.is_open(), "a shard is answered once");
        row.state = ShardState::Answered(answer);
        self.open_count -= 1;
        self.open_weight -= row.pinned.weight;
        self.answered_count += 1;
        self.answered_weight += row.pinned.weight;
        self.clear_suspicion(now, routes, actions);
    }

    fn take_refusal(
        &mut self,
        now: MonotonicTime,
        index: usize,
        attempt: AttemptId,
        refusal: SubRefusal,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        self.run = self.run.join(refusal.run);
        self.rows[index].code = refusal.code;
        self.note_failure(index, refusal.code, actions);
        if refusal.retry_ms > 0 {
            let hint = self.retry_ms.unwrap_or(u64::MAX);
            self.retry_ms = Some(hint.min(refusal.retry_ms));
        }
        if !self.plan.repeatable {
            if refusal.run == RunState::NotRun {
                self.end_not_run(attempt, routes, actions);
            }
            if self.phase == SearchPhase::Running {
                self.miss(index, refusal.code);
            }
        } else if refusal.code == ResultCode::RequestPoisoned {
            self.condemn(index);
        } else if is_reset(&refusal) {
            self.take_reset(now, index, attempt, routes, actions);
        } else {
            let is_free = refusal.run == RunState::NotRun && refusal.code != ResultCode::ServerShed;
            self.end_probe(attempt);
            self.rows[index].is_free = is_free;
            if self.rows[index].running_count() == 0 {
                self.retry_or_hold(now, index, routes, actions);
            }
            self.pass_probe_on(now, routes, actions);
        }
    }

    /// Tries another replica now, or once a probe that is under way has ended.
    pub(super) fn retry_or_hold(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        match self.suspicion {
            Suspicion::Condemned => self.miss(index, self.rows[index].code),
            Suspicion::Suspect(Some(_)) => self.rows[index].is_held = true,
            Suspicion::Suspect(None) | Suspicion::Clear => {
                self.retry(now, index, routes, actions);
            }
        }
    }

    /// Tries another replica, else the shard is missing. An attempt in place of one that
    /// certainly did not run costs no budget, since only one of the two is work.
    pub(super) fn retry(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let (code, is_free) = (self.rows[index].code, self.rows[index].is_free);
        let reach = self.extra_reach(index);
        let may_try = self.rows[index].may_try() && now < self.answer_by;
        let choice = may_try.then(|| self.choose_row(index, false, reach, routes));
        let Some(choice) = choice.flatten() else {
            self.miss(index, code);
            return;
        };
        if !is_free && !self.take_budget(now, index, routes, actions) {
            self.miss(index, code);
            return;
        }
        let kind = if is_free {
            DispatchKind::Replaced
        } else {
            DispatchKind::Retry
        };
        let attempt = self.next_attempt(index);
        self.note_probe(attempt);
        self.dispatch(index, attempt, choice, kind, routes, actions);
    }

    fn note_failure(&self, index: usize, code: ResultCode, actions: &mut Vec<SearchAction>) {
        let event = EventDraft::new(EventKind::SubFailed)
            .with_request(&self.plan.request)
            .with_code(code)
            .with_value(self.rows[index].pinned.shard.0.into());
        actions.push(SearchAction::Note(event));
    }
}

/// Whether the backend server may have crashed under the request.
fn is_reset(refusal: &SubRefusal) -> bool {
    refusal.code == ResultCode::ConnectionReset && refusal.run != RunState::NotRun
}
