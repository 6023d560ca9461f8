//! Seeded simulations in virtual time of all state machines together: control VMs, entries with
//! keepers, routes, leases and searches, against modelled backend servers, callers and operators.
//!
//! `DAISYHINGE_MIXED_RUNS` sets the number of runs, `DAISYHINGE_SEED` the first seed.

#[expect(dead_code, reason = "shared with the schedules of control VMs")]
#[path = "control_schedules/cluster.rs"]
mod cluster;
#[path = "mixed/control_calls.rs"]
mod control_calls;
#[path = "control_schedules/disk.rs"]
mod disk;
#[path = "mixed/entries.rs"]
mod entries;
#[path = "mixed/event.rs"]
mod event;
#[path = "mixed/faults.rs"]
mod faults;
#[path = "mixed/invariants.rs"]
mod invariants;
#[path = "mixed/keepers.rs"]
mod keepers;
#[path = "mixed/operators.rs"]
mod operators;
#[path = "control_schedules/oracle.rs"]
#[expect(dead_code, reason = "shared with the schedules of control VMs")]
mod oracle;
#[path = "mixed/participants.rs"]
mod participants;
#[path = "mixed/run_counts.rs"]
mod run_counts;
#[path = "mixed/searches.rs"]
mod searches;
#[path = "mixed/servers.rs"]
mod servers;
#[path = "mixed/world.rs"]
mod world;

use run_counts::RunCounts;
use world::World;

/// Default number of runs, as in CI.
const RUNS: u64 = 3;
/// Seeds that failed once, with three crashes by a request that was known to crash servers. With
/// the last seed, a keeper ran a probe that its root did not know of.
const FAILED_ONCE: [u64; 3] = [400_052, 800_036, 920_276];

fn read_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn invariants_hold_for_all_state_machines_together() {
    let first = read_number("DAISYHINGE_SEED", 1);
    let count = read_number("DAISYHINGE_MIXED_RUNS", RUNS);
    let mut total = RunCounts::default();
    let seed_is_set = std::env::var("DAISYHINGE_SEED").is_ok();
    let previously_failed = FAILED_ONCE.iter().copied().filter(|_| !seed_is_set);
    for seed in (first..first + count).chain(previously_failed) {
        let run = std::panic::catch_unwind(|| World::new(seed).run());
        let counts = run.unwrap_or_else(|_| panic!("mixed run {seed} failed"));
        total.add(&counts);
    }
    println!("runs={count} {total}");
    assert!(total.whole > count * 100, "too few complete answers");
    assert!(total.claimed_runs > count * 5, "too few runs under a claim");
}

#[test]
fn same_seed_gives_the_same_run() {
    let seed = read_number("DAISYHINGE_SEED", 1);
    let first = World::new(seed).run();
    let second = World::new(seed).run();
    assert_eq!(first, second, "two runs of seed {seed} differ");
}
