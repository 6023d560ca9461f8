//! Requests that may crash backend servers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::plan::SearchPlan;
use daisyhinge::vocabulary::replica::{CrashRecord, TableDelta};

use crate::fleet::{Scripted, keeper_name, plan};
use crate::policy::{ALLOWED, run_one, run_searches, runner};
use crate::runner::Runner;

/// Counts dispatches to distinct servers under a script that resets all of them.
fn crash_all(runner: &mut Runner) -> Rc<RefCell<Vec<ReplicaName>>> {
    let crashed = Rc::new(RefCell::new(Vec::new()));
    let seen = Rc::clone(&crashed);
    runner.fleet.script = Some(Box::new(move |_, sub| {
        seen.borrow_mut().push(sub.replica.clone());
        Some(Scripted::Refuse(
            ResultCode::ConnectionReset,
            RunState::Unknown,
        ))
    }));
    crashed
}

#[test]
fn a_lookup_that_crashes_its_server_reaches_two_servers_resends_included() {
    let mut runner = runner(11);
    let crashed = crash_all(&mut runner);
    for number in 1..=5 {
        let mut plan = plan(number, runner.now, ALLOWED);
        (plan.shard, plan.digest) = (Some(ShardNumber(2)), RequestDigest(77));
        let refusal = run_one(&mut runner, number, plan).expect_err("it crashes servers");
        assert_eq!(refusal.code, ResultCode::RequestPoisoned);
        assert_eq!(refusal.retry_ms, None);
        assert_eq!(refusal.run == RunState::NotRun, number > 1);
    }
    assert_eq!(crashed.borrow().len(), 2, "{crashed:?}");
}

/// The keeper tells of one crash for each of the digests, and of no other.
fn tell_crashes(runner: &mut Runner, keeper: usize, digests: &[u64]) {
    tell_counts(runner, keeper, digests, 1);
}

/// The keeper tells of so many crashes for each of the digests, and of no other.
fn tell_counts(runner: &mut Runner, keeper: usize, digests: &[u64], crashes: u32) {
    let crash = |digest: &u64| CrashRecord {
        digest: RequestDigest(*digest),
        crashes,
        age_ms: 10,
    };
    let ask = runner.routes.table_ask(&keeper_name(keeper));
    let delta = TableDelta {
        table: ask.table,
        cursor: ask.cursor,
        whole: false,
        records: Vec::new(),
        gone: Vec::new(),
        crashes: digests.iter().map(crash).collect(),
    };
    runner.routes.apply_delta(&keeper_name(keeper), delta);
}

#[test]
fn a_crash_that_the_keeper_takes_back_does_not_count() {
    let mut runner = runner(19);
    tell_crashes(&mut runner, 0, &[5]);
    tell_crashes(&mut runner, 1, &[5]);
    // Servers that several keepers lost at once are one loss; the crash of a probe is another.
    assert_eq!(runner.routes.crashes(RequestDigest(5)), 1);
    tell_counts(&mut runner, 1, &[5], 2);
    assert_eq!(runner.routes.crashes(RequestDigest(5)), 2);
    tell_crashes(&mut runner, 1, &[]);
    assert_eq!(runner.routes.crashes(RequestDigest(5)), 1);
    tell_crashes(&mut runner, 0, &[]);
    assert_eq!(runner.routes.crashes(RequestDigest(5)), 0);
}

#[test]
fn an_answer_refutes_the_crashes_before_it() {
    let mut runner = runner(22);
    let plan = plan(5, runner.now, ALLOWED);
    runner.start(5, plan);
    tell_crashes(&mut runner, 0, &[5]);
    tell_crashes(&mut runner, 1, &[5]);
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
fn a_search_with_one_crash_on_record_is_probed_and_with_two_refused() {
    let mut runner = runner(12);
    tell_crashes(&mut runner, 0, &[1]);
    let probed = plan(1, runner.now, ALLOWED);
    let answer = run_one(&mut runner, 1, probed).expect("it was not its doing");
    assert!(answer.missing.is_empty());
    assert!(
        runner.requests[&1].took >= Duration::from_millis(12),
        "no probe went first"
    );

    tell_crashes(&mut runner, 1, &[1]);
    let again = plan(9, runner.now, ALLOWED);
    let again = SearchPlan {
        digest: RequestDigest(1),
        ..again
    };
    run_one(&mut runner, 9, again).expect("the answer cleared it of the first crash");

    tell_crashes(&mut runner, 0, &[2]);
    let crashed = crash_all(&mut runner);
    let suspect = plan(2, runner.now, ALLOWED);
    run_one(&mut runner, 2, suspect).expect_err("it crashes servers");
    assert_eq!(
        crashed.borrow().len(),
        1,
        "one server more, then it is known"
    );

    tell_crashes(&mut runner, 0, &[3]);
    tell_counts(&mut runner, 1, &[3], 2);
    let known = plan(3, runner.now, ALLOWED);
    let refusal = run_one(&mut runner, 3, known).expect_err("two servers are enough");
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
        let reset = Scripted::Refuse(ResultCode::ConnectionReset, RunState::Unknown);
        Some(if is_first {
            reset
        } else {
            Scripted::Slow(1_000)
        })
    }));
    // The other shards answer, which clears the request, yet not this shard.
    let plan = plan(100, runner.now, ALLOWED);
    run_one(&mut runner, 100, plan).expect_err("the retry is late");
    assert_eq!(*sent.borrow(), 2, "a first attempt and one retry");
}
