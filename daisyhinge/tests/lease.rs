//! The freshness lease and its traps.

use std::time::Duration;

use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::freshness::{LEASE_SPAN, LEASE_WAIT_SPAN};
use proptest::prelude::*;

fn at(count_ms: u64) -> MonotonicTime {
    MonotonicTime(count_ms * 1_000)
}

#[test]
fn it_counts_from_the_question_not_from_the_answer() {
    let mut lease = FreshnessLease::default();
    assert!(!lease.holds(at(0)));
    // Asked at 10 s; the answer came whenever it came.
    assert!(lease.renew(VersionNumber(1), at(10_000), Duration::ZERO));
    assert!(lease.holds(at(13_999)));
    assert!(!lease.holds(at(14_000)));
}

#[test]
fn a_frozen_process_finds_it_ended() {
    let mut lease = FreshnessLease::default();
    lease.renew(VersionNumber(1), at(10_000), Duration::ZERO);
    assert!(!lease.holds(at(3_600_000)));
    // An answer to a question from before the freeze does not revive it.
    lease.renew(VersionNumber(1), at(10_500), Duration::ZERO);
    assert!(!lease.holds(at(3_600_000)));
}

#[test]
fn the_age_is_counted_with_the_drift_allowance() {
    let mut lease = FreshnessLease::default();
    lease.renew(VersionNumber(1), at(10_000), Duration::from_secs(1));
    assert!(lease.holds(at(12_997)));
    assert!(!lease.holds(at(12_998)));
}

#[test]
fn a_new_keeper_waits_longer_than_any_clock_makes_the_lease() {
    let slow = LEASE_SPAN + LEASE_SPAN / 1_000;
    let fast_wait = LEASE_WAIT_SPAN.saturating_sub(LEASE_WAIT_SPAN / 1_000);
    assert!(fast_wait >= slow);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn it_never_goes_back(
        proofs in prop::collection::vec((0_u64..5, 10_000_u64..20_000, 0_u64..3_000), 1..30),
    ) {
        let mut lease = FreshnessLease::default();
        let mut newest = VersionNumber(0);
        let mut best = MonotonicTime::default();
        for (version, asked, age) in proofs {
            let version = VersionNumber(version);
            let former = lease;
            let renewed = lease.renew(version, at(asked), Duration::from_millis(age));
            prop_assert_eq!(renewed, lease != former);
            prop_assert!(lease.version() >= former.version() && lease.ends() >= former.ends());
            prop_assert!(version >= former.version() || lease == former);
            newest = newest.max(version);
            best = best.max(at(asked - age) + LEASE_SPAN);
            prop_assert!(lease.version() <= newest);
            prop_assert!(lease.ends() <= best);
        }
    }
}
