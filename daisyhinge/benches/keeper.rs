//! Cost of a keeper's decisions, and memory of a kept replica.

#[path = "../tests/keeper/support.rs"]
#[expect(dead_code, reason = "shared with the tests")]
mod support;

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};

use criterion::{Criterion, criterion_group, criterion_main};
use daisyhinge::keeper::history::EntryIdentity;
use daisyhinge::keeper::roster::{KeeperRoster, RosterAction, RosterEvent};
use daisyhinge::keeper::ticket::RunEnd;
use daisyhinge::keeper::{KeeperAction, KeeperEvent, ReplicaKeeper};
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use support::{ENVIRONMENT, announce, at, entry, ms, open_gate, ticket, view};

/// Counts the bytes that are allocated.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

#[expect(unsafe_code, reason = "an allocator cannot be written without")]
// SAFETY: every call is handed on to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Replicas that one entry keeps at the size that the system is built for.
const KEPT_REPLICAS: u32 = 29;

fn ended(number: u64) -> KeeperEvent {
    KeeperEvent::Ended {
        attempt: ticket(number, at(0)).attempt,
        end: RunEnd::Answered { took: ms(5) },
    }
}

fn bench_keeper(criterion: &mut Criterion) {
    let gate = open_gate();
    let mut keeper = ReplicaKeeper::new(announce("r1", 1), at(0));
    let mut actions = Vec::new();
    let mut number = 0;
    criterion.bench_function("keeper_asked_and_ended", |bencher| {
        bencher.iter(|| {
            number += 1;
            let now = at(10);
            let asked = KeeperEvent::Asked(ticket(number, at(500)));
            keeper.step(now, asked, &gate, &mut actions);
            keeper.step(now, ended(number), &gate, &mut actions);
            assert!(matches!(
                actions.first(),
                Some(KeeperAction::Send(_) | KeeperAction::Publish)
            ));
            black_box(&mut actions).clear();
        });
    });
}

fn full_roster(replicas: u32) -> KeeperRoster {
    let identity = EntryIdentity {
        vm: "vm-0".into(),
        incarnation: IncarnationNumber(1),
        environment: ENVIRONMENT.into(),
    };
    let mut roster = KeeperRoster::new(identity, 1, replicas);
    let mut actions = Vec::new();
    let only = view(1, &[entry("vm-0", 1)], &[], Some(1_000_000));
    roster.step(at(0), RosterEvent::View(only), &mut actions);
    let mut lease = FreshnessLease::default();
    lease.renew(VersionNumber(1), at(10_000), ms(0));
    roster.step(at(10_000), RosterEvent::Lease(lease), &mut actions);
    for number in 0..replicas {
        let announcement = announce(&format!("replica-{number}"), 1);
        roster.step(
            at(10_000),
            RosterEvent::Announced(announcement),
            &mut actions,
        );
    }
    roster
}

fn bench_roster(criterion: &mut Criterion) {
    let mut roster = full_roster(KEPT_REPLICAS);
    let mut actions = Vec::new();
    let mut number = 0;
    let replica = ReplicaName::from("replica-7");
    criterion.bench_function("roster_asked_and_ended", |bencher| {
        bencher.iter(|| {
            number += 1;
            let now = at(10_010);
            let asked = RosterEvent::Asked {
                replica: replica.clone(),
                ticket: ticket(number, at(10_500)),
            };
            roster.step(now, asked, &mut actions);
            let event = RosterEvent::Replica {
                replica: replica.clone(),
                event: ended(number),
            };
            roster.step(now, event, &mut actions);
            let sent = actions.iter().any(|action| {
                let send = matches!(action, RosterAction::Replica { action, .. }
                    if matches!(action, KeeperAction::Send(_)));
                send
            });
            assert!(sent);
            black_box(&mut actions).clear();
        });
    });
    criterion.bench_function("roster_tick_29_replicas", |bencher| {
        bencher.iter(|| roster.step(at(10_010), RosterEvent::Tick, black_box(&mut actions)));
    });
}

fn print_memory(_: &mut Criterion) {
    const REPLICAS: u32 = 4_000;
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let roster = full_roster(REPLICAS);
    let after = ALLOCATED_BYTES.load(Ordering::Relaxed);
    assert_eq!(roster.len(), REPLICAS as usize);
    println!(
        "memory_per_kept_replica={} bytes",
        (after - before) / REPLICAS as usize
    );
}

criterion_group!(benches, bench_keeper, bench_roster, print_memory);
criterion_main!(benches);
