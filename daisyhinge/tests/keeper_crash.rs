//! Attribution of crashes to requests.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use daisyhinge::keeper::KeeperEvent;
use daisyhinge::keeper::crash_detection::CrashUpdate;
use daisyhinge::keeper::sub_request::DispatchOutcome;
use daisyhinge::prelude::*;
use support::*;

fn reset(number: u64) -> KeeperEvent {
    KeeperEvent::Ended {
        attempt: info(number, at(0)).attempt,
        end: DispatchOutcome::Reset,
    }
}

#[test]
fn a_reset_counts_at_once_and_is_withdrawn_if_the_server_is_alive() {
    let mut harness = KeeperHarness::new(announce("r1", 1), at(0));
    let now = harness.warm_up(at(0));
    harness.dispatch(now, info(1, now + ms(5_000)));
    harness.dispatch(now, info(2, now + ms(5_000)));
    harness.step(now + ms(1), reset(1));
    let suspected = CrashUpdate::Suspected {
        digests: vec![RequestDigest(1), RequestDigest(2)],
        probe: false,
    };
    assert_eq!(harness.keeper.take_crash_updates(), [suspected]);
    // The second connection ends because of the same crash.
    harness.step(now + ms(2), reset(2));
    assert!(harness.keeper.take_crash_updates().is_empty());
    // An announcement may have been in transit since before the reset, so several are needed, over
    // some time.
    for step in 1..6 {
        harness.announce(now + ms(500 * step), |_| {});
        assert!(harness.keeper.take_crash_updates().is_empty());
    }
    harness.announce(now + ms(3_100), |_| {});
    assert_eq!(
        harness.keeper.take_crash_updates(),
        [CrashUpdate::Withdrawn]
    );
    harness.announce(now + ms(3_600), |_| {});
    assert!(harness.keeper.take_crash_updates().is_empty());
    // The announcements were misleading: the server did crash.
    harness.announce(now + ms(4_100), |next| {
        next.incarnation = IncarnationNumber(2);
    });
    let suspected = CrashUpdate::Suspected {
        digests: vec![RequestDigest(1), RequestDigest(2)],
        probe: false,
    };
    let updates = harness.keeper.take_crash_updates();
    assert_eq!(updates, [suspected, CrashUpdate::Confirmed]);
}

#[test]
fn a_new_incarnation_or_a_failed_connect_confirms_a_crash() {
    for case in 0..2 {
        let mut harness = KeeperHarness::new(announce("r1", 1), at(0));
        let now = harness.warm_up(at(0));
        harness.dispatch(now, info(1, now + ms(400)));
        harness.step(now + ms(1), reset(1));
        assert_eq!(harness.keeper.take_crash_updates().len(), 1);
        if case == 0 {
            harness.announce(now + ms(1_500), |next| {
                next.incarnation = IncarnationNumber(2);
            });
        } else {
            harness.dispatch(now + ms(900), info(2, now + ms(2_000)));
            let end = KeeperEvent::Ended {
                attempt: info(2, now).attempt,
                end: DispatchOutcome::ConnectFailed,
            };
            harness.step(now + ms(901), end);
        }
        assert_eq!(
            harness.keeper.take_crash_updates(),
            [CrashUpdate::Confirmed],
            "case {case}"
        );
    }
}

#[test]
fn a_crash_counts_once_if_the_new_incarnation_is_announced_before_the_reset() {
    let mut harness = KeeperHarness::new(announce("r1", 1), at(0));
    let now = harness.warm_up(at(0));
    harness.dispatch(now, info(1, now + ms(400)));
    harness.announce(now + ms(5), |next| next.incarnation = IncarnationNumber(2));
    let updates = harness.keeper.take_crash_updates();
    let suspected = CrashUpdate::Suspected {
        digests: vec![RequestDigest(1)],
        probe: false,
    };
    assert_eq!(updates, [suspected, CrashUpdate::Confirmed]);
    assert_eq!(
        harness.keeper.load().running,
        1,
        "the sub-request may run in the new process"
    );
    let actions = harness.step(now + ms(6), reset(1));
    assert!(harness.keeper.take_crash_updates().is_empty());
    assert_eq!(cancelled(&actions), [1]);
}

#[test]
fn a_crash_is_attributed_to_a_recently_abandoned_request() {
    let mut harness = KeeperHarness::new(announce("r1", 1), at(0));
    let now = harness.warm_up(at(0));
    harness.dispatch(now, info(1, now + ms(50)));
    let end = KeeperEvent::Ended {
        attempt: info(1, now).attempt,
        end: DispatchOutcome::Expired,
    };
    harness.step(now + ms(50), end);
    harness.step(now + ms(900), KeeperEvent::Tick);
    assert_eq!(harness.keeper.load().running, 0);
    harness.announce(now + ms(1_500), |next| {
        next.incarnation = IncarnationNumber(2);
    });
    let suspected = CrashUpdate::Suspected {
        digests: vec![RequestDigest(1)],
        probe: false,
    };
    let updates = harness.keeper.take_crash_updates();
    assert_eq!(updates, [suspected, CrashUpdate::Confirmed]);
}

#[test]
fn a_crash_is_attributed_only_to_an_abandoned_isolated_suspect() {
    let mut harness = KeeperHarness::new(announce("r1", 1), at(0));
    let now = harness.warm_up(at(0));
    let expired = |number| KeeperEvent::Ended {
        attempt: info(number, now).attempt,
        end: DispatchOutcome::Expired,
    };
    harness.dispatch(now, info(1, now + ms(50)));
    harness.step(now + ms(50), expired(1));
    let isolated = KeeperEvent::RequestedIsolated(info(2, now + ms(500)));
    assert_eq!(sent(&harness.step(now + ms(400), isolated)), [2]);
    harness.step(now + ms(500), expired(2));
    harness.step(now + ms(900), KeeperEvent::Tick);
    harness.announce(now + ms(1_500), |next| {
        next.incarnation = IncarnationNumber(2);
    });
    let suspected = CrashUpdate::Suspected {
        digests: vec![RequestDigest(2)],
        probe: true,
    };
    let updates = harness.keeper.take_crash_updates();
    assert_eq!(updates, [suspected, CrashUpdate::Confirmed]);
}

#[test]
fn a_suspect_runs_in_isolation() {
    let mut harness = KeeperHarness::new(announce("r1", 1), at(0));
    let now = harness.warm_up(at(0));
    let expires = now + ms(500);
    assert_eq!(sent(&harness.dispatch(now, info(1, expires))), [1]);
    let isolated = KeeperEvent::RequestedIsolated(info(2, expires));
    assert!(sent(&harness.step(now, isolated)).is_empty());
    assert!(sent(&harness.dispatch(now, info(3, expires))).is_empty());
    let answered = |number| KeeperEvent::Ended {
        attempt: info(number, expires).attempt,
        end: DispatchOutcome::Answered { took: ms(5) },
    };
    assert_eq!(sent(&harness.step(now + ms(5), answered(1))), [2]);
    assert_eq!(sent(&harness.step(now + ms(10), answered(2))), [3]);
}
