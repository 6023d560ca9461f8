//! Crash records that entries exchange.

use std::time::Duration;

use daisyhinge::crash::{CRASH_RETENTION, PoisonStatus};
use daisyhinge::dispatch::Dispatcher;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::registration::CrashReport;

use crate::support::{at, dispatcher, record};

const CRASHING: RequestDigest = RequestDigest(7);

/// Records a reset of the crashing request, at another replica the more crashes were on record when
/// it was sent.
fn reset(dispatcher: &mut Dispatcher, ms: u64, crashes_before: u32) {
    let centre = ["a", "b", "c"][crashes_before as usize];
    let replica = record(&format!("shard-0-{centre}"), "shard-0", centre, 1_001);
    dispatcher
        .crashes
        .record_reset(at(ms), CRASHING, Some(&replica), crashes_before);
}

/// Returns a dispatcher at which the request is blocked.
fn blocked() -> Dispatcher {
    let mut dispatcher = dispatcher(1);
    (0..3).for_each(|crashes| reset(&mut dispatcher, crashes.into(), crashes));
    dispatcher
}

fn report(dispatcher: &Dispatcher, ms: u64, incarnation: u64, revision: u64) -> CrashReport {
    CrashReport {
        vm: "entry-2".into(),
        incarnation,
        revision,
        records: dispatcher.crashes.list_records(at(ms)),
    }
}

fn status(dispatcher: &Dispatcher, ms: u64) -> PoisonStatus {
    dispatcher.crashes.poison_status(at(ms), CRASHING)
}

#[test]
fn request_poisoned_at_one_entry_is_refused_at_another() {
    let (first, mut second) = (blocked(), dispatcher(1));
    second.crashes.merge(at(20), &report(&first, 20, 1, 1));
    assert_eq!(status(&second, 20), PoisonStatus::Poisoned);
    let expiry = 2 + 600_000;
    assert_eq!(CRASH_RETENTION, Duration::from_mins(10));
    assert_eq!(status(&second, expiry - 20), PoisonStatus::Poisoned);
    assert_eq!(status(&second, expiry + 20), PoisonStatus::Clear);
}

#[test]
fn crash_of_a_probe_after_a_reported_crash_counts_as_the_second() {
    let (mut first, mut second) = (dispatcher(1), dispatcher(1));
    reset(&mut first, 0, 0);
    second.crashes.merge(at(20), &report(&first, 20, 1, 1));
    assert_eq!(status(&second, 20), PoisonStatus::Suspect);
    reset(&mut second, 30, 1);
    assert_eq!(status(&second, 30), PoisonStatus::Poisoned);
}

/// The crash that made a request a suspect may be withdrawn at the entry that recorded it.
#[test]
fn withdrawn_crash_of_another_entry_does_not_hold_a_request() {
    let (mut first, mut second) = (dispatcher(1), dispatcher(1));
    reset(&mut first, 0, 0);
    second.crashes.merge(at(20), &report(&first, 20, 1, 1));
    reset(&mut second, 30, 1);
    first
        .crashes
        .record_alive(at(40), &"shard-0-a".into(), at(35));
    second.crashes.merge(at(60), &report(&first, 60, 1, 2));
    assert_eq!(status(&second, 60), PoisonStatus::Suspect);
}

#[test]
fn records_of_a_restarted_entry_stay() {
    let (first, mut second) = (blocked(), dispatcher(1));
    second.crashes.merge(at(20), &report(&first, 20, 1, 1));
    let restarted = dispatcher(1);
    second
        .crashes
        .merge(at(900), &report(&restarted, 900, 2, 1));
    assert_eq!(status(&second, 900), PoisonStatus::Poisoned);
}

/// All control processes and the entry that counted the crashes may be lost at once.
#[test]
fn records_that_control_lost_are_reported_by_the_entries_that_have_them() {
    let (first, mut second) = (blocked(), dispatcher(1));
    let former = report(&first, 20, 1, 1);
    second.crashes.merge(at(20), &former);
    let listed = [former];
    second.crashes.retain_listed(at(30), &listed);
    assert!(second.crashes.list_records(at(20_000)).is_empty());
    second.crashes.retain_listed(at(30_000), &[]);
    assert!(second.crashes.list_records(at(30_100)).is_empty());
    let mut third = dispatcher(1);
    let adopted = report(&second, 33_100, 3, 1);
    third.crashes.merge(at(33_100), &adopted);
    assert_eq!(status(&third, 33_100), PoisonStatus::Poisoned);
}

#[test]
fn report_is_bounded_and_begins_with_the_refused_requests() {
    let mut dispatcher = blocked();
    let replica = record("shard-0-a", "shard-0", "a", 1_001);
    for number in 0..400 {
        let digest = RequestDigest(1_000 + number);
        let crashes = &mut dispatcher.crashes;
        crashes.record_reset(at(10 + number), digest, Some(&replica), 0);
    }
    let records = dispatcher.crashes.list_records(at(500));
    assert_eq!(records.len(), 256);
    assert_eq!((records[0].digest, records[0].crashes), (CRASHING, 3));
}
