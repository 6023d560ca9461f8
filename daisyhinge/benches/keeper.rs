//! Benchmarks of a keeper's decisions, and memory used per kept replica.

#[path = "../tests/keeper/support.rs"]
#[expect(dead_code, reason = "shared with the tests")]
mod support;

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};

use criterion::{Criterion, criterion_group, criterion_main};
use daisyhinge::keeper::keeper_set::{KeeperSet, KeeperSetAction, KeeperSetEvent};
use daisyhinge::keeper::sub_request::DispatchOutcome;
use daisyhinge::keeper::view_history::EntryIdentity;
use daisyhinge::keeper::{KeeperAction, KeeperEvent, ReplicaKeeper};
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use support::{ENVIRONMENT, announce, at, entry, info, ms, open_gate, view};

/// Allocator that counts the bytes in use.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

#[expect(unsafe_code, reason = "an allocator cannot be written without")]
// SAFETY: every call is forwarded to the system allocator unchanged.
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

/// Replicas per entry at the size that the system is designed for.
const KEPT_REPLICAS: u32 = 29;

fn ended_event(number: u64) -> KeeperEvent {
    KeeperEvent::Ended {
        attempt: info(number, at(0)).attempt,
        end: DispatchOutcome::Answered { took: ms(5) },
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
            let requested = KeeperEvent::Requested(info(number, at(500)));
            keeper.step(now, requested, &gate, &mut actions);
            keeper.step(now, ended_event(number), &gate, &mut actions);
            assert!(matches!(
                actions.first(),
                Some(KeeperAction::Send(_) | KeeperAction::Publish)
            ));
            black_box(&mut actions).clear();
        });
    });
}

fn make_full_keeper_set(replicas: u32) -> KeeperSet {
    let identity = EntryIdentity {
        vm: "vm-0".into(),
        incarnation: IncarnationNumber(1),
        environment: ENVIRONMENT.into(),
    };
    let mut keeper_set = KeeperSet::new(identity, 1, replicas);
    let mut actions = Vec::new();
    let single_entry_view = view(1, &[entry("vm-0", 1)], &[], Some(1_000_000));
    keeper_set.step(at(0), KeeperSetEvent::View(single_entry_view), &mut actions);
    let mut lease = FreshnessLease::default();
    lease.renew(VersionNumber(1), at(10_000), ms(0));
    keeper_set.step(at(10_000), KeeperSetEvent::Lease(lease), &mut actions);
    for number in 0..replicas {
        let announcement = announce(&format!("replica-{number}"), 1);
        keeper_set.step(
            at(10_000),
            KeeperSetEvent::Announced(announcement),
            &mut actions,
        );
    }
    keeper_set
}

fn bench_keeper_set(criterion: &mut Criterion) {
    let mut keeper_set = make_full_keeper_set(KEPT_REPLICAS);
    let mut actions = Vec::new();
    let mut number = 0;
    let replica = ReplicaName::from("replica-7");
    criterion.bench_function("roster_asked_and_ended", |bencher| {
        bencher.iter(|| {
            number += 1;
            let now = at(10_010);
            let requested = KeeperSetEvent::Requested {
                replica: replica.clone(),
                info: info(number, at(10_500)),
            };
            keeper_set.step(now, requested, &mut actions);
            let event = KeeperSetEvent::Replica {
                replica: replica.clone(),
                event: ended_event(number),
            };
            keeper_set.step(now, event, &mut actions);
            let sent = actions.iter().any(|action| {
                let send = matches!(action, KeeperSetAction::Replica { action, .. }
                    if matches!(action, KeeperAction::Send(_)));
                send
            });
            assert!(sent);
            black_box(&mut actions).clear();
        });
    });
    criterion.bench_function("roster_tick_29_replicas", |bencher| {
        bencher.iter(|| keeper_set.step(at(10_010), KeeperSetEvent::Tick, black_box(&mut actions)));
    });
}

fn print_memory(_: &mut Criterion) {
    const REPLICAS: u32 = 4_000;
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let keeper_set = make_full_keeper_set(REPLICAS);
    let after = ALLOCATED_BYTES.load(Ordering::Relaxed);
    assert_eq!(keeper_set.len(), REPLICAS as usize);
    println!(
        "memory_per_kept_replica={} bytes",
        (after - before) / REPLICAS as usize
    );
}

criterion_group!(benches, bench_keeper, bench_keeper_set, print_memory);
criterion_main!(benches);
