//! Twice as much is offered as the replicas can do.

use std::time::Duration;

use daisyhinge::prelude::*;
use rand::RngExt;

use crate::fleet::{Fleet, plan};
use crate::runner::Runner;

const SLOTS: usize = 2;
const COPIES: usize = 3;
const MEAN_SERVICE: Duration = Duration::from_micros(7_500);
const ALLOWED: Duration = Duration::from_millis(60);
const SPAN: Duration = Duration::from_secs(8);

/// What came of the requests of one run.
#[derive(Debug, Default)]
struct OverloadTally {
    offered: u32,
    answered: u32,
    refused: u32,
    refused_late: u32,
    not_run: u32,
}

/// Offers requests at random moments, `factor` times the capacity, to one shard or to all.
fn offer(shards: u32, factor: f64, single: bool) -> (OverloadTally, f64) {
    let mut fleet = Fleet::new(31, shards, COPIES);
    fleet.slots = Some(SLOTS);
    let mut runner = Runner::new(fleet, 31);
    let capacity = (SLOTS * COPIES) as f64 / MEAN_SERVICE.as_secs_f64();
    let mean_us = 1e6 / (capacity * factor);
    let began = runner.now;
    let mut number = 0;
    while runner.now.since(began) < SPAN {
        number += 1;
        let mut plan = plan(number, runner.now, ALLOWED);
        plan.shard = single.then_some(ShardNumber(0));
        runner.start(number, plan);
        let draw: f64 = runner.fleet.rng.random();
        let pause = Duration::from_secs_f64(-(1.0 - draw).ln() * mean_us / 1e6);
        let until = runner.now + pause;
        runner.run_until(until);
    }
    let until = runner.now + Duration::from_secs(1);
    runner.run_until(until);
    runner.judge_end();
    let mut tally = OverloadTally::default();
    for request in runner.requests.values() {
        tally.offered += 1;
        match request.result.as_ref().expect("judged") {
            Ok(_) => tally.answered += 1,
            Err(refusal) => {
                tally.refused += 1;
                tally.refused_late += u32::from(request.took > Duration::from_millis(5));
                tally.not_run += u32::from(refusal.run == RunState::NotRun);
            }
        }
    }
    let share = f64::from(tally.answered) / (capacity * SPAN.as_secs_f64());
    (tally, share)
}

#[test]
fn lookups_at_twice_the_capacity_keep_the_servers_busy_and_are_refused_early() {
    let (tally, share) = offer(1, 2.0, true);
    println!("lookups: {tally:?}, {share:.3} of the capacity answered");
    assert!(share >= 0.9);
    assert!(tally.refused_late * 100 <= tally.refused);
}

#[test]
fn searches_at_twice_the_capacity_keep_the_servers_busy_and_are_refused_early() {
    let (tally, share) = offer(10, 2.0, false);
    println!("searches: {tally:?}, {share:.3} of the capacity answered");
    assert!(share >= 0.9);
    assert!(tally.refused_late * 100 <= tally.refused);
}
