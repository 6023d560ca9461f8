//! Slots, queue and connections of one replica.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use daisyhinge::keeper::KeeperEvent;
use daisyhinge::keeper::slots::TRANSIT_ALLOWANCE;
use daisyhinge::keeper::ticket::RunEnd;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::ServerState;
use daisyhinge::vocabulary::freshness::RUN_TAIL;
use support::*;

fn warm_bench() -> (KeeperBench, MonotonicTime) {
    let mut bench = KeeperBench::new(announce("r1", 1), at(0));
    let now = bench.warm_up(at(0));
    (bench, now)
}

fn ended(number: u64, end: RunEnd) -> KeeperEvent {
    KeeperEvent::Ended {
        attempt: ticket(number, at(0)).attempt,
        end,
    }
}

fn answered(number: u64, took_ms: u64) -> KeeperEvent {
    ended(number, RunEnd::Answered { took: ms(took_ms) })
}

#[test]
fn a_slot_stays_occupied_until_the_server_has_certainly_stopped() {
    for end in [
        RunEnd::Expired,
        RunEnd::Reset,
        RunEnd::BadAnswer(ResultCode::AnswerMismatch),
    ] {
        let (mut bench, now) = warm_bench();
        let expires = now + ms(100);
        bench.ask(now, ticket(1, expires));
        bench.step(
            now + ms(1),
            KeeperEvent::Dropped(ticket(1, expires).attempt),
        );
        bench.step(now + ms(2), ended(1, end));
        let held = expires + TRANSIT_ALLOWANCE;
        bench.step(held, KeeperEvent::Tick);
        assert_eq!(bench.keeper.load().running, 1, "{end:?}");
        bench.step(held + ms(1), KeeperEvent::Tick);
        assert_eq!(bench.keeper.load().running, 0, "{end:?}");
    }
}

#[test]
fn what_passes_before_the_last_byte_is_written_holds_the_slot_longer() {
    let (mut bench, now) = warm_bench();
    let first = ticket(1, now + ms(100));
    bench.ask(now, first);
    bench.step(now + ms(80), KeeperEvent::Written(first.attempt));
    bench.step(
        first.expires + TRANSIT_ALLOWANCE + ms(79),
        KeeperEvent::Tick,
    );
    assert_eq!(bench.keeper.load().running, 1);
    bench.step(
        first.expires + TRANSIT_ALLOWANCE + ms(81),
        KeeperEvent::Tick,
    );
    assert_eq!(bench.keeper.load().running, 0);
}

#[test]
fn a_slot_is_freed_by_the_answer_or_by_a_confirmed_cancel_only() {
    let (mut bench, now) = warm_bench();
    let expires = now + ms(1_000);
    bench.ask(now, ticket(1, expires));
    bench.ask(now, ticket(2, expires));
    let actions = bench.step(
        now + ms(1),
        KeeperEvent::Dropped(ticket(1, expires).attempt),
    );
    assert_eq!(cancelled(&actions), [1]);
    assert_eq!(bench.keeper.load().running, 2);
    let attempt = ticket(1, expires).attempt;
    let stopped = |stopped| KeeperEvent::CancelEnded { attempt, stopped };
    bench.step(now + ms(2), stopped(false));
    assert_eq!(bench.keeper.load().running, 2);
    bench.step(now + ms(3), stopped(true));
    assert_eq!(bench.keeper.load().running, 1);
    // A late end of the same dispatch frees nothing else.
    bench.step(now + ms(4), answered(1, 3));
    assert_eq!(bench.keeper.load().running, 1);
    bench.step(now + ms(5), answered(2, 5));
    bench.step(now + ms(5), answered(2, 5));
    assert_eq!(bench.keeper.load().running, 0);
}

#[test]
fn the_queue_takes_what_can_make_its_deadline_and_refuses_the_rest_at_once() {
    let (mut bench, mut now) = warm_bench();
    for number in 0..20 {
        bench.ask(now, ticket(number, now + ms(100)));
        now = now + ms(10);
        bench.step(now, answered(number, 10));
    }
    bench.announce(now, |_| {});
    for number in 100..102 {
        assert_eq!(
            sent(&bench.ask(now, ticket(number, now + ms(100)))),
            [number]
        );
    }
    // About 10 ms a piece and two at a time: the fourth in the queue would need 20 + 10 ms.
    let queued = (110..120).filter(|number| {
        let actions = bench.ask(now, ticket(*number, now + ms(27)));
        refused(&actions).is_empty()
    });
    assert_eq!(queued.count(), 3);
    let actions = bench.ask(now, ticket(130, now + ms(25)));
    assert_eq!(refused(&actions), [ResultCode::SlotsBusy]);
    let hedge = daisyhinge::keeper::ticket::SubTicket {
        hedge: true,
        ..ticket(131, now + ms(1_000))
    };
    assert_eq!(refused(&bench.ask(now, hedge)), [ResultCode::SlotsBusy]);
    // A freed slot goes to the first in the queue.
    assert_eq!(sent(&bench.step(now + ms(5), answered(100, 5))), [110]);
    // The rest is answered as soon as it expires.
    let wake = bench.keeper.next_wake().expect("a wake");
    assert!(wake <= now + ms(27));
    let actions = bench.step(now + ms(27), KeeperEvent::Tick);
    assert_eq!(refused(&actions), [ResultCode::SubRequestExpired; 2]);
}

#[test]
fn what_expires_behind_one_that_may_wait_longer_is_answered_too() {
    let (mut bench, now) = warm_bench();
    for number in 0..2 {
        bench.ask(now, ticket(number, now + ms(900)));
    }
    bench.ask(now, ticket(2, now + ms(900)));
    bench.ask(now, ticket(3, now + ms(50)));
    assert_eq!(bench.keeper.load().queued, 2);
    let actions = bench.step(now + ms(50), KeeperEvent::Tick);
    assert_eq!(refused(&actions), [ResultCode::SubRequestExpired]);
    assert_eq!(bench.keeper.load().queued, 1);
}

#[test]
fn what_waits_is_refused_when_the_gate_closes_or_the_replica_leaves() {
    for case in 0..4 {
        let (mut bench, now) = warm_bench();
        for number in 0..3 {
            bench.ask(now, ticket(number, now + ms(1_000)));
        }
        assert_eq!(bench.keeper.load().queued, 1);
        let (event, code) = match case {
            0 => {
                bench.gate.lease_ends = now + ms(1);
                (KeeperEvent::Tick, ResultCode::NoLease)
            }
            1 => {
                bench.gate.centre_in = false;
                (answered(0, 1), ResultCode::CentreOut)
            }
            2 => {
                bench.gate.is_keeper = false;
                (answered(0, 1), ResultCode::NotKeeper)
            }
            _ => {
                let left = KeeperEvent::Left(IncarnationNumber(1));
                (left, ResultCode::ReplicaDraining)
            }
        };
        let actions = bench.step(now + ms(1), event);
        assert_eq!(refused(&actions), [code]);
        assert!(sent(&actions).is_empty());
    }
}

#[test]
fn a_replica_that_left_is_not_brought_back_by_a_late_announcement() {
    let (mut bench, now) = warm_bench();
    bench.step(now, KeeperEvent::Left(IncarnationNumber(1)));
    bench.announce(now + ms(10), |_| {});
    let actions = bench.ask(now + ms(20), ticket(1, now + ms(500)));
    assert_eq!(refused(&actions), [ResultCode::ReplicaDraining]);
    bench.announce(now + ms(30), |next| next.incarnation = IncarnationNumber(2));
    let actions = bench.ask(now + ms(40), ticket(2, now + ms(500)));
    assert_eq!(sent(&actions), [2]);
}

#[test]
fn a_lapsed_or_draining_replica_gets_nothing() {
    let (mut bench, now) = warm_bench();
    let late = now + ms(3_001);
    let actions = bench.ask(late, ticket(1, late + ms(100)));
    assert_eq!(refused(&actions), [ResultCode::ReplicaDraining]);
    bench.announce(late, |next| next.state = ServerState::Draining);
    let actions = bench.ask(late, ticket(2, late + ms(100)));
    assert_eq!(refused(&actions), [ResultCode::ReplicaDraining]);
}

#[test]
fn connections_are_bounded_and_cancels_wait_for_one() {
    let mut tight = announce("r1", 1);
    tight.connections = 2;
    let mut bench = KeeperBench::new(tight, at(0));
    let now = bench.warm_up(at(0));
    let expires = now + ms(1_000);
    bench.ask(now, ticket(1, expires));
    bench.ask(now, ticket(2, expires));
    assert_eq!(bench.keeper.connections_max(), 2);
    let actions = bench.step(now, KeeperEvent::Dropped(ticket(1, expires).attempt));
    assert!(
        cancelled(&actions).is_empty(),
        "no connection is left for a cancel"
    );
    let actions = bench.step(now + ms(1), answered(2, 1));
    assert_eq!(cancelled(&actions), [1]);
    let actions = bench.ask(now + ms(2), ticket(3, expires));
    assert!(sent(&actions).is_empty());
    assert!(refused(&actions).is_empty());
}

#[test]
fn a_connection_is_reused_only_after_its_own_whole_answer() {
    let reused = [
        RunEnd::Answered { took: ms(1) },
        RunEnd::Shed { retry: ms(0) },
        RunEnd::NotHeld,
        RunEnd::Failed,
    ];
    assert!(reused.into_iter().all(RunEnd::keeps_connection));
    let closed = [
        RunEnd::NotSent,
        RunEnd::ConnectFailed,
        RunEnd::Reset,
        RunEnd::Expired,
        RunEnd::BadAnswer(ResultCode::AnswerDamaged),
    ];
    assert!(!closed.into_iter().any(RunEnd::keeps_connection));
}

#[test]
fn no_work_outlives_the_lease_by_more_than_the_next_keeper_waits_for() {
    for state in [ServerState::Cold, ServerState::Ready] {
        let mut announcement = announce("r1", 1);
        announcement.state = state;
        let mut bench = KeeperBench::new(announcement, at(0));
        bench.gate.lease_ends = at(3_000);
        let latest = at(3_000) + RUN_TAIL;
        let actions = bench.ask(at(10), ticket(1, latest + ms(1)));
        assert_eq!(refused(&actions), [ResultCode::NoLease]);
        assert_eq!(sent(&bench.ask(at(10), ticket(2, latest))), [2]);
    }
}
