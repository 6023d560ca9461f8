//! One seeded run in virtual time over all machines joined: control VMs, entries with keepers,
//! routes, leases and searches, against modelled backend servers, callers and operators.
//!
//! `DAISYHINGE_MIXED_RUNS` sets how many run, `DAISYHINGE_SEED` the first seed.

#[expect(dead_code, reason = "shared with the schedules of control VMs")]
#[path = "control_schedules/cluster.rs"]
mod cluster;
#[path = "mixed/control_side.rs"]
mod control_side;
#[path = "control_schedules/disk.rs"]
mod disk;
#[path = "mixed/entry_side.rs"]
mod entry_side;
#[path = "mixed/fault_side.rs"]
mod fault_side;
#[path = "mixed/item.rs"]
mod item;
#[path = "mixed/judge.rs"]
mod judge;
#[path = "mixed/keeping_side.rs"]
mod keeping_side;
#[path = "mixed/operator_side.rs"]
mod operator_side;
#[path = "control_schedules/oracle.rs"]
#[expect(dead_code, reason = "shared with the schedules of control VMs")]
mod oracle;
#[path = "mixed/parts.rs"]
mod parts;
#[path = "mixed/record.rs"]
mod record;
#[path = "mixed/search_side.rs"]
mod search_side;
#[path = "mixed/server_side.rs"]
mod server_side;
#[path = "mixed/world.rs"]
mod world;

use record::RunCounts;
use world::World;

/// Runs in CI.
const RUNS: u64 = 3;
/// Seeds that failed once: three crashes by a request that was known to crash servers; the last one
/// where a keeper ran a probe that its root did not know of.
const FAILED_ONCE: [u64; 3] = [400_052, 800_036, 920_276];

fn read_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn all_machines_together_hold_what_must_always_hold() {
    let first = read_number("DAISYHINGE_SEED", 1);
    let count = read_number("DAISYHINGE_MIXED_RUNS", RUNS);
    let mut total = RunCounts::default();
    let chosen = std::env::var("DAISYHINGE_SEED").is_ok();
    let again = FAILED_ONCE.iter().copied().filter(|_| !chosen);
    for seed in (first..first + count).chain(again) {
        let run = std::panic::catch_unwind(|| World::new(seed).run());
        let counts = run.unwrap_or_else(|_| panic!("mixed run {seed} failed"));
        total.add(&counts);
    }
    println!("runs={count} {total}");
    assert!(total.whole > count * 100, "too little was answered whole");
    assert!(total.claimed_runs > count * 5, "too little was claimed");
}
