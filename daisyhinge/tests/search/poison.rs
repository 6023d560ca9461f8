//! Requests that crash backend servers, or are suspected of it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::plan::SearchPlan;
use daisyhinge::search::poison::{CRASHES_MAX, PoisonTable};
use daisyhinge::vocabulary::replica::{CrashRecord, TableDelta};

use crate::fleet::{ScriptedOutcome, keeper_name, plan};
use crate::policy::{ALLOWED, run_one, run_searches, runner};
use crate::runner::Runner;

/// Resets the connection of every dispatch and returns the list of replicas reached.
fn reset_every_connection(runner: &mut Runner) -> Rc<RefCell<Vec<ReplicaName>>> {
    let crashed = Rc::new(RefCell::new(Vec::new()));
    let seen = Rc::clone(&crashed);
    runner.fleet.script = Some(Box::new(move |_, sub| {
        seen.borrow_mut().push(sub.replica.clone());
        Some(ScriptedOutcome::Refuse(
            ResultCode::ConnectionReset,
            RunState::Unknown,
        ))
    }));
    crashed
}

#[test]
fn a_lookup_that_crashes_its_server_reaches_two_servers_resends_included() {
    let mut runner = runner(11);
    let crashed = reset_every_connection(&mut runner);
    for number in 1..=5 {
        let mut plan = plan(number, runner.now, ALLOWED);
        (plan.shard, plan.digest) = (Some(ShardNumber(2)), RequestDigest(77));
        let refusal = run_one(&mut runner, number, plan).expect_err("the request crashes servers");
        assert_eq!(refusal.code, ResultCode::RequestPoisoned);
        assert_eq!(refusal.retry_ms, None);
        assert_eq!(refusal.run == RunState::NotRun, number > 1);
    }
    assert_eq!(crashed.borrow().len(), 2, "{crashed:?}");
}

/// Replaces the crash records of the keeper by one crash for each of the digests.
fn report_crashes(runner: &mut Runner, keeper: usize, digests: &[u64]) {
    report_crash_counts(runner, keeper, digests, 1);
}

/// Replaces the crash records of the keeper by `crashes` crashes for each of the digests.
fn report_crash_counts(runner: &mut Runner, keeper: usize, digests: &[u64], crashes: u32) {
    let crash = |digest: &u64| CrashRecord {
        digest: RequestDigest(*digest),
        crashes,
        age_ms: 10,
    };
    let request = runner.routes.table_request(&keeper_name(keeper));
    let delta = TableDelta {
        table: request.table,
        cursor: request.cursor,
        whole: false,
        records: Vec::new(),
        gone: Vec::new(),
        crashes: digests.iter().map(crash).collect(),
    };
    runner.routes.apply_delta(&keeper_name(keeper), delta);
}

#[test]
fn a_crash_retracted_by_the_keeper_does_not_count() {
    let mut runner = runner(19);
    report_crashes(&mut runner, 0, &[5]);
    report_crashes(&mut runner, 1, &[5]);
    // Crashes reported by several keepers at once count as one; the crash of a probe counts as a
    // second one.
    assert_eq!(runner.routes.crashes(RequestDigest(5)), 1);
    report_crash_counts(&mut runner, 1, &[5], 2);
    assert_eq!(runner.routes.crashes(RequestDigest(5)), 2);
    report_crashes(&mut runner, 1, &[]);
    assert_eq!(runner.routes.crashes(RequestDigest(5)), 1);
    report_crashes(&mut runner, 0, &[]);
    assert_eq!(runner.routes.crashes(RequestDigest(5)), 0);
}

#[test]
fn an_answer_clears_earlier_crashes() {
    let mut runner = runner(22);
    let plan = plan(5, runner.now, ALLOWED);
    runner.start(5, plan);
    report_crashes(&mut runner, 0, &[5]);
    report_crashes(&mut runner, 1, &[5]);
    let until = runner.now + Duration::from_secs(1);
    runner.run_until(until);
    assert!(
        runner.requests[&5]
            .result
            .as_ref()
            .is_some_and(Result::is_ok)
    );
    assert_eq!(runner.routes.crashes(RequestDigest(5)), 0);
}

#[test]
fn a_search_is_probed_after_one_crash_and_refused_after_two() {
    let mut runner = runner(12);
    report_crashes(&mut runner, 0, &[1]);
    let probed = plan(1, runner.now, ALLOWED);
    let answer = run_one(&mut runner, 1, probed).expect("the request did not cause the crash");
    assert!(answer.missing.is_empty());
    assert!(
        runner.requests[&1].took >= Duration::from_millis(12),
        "a probe must be sent first"
    );

    report_crashes(&mut runner, 1, &[1]);
    let again = plan(9, runner.now, ALLOWED);
    let again = SearchPlan {
        digest: RequestDigest(1),
        ..again
    };
    run_one(&mut runner, 9, again).expect("the answer cleared the first crash");

    report_crashes(&mut runner, 0, &[2]);
    let crashed = reset_every_connection(&mut runner);
    let suspect = plan(2, runner.now, ALLOWED);
    run_one(&mut runner, 2, suspect).expect_err("the request crashes servers");
    assert_eq!(
        crashed.borrow().len(),
        1,
        "the probe reaches one more server"
    );

    report_crashes(&mut runner, 0, &[3]);
    report_crash_counts(&mut runner, 1, &[3], 2);
    let known = plan(3, runner.now, ALLOWED);
    let refusal = run_one(&mut runner, 3, known).expect_err("two crashes are on record");
    assert_eq!(
        (refusal.code, refusal.run),
        (ResultCode::RequestPoisoned, RunState::NotRun)
    );
    assert_eq!((refusal.retry_ms, crashed.borrow().len()), (None, 1));
}

#[test]
fn no_hedge_follows_a_reset() {
    let mut runner = runner(13);
    run_searches(&mut runner, 50, 500_000);
    let sent = Rc::new(RefCell::new(0));
    let count = Rc::clone(&sent);
    runner.fleet.script = Some(Box::new(move |_, sub| {
        if sub.shard.0 != 0 {
            return None;
        }
        *count.borrow_mut() += 1;
        let is_first = *count.borrow() == 1;
        let reset = ScriptedOutcome::Refuse(ResultCode::ConnectionReset, RunState::Unknown);
        Some(if is_first {
            reset
        } else {
            ScriptedOutcome::Slow(1_000)
        })
    }));
    // The answers of the other shards clear the request, but this shard stays without hedges.
    let plan = plan(100, runner.now, ALLOWED);
    run_one(&mut runner, 100, plan).expect_err("the retry is late");
    assert_eq!(*sent.borrow(), 2, "a first attempt and one retry");
}

/// Records of very many suspects pushed out the ones of refused requests.
#[test]
fn poisoned_request_stays_known_beside_many_suspects() {
    let mut table = PoisonTable::default();
    table.mark_poisoned(MonotonicTime(1_000), RequestDigest(1));
    for number in 0..5_000 {
        table.record_reset(MonotonicTime(2_000 + number), RequestDigest(100 + number));
    }
    assert_eq!(
        table.crashes(MonotonicTime(9_000), RequestDigest(1)),
        CRASHES_MAX
    );
}
