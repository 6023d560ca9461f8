//! Long random runs of requests over a model of keepers and replicas. `DAISYHINGE_STEPS` sets the
//! number of requests of each run, `DAISYHINGE_SEED` the first seed.

use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::SearchEvent;
use daisyhinge::vocabulary::query::AnswerPreference;
use rand::RngExt;

use crate::fleet::{FaultRates, Fleet, plan};
use crate::runner::{Runner, ScheduledEvent};

const SHARDS: u32 = 6;
const REQUESTS: u64 = 600;
const SEEDS: u64 = 6;

fn number_from(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Applies a random change to the fleet: a replica fails or returns, adopts the newest snapshot or
/// drops old ones, or the service gets a new snapshot, with or without a new partition.
fn inject_change(runner: &mut Runner, newest: &mut u64, generation: &mut u64) {
    let fleet = &mut runner.fleet;
    let index = fleet.rng.random_range(0..fleet.replicas.len());
    match fleet.rng.random_range(0..10) {
        0 | 1 => fleet.replicas[index].alive ^= true,
        2..=5 => {
            let shard = u32::try_from(index / 3).expect("the index fits into 32 bits");
            let newest_snapshot = fleet.held_snapshot(*newest, shard);
            let replica = &mut fleet.replicas[index];
            if replica.held_snapshots.first() != Some(&newest_snapshot) {
                replica.held_snapshots.insert(0, newest_snapshot);
            }
        }
        6 | 7 => fleet.replicas[index].held_snapshots.truncate(1),
        8 => {
            *newest += 1;
            let shards = fleet.snapshots[&(*newest - 1)].shards();
            fleet.add_snapshot(*newest, *generation, shards);
        }
        _ => {
            *newest += 1;
            *generation += 1;
            let shards = fleet.rng.random_range(2..=SHARDS + 2);
            fleet.add_snapshot(*newest, *generation, shards);
        }
    }
}

fn run_seed(seed: u64, requests: u64) -> Runner {
    let mut runner = Runner::new(Fleet::new(seed, SHARDS, 3), seed);
    runner.fleet.rates = FaultRates {
        straggler: 50,
        refused: 60,
        reset: 15,
        mismatch: 10,
        failed: 20,
    };
    (runner.duplicate_reply_rate, runner.claim_reply_loss_rate) = (30, 50);
    let (mut newest, mut generation) = (1, 1);
    let started_at = runner.now;
    for number in 1..=requests {
        let mut plan = plan(number, runner.now, Duration::from_millis(150));
        let rng = &mut runner.fleet.rng;
        plan.minimum_ppm = [0, 500_000, 900_000, 1_000_000][rng.random_range(0..4)];
        if rng.random_bool(0.5) {
            plan.preference = AnswerPreference::Latency;
        }
        if rng.random_bool(0.2) {
            plan.shard = Some(ShardNumber(rng.random_range(0..3)));
            if rng.random_bool(0.5) {
                plan.repeatable = false;
                // About half of them are resends of an earlier request.
                let earlier = rng.random_range(number.saturating_sub(20).max(1)..=number);
                plan.request = format!("print-{}", earlier / 2).into();
                plan.shard = u32::try_from(earlier / 2 % 3).ok().map(ShardNumber);
            }
        }
        runner.start(number, plan);
        let pause = Duration::from_micros(runner.fleet.rng.random_range(0..4_000));
        if runner.fleet.chance(20) {
            let event = SearchEvent::CallerGone;
            runner.schedule(pause * 2, ScheduledEvent::Step(number, event));
        }
        if runner.fleet.chance(60) {
            inject_change(&mut runner, &mut newest, &mut generation);
        }
        if runner.fleet.chance(200) {
            let now = runner.now;
            let Runner { fleet, routes, .. } = &mut runner;
            fleet.publish(now, routes);
        }
        let until = runner.now + pause;
        runner.run_until(until);
    }
    let until = runner.now + Duration::from_secs(2);
    runner.run_until(until);
    runner.check_end();
    runner.check_extra_work(50_000, started_at);
    runner
}

#[test]
fn random_runs_preserve_the_invariants() {
    let requests = number_from("DAISYHINGE_STEPS", REQUESTS);
    let first = number_from("DAISYHINGE_SEED", 1);
    let (mut complete, mut partial, mut refused, mut resent) = (0, 0, 0, 0);
    for seed in first..first + SEEDS {
        let runner = run_seed(seed, requests);
        for request in runner.requests.values() {
            match request.result.as_ref().expect("every request has a result") {
                Ok(answer) if answer.resent => resent += 1,
                Ok(answer) if answer.missing.is_empty() => complete += 1,
                Ok(_) => partial += 1,
                Err(_) => refused += 1,
            }
        }
        // A non-repeatable request runs at most once over all its sends.
        let mut runs: std::collections::HashMap<&RequestId, usize> =
            std::collections::HashMap::new();
        for request in runner
            .requests
            .values()
            .filter(|request| !request.plan.repeatable)
        {
            let ran = request.attempts.iter();
            let ran = ran
                .filter(|attempt| runner.fleet.ran.contains(*attempt))
                .count();
            *runs.entry(&request.plan.request).or_default() += ran;
        }
        assert!(runs.values().all(|count| *count <= 1), "{runs:?}");
    }
    println!("complete {complete} partial {partial} refused {refused} resent {resent}");
    assert!(complete > 0 && partial > 0 && refused > 0 && resent > 0);
}

#[test]
fn the_same_seed_reproduces_a_run() {
    let (first, second) = (run_seed(99, 200), run_seed(99, 200));
    assert_eq!(first.dispatch_counts, second.dispatch_counts);
    for (left, right) in first.requests.values().zip(second.requests.values()) {
        assert_eq!(left.result, right.result);
    }
}
