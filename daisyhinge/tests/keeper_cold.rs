//! Slow start of backend servers whose cold state is announced or inferred.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use daisyhinge::keeper::KeeperEvent;
use daisyhinge::keeper::slow_start::{
    INFERRED_COLD_ANSWERS, INFERRED_COLD_ANSWERS_MAX, RAISE_INTERVAL, RAISE_STEPS, SlowStart,
};
use daisyhinge::keeper::sub_request::DispatchOutcome;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ServerState};
use daisyhinge::vocabulary::replica::ReplicaAvailability;
use support::*;

fn server(slots: u32, state: ServerState, cold_allowance: u32) -> ReplicaAnnouncement {
    ReplicaAnnouncement {
        slots,
        connections: slots.max(100),
        state,
        cold_allowance,
        ..announce("r1", 1)
    }
}

fn warm_slow_start(slots: u32) -> SlowStart {
    let mut slow_start = SlowStart::new(at(0), &server(slots, ServerState::Ready, 0));
    for step in 0..1_000 {
        slow_start.record_answer(at(step), ms(5));
    }
    assert!(!slow_start.is_cold());
    assert_eq!(slow_start.limit(), slots);
    slow_start
}

#[test]
fn limit_stays_within_the_announced_cold_allowance() {
    let mut slow_start = SlowStart::new(at(0), &server(16, ServerState::Cold, 3));
    assert_eq!(slow_start.limit(), 3);
    for step in 0..10_000 {
        slow_start.record_answer(at(step), ms(5));
        slow_start.tick(at(step));
        assert!(slow_start.limit() <= 3);
    }
    assert!(slow_start.is_cold());
    slow_start.announce(at(10_000), &server(16, ServerState::Ready, 3));
    assert_eq!(
        slow_start.limit(),
        3,
        "the limit jumped when the server turned warm"
    );
}

#[test]
fn limit_starts_at_one_without_an_allowance_and_grows_in_steps() {
    let mut slow_start = SlowStart::new(at(0), &server(16, ServerState::Cold, 0));
    assert_eq!(slow_start.limit(), 1);
    let mut former = 1;
    for step in 0..100 {
        slow_start.record_answer(at(step), ms(5));
        assert!(slow_start.limit() <= former + 2);
        former = slow_start.limit();
    }
    assert_eq!(slow_start.limit(), 16);
    assert!(
        slow_start.is_cold(),
        "the server still announces itself cold"
    );
}

#[test]
fn every_failure_reduces_the_limit_of_a_warm_server_at_once() {
    let mut cases = vec![warm_slow_start(8); 2];
    cases[0].record_failure(at(2_000));
    cases[1].record_answer(at(2_000), ms(100));
    cases[1].record_answer(at(2_001), ms(100));
    for slow_start in cases {
        assert!(slow_start.is_cold());
        assert_eq!(slow_start.limit(), 1);
    }
    let mut restarted = warm_slow_start(8);
    let mut next = server(8, ServerState::Ready, 0);
    next.incarnation = IncarnationNumber(2);
    restarted.record_failure(at(2_000));
    restarted.announce(at(2_000), &next);
    assert_eq!(restarted.limit(), 1);
}

/// Guards against raising the limit of a server that is still cold but announces no cold state: its
/// service time must be near the warm one first.
#[test]
fn inferred_cold_state_ends_when_service_time_is_normal_again() {
    let mut slow_start = warm_slow_start(8);
    slow_start.record_failure(at(2_000));
    // Three times the warm service time does not count as slow, but is not normal either.
    for step in 0..u64::from(INFERRED_COLD_ANSWERS_MAX) - 1 {
        slow_start.record_answer(at(2_001 + step), ms(15));
        slow_start.tick(at(2_001 + step * 1_000));
        assert_eq!(slow_start.limit(), 1, "raised after {step} answers");
    }
    // After enough answers, the new service time is accepted as normal.
    slow_start.record_answer(at(100_000), ms(15));
    assert_eq!(slow_start.limit(), 2);
}

#[test]
fn a_relapse_doubles_the_answers_required_for_the_next_step() {
    let mut slow_start = warm_slow_start(8);
    slow_start.record_failure(at(2_000));
    let mut now = 2_001;
    for answers in [8, 16, 32, 64, 64] {
        for _ in 0..answers - 1 {
            slow_start.record_answer(at(now), ms(5));
            now += 1;
        }
        assert_eq!(slow_start.limit(), 1);
        slow_start.record_answer(at(now), ms(5));
        assert_eq!(slow_start.limit(), 2);
        slow_start.record_failure(at(now));
        assert_eq!(slow_start.limit(), 1);
    }
}

#[test]
fn server_errors_count_only_while_cold() {
    let mut slow_start = warm_slow_start(8);
    slow_start.record_server_error(at(2_000));
    assert_eq!(slow_start.limit(), 8);
    slow_start.record_failure(at(2_000));
    for step in 0..u64::from(INFERRED_COLD_ANSWERS) {
        slow_start.record_answer(at(2_001 + step), ms(5));
    }
    assert!(slow_start.limit() > 1);
    slow_start.record_server_error(at(2_010));
    assert_eq!(slow_start.limit(), 1);
}

#[test]
fn limit_recovers_quickly_after_one_slow_answer() {
    let mut slow_start = warm_slow_start(8);
    slow_start.record_answer(at(2_000), ms(100));
    assert_eq!(slow_start.limit(), 1, "one slow answer reduces the limit");
    assert!(!slow_start.is_cold());
    let limits: Vec<_> = (0..3)
        .map(|step| {
            slow_start.record_answer(at(2_001 + step), ms(5));
            slow_start.limit()
        })
        .collect();
    assert_eq!(limits, [2, 4, 8]);
}

#[test]
fn a_lasting_change_of_latency_becomes_the_new_normal() {
    let mut slow_start = warm_slow_start(8);
    for step in 0..200 {
        slow_start.record_answer(at(2_000 + step * 100), ms(100));
    }
    assert!(!slow_start.is_cold());
    assert_eq!(slow_start.limit(), 8);
}

#[test]
fn warm_up_ends_in_bounded_time_without_traffic() {
    for slots in [1, 2, 3, 16, 1_000] {
        let mut slow_start = SlowStart::new(at(0), &server(slots, ServerState::Ready, 0));
        let mut now = at(0);
        for _ in 0..=RAISE_STEPS {
            now = now + RAISE_INTERVAL;
            slow_start.tick(now);
        }
        assert_eq!(slow_start.limit(), slots);
        assert!(!slow_start.is_cold());
        assert_eq!(slow_start.next_raise(), None);
    }
}

#[test]
fn queued_requests_are_not_released_all_at_once_when_a_server_turns_warm() {
    let mut harness = KeeperHarness::new(server(16, ServerState::Cold, 1), at(0));
    let mut now = at(10);
    for number in 0..200 {
        harness.dispatch(now, info(number, now + ms(2_000)));
    }
    assert_eq!(harness.keeper.load().running, 1);
    assert_eq!(
        harness.keeper.record(now, &harness.gate).state,
        ReplicaAvailability::Cold
    );
    now = now + ms(10);
    harness.announce(now, |next| next.state = ServerState::Ready);
    assert_eq!(harness.keeper.load().running, 1);
    let actions = harness.step(
        now + ms(10),
        KeeperEvent::Ended {
            attempt: info(0, now).attempt,
            end: DispatchOutcome::Answered { took: ms(20) },
        },
    );
    assert!(sent(&actions).len() <= 3);
}

#[test]
fn a_new_incarnation_or_a_shed_reduces_the_limit_at_once() {
    let mut harness = KeeperHarness::new(server(4, ServerState::Ready, 0), at(0));
    let now = harness.warm_up(at(0));
    assert_eq!(harness.keeper.load().limit, 4);
    harness.announce(now, |next| next.incarnation = IncarnationNumber(2));
    assert_eq!(harness.keeper.load().limit, 1);
    let now = harness.warm_up(now);
    harness.dispatch(now, info(1, now + ms(100)));
    harness.step(
        now,
        KeeperEvent::Ended {
            attempt: info(1, now).attempt,
            end: DispatchOutcome::Shed { retry: ms(5) },
        },
    );
    assert_eq!(harness.keeper.load().limit, 1);
    assert_eq!(harness.keeper.load().running, 0);
    let hedge = daisyhinge::keeper::sub_request::SubRequestInfo {
        hedge: true,
        ..info(2, now + ms(100))
    };
    assert_eq!(
        refused(&harness.dispatch(now, hedge)),
        [ResultCode::ServerCold]
    );
}

#[test]
fn dispatches_admitted_before_a_server_turned_cold_are_checked_again() {
    let mut harness = KeeperHarness::new(server(2, ServerState::Ready, 1), at(0));
    let now = harness.warm_up(at(0));
    let expires = now + ms(500);
    for number in 0..2 {
        assert_eq!(
            sent(&harness.dispatch(now, info(number, expires))),
            [number]
        );
    }
    let check = |harness: &KeeperHarness| harness.keeper.final_check(now, expires, &harness.gate);
    assert_eq!(check(&harness), None);
    harness.announce(now, |next| {
        next.incarnation = IncarnationNumber(2);
        next.state = ServerState::Cold;
    });
    assert_eq!(check(&harness), Some(ResultCode::ServerCold));
    let event = KeeperEvent::Ended {
        attempt: info(0, expires).attempt,
        end: DispatchOutcome::NotSent,
    };
    harness.step(now, event);
    assert_eq!(check(&harness), None);
    harness.step(now, KeeperEvent::Left(IncarnationNumber(2)));
    assert_eq!(check(&harness), Some(ResultCode::ReplicaDraining));
}
