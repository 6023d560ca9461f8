//! Slots, queue and connections of one replica.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use daisyhinge::keeper::KeeperEvent;
use daisyhinge::keeper::slots::TRANSIT_ALLOWANCE;
use daisyhinge::keeper::sub_request::DispatchOutcome;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::ServerState;
use daisyhinge::vocabulary::freshness::DISPATCH_GRACE;
use support::*;

fn warm_harness() -> (KeeperHarness, MonotonicTime) {
    let mut harness = KeeperHarness::new(announce("r1", 1), at(0));
    let now = harness.warm_up(at(0));
    (harness, now)
}

fn ended(number: u64, end: DispatchOutcome) -> KeeperEvent {
    KeeperEvent::Ended {
        attempt: info(number, at(0)).attempt,
        end,
    }
}

fn answered(number: u64, took_ms: u64) -> KeeperEvent {
    ended(number, DispatchOutcome::Answered { took: ms(took_ms) })
}

#[test]
fn a_slot_stays_occupied_until_the_server_has_definitely_stopped() {
    for end in [
        DispatchOutcome::Expired,
        DispatchOutcome::Reset,
        DispatchOutcome::BadAnswer(ResultCode::AnswerMismatch),
    ] {
        let (mut harness, now) = warm_harness();
        let expires = now + ms(100);
        harness.dispatch(now, info(1, expires));
        harness.step(now + ms(1), KeeperEvent::Dropped(info(1, expires).attempt));
        harness.step(now + ms(2), ended(1, end));
        let occupied_until = expires + TRANSIT_ALLOWANCE;
        harness.step(occupied_until, KeeperEvent::Tick);
        assert_eq!(harness.keeper.load().running, 1, "{end:?}");
        harness.step(occupied_until + ms(1), KeeperEvent::Tick);
        assert_eq!(harness.keeper.load().running, 0, "{end:?}");
    }
}

#[test]
fn a_slow_write_extends_the_occupancy_of_a_slot() {
    let (mut harness, now) = warm_harness();
    let first = info(1, now + ms(100));
    harness.dispatch(now, first);
    harness.step(now + ms(80), KeeperEvent::Written(first.attempt));
    harness.step(
        first.expires + TRANSIT_ALLOWANCE + ms(79),
        KeeperEvent::Tick,
    );
    assert_eq!(harness.keeper.load().running, 1);
    harness.step(
        first.expires + TRANSIT_ALLOWANCE + ms(81),
        KeeperEvent::Tick,
    );
    assert_eq!(harness.keeper.load().running, 0);
}

#[test]
fn a_slot_is_freed_only_by_an_answer_or_a_confirmed_cancel() {
    let (mut harness, now) = warm_harness();
    let expires = now + ms(1_000);
    harness.dispatch(now, info(1, expires));
    harness.dispatch(now, info(2, expires));
    let actions = harness.step(now + ms(1), KeeperEvent::Dropped(info(1, expires).attempt));
    assert_eq!(cancelled(&actions), [1]);
    assert_eq!(harness.keeper.load().running, 2);
    let attempt = info(1, expires).attempt;
    let stopped = |stopped| KeeperEvent::CancelEnded { attempt, stopped };
    harness.step(now + ms(2), stopped(false));
    assert_eq!(harness.keeper.load().running, 2);
    harness.step(now + ms(3), stopped(true));
    assert_eq!(harness.keeper.load().running, 1);
    // A late outcome of the same dispatch frees no other slot.
    harness.step(now + ms(4), answered(1, 3));
    assert_eq!(harness.keeper.load().running, 1);
    harness.step(now + ms(5), answered(2, 5));
    harness.step(now + ms(5), answered(2, 5));
    assert_eq!(harness.keeper.load().running, 0);
}

#[test]
fn the_queue_admits_only_requests_that_can_meet_their_deadline() {
    let (mut harness, mut now) = warm_harness();
    for number in 0..20 {
        harness.dispatch(now, info(number, now + ms(100)));
        now = now + ms(10);
        harness.step(now, answered(number, 10));
    }
    harness.announce(now, |_| {});
    for number in 100..102 {
        assert_eq!(
            sent(&harness.dispatch(now, info(number, now + ms(100)))),
            [number]
        );
    }
    // At 10 ms each and two at a time, the fourth in the queue would wait 20 ms and run for 10 ms.
    let queued = (110..120).filter(|number| {
        let actions = harness.dispatch(now, info(*number, now + ms(27)));
        refused(&actions).is_empty()
    });
    assert_eq!(queued.count(), 3);
    let actions = harness.dispatch(now, info(130, now + ms(25)));
    assert_eq!(refused(&actions), [ResultCode::SlotsBusy]);
    let hedge = daisyhinge::keeper::sub_request::SubRequestInfo {
        hedge: true,
        ..info(131, now + ms(1_000))
    };
    assert_eq!(
        refused(&harness.dispatch(now, hedge)),
        [ResultCode::SlotsBusy]
    );
    // A freed slot goes to the head of the queue.
    assert_eq!(sent(&harness.step(now + ms(5), answered(100, 5))), [110]);
    // The others are refused as soon as they expire.
    let wake = harness.keeper.next_wake().expect("a wake-up time");
    assert!(wake <= now + ms(27));
    let actions = harness.step(now + ms(27), KeeperEvent::Tick);
    assert_eq!(refused(&actions), [ResultCode::SubRequestExpired; 2]);
}

#[test]
fn a_request_that_expires_behind_the_head_of_the_queue_is_refused() {
    let (mut harness, now) = warm_harness();
    for number in 0..2 {
        harness.dispatch(now, info(number, now + ms(900)));
    }
    harness.dispatch(now, info(2, now + ms(900)));
    harness.dispatch(now, info(3, now + ms(50)));
    assert_eq!(harness.keeper.load().queued, 2);
    let actions = harness.step(now + ms(50), KeeperEvent::Tick);
    assert_eq!(refused(&actions), [ResultCode::SubRequestExpired]);
    assert_eq!(harness.keeper.load().queued, 1);
}

#[test]
fn queued_requests_are_refused_when_the_gate_closes_or_the_replica_leaves() {
    for case in 0..4 {
        let (mut harness, now) = warm_harness();
        for number in 0..3 {
            harness.dispatch(now, info(number, now + ms(1_000)));
        }
        assert_eq!(harness.keeper.load().queued, 1);
        let (event, code) = match case {
            0 => {
                harness.gate.lease_ends = now + ms(1);
                (KeeperEvent::Tick, ResultCode::NoLease)
            }
            1 => {
                harness.gate.centre_in_service = false;
                (answered(0, 1), ResultCode::CentreOut)
            }
            2 => {
                harness.gate.is_keeper = false;
                (answered(0, 1), ResultCode::NotKeeper)
            }
            _ => {
                let left = KeeperEvent::Left(IncarnationNumber(1));
                (left, ResultCode::ReplicaDraining)
            }
        };
        let actions = harness.step(now + ms(1), event);
        assert_eq!(refused(&actions), [code]);
        assert!(sent(&actions).is_empty());
    }
}

#[test]
fn a_replica_that_left_is_not_restored_by_a_late_announcement() {
    let (mut harness, now) = warm_harness();
    harness.step(now, KeeperEvent::Left(IncarnationNumber(1)));
    harness.announce(now + ms(10), |_| {});
    let actions = harness.dispatch(now + ms(20), info(1, now + ms(500)));
    assert_eq!(refused(&actions), [ResultCode::ReplicaDraining]);
    harness.announce(now + ms(30), |next| next.incarnation = IncarnationNumber(2));
    let actions = harness.dispatch(now + ms(40), info(2, now + ms(500)));
    assert_eq!(sent(&actions), [2]);
}

#[test]
fn an_expired_or_draining_replica_gets_no_work() {
    let (mut harness, now) = warm_harness();
    let late = now + ms(3_001);
    let actions = harness.dispatch(late, info(1, late + ms(100)));
    assert_eq!(refused(&actions), [ResultCode::ReplicaDraining]);
    harness.announce(late, |next| next.state = ServerState::Draining);
    let actions = harness.dispatch(late, info(2, late + ms(100)));
    assert_eq!(refused(&actions), [ResultCode::ReplicaDraining]);
}

#[test]
fn connections_are_bounded_and_cancels_wait_for_a_free_one() {
    let mut limited = announce("r1", 1);
    limited.connections = 2;
    let mut harness = KeeperHarness::new(limited, at(0));
    let now = harness.warm_up(at(0));
    let expires = now + ms(1_000);
    harness.dispatch(now, info(1, expires));
    harness.dispatch(now, info(2, expires));
    assert_eq!(harness.keeper.connections_max(), 2);
    let actions = harness.step(now, KeeperEvent::Dropped(info(1, expires).attempt));
    assert!(
        cancelled(&actions).is_empty(),
        "no connection is free for a cancel"
    );
    let actions = harness.step(now + ms(1), answered(2, 1));
    assert_eq!(cancelled(&actions), [1]);
    let actions = harness.dispatch(now + ms(2), info(3, expires));
    assert!(sent(&actions).is_empty());
    assert!(refused(&actions).is_empty());
}

#[test]
fn a_connection_is_reused_only_after_its_own_complete_answer() {
    let reused = [
        DispatchOutcome::Answered { took: ms(1) },
        DispatchOutcome::Shed { retry: ms(0) },
        DispatchOutcome::NotHeld,
        DispatchOutcome::Failed,
    ];
    assert!(reused.into_iter().all(DispatchOutcome::keeps_connection));
    let closed = [
        DispatchOutcome::NotSent,
        DispatchOutcome::ConnectFailed,
        DispatchOutcome::Reset,
        DispatchOutcome::Expired,
        DispatchOutcome::BadAnswer(ResultCode::AnswerDamaged),
    ];
    assert!(!closed.into_iter().any(DispatchOutcome::keeps_connection));
}

#[test]
fn no_work_outlives_the_lease_by_more_than_the_dispatch_grace() {
    for state in [ServerState::Cold, ServerState::Ready] {
        let mut announcement = announce("r1", 1);
        announcement.state = state;
        let mut harness = KeeperHarness::new(announcement, at(0));
        harness.gate.lease_ends = at(3_000);
        let latest = at(3_000) + DISPATCH_GRACE;
        let actions = harness.dispatch(at(10), info(1, latest + ms(1)));
        assert_eq!(refused(&actions), [ResultCode::NoLease]);
        assert_eq!(sent(&harness.dispatch(at(10), info(2, latest))), [2]);
    }
}
