//! Non-repeatable requests, which need a claim before their single dispatch.
//!
//! A won claim allows one dispatch. It is returned unused, or when the keeper reports with
//! certainty that nothing ran; a new claim can then be requested under a new attempt.

use crate::prelude::*;
use crate::search::plan::DispatchKind;
use crate::search::route::RouteTable;
use crate::search::selection::{OTHER_REGION_DISTANCE, SelectionCriteria};
use crate::search::{RequestSearch, SearchAction, SearchPhase};
use crate::vocabulary::answer::{AnswerPart, QueryAnswer};
use crate::vocabulary::claim::{ClaimOutcome, ClaimReply, ClaimResult};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::subrequest::SubAnswer;

/// Maximum successive claims of one request.
pub const CLAIMS_MAX: u8 = 3;

impl RequestSearch {
    /// Requests the claim, even if no replica is usable, since an earlier send of the request may
    /// have recorded an outcome.
    pub(super) fn begin_claim(&mut self, routes: &RouteTable, actions: &mut Vec<SearchAction>) {
        if self.pin(routes) && self.requested_count() > 1 {
            self.refuse(ResultCode::AmbiguousShard, actions);
            return;
        }
        self.request_claim(actions);
    }

    pub(super) fn handle_claim_reply(
        &mut self,
        reply: ClaimReply,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let SearchPhase::Claiming(attempt) = self.phase else {
            self.return_late_claim(&reply, actions);
            return;
        };
        match reply {
            ClaimReply::Won => {
                self.record_event(EventKind::ClaimWon, actions);
                self.dispatch_claimed(attempt, routes, actions);
            }
            ClaimReply::Lost(Some(outcome)) => {
                self.record_event(EventKind::ClaimLost, actions);
                self.finish_resent(outcome, actions);
            }
            ClaimReply::Lost(None) => {
                self.record_event(EventKind::ClaimLost, actions);
                self.run = RunState::Unknown;
                self.refuse(ResultCode::OutcomeUnknown, actions);
            }
            ClaimReply::Refused(code) => self.refuse(code, actions),
        }
    }

    /// Claims again after the return of the previous claim was committed.
    pub(super) fn handle_claim_returned(&mut self, actions: &mut Vec<SearchAction>) {
        if self.phase == SearchPhase::ReturningClaim {
            self.request_claim(actions);
        }
    }

    /// Ends a won claim at control with the answer to its dispatch.
    pub(super) fn end_claim_answered(
        &self,
        attempt: AttemptId,
        answer: &SubAnswer,
        actions: &mut Vec<SearchAction>,
    ) {
        let Some(pinned) = &self.pinned else { return };
        let weight = self
            .shards
            .first()
            .map_or(0, |progress| progress.pinned.weight);
        actions.push(SearchAction::EndClaim {
            attempt,
            end: ClaimResult::Answered(ClaimOutcome {
                snapshot: answer.snapshot,
                shard: answer.shard,
                weight,
                whole_weight: pinned.whole_weight,
                body: answer.body.clone(),
            }),
        });
    }

    /// Returns the claim after its dispatch certainly did not run, and waits to claim again if
    /// another replica is available.
    pub(super) fn end_claim_not_run(
        &mut self,
        attempt: AttemptId,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        return_claim(attempt, actions);
        let again = self.phase == SearchPhase::Running
            && self.may_claim_again
            && self.claims < CLAIMS_MAX
            && self
                .choose_replica(0, false, OTHER_REGION_DISTANCE, routes)
                .is_some();
        if again {
            self.phase = SearchPhase::ReturningClaim;
        }
    }

    fn return_late_claim(&self, reply: &ClaimReply, actions: &mut Vec<SearchAction>) {
        let is_unused = self.claims > 0 && !self.dispatched_claim;
        if self.phase == SearchPhase::Done && is_unused && *reply == ClaimReply::Won {
            return_claim(self.last_attempt(), actions);
        }
    }

    fn request_claim(&mut self, actions: &mut Vec<SearchAction>) {
        let attempt = self.next_attempt(0);
        self.claims += 1;
        self.dispatched_claim = false;
        self.phase = SearchPhase::Claiming(attempt);
        actions.push(SearchAction::Claim(attempt));
    }

    fn dispatch_claimed(
        &mut self,
        attempt: AttemptId,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let is_late = routes.now >= self.answer_by;
        let refusal = match is_late.then_some(ResultCode::DeadlinePassed) {
            Some(code) => Some(code),
            None => self.prepare_claimed(routes),
        };
        let selected = match refusal {
            Some(_) => None,
            None => self.choose_replica(0, false, OTHER_REGION_DISTANCE, routes),
        };
        let Some(selected) = selected else {
            return_claim(attempt, actions);
            self.refuse(refusal.unwrap_or(ResultCode::NoReplica), actions);
            return;
        };
        assert!(!self.dispatched_claim, "a claim allows one dispatch");
        self.dispatched_claim = true;
        self.phase = SearchPhase::Running;
        self.dispatch(0, attempt, selected, DispatchKind::Primary, routes, actions);
    }

    /// Pins the current snapshot and sets up its single shard. Returns the reason for a refusal if
    /// that is impossible.
    fn prepare_claimed(&mut self, routes: &RouteTable) -> Option<ResultCode> {
        if !self.pin(routes) {
            return Some(ResultCode::NoSnapshot);
        }
        match self.requested_count() {
            0 => Some(ResultCode::UnknownShard),
            1 => {
                let tried = self.shards.first().cloned();
                self.reset_shards();
                if let Some(tried) = tried {
                    self.shards[0].copy_tried(&tried);
                }
                None
            }
            _ => Some(ResultCode::AmbiguousShard),
        }
    }

    fn finish_resent(&mut self, outcome: ClaimOutcome, actions: &mut Vec<SearchAction>) {
        let answer = QueryAnswer {
            request: self.plan.request.clone(),
            snapshot: outcome.snapshot,
            answered_weight: outcome.weight,
            whole_weight: outcome.weight,
            missing: Vec::new(),
            parts: vec![AnswerPart {
                shard: outcome.shard,
                body: outcome.body,
            }],
            resent: true,
        };
        self.finish(Ok(answer), actions);
    }

    fn record_event(&self, kind: EventKind, actions: &mut Vec<SearchAction>) {
        let event = EventDraft::new(kind).with_request(&self.plan.request);
        actions.push(SearchAction::RecordEvent(event));
    }

    pub(super) fn choose_replica(
        &self,
        index: usize,
        needs_free_slot: bool,
        max_distance: u8,
        routes: &mut RouteTable,
    ) -> Option<crate::search::selection::RouteChoice> {
        let progress = self.shards.get(index)?;
        let pinned = self.pinned.as_ref()?;
        let criteria = SelectionCriteria {
            tried: progress.tried(),
            needs_free_slot,
            repeatable: self.plan.repeatable,
            max_distance,
        };
        routes.choose_route(self.service, pinned.key, progress.pinned.shard, criteria)
    }
}

/// Returns a claim under which nothing ran. Also sent while the reply to the claim is
/// outstanding: the attempt is never dispatched afterwards.
pub(super) fn return_claim(attempt: AttemptId, actions: &mut Vec<SearchAction>) {
    actions.push(SearchAction::EndClaim {
        attempt,
        end: ClaimResult::NotRun,
    });
}
