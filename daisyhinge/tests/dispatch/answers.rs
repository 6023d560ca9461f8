//! Memory of answers in flight, and parts that arrive in pieces.

use daisyhinge::dispatch::merge::{RECORD_BYTES, RecordMerge, merge_parts};
use daisyhinge::intake::held_memory::{HeldMemory, MemoryLease, MemoryLimits};

const KIB: usize = 1 << 10;
/// Bytes that each answer may hold without a part of the shared memory.
const OWN_BYTES: usize = 64 * KIB;

/// Many large answers, each within its own limit, must not exceed the memory together.
#[test]
fn large_answers_share_one_limit_and_small_ones_always_fit() {
    let memory = HeldMemory::open(MemoryLimits {
        shared_max: 1_024 * KIB,
        own_max: 31 * OWN_BYTES,
    });
    let open = || MemoryLease::open(&memory, OWN_BYTES);
    let mut large: Vec<MemoryLease> = (0..30).map(|_| open()).collect();
    for size in (0..=8_192).step_by(16) {
        for lease in &mut large {
            lease.extend_to(size * KIB);
        }
    }
    let held = memory.held_bytes();
    assert!(held <= (1_024 + 30 * 64) * KIB, "{held} bytes");
    let mut small = open();
    assert!(small.extend_to(64 * KIB), "a small answer fits");
    assert!(!small.extend_to(2_048 * KIB));
    assert_eq!(
        memory.held_bytes(),
        held + 64 * KIB,
        "a refusal changes nothing"
    );
    drop(large);
    drop(small);
    assert_eq!(memory.held_bytes(), 0);
    let mut next = open();
    assert!(next.extend_to(1_024 * KIB), "what was held is free again");
}

#[test]
fn part_in_pieces_of_any_size_gives_the_same_records() {
    let part: Vec<u8> = (0..1_000 * RECORD_BYTES + 7)
        .map(|index| u8::try_from(index * index % 251).expect("below 251"))
        .collect();
    for top in [0, 1, 5, 600, 2_000] {
        let whole = merge_parts(std::iter::once(part.as_slice()), top);
        for size in [1, 7, 15, 16, 17, 1_460, part.len()] {
            let mut merge = RecordMerge::open(top);
            part.chunks(size).for_each(|piece| merge.add_bytes(piece));
            assert_eq!(merge.into_bytes(), whole, "{top} records, pieces of {size}");
        }
    }
}
