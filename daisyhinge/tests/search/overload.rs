//! Load tests at twice the capacity of the replicas.

use std::time::Duration;

use daisyhinge::prelude::*;
use rand::RngExt;

use crate::fleet::{Fleet, plan};
use crate::runner::Runner;

const SLOTS: usize = 2;
const COPIES: usize = 3;
const MEAN_SERVICE: Duration = Duration::from_micros(7_500);
const ALLOWED: Duration = Duration::from_millis(60);
const RUN_DURATION: Duration = Duration::from_secs(8);

/// Outcomes of the requests of one run.
#[derive(Debug, Default)]
struct OverloadCounts {
    offered: u32,
    answered: u32,
    refused: u32,
    refused_late: u32,
    not_run: u32,
}

/// Sends requests at random times, at `factor` times the rate that the replicas can serve: lookups
/// of one shard if `single` is set, else searches of all shards. Returns the outcomes and the
/// answered share of the capacity.
fn offer(shards: u32, factor: f64, single: bool) -> (OverloadCounts, f64) {
    let mut fleet = Fleet::new(31, shards, COPIES);
    fleet.slots = Some(SLOTS);
    let mut runner = Runner::new(fleet, 31);
    let capacity = (SLOTS * COPIES) as f64 / MEAN_SERVICE.as_secs_f64();
    let mean_us = 1e6 / (capacity * factor);
    let started_at = runner.now;
    let mut number = 0;
    while runner.now.since(started_at) < RUN_DURATION {
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
    runner.check_end();
    let mut counts = OverloadCounts::default();
    for request in runner.requests.values() {
        counts.offered += 1;
        match request.result.as_ref().expect("every request has a result") {
            Ok(_) => counts.answered += 1,
            Err(refusal) => {
                counts.refused += 1;
                counts.refused_late += u32::from(request.took > Duration::from_millis(5));
                counts.not_run += u32::from(refusal.run == RunState::NotRun);
            }
        }
    }
    let share = f64::from(counts.answered) / (capacity * RUN_DURATION.as_secs_f64());
    (counts, share)
}

#[test]
fn lookups_at_twice_capacity_keep_servers_busy_and_are_refused_early() {
    let (counts, share) = offer(1, 2.0, true);
    println!("lookups: {counts:?}, {share:.3} of the capacity answered");
    assert!(share >= 0.9);
    assert!(counts.refused_late * 100 <= counts.refused);
}

#[test]
fn searches_at_twice_capacity_keep_servers_busy_and_are_refused_early() {
    let (counts, share) = offer(10, 2.0, false);
    println!("searches: {counts:?}, {share:.3} of the capacity answered");
    assert!(share >= 0.9);
    assert!(counts.refused_late * 100 <= counts.refused);
}
