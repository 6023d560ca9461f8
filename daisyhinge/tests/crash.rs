//! Crash records by request: counts, expiry, merging and bounds.

use daisyhinge::crash::{CRASH_RECORDS_MAX, CRASH_RETENTION, CrashTracker, PoisonStatus};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::replica::CrashRecord;

const CRASHING: RequestDigest = RequestDigest(1);
const INNOCENT: RequestDigest = RequestDigest(2);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(ms * 1_000)
}

#[test]
fn two_crashes_poison_a_request_until_the_records_expire() {
    let mut tracker = CrashTracker::new();
    assert_eq!(tracker.poison_status(at(0), CRASHING), PoisonStatus::Clear);
    tracker.record_crash(at(0), &[CRASHING], false);
    assert_eq!(
        tracker.poison_status(at(0), CRASHING),
        PoisonStatus::Suspect
    );
    // A second server lost in the same outage does not poison the request; the crash of a probe
    // does.
    assert!(tracker.record_crash(at(1), &[CRASHING], false).is_empty());
    assert_eq!(
        tracker.poison_status(at(1), CRASHING),
        PoisonStatus::Suspect
    );
    assert_eq!(tracker.record_crash(at(10), &[CRASHING], true), [CRASHING]);
    assert_eq!(
        tracker.poison_status(at(10), CRASHING),
        PoisonStatus::Poisoned
    );
    tracker.record_answered(at(11), CRASHING);
    assert_eq!(
        tracker.poison_status(at(11), CRASHING),
        PoisonStatus::Poisoned
    );
    assert_eq!(
        tracker.poison_status(at(9) + CRASH_RETENTION, CRASHING),
        PoisonStatus::Poisoned
    );
    assert_eq!(
        tracker.poison_status(at(10) + CRASH_RETENTION, CRASHING),
        PoisonStatus::Clear
    );
}

#[test]
fn simultaneous_crashes_count_once_and_a_probe_counts_as_the_second() {
    let (mut first, mut second, mut root) = (
        CrashTracker::new(),
        CrashTracker::new(),
        CrashTracker::new(),
    );
    first.record_crash(at(100), &[CRASHING], false);
    second.record_crash(at(200), &[CRASHING], false);
    for _ in 0..3 {
        root.merge(at(300), &"vm-1".into(), 1, &first.own_records(at(300)));
    }
    assert_eq!(root.poison_status(at(300), CRASHING), PoisonStatus::Suspect);
    root.merge(at(300), &"vm-2".into(), 1, &second.own_records(at(300)));
    assert_eq!(root.poison_status(at(300), CRASHING), PoisonStatus::Suspect);
    // The crash of a probe at another keeper poisons the request, whichever keeper counted the
    // first crash.
    second.record_crash(at(350), &[CRASHING], true);
    root.merge(at(350), &"vm-2".into(), 1, &second.own_records(at(350)));
    assert_eq!(
        root.poison_status(at(350), CRASHING),
        PoisonStatus::Poisoned
    );
    assert!(
        root.own_records(at(300)).is_empty(),
        "records of a live keeper are not forwarded"
    );
    // A withdrawal reaches the other keepers.
    second.withdraw(&[CRASHING]);
    root.merge(at(400), &"vm-2".into(), 1, &second.own_records(at(400)));
    assert_eq!(root.poison_status(at(400), CRASHING), PoisonStatus::Suspect);
}

#[test]
fn records_from_before_a_keeper_restart_are_retained() {
    let record = CrashRecord {
        digest: CRASHING,
        crashes: 1,
        age_ms: 10,
    };
    let mut tracker = CrashTracker::new();
    tracker.merge(at(100), &"vm-1".into(), 1, &[record]);
    tracker.merge(at(200), &"vm-1".into(), 2, &[]);
    assert_eq!(
        tracker.poison_status(at(200), CRASHING),
        PoisonStatus::Suspect
    );
    let poisoned = CrashRecord {
        crashes: 2,
        ..record
    };
    tracker.merge(at(300), &"vm-1".into(), 2, &[poisoned]);
    assert_eq!(
        tracker.poison_status(at(300), CRASHING),
        PoisonStatus::Poisoned
    );
    tracker.merge(at(400), &"vm-1".into(), 3, &[]);
    assert_eq!(
        tracker.poison_status(at(400), CRASHING),
        PoisonStatus::Poisoned
    );
}

#[test]
fn an_innocent_request_is_cleared_by_its_next_answer() {
    let mut tracker = CrashTracker::new();
    tracker.record_crash(at(0), &[CRASHING, INNOCENT], false);
    assert_eq!(
        tracker.poison_status(at(1), INNOCENT),
        PoisonStatus::Suspect
    );
    tracker.record_answered(at(2), INNOCENT);
    assert_eq!(tracker.poison_status(at(2), INNOCENT), PoisonStatus::Clear);
    // A crash while several requests run poisons none of them, since each may be the cause. A crash
    // of a probe, which runs alone, poisons its request.
    assert_eq!(
        tracker.record_crash(at(3), &[CRASHING, INNOCENT], false),
        [INNOCENT]
    );
    assert_eq!(
        tracker.poison_status(at(3), CRASHING),
        PoisonStatus::Suspect
    );
    assert_eq!(
        tracker.poison_status(at(3), INNOCENT),
        PoisonStatus::Suspect
    );
    assert_eq!(tracker.record_crash(at(4), &[CRASHING], true), [CRASHING]);
    assert_eq!(
        tracker.poison_status(at(4), CRASHING),
        PoisonStatus::Poisoned
    );
}

#[test]
fn an_answer_refutes_earlier_records_of_other_keepers() {
    let mut tracker = CrashTracker::new();
    let record = |age_ms| CrashRecord {
        digest: INNOCENT,
        crashes: 1,
        age_ms,
    };
    tracker.merge(at(100), &"vm-1".into(), 1, &[record(50)]);
    tracker.record_answered(at(200), INNOCENT);
    tracker.merge(at(300), &"vm-1".into(), 1, &[record(250)]);
    assert_eq!(
        tracker.poison_status(at(300), INNOCENT),
        PoisonStatus::Clear
    );
    tracker.merge(at(400), &"vm-1".into(), 1, &[record(10)]);
    assert_eq!(
        tracker.poison_status(at(400), INNOCENT),
        PoisonStatus::Suspect
    );
}

#[test]
fn memory_is_bounded_and_poisoned_requests_are_evicted_last() {
    let mut tracker = CrashTracker::new();
    tracker.record_crash(at(0), &[CRASHING], true);
    for number in 0..3 * CRASH_RECORDS_MAX as u64 {
        tracker.record_crash(at(1 + number), &[RequestDigest(100 + number)], false);
        assert!(tracker.len() <= CRASH_RECORDS_MAX);
    }
    assert_eq!(
        tracker.poison_status(at(10_000), CRASHING),
        PoisonStatus::Poisoned
    );
}

/// An entry that starts after a keeper was lost receives the keeper's crash records from the
/// entries to which the keeper had sent them.
#[test]
fn records_outlive_the_keeper_that_counted_them() {
    let digest = RequestDigest(7);
    let mut lost = CrashTracker::new();
    lost.record_crash(at(0), &[digest], false);
    let mut other = CrashTracker::new();
    other.merge(at(100), &"vm-1".into(), 1, &lost.own_records(at(100)));
    assert!(
        other.own_records(at(200)).is_empty(),
        "the live keeper publishes the record"
    );
    let joined_at = at(10_000);
    let mut new_entry = CrashTracker::new();
    new_entry.merge(joined_at, &"vm-2".into(), 1, &other.own_records(joined_at));
    assert_eq!(
        new_entry.poison_status(joined_at, digest),
        PoisonStatus::Suspect
    );
}

/// Reports of one crash differ by the delays of their messages.
#[test]
fn repeated_report_of_a_crash_does_not_revive_a_cleared_request() {
    let mut tracker = CrashTracker::new();
    let record = |age_ms| CrashRecord {
        digest: CRASHING,
        crashes: 1,
        age_ms,
    };
    let keeper = VmName::from("entry-1");
    tracker.merge(at(10), &keeper, 1, &[record(0)]);
    tracker.record_answered(at(12), CRASHING);
    tracker.merge(at(20), &keeper, 1, &[record(7)]);
    assert_eq!(tracker.poison_status(at(20), CRASHING), PoisonStatus::Clear);
    tracker.merge(at(3_000), &keeper, 1, &[record(5)]);
    assert_eq!(
        tracker.poison_status(at(3_000), CRASHING),
        PoisonStatus::Suspect
    );
}

/// Records of a ninth source were dropped in silence.
#[test]
fn poisoning_record_is_kept_beside_many_weaker_sources() {
    let mut tracker = CrashTracker::new();
    let record = |crashes| CrashRecord {
        digest: CRASHING,
        crashes,
        age_ms: 0,
    };
    for number in 0..8 {
        let keeper = VmName::from(format!("entry-{number}"));
        tracker.merge(at(0), &keeper, 1, &[record(1)]);
    }
    tracker.merge(at(1), &"entry-8".into(), 1, &[record(2)]);
    assert_eq!(
        tracker.poison_status(at(1), CRASHING),
        PoisonStatus::Poisoned
    );
}
