//! Requests that crash backend servers.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use daisyhinge::keeper::KeeperEvent;
use daisyhinge::keeper::crash::{CRASH_KEEP_SPAN, CRASH_ROWS_MAX, CrashBook, CrashVerdict};
use daisyhinge::keeper::ticket::RunEnd;
use daisyhinge::keeper::watch::CrashNote;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::replica::CrashRecord;
use support::*;

const BAD: RequestDigest = RequestDigest(1);
const INNOCENT: RequestDigest = RequestDigest(2);

fn reset(number: u64) -> KeeperEvent {
    KeeperEvent::Ended {
        attempt: ticket(number, at(0)).attempt,
        end: RunEnd::Reset,
    }
}

#[test]
fn two_crashes_poison_a_request_for_a_while() {
    let mut book = CrashBook::new();
    assert_eq!(book.verdict(at(0), BAD), CrashVerdict::Clear);
    book.note_crash(at(0), &[BAD], false);
    assert_eq!(book.verdict(at(0), BAD), CrashVerdict::Suspect);
    // Another server of the same loss convicts nobody; the crash of a probe does.
    assert!(book.note_crash(at(1), &[BAD], false).is_empty());
    assert_eq!(book.verdict(at(1), BAD), CrashVerdict::Suspect);
    assert_eq!(book.note_crash(at(10), &[BAD], true), [BAD]);
    assert_eq!(book.verdict(at(10), BAD), CrashVerdict::Poisoned);
    book.note_answered(at(11), BAD);
    assert_eq!(book.verdict(at(11), BAD), CrashVerdict::Poisoned);
    assert_eq!(
        book.verdict(at(9) + CRASH_KEEP_SPAN, BAD),
        CrashVerdict::Poisoned
    );
    assert_eq!(
        book.verdict(at(10) + CRASH_KEEP_SPAN, BAD),
        CrashVerdict::Clear
    );
}

#[test]
fn servers_lost_at_once_count_as_one_crash_and_a_probe_as_the_second() {
    let (mut one, mut two, mut root) = (CrashBook::new(), CrashBook::new(), CrashBook::new());
    one.note_crash(at(100), &[BAD], false);
    two.note_crash(at(200), &[BAD], false);
    for _ in 0..3 {
        root.merge(at(300), &"vm-1".into(), 1, &one.own_records(at(300)));
    }
    assert_eq!(root.verdict(at(300), BAD), CrashVerdict::Suspect);
    root.merge(at(300), &"vm-2".into(), 1, &two.own_records(at(300)));
    assert_eq!(root.verdict(at(300), BAD), CrashVerdict::Suspect);
    // The probe that follows at another keeper convicts, whoever counted the first crash.
    two.note_crash(at(350), &[BAD], true);
    root.merge(at(350), &"vm-2".into(), 1, &two.own_records(at(350)));
    assert_eq!(root.verdict(at(350), BAD), CrashVerdict::Poisoned);
    assert!(
        root.own_records(at(300)).is_empty(),
        "records are not passed on twice"
    );
    // What a keeper withdraws goes everywhere.
    two.withdraw(&[BAD]);
    root.merge(at(400), &"vm-2".into(), 1, &two.own_records(at(400)));
    assert_eq!(root.verdict(at(400), BAD), CrashVerdict::Suspect);
}

#[test]
fn what_a_keeper_told_before_its_restart_stays() {
    let record = CrashRecord {
        digest: BAD,
        crashes: 1,
        age_ms: 10,
    };
    let mut book = CrashBook::new();
    book.merge(at(100), &"vm-1".into(), 1, &[record]);
    book.merge(at(200), &"vm-1".into(), 2, &[]);
    assert_eq!(book.verdict(at(200), BAD), CrashVerdict::Suspect);
    let convicted = CrashRecord {
        crashes: 2,
        ..record
    };
    book.merge(at(300), &"vm-1".into(), 2, &[convicted]);
    assert_eq!(book.verdict(at(300), BAD), CrashVerdict::Poisoned);
    book.merge(at(400), &"vm-1".into(), 3, &[]);
    assert_eq!(book.verdict(at(400), BAD), CrashVerdict::Poisoned);
}

#[test]
fn one_that_ran_beside_is_cleared_by_its_next_answer() {
    let mut book = CrashBook::new();
    book.note_crash(at(0), &[BAD, INNOCENT], false);
    assert_eq!(book.verdict(at(1), INNOCENT), CrashVerdict::Suspect);
    book.note_answered(at(2), INNOCENT);
    assert_eq!(book.verdict(at(2), INNOCENT), CrashVerdict::Clear);
    // A crash that several share convicts nobody; one of its own does.
    assert_eq!(book.note_crash(at(3), &[BAD, INNOCENT], false), [INNOCENT]);
    assert_eq!(book.verdict(at(3), BAD), CrashVerdict::Suspect);
    assert_eq!(book.verdict(at(3), INNOCENT), CrashVerdict::Suspect);
    assert_eq!(book.note_crash(at(4), &[BAD], true), [BAD]);
    assert_eq!(book.verdict(at(4), BAD), CrashVerdict::Poisoned);
}

#[test]
fn an_answer_refutes_other_keepers_records_up_to_then() {
    let mut book = CrashBook::new();
    let record = |age_ms| CrashRecord {
        digest: INNOCENT,
        crashes: 1,
        age_ms,
    };
    book.merge(at(100), &"vm-1".into(), 1, &[record(50)]);
    book.note_answered(at(200), INNOCENT);
    book.merge(at(300), &"vm-1".into(), 1, &[record(250)]);
    assert_eq!(book.verdict(at(300), INNOCENT), CrashVerdict::Clear);
    book.merge(at(400), &"vm-1".into(), 1, &[record(10)]);
    assert_eq!(book.verdict(at(400), INNOCENT), CrashVerdict::Suspect);
}

#[test]
fn memory_is_bounded_and_the_poisoned_go_last() {
    let mut book = CrashBook::new();
    book.note_crash(at(0), &[BAD], true);
    for number in 0..3 * CRASH_ROWS_MAX as u64 {
        book.note_crash(at(1 + number), &[RequestDigest(100 + number)], false);
        assert!(book.len() <= CRASH_ROWS_MAX);
    }
    assert_eq!(book.verdict(at(10_000), BAD), CrashVerdict::Poisoned);
}

#[test]
fn a_reset_counts_at_once_and_is_withdrawn_if_the_server_is_alive() {
    let mut bench = KeeperBench::new(announce("r1", 1), at(0));
    let now = bench.warm_up(at(0));
    bench.ask(now, ticket(1, now + ms(5_000)));
    bench.ask(now, ticket(2, now + ms(5_000)));
    bench.step(now + ms(1), reset(1));
    let suspected = CrashNote::Suspected {
        digests: vec![RequestDigest(1), RequestDigest(2)],
        probe: false,
    };
    assert_eq!(bench.keeper.take_crash_notes(), [suspected]);
    // The other connection ends too: the same crash, not another.
    bench.step(now + ms(2), reset(2));
    assert!(bench.keeper.take_crash_notes().is_empty());
    // Late announcements from before show nothing; it takes several, and some time.
    for step in 1..6 {
        bench.announce(now + ms(500 * step), |_| {});
        assert!(bench.keeper.take_crash_notes().is_empty());
    }
    bench.announce(now + ms(3_100), |_| {});
    assert_eq!(bench.keeper.take_crash_notes(), [CrashNote::Withdrawn]);
    bench.announce(now + ms(3_600), |_| {});
    assert!(bench.keeper.take_crash_notes().is_empty());
    // It was late all the same: the server did crash.
    bench.announce(now + ms(4_100), |next| {
        next.incarnation = IncarnationNumber(2);
    });
    let suspected = CrashNote::Suspected {
        digests: vec![RequestDigest(1), RequestDigest(2)],
        probe: false,
    };
    let notes = bench.keeper.take_crash_notes();
    assert_eq!(notes, [suspected, CrashNote::Confirmed]);
}

#[test]
fn a_new_incarnation_or_a_failed_connect_confirms() {
    for case in 0..2 {
        let mut bench = KeeperBench::new(announce("r1", 1), at(0));
        let now = bench.warm_up(at(0));
        bench.ask(now, ticket(1, now + ms(400)));
        bench.step(now + ms(1), reset(1));
        assert_eq!(bench.keeper.take_crash_notes().len(), 1);
        if case == 0 {
            bench.announce(now + ms(1_500), |next| {
                next.incarnation = IncarnationNumber(2);
            });
        } else {
            bench.ask(now + ms(900), ticket(2, now + ms(2_000)));
            let end = KeeperEvent::Ended {
                attempt: ticket(2, now).attempt,
                end: RunEnd::ConnectFailed,
            };
            bench.step(now + ms(901), end);
        }
        assert_eq!(
            bench.keeper.take_crash_notes(),
            [CrashNote::Confirmed],
            "case {case}"
        );
    }
}

#[test]
fn a_new_incarnation_that_is_heard_of_first_counts_once() {
    let mut bench = KeeperBench::new(announce("r1", 1), at(0));
    let now = bench.warm_up(at(0));
    bench.ask(now, ticket(1, now + ms(400)));
    bench.announce(now + ms(5), |next| next.incarnation = IncarnationNumber(2));
    let notes = bench.keeper.take_crash_notes();
    let suspected = CrashNote::Suspected {
        digests: vec![RequestDigest(1)],
        probe: false,
    };
    assert_eq!(notes, [suspected, CrashNote::Confirmed]);
    assert_eq!(
        bench.keeper.load().running,
        1,
        "it may run in the new process"
    );
    let actions = bench.step(now + ms(6), reset(1));
    assert!(bench.keeper.take_crash_notes().is_empty());
    assert_eq!(cancelled(&actions), [1]);
}

#[test]
fn a_crash_after_the_request_was_given_up_counts_too() {
    let mut bench = KeeperBench::new(announce("r1", 1), at(0));
    let now = bench.warm_up(at(0));
    bench.ask(now, ticket(1, now + ms(50)));
    let end = KeeperEvent::Ended {
        attempt: ticket(1, now).attempt,
        end: RunEnd::Expired,
    };
    bench.step(now + ms(50), end);
    bench.step(now + ms(900), KeeperEvent::Tick);
    assert_eq!(bench.keeper.load().running, 0);
    bench.announce(now + ms(1_500), |next| {
        next.incarnation = IncarnationNumber(2);
    });
    let suspected = CrashNote::Suspected {
        digests: vec![RequestDigest(1)],
        probe: false,
    };
    let notes = bench.keeper.take_crash_notes();
    assert_eq!(notes, [suspected, CrashNote::Confirmed]);
}

#[test]
fn a_suspect_that_was_given_up_is_blamed_alone() {
    let mut bench = KeeperBench::new(announce("r1", 1), at(0));
    let now = bench.warm_up(at(0));
    let expired = |number| KeeperEvent::Ended {
        attempt: ticket(number, now).attempt,
        end: RunEnd::Expired,
    };
    bench.ask(now, ticket(1, now + ms(50)));
    bench.step(now + ms(50), expired(1));
    let alone = KeeperEvent::AskedAlone(ticket(2, now + ms(500)));
    assert_eq!(sent(&bench.step(now + ms(400), alone)), [2]);
    bench.step(now + ms(500), expired(2));
    bench.step(now + ms(900), KeeperEvent::Tick);
    bench.announce(now + ms(1_500), |next| {
        next.incarnation = IncarnationNumber(2);
    });
    let suspected = CrashNote::Suspected {
        digests: vec![RequestDigest(2)],
        probe: true,
    };
    let notes = bench.keeper.take_crash_notes();
    assert_eq!(notes, [suspected, CrashNote::Confirmed]);
}

#[test]
fn a_suspect_runs_alone() {
    let mut bench = KeeperBench::new(announce("r1", 1), at(0));
    let now = bench.warm_up(at(0));
    let expires = now + ms(500);
    assert_eq!(sent(&bench.ask(now, ticket(1, expires))), [1]);
    let alone = KeeperEvent::AskedAlone(ticket(2, expires));
    assert!(sent(&bench.step(now, alone)).is_empty());
    assert!(sent(&bench.ask(now, ticket(3, expires))).is_empty());
    let answered = |number| KeeperEvent::Ended {
        attempt: ticket(number, expires).attempt,
        end: RunEnd::Answered { took: ms(5) },
    };
    assert_eq!(sent(&bench.step(now + ms(5), answered(1))), [2]);
    assert_eq!(sent(&bench.step(now + ms(10), answered(2))), [3]);
}

/// An entry that starts after a keeper has gone hears of its crashes from those that it told.
#[test]
fn records_outlive_the_keeper_that_counted_them() {
    let digest = RequestDigest(7);
    let mut lost = CrashBook::new();
    lost.note_crash(at(0), &[digest], false);
    let mut other = CrashBook::new();
    other.merge(at(100), &"vm-1".into(), 1, &lost.own_records(at(100)));
    assert!(
        other.own_records(at(200)).is_empty(),
        "its keeper still tells it"
    );
    let later = at(10_000);
    let mut started = CrashBook::new();
    started.merge(later, &"vm-2".into(), 1, &other.own_records(later));
    assert_eq!(started.verdict(later, digest), CrashVerdict::Suspect);
}
