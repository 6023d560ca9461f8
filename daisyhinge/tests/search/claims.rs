//! Non-repeatable requests and their claims.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::plan::SearchPlan;
use daisyhinge::search::{RequestSearch, SearchAction, SearchEvent};
use daisyhinge::vocabulary::claim::{ClaimReply, ClaimResult};
use daisyhinge::vocabulary::subrequest::SubRefusal;

use crate::fleet::{Fleet, ScriptedOutcome, plan};
use crate::policy::{ALLOWED, run_one, runner};
use crate::runner::{Runner, ScheduledEvent};

impl Fleet {
    pub fn claim(&mut self, request: &RequestId, attempt: AttemptId) -> ClaimReply {
        match self.claims.get(request) {
            Some((holder, None)) if *holder == attempt => ClaimReply::Won,
            Some((_, outcome)) => ClaimReply::Lost(outcome.clone()),
            None => {
                self.claims.insert(request.clone(), (attempt, None));
                ClaimReply::Won
            }
        }
    }

    pub fn end_claim(&mut self, request: &RequestId, attempt: AttemptId, end: ClaimResult) {
        let is_holder = self
            .claims
            .get(request)
            .is_some_and(|claim| claim.0 == attempt);
        match end {
            ClaimResult::NotRun => {
                assert!(
                    !self.ran.contains(&attempt),
                    "a claim was returned although its dispatch ran"
                );
                if is_holder {
                    self.claims.remove(request);
                }
            }
            ClaimResult::Answered(outcome) => {
                assert!(
                    self.ran.contains(&attempt),
                    "an outcome was recorded for a dispatch that did not run"
                );
                assert!(
                    is_holder,
                    "an outcome was recorded without holding the claim"
                );
                self.claims
                    .insert(request.clone(), (attempt, Some(outcome)));
            }
        }
    }
}

fn non_repeatable_plan(runner: &Runner, number: u64) -> SearchPlan {
    let mut plan = plan(number, runner.now, ALLOWED);
    (plan.repeatable, plan.shard) = (false, Some(ShardNumber(1)));
    plan.request = "print-1".into();
    plan
}

#[test]
fn a_non_repeatable_request_is_not_resent_after_it_may_have_run() {
    for code in [ResultCode::ConnectionReset, ResultCode::ServerFailed] {
        let mut runner = runner(14);
        runner.fleet.script = Some(Box::new(move |_, _| {
            Some(ScriptedOutcome::Refuse(code, RunState::Unknown))
        }));
        let first = non_repeatable_plan(&runner, 1);
        let refusal = run_one(&mut runner, 1, first).expect_err("the request may have run");
        assert_eq!((refusal.code, refusal.run), (code, RunState::Unknown));
        let again = non_repeatable_plan(&runner, 2);
        let refusal = run_one(&mut runner, 2, again).expect_err("the outcome is unknown");
        assert_eq!(refusal.code, ResultCode::OutcomeUnknown);
        assert_eq!(runner.fleet.ran.len(), 1);
    }
}

#[test]
fn a_non_repeatable_request_that_did_not_run_claims_again_for_another_replica() {
    let mut runner = runner(15);
    let first = Rc::new(RefCell::new(None));
    runner.fleet.script = Some(Box::new(move |_, sub| {
        let mut first = first.borrow_mut();
        let first = first.get_or_insert_with(|| sub.replica.clone());
        let busy = ScriptedOutcome::Refuse(ResultCode::SlotsBusy, RunState::NotRun);
        (*first == sub.replica).then_some(busy)
    }));
    let plan = non_repeatable_plan(&runner, 1);
    run_one(&mut runner, 1, plan).expect("another replica accepts the request");
    assert_eq!(runner.requests[&1].won_attempts.len(), 2);
    let again = non_repeatable_plan(&runner, 2);
    let answer = run_one(&mut runner, 2, again).expect("the outcome is recorded");
    assert!(answer.resent);
    assert_eq!(runner.fleet.ran.len(), 1);
}

#[test]
fn the_outcome_is_recorded_after_the_caller_disconnects() {
    let mut runner = runner(16);
    let first = non_repeatable_plan(&runner, 1);
    runner.start(1, first);
    let disconnect = ScheduledEvent::Step(1, SearchEvent::CallerGone);
    runner.schedule(Duration::from_millis(4), disconnect);
    let until = runner.now + Duration::from_secs(1);
    runner.run_until(until);
    let refusal = runner.requests[&1]
        .result
        .clone()
        .expect("finished")
        .expect_err("the caller disconnected");
    assert_eq!(
        (refusal.code, refusal.run),
        (ResultCode::CallerGone, RunState::Unknown)
    );
    let again = non_repeatable_plan(&runner, 2);
    let answer = run_one(&mut runner, 2, again).expect("the outcome is recorded");
    assert!(answer.resent);
}

/// Steps a request by hand and returns its actions without recorded events.
fn step_request(
    search: &mut RequestSearch,
    runner: &mut Runner,
    event: SearchEvent,
) -> Vec<SearchAction> {
    let mut actions = Vec::new();
    search.step(runner.now, event, &mut runner.routes, &mut actions);
    actions.retain(|action| !matches!(action, SearchAction::RecordEvent(_)));
    actions
}

#[test]
fn a_claim_won_after_the_deadline_is_returned() {
    let mut runner = runner(20);
    let mut search = RequestSearch::new(non_repeatable_plan(&runner, 1));
    step_request(&mut search, &mut runner, SearchEvent::Start);
    runner.now = runner.now + ALLOWED;
    let won = SearchEvent::Claimed(ClaimReply::Won);
    let actions = step_request(&mut search, &mut runner, won);
    let [
        SearchAction::EndClaim { end, .. },
        SearchAction::Finish(Err(refusal)),
    ] = actions.as_slice()
    else {
        panic!("expected a returned claim and a refusal: {actions:?}");
    };
    assert_eq!(*end, ClaimResult::NotRun);
    assert_eq!(
        (refusal.code, refusal.run),
        (ResultCode::DeadlinePassed, RunState::NotRun)
    );
}

#[test]
fn no_claim_is_requested_after_the_caller_disconnects() {
    let mut runner = runner(21);
    let mut search = RequestSearch::new(non_repeatable_plan(&runner, 1)).with_claim_returns();
    step_request(&mut search, &mut runner, SearchEvent::Start);
    let won = SearchEvent::Claimed(ClaimReply::Won);
    let actions = step_request(&mut search, &mut runner, won);
    let [SearchAction::Dispatch(sub)] = actions.as_slice() else {
        panic!("expected one dispatch: {actions:?}");
    };
    step_request(&mut search, &mut runner, SearchEvent::CallerGone);
    let attempt = sub.attempt;
    let reply = Err(SubRefusal::not_run(ResultCode::SlotsBusy));
    let refused = SearchEvent::SubEnded { attempt, reply };
    let mut actions = step_request(&mut search, &mut runner, refused);
    actions.extend(step_request(
        &mut search,
        &mut runner,
        SearchEvent::ClaimReturned,
    ));
    let [SearchAction::EndClaim { end, .. }] = actions.as_slice() else {
        panic!("expected only a returned claim: {actions:?}");
    };
    assert_eq!(*end, ClaimResult::NotRun);
    assert!(search.is_done());
}
