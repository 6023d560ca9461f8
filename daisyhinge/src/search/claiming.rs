//! Requests that may not be repeated: a claim first, then one dispatch at most.
//!
//! A claim that was won allows one dispatch. It is given back only when the keeper said for
//! certain that nothing ran; then a new claim, under a new attempt, may be asked for.

use crate::prelude::*;
use crate::search::choice::{ChoiceNeed, FAR_DISTANCE};
use crate::search::plan::DispatchKind;
use crate::search::route::RouteTable;
use crate::search::{RequestSearch, SearchAction, SearchPhase};
use crate::vocabulary::answer::{AnswerPart, QueryAnswer};
use crate::vocabulary::claim::{ClaimEnding, ClaimOutcome, ClaimReply};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::subrequest::SubAnswer;

/// Claims that one request asks for at most, one after the other.
pub const CLAIMS_MAX: u8 = 3;

impl RequestSearch {
    /// Asks for the claim. Done even when no replica is usable, since an earlier send of the
    /// request may have left an outcome.
    pub(super) fn begin_claim(&mut self, routes: &RouteTable, actions: &mut Vec<SearchAction>) {
        if self.pin(routes) && self.wanted_rows() > 1 {
            self.refuse(ResultCode::AmbiguousShard, actions);
            return;
        }
        self.ask_claim(actions);
    }

    pub(super) fn take_claim(
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
                self.note(EventKind::ClaimWon, actions);
                self.run_claimed(attempt, routes, actions);
            }
            ClaimReply::Lost(Some(outcome)) => {
                self.note(EventKind::ClaimLost, actions);
                self.answer_resent(outcome, actions);
            }
            ClaimReply::Lost(None) => {
                self.note(EventKind::ClaimLost, actions);
                self.run = RunState::Unknown;
                self.refuse(ResultCode::OutcomeUnknown, actions);
            }
            ClaimReply::Refused(code) => self.refuse(code, actions),
        }
    }

    /// The claim that was given back is free again.
    pub(super) fn take_returned(&mut self, actions: &mut Vec<SearchAction>) {
        if self.phase == SearchPhase::Returning {
            self.ask_claim(actions);
        }
    }

    /// The one dispatch of a won claim brought an answer.
    pub(super) fn end_answered(
        &self,
        attempt: AttemptId,
        answer: &SubAnswer,
        actions: &mut Vec<SearchAction>,
    ) {
        let Some(pinned) = &self.pinned else { return };
        let weight = self.rows.first().map_or(0, |row| row.pinned.weight);
        actions.push(SearchAction::EndClaim {
            attempt,
            end: ClaimEnding::Answered(ClaimOutcome {
                snapshot: answer.snapshot,
                shard: answer.shard,
                weight,
                whole_weight: pinned.whole_weight,
                body: answer.body.clone(),
            }),
        });
    }

    /// The one dispatch of a won claim certainly ran nothing: the claim is given back, and asked
    /// for anew if another replica is left.
    pub(super) fn end_not_run(
        &mut self,
        attempt: AttemptId,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        return_claim(attempt, actions);
        let again = self.phase == SearchPhase::Running
            && self.claim_returns
            && self.claims < CLAIMS_MAX
            && self.choose_row(0, false, FAR_DISTANCE, routes).is_some();
        if again {
            self.phase = SearchPhase::Returning;
        }
    }

    fn return_late_claim(&self, reply: &ClaimReply, actions: &mut Vec<SearchAction>) {
        let is_unused = self.claims > 0 && !self.dispatched_claim;
        if self.phase == SearchPhase::Done && is_unused && *reply == ClaimReply::Won {
            return_claim(self.last_attempt(), actions);
        }
    }

    fn ask_claim(&mut self, actions: &mut Vec<SearchAction>) {
        let attempt = self.next_attempt(0);
        self.claims += 1;
        self.dispatched_claim = false;
        self.phase = SearchPhase::Claiming(attempt);
        actions.push(SearchAction::Claim(attempt));
    }

    fn run_claimed(
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
        let choice = match refusal {
            Some(_) => None,
            None => self.choose_row(0, false, FAR_DISTANCE, routes),
        };
        let Some(choice) = choice else {
            return_claim(attempt, actions);
            self.refuse(refusal.unwrap_or(ResultCode::NoReplica), actions);
            return;
        };
        assert!(!self.dispatched_claim, "a claim allows one dispatch");
        self.dispatched_claim = true;
        self.phase = SearchPhase::Running;
        self.dispatch(0, attempt, choice, DispatchKind::Primary, routes, actions);
    }

    /// Pins afresh and makes the one row; the reason if that cannot be.
    fn prepare_claimed(&mut self, routes: &RouteTable) -> Option<ResultCode> {
        if !self.pin(routes) {
            return Some(ResultCode::NoSnapshot);
        }
        match self.wanted_rows() {
            0 => Some(ResultCode::UnknownShard),
            1 => {
                let tried = self.rows.first().cloned();
                self.make_rows();
                if let Some(tried) = tried {
                    self.rows[0].copy_tried(&tried);
                }
                None
            }
            _ => Some(ResultCode::AmbiguousShard),
        }
    }

    fn answer_resent(&mut self, outcome: ClaimOutcome, actions: &mut Vec<SearchAction>) {
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

    fn note(&self, kind: EventKind, actions: &mut Vec<SearchAction>) {
        let event = EventDraft::new(kind).with_request(&self.plan.request);
        actions.push(SearchAction::Note(event));
    }

    pub(super) fn choose_row(
        &self,
        index: usize,
        needs_free_slot: bool,
        reach: u8,
        routes: &mut RouteTable,
    ) -> Option<crate::search::choice::RouteChoice> {
        let row = self.rows.get(index)?;
        let pinned = self.pinned.as_ref()?;
        let need = ChoiceNeed {
            tried: row.tried(),
            needs_free_slot,
            repeatable: self.plan.repeatable,
            reach,
        };
        routes.choose_route(self.service, pinned.key, row.pinned.shard, need)
    }
}

/// Gives back a claim that was never dispatched under. Also sent where the claim's reply has not
/// come: this attempt will not dispatch any more.
pub(super) fn return_claim(attempt: AttemptId, actions: &mut Vec<SearchAction>) {
    actions.push(SearchAction::EndClaim {
        attempt,
        end: ClaimEnding::NotRun,
    });
}
