//! Decisions about what clients may make a process hold, and who gives way.

use daisyhinge::intake::connection_choice::{ConnectionActivity, RoomNeed, find_longest_waiting};
use daisyhinge::intake::held_memory::{HeldMemory, MemoryLease, MemoryLimits, grow_capacity};
use daisyhinge::intake::process_limits::{CONNECTION_BYTES, derive_limits, derive_threads};
use daisyhinge::prelude::*;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

fn activity(waits: bool, moved_ms: u64, held_bytes: usize) -> ConnectionActivity {
    ConnectionActivity {
        waits,
        moved_at: MonotonicTime(moved_ms * 1_000),
        held_bytes,
    }
}

fn choose(now_ms: u64, need: RoomNeed, activities: &[ConnectionActivity]) -> Option<usize> {
    let now = MonotonicTime(now_ms * 1_000);
    find_longest_waiting(now, need, activities.iter().copied().enumerate())
}

#[test]
fn limits_exceed_the_memory_or_the_descriptors_together() {
    for memory_mb in [64, 96, 160, 260, 1_024] {
        for descriptors in [210, 600, 4_100, 100_000] {
            let limits = derive_limits(memory_mb * MIB, descriptors);
            let held = limits.memory.shared_max + limits.memory.own_max;
            let connections = limits.connections_max * CONNECTION_BYTES;
            assert!(held + connections <= memory_mb * MIB * 4 / 5, "{limits:?}");
            assert!(limits.connections_max <= (descriptors - 200).max(32) / 2);
            let ports = 2 * limits.client_connections(2, 1) + limits.monitoring_connections();
            assert!(ports <= limits.connections_max, "{limits:?}");
        }
    }
}

#[test]
fn machines_of_the_pages_have_too_few_connections() {
    // The smallest entry and the smallest control VM.
    let entry = derive_limits(160 * MIB, 4_100);
    assert!(entry.client_connections(1, 2) >= 1_024, "{entry:?}");
    let control = derive_limits(256 * MIB, 4_096);
    assert!(control.client_connections(2, 1) >= 900, "{control:?}");
    // A body of the largest size that the configurations allow, many times.
    assert!(entry.memory.shared_max >= 100 * 256 * KIB);
}

#[test]
fn connections_with_large_heads_exceed_the_memory() {
    let limits = derive_limits(160 * MIB, 4_100);
    let connections = limits.client_connections(1, 2);
    assert_eq!(limits.connections_with_heads(connections, 0), connections);
    assert_eq!(
        limits.connections_with_heads(connections, 16 * KIB),
        connections
    );
    for head_kib in [64, 256, 1_024] {
        let fewer = limits.connections_with_heads(connections, head_kib * KIB);
        assert!(
            fewer * 2 * head_kib * KIB <= 80 * MIB,
            "{fewer} connections"
        );
        assert!(fewer >= 1);
    }
    assert_eq!(limits.connections_with_heads(connections, usize::MAX), 1);
}

#[test]
fn connection_with_a_running_request_gives_way() {
    let running = activity(false, 0, 64 * KIB);
    let idle = activity(true, 900, 0);
    assert_eq!(
        choose(1_000, RoomNeed::Connection, &[running, idle]),
        Some(1)
    );
    assert_eq!(
        choose(1_000, RoomNeed::Connection, &[running, running]),
        None
    );
    assert_eq!(choose(1_000, RoomNeed::Memory, &[running]), None);
}

#[test]
fn connection_that_moves_gives_way_before_a_stalled_one() {
    let moving = activity(true, 990, 200 * KIB);
    let stalled = activity(true, 100, 4 * KIB);
    let idle = activity(true, 0, 0);
    let all = [moving, stalled, idle];
    assert_eq!(choose(1_000, RoomNeed::Memory, &all), Some(1));
    assert_eq!(choose(1_000, RoomNeed::Connection, &all), Some(2));
}

#[test]
fn bodies_that_arrive_together_cut_one_another_off() {
    let moving = activity(true, 800, 200 * KIB);
    assert_eq!(choose(1_000, RoomNeed::Memory, &[moving, moving]), None);
}

#[test]
fn new_connection_gives_way_before_it_could_send_a_request() {
    // A new connection counts as moved some time ahead.
    let new = activity(true, 1_250, 0);
    let busy_client = activity(true, 999, 0);
    let both = [new, busy_client];
    assert_eq!(choose(1_000, RoomNeed::Connection, &both), Some(1));
}

#[test]
fn small_answers_find_no_room_beside_large_bodies() {
    let limits = derive_limits(96 * MIB, 4_096).memory;
    let memory = HeldMemory::open(limits);
    let mut bodies = Vec::new();
    loop {
        let mut body = MemoryLease::open(&memory, 0);
        if !body.extend_to(256 * KIB) {
            break;
        }
        bodies.push(body);
    }
    let mut answer = MemoryLease::open(&memory, 64 * KIB);
    assert!(answer.extend_to(64 * KIB), "an answer of its own allowance");
    assert!(!answer.extend_to(1_024 * KIB));
    assert_eq!(
        memory.held_bytes(),
        bodies.len() * 256 * KIB + 64 * KIB,
        "a refusal changes nothing"
    );
    bodies.pop();
    assert!(answer.extend_to(256 * KIB));
    drop((answer, bodies));
    assert_eq!(memory.held_bytes(), 0);
}

#[test]
fn charge_beyond_the_limits_is_not_noticed_or_not_released() {
    let memory = HeldMemory::open(MemoryLimits {
        shared_max: 100,
        own_max: 10,
    });
    let mut lease = MemoryLease::open(&memory, 5);
    lease.charge(105);
    assert!(!memory.is_exceeded());
    lease.charge(106);
    assert!(memory.is_exceeded());
    drop(lease);
    assert!(!memory.is_exceeded());
    assert_eq!(memory.held_bytes(), 0);
}

#[test]
fn threads_of_a_small_process_keep_more_freed_memory_than_it_has() {
    let threads = [1, 32, 64, 96, 160, 1_024].map(|memory_mb| derive_threads(memory_mb * MIB, 8));
    assert_eq!(threads, [1, 1, 2, 3, 5, 8]);
    assert_eq!(derive_threads(usize::MAX, 1), 1);
}

#[test]
fn announced_size_takes_memory_before_the_bytes_arrive() {
    let announced = 4 * MIB;
    let mut capacity = 0;
    let mut arrived = 0;
    while arrived < announced {
        arrived += KIB;
        capacity = grow_capacity(capacity, arrived, announced);
        assert!(capacity >= arrived && capacity <= announced);
        assert!(
            capacity <= (4 * arrived).max(4 * KIB),
            "{capacity} of {arrived}"
        );
    }
    assert_eq!(capacity, announced);
}
