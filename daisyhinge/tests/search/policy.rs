//! Hedging, retries, the budget, answer preference and early refusal, each in isolation.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::plan::SearchPlan;
use daisyhinge::vocabulary::answer::{QueryAnswer, QueryRefusal};
use daisyhinge::vocabulary::query::AnswerPreference;

use crate::fleet::{Fleet, ScriptedOutcome, plan};
use crate::runner::Runner;

pub const SHARDS: u32 = 10;
pub const ALLOWED: Duration = Duration::from_millis(150);

type QueryResult = Result<QueryAnswer, QueryRefusal>;

pub fn runner(seed: u64) -> Runner {
    Runner::new(Fleet::new(seed, SHARDS, 3), seed)
}

pub fn run_one(runner: &mut Runner, number: u64, plan: SearchPlan) -> QueryResult {
    let until = runner.now + Duration::from_secs(1);
    runner.start(number, plan);
    runner.run_until(until);
    runner.requests[&number]
        .result
        .clone()
        .expect("every request is answered")
}

/// Runs one search every 5 ms and returns the 99th percentile of their latency.
pub fn run_searches(runner: &mut Runner, count: u64, extra_work_ppm: u32) -> Duration {
    let first = runner.requests.len() as u64 + 1;
    let started_at = runner.now;
    for number in first..first + count {
        let mut plan = plan(number, runner.now, Duration::from_millis(500));
        plan.extra_work_ppm = extra_work_ppm;
        runner.start(number, plan);
        let until = runner.now + Duration::from_millis(5);
        runner.run_until(until);
    }
    let until = runner.now + Duration::from_secs(2);
    runner.run_until(until);
    runner.check_end();
    runner.check_extra_work(extra_work_ppm, started_at);
    let mut latencies: Vec<Duration> = (first..first + count)
        .map(|number| runner.requests[&number].took)
        .collect();
    latencies.sort_unstable();
    latencies[latencies.len() * 99 / 100]
}

fn extra_share(runner: &Runner) -> f64 {
    let dispatch_counts = runner.dispatch_counts;
    f64::from(dispatch_counts.hedges + dispatch_counts.retries)
        / f64::from(dispatch_counts.primaries)
}

#[test]
fn hedges_reduce_tail_latency_from_independent_stragglers() {
    let baseline = run_searches(&mut runner(1), 2_000, 50_000);
    let mut unhedged = runner(2);
    unhedged.fleet.rates.straggler = 50;
    let unhedged = run_searches(&mut unhedged, 2_000, 0);
    let mut hedged = runner(2);
    hedged.fleet.rates.straggler = 50;
    let took = run_searches(&mut hedged, 2_000, 80_000);
    let extra = extra_share(&hedged);
    println!("p99 baseline {baseline:?} unhedged {unhedged:?} hedged {took:?} extra {extra:.4}");
    assert!(took <= baseline * 3 && unhedged > baseline * 3);
    assert!(extra <= 0.08);
}

#[test]
fn a_consistently_slow_server_is_avoided() {
    let baseline = run_searches(&mut runner(3), 1_000, 50_000);
    let mut slow = runner(3);
    slow.fleet.script = Some(Box::new(|_, sub| {
        (sub.replica.as_str() == "r4-0").then_some(ScriptedOutcome::Slow(20))
    }));
    let took = run_searches(&mut slow, 1_000, 50_000);
    let extra = extra_share(&slow);
    println!("p99 baseline {baseline:?} one slow {took:?} extra {extra:.4}");
    assert!(took <= baseline * 3 / 2);
    assert!(extra <= 0.03);
}

#[test]
fn extra_work_stays_within_budget_when_most_servers_are_slow() {
    let mut runner = runner(4);
    runner.fleet.rates.straggler = 400;
    runner.fleet.rates.failed = 100;
    run_searches(&mut runner, 1_000, 30_000);
    assert!(runner.dispatch_counts.denied > 0);
}

#[test]
fn losing_one_replica_of_every_shard_keeps_coverage() {
    let mut runner = runner(5);
    run_searches(&mut runner, 200, 50_000);
    let lost_at = runner.now;
    runner.fleet.script = Some(Box::new(move |now, sub| {
        let is_lost = sub.replica.as_str().ends_with("-0");
        let is_fresh = now.since(lost_at) < Duration::from_millis(100);
        let refuse = if is_fresh {
            ScriptedOutcome::Refuse(ResultCode::ConnectionReset, RunState::Unknown)
        } else {
            ScriptedOutcome::Refuse(ResultCode::ConnectFailed, RunState::NotRun)
        };
        is_lost.then_some(refuse)
    }));
    let before = runner.dispatch_counts;
    run_searches(&mut runner, 1_000, 50_000);
    let is_complete = |number: &u64| {
        let request = &runner.requests[number];
        let answer = request
            .result
            .as_ref()
            .expect("every request has a result")
            .as_ref();
        request.took <= ALLOWED && answer.is_ok_and(|answer| answer.missing.is_empty())
    };
    let complete = (201..=1_200).filter(is_complete);
    let complete = complete.count();
    let extra = runner.dispatch_counts.hedges + runner.dispatch_counts.retries
        - before.hedges
        - before.retries;
    println!("complete in 150 ms: {complete} of 1000, extra {extra} of 10000 sub-requests");
    assert!(complete >= 999);
    assert!(extra <= 1_000);
}

#[test]
fn a_request_is_refused_at_once_when_coverage_becomes_unreachable() {
    let mut runner = runner(6);
    runner.fleet.script = Some(Box::new(|_, sub| {
        let is_lost = sub.shard.0 == 3;
        is_lost.then_some(ScriptedOutcome::Refuse(
            ResultCode::ServerFailed,
            RunState::Ran,
        ))
    }));
    let plan = plan(1, runner.now, ALLOWED);
    let refusal = run_one(&mut runner, 1, plan).expect_err("one shard fails everywhere");
    assert_eq!(
        (refusal.code, refusal.run),
        (ResultCode::GivenUp, RunState::Ran)
    );
    assert!(refusal.retry_ms.is_some());
    assert!(
        runner.requests[&1].took <= Duration::from_millis(2),
        "the refusal is immediate"
    );
}

#[test]
fn a_busy_service_refuses_requests_as_overloaded() {
    let mut runner = runner(7);
    runner.fleet.script = Some(Box::new(|_, _| {
        Some(ScriptedOutcome::Refuse(
            ResultCode::SlotsBusy,
            RunState::NotRun,
        ))
    }));
    let search = plan(1, runner.now, ALLOWED);
    let refusal = run_one(&mut runner, 1, search).expect_err("all replicas are busy");
    // Sub-requests to other shards were outstanding when the first shard was given up.
    assert_eq!(
        (refusal.code, refusal.run),
        (ResultCode::Overloaded, RunState::Unknown)
    );
    let mut lookup = plan(2, runner.now, ALLOWED);
    lookup.shard = Some(ShardNumber(0));
    let refusal = run_one(&mut runner, 2, lookup).expect_err("all replicas are busy");
    assert_eq!(
        (refusal.code, refusal.run),
        (ResultCode::Overloaded, RunState::NotRun)
    );
    assert!(runner.requests[&1].took <= Duration::from_millis(2));
}

#[test]
fn an_unmeetable_deadline_is_refused_before_any_dispatch() {
    let mut runner = runner(8);
    run_searches(&mut runner, 50, 50_000);
    let plan = plan(100, runner.now, Duration::from_millis(3));
    let refusal =
        run_one(&mut runner, 100, plan).expect_err("6 ms of service exceed the 3 ms allowed");
    assert_eq!(
        (refusal.code, refusal.run),
        (ResultCode::Overloaded, RunState::NotRun)
    );
    assert!(runner.requests[&100].attempts.is_empty());
}

#[test]
fn latency_answers_early_and_coverage_waits() {
    for (preference, longest) in [
        (AnswerPreference::Latency, Duration::from_millis(50)),
        (AnswerPreference::Coverage, ALLOWED),
    ] {
        let mut runner = runner(9);
        run_searches(&mut runner, 50, 50_000);
        runner.fleet.script = Some(Box::new(|_, sub| {
            (sub.shard.0 == 3).then_some(ScriptedOutcome::Slow(1_000))
        }));
        let mut plan = plan(100, runner.now, ALLOWED);
        (plan.preference, plan.minimum_ppm) = (preference, 500_000);
        let answer = run_one(&mut runner, 100, plan).expect("the minimum coverage is met");
        assert_eq!(answer.missing.len(), 1);
        assert_eq!(answer.missing[0].code, ResultCode::ShardLate);
        let took = runner.requests[&100].took;
        assert!(took <= longest, "{preference:?} took {took:?}");
        let waits = preference == AnswerPreference::Coverage;
        assert_eq!(
            took > Duration::from_millis(140),
            waits,
            "{preference:?} took {took:?}"
        );
    }
}

/// Replaces the snapshots of all replicas by a new one of 4 shards and publishes the change.
fn replace_snapshots(runner: &mut Runner, number: u64) {
    runner.fleet.add_snapshot(number, number, 4);
    for index in 0..runner.fleet.replicas.len() {
        let shard = u32::try_from(index / 3).expect("the index fits into 32 bits");
        runner.fleet.replicas[index].held_snapshots =
            vec![runner.fleet.held_snapshot(number, shard)];
    }
    let now = runner.now;
    let Runner { fleet, routes, .. } = runner;
    fleet.publish(now, routes);
}

#[test]
fn a_search_restarts_once_when_its_snapshot_is_dropped() {
    for rolls in 1..=2 {
        let mut runner = runner(10);
        let refuse = ScriptedOutcome::Refuse(ResultCode::SnapshotNotHeld, RunState::NotRun);
        runner.fleet.script = Some(Box::new(move |_, sub| {
            (sub.snapshot.0 <= rolls).then_some(refuse)
        }));
        let plan = plan(1, runner.now, ALLOWED);
        runner.start(1, plan);
        for number in 0..rolls {
            replace_snapshots(&mut runner, number + 2);
            let until = runner.now + Duration::from_micros(300);
            runner.run_until(until);
        }
        let until = runner.now + Duration::from_secs(1);
        runner.run_until(until);
        let result = runner.requests[&1].result.clone().expect("answered");
        if rolls == 1 {
            let answer = result.expect("complete on the newer snapshot");
            assert_eq!(
                (answer.snapshot, answer.parts.len()),
                (SnapshotNumber(2), 4)
            );
        } else {
            let refusal = result.expect_err("the newer snapshot was dropped too");
            assert_eq!(
                (refusal.code, runner.requests[&1].pins),
                (ResultCode::GivenUp, 2)
            );
        }
    }
}

#[test]
fn shards_that_never_announced_count_as_missing() {
    let mut runner = Runner::new(Fleet::new(17, SHARDS, 3), 17);
    runner.fleet.add_snapshot(2, 2, SHARDS);
    for index in 0..runner.fleet.replicas.len() {
        let shard = u32::try_from(index / 3).expect("the index fits into 32 bits");
        let snapshot = runner.fleet.held_snapshot(2, shard.min(7));
        runner.fleet.replicas[index].held_snapshots = vec![snapshot];
    }
    let now = runner.now;
    let Runner { fleet, routes, .. } = &mut runner;
    fleet.publish(now, routes);
    let mut plan = plan(1, now, ALLOWED);
    plan.minimum_ppm = 100_000;
    let answer = run_one(&mut runner, 1, plan).expect("the minimum coverage is met");
    let missing = answer
        .missing
        .iter()
        .map(|missing| (missing.shard.0, missing.code));
    let absent = ResultCode::ShardAbsent;
    assert_eq!(missing.collect::<Vec<_>>(), [(8, absent), (9, absent)]);
    assert_eq!(
        answer.whole_weight,
        runner.fleet.snapshots[&2].total_weight()
    );
}

#[test]
fn a_search_is_refused_when_the_queues_of_one_shard_exceed_the_deadline() {
    let mut runner = runner(18);
    run_searches(&mut runner, 50, 50_000);
    for replica in &mut runner.fleet.replicas[9..12] {
        replica.running = 400;
    }
    let now = runner.now;
    let Runner { fleet, routes, .. } = &mut runner;
    routes.advance(now);
    fleet.publish(now, routes);
    let plan = plan(100, now, ALLOWED);
    let refusal =
        run_one(&mut runner, 100, plan).expect_err("1.2 s of queueing exceed the 150 ms allowed");
    assert_eq!(
        (refusal.code, refusal.run),
        (ResultCode::Overloaded, RunState::NotRun)
    );
    assert!(runner.requests[&100].attempts.is_empty());

    // The entry assumes that the queues have drained, without a new report from the keepers.
    runner.now = runner.now + Duration::from_secs(1);
    let plan = crate::fleet::plan(101, runner.now, ALLOWED);
    run_one(&mut runner, 101, plan).expect("the queues have drained");
}

#[test]
fn a_hedge_is_sent_only_to_a_replica_with_a_free_slot() {
    let mut runner = runner(23);
    run_searches(&mut runner, 50, 500_000);
    for replica in &mut runner.fleet.replicas[10..12] {
        (replica.running, replica.service_us) = (2, 1_000_000);
    }
    let now = runner.now;
    let Runner { fleet, routes, .. } = &mut runner;
    routes.advance(now);
    fleet.publish(now, routes);
    let sent = Rc::new(RefCell::new(0));
    let count = Rc::clone(&sent);
    runner.fleet.script = Some(Box::new(move |_, sub| {
        let is_slow = sub.shard.0 == 3;
        *count.borrow_mut() += u32::from(is_slow);
        is_slow.then_some(ScriptedOutcome::Slow(1_000))
    }));
    let plan = plan(100, now, ALLOWED);
    run_one(&mut runner, 100, plan).expect_err("one shard is late");
    assert_eq!(
        *sent.borrow(),
        1,
        "neither of the other replicas has a free slot"
    );
}
