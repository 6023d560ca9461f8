//! Freshness lease: start time, clock drift and monotonicity.

use std::time::Duration;

use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::freshness::{LEASE_DURATION, LEASE_EXPIRY_WAIT};
use proptest::prelude::*;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

#[test]
fn lease_starts_when_the_request_is_sent() {
    let mut lease = FreshnessLease::default();
    assert!(!lease.holds(at(0)));
    // Sent at 10 s; the time at which the answer arrived does not matter.
    assert!(lease.renew(VersionNumber(1), at(10_000), Duration::ZERO));
    assert!(lease.holds(at(13_999)));
    assert!(!lease.holds(at(14_000)));
}

#[test]
fn lease_expires_while_the_process_is_frozen() {
    let mut lease = FreshnessLease::default();
    lease.renew(VersionNumber(1), at(10_000), Duration::ZERO);
    assert!(!lease.holds(at(3_600_000)));
    // A reply to a request sent before the freeze does not make the lease valid again.
    lease.renew(VersionNumber(1), at(10_500), Duration::ZERO);
    assert!(!lease.holds(at(3_600_000)));
}

#[test]
fn proof_age_includes_the_drift_allowance() {
    let mut lease = FreshnessLease::default();
    lease.renew(VersionNumber(1), at(10_000), Duration::from_secs(1));
    assert!(lease.holds(at(12_997)));
    assert!(!lease.holds(at(12_998)));
}

#[test]
fn lease_wait_covers_clock_drift() {
    let slow_clock_lease = LEASE_DURATION + LEASE_DURATION / 1_000;
    let fast_clock_wait = LEASE_EXPIRY_WAIT.saturating_sub(LEASE_EXPIRY_WAIT / 1_000);
    assert!(fast_clock_wait >= slow_clock_lease);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn lease_version_and_end_never_decrease(
        proofs in prop::collection::vec((0_u64..5, 10_000_u64..20_000, 0_u64..3_000), 1..30),
    ) {
        let mut lease = FreshnessLease::default();
        let mut newest = VersionNumber(0);
        let mut latest_end = MonotonicTime::default();
        for (version, sent_ms, age_ms) in proofs {
            let version = VersionNumber(version);
            let previous = lease;
            let renewed = lease.renew(version, at(sent_ms), Duration::from_millis(age_ms));
            prop_assert_eq!(renewed, lease != previous);
            prop_assert!(lease.version() >= previous.version() && lease.expires_at() >= previous.expires_at());
            prop_assert!(version >= previous.version() || lease == previous);
            newest = newest.max(version);
            latest_end = latest_end.max(at(sent_ms - age_ms) + LEASE_DURATION);
            prop_assert!(lease.version() <= newest);
            prop_assert!(lease.expires_at() <= latest_end);
        }
    }
}
