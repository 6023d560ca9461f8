//! Cold starts, announced and silent.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use daisyhinge::keeper::KeeperEvent;
use daisyhinge::keeper::ramp::{
    ColdRamp, RAISE_SPAN, RAISE_STEPS, SILENT_ANSWERS, SILENT_ANSWERS_MAX,
};
use daisyhinge::keeper::ticket::RunEnd;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ServerState};
use daisyhinge::vocabulary::replica::UseState;
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

fn warm_ramp(slots: u32) -> ColdRamp {
    let mut ramp = ColdRamp::new(at(0), &server(slots, ServerState::Ready, 0));
    for step in 0..1_000 {
        ramp.take_answer(at(step), ms(5));
    }
    assert!(!ramp.is_cold());
    assert_eq!(ramp.limit(), slots);
    ramp
}

#[test]
fn an_announced_allowance_is_never_passed_while_cold() {
    let mut ramp = ColdRamp::new(at(0), &server(16, ServerState::Cold, 3));
    assert_eq!(ramp.limit(), 3);
    for step in 0..10_000 {
        ramp.take_answer(at(step), ms(5));
        ramp.tick(at(step));
        assert!(ramp.limit() <= 3);
    }
    assert!(ramp.is_cold());
    ramp.announce(at(10_000), &server(16, ServerState::Ready, 3));
    assert_eq!(ramp.limit(), 3, "a crowd falls on it the moment it is warm");
}

#[test]
fn without_an_allowance_it_begins_with_one_and_grows_by_steps() {
    let mut ramp = ColdRamp::new(at(0), &server(16, ServerState::Cold, 0));
    assert_eq!(ramp.limit(), 1);
    let mut former = 1;
    for step in 0..100 {
        ramp.take_answer(at(step), ms(5));
        assert!(ramp.limit() <= former + 2);
        former = ramp.limit();
    }
    assert_eq!(ramp.limit(), 16);
    assert!(ramp.is_cold(), "it still says that it is cold");
}

#[test]
fn every_bad_sign_cuts_a_warm_server_at_once() {
    let mut signs = vec![warm_ramp(8); 2];
    signs[0].take_bad_sign(at(2_000));
    signs[1].take_answer(at(2_000), ms(100));
    signs[1].take_answer(at(2_001), ms(100));
    for ramp in signs {
        assert!(ramp.is_cold());
        assert_eq!(ramp.limit(), 1);
    }
    let mut restarted = warm_ramp(8);
    let mut next = server(8, ServerState::Ready, 0);
    next.incarnation = IncarnationNumber(2);
    restarted.take_bad_sign(at(2_000));
    restarted.announce(at(2_000), &next);
    assert_eq!(restarted.limit(), 1);
}

/// A server that bears one at a time and says nothing: steps must not come before it is warm.
#[test]
fn a_silent_cold_turn_is_over_once_answers_take_their_warm_time_again() {
    let mut ramp = warm_ramp(8);
    ramp.take_bad_sign(at(2_000));
    // Three times its warm time is no slow answer, but not its warm time either.
    for step in 0..u64::from(SILENT_ANSWERS_MAX) - 1 {
        ramp.take_answer(at(2_001 + step), ms(15));
        ramp.tick(at(2_001 + step * 1_000));
        assert_eq!(ramp.limit(), 1, "raised after {step} answers");
    }
    // In the end that is its new time.
    ramp.take_answer(at(100_000), ms(15));
    assert_eq!(ramp.limit(), 2);
}

#[test]
fn a_step_that_made_a_silent_server_fall_is_waited_for_twice_as_long() {
    let mut ramp = warm_ramp(8);
    ramp.take_bad_sign(at(2_000));
    let mut now = 2_001;
    for answers in [8, 16, 32, 64, 64] {
        for _ in 0..answers - 1 {
            ramp.take_answer(at(now), ms(5));
            now += 1;
        }
        assert_eq!(ramp.limit(), 1);
        ramp.take_answer(at(now), ms(5));
        assert_eq!(ramp.limit(), 2);
        ramp.take_bad_sign(at(now));
        assert_eq!(ramp.limit(), 1);
    }
}

#[test]
fn an_error_of_its_own_counts_while_cold_only() {
    let mut ramp = warm_ramp(8);
    ramp.take_error(at(2_000));
    assert_eq!(ramp.limit(), 8);
    ramp.take_bad_sign(at(2_000));
    for step in 0..u64::from(SILENT_ANSWERS) {
        ramp.take_answer(at(2_001 + step), ms(5));
    }
    assert!(ramp.limit() > 1);
    ramp.take_error(at(2_010));
    assert_eq!(ramp.limit(), 1);
}

#[test]
fn one_straggler_costs_a_warm_server_little() {
    let mut ramp = warm_ramp(8);
    ramp.take_answer(at(2_000), ms(100));
    assert_eq!(
        ramp.limit(),
        1,
        "a slow answer is the first sign of a cold server"
    );
    assert!(!ramp.is_cold());
    let limits: Vec<_> = (0..3)
        .map(|step| {
            ramp.take_answer(at(2_001 + step), ms(5));
            ramp.limit()
        })
        .collect();
    assert_eq!(limits, [2, 4, 8]);
}

#[test]
fn a_lasting_change_of_latency_becomes_the_new_usual() {
    let mut ramp = warm_ramp(8);
    for step in 0..200 {
        ramp.take_answer(at(2_000 + step * 100), ms(100));
    }
    assert!(!ramp.is_cold());
    assert_eq!(ramp.limit(), 8);
}

#[test]
fn warming_up_ends_in_bounded_time_without_work() {
    for slots in [1, 2, 3, 16, 1_000] {
        let mut ramp = ColdRamp::new(at(0), &server(slots, ServerState::Ready, 0));
        let mut now = at(0);
        for _ in 0..=RAISE_STEPS {
            now = now + RAISE_SPAN;
            ramp.tick(now);
        }
        assert_eq!(ramp.limit(), slots);
        assert!(!ramp.is_cold());
        assert_eq!(ramp.next_raise(), None);
    }
}

#[test]
fn a_crowd_that_waits_does_not_fall_on_a_server_that_turns_warm() {
    let mut bench = KeeperBench::new(server(16, ServerState::Cold, 1), at(0));
    let mut now = at(10);
    for number in 0..200 {
        bench.ask(now, ticket(number, now + ms(2_000)));
    }
    assert_eq!(bench.keeper.load().running, 1);
    assert_eq!(bench.keeper.record(now, &bench.gate).state, UseState::Cold);
    now = now + ms(10);
    bench.announce(now, |next| next.state = ServerState::Ready);
    assert_eq!(bench.keeper.load().running, 1);
    let actions = bench.step(
        now + ms(10),
        KeeperEvent::Ended {
            attempt: ticket(0, now).attempt,
            end: RunEnd::Answered { took: ms(20) },
        },
    );
    assert!(sent(&actions).len() <= 3);
}

#[test]
fn a_new_incarnation_and_a_shed_cut_the_keeper_at_once() {
    let mut bench = KeeperBench::new(server(4, ServerState::Ready, 0), at(0));
    let now = bench.warm_up(at(0));
    assert_eq!(bench.keeper.load().limit, 4);
    bench.announce(now, |next| next.incarnation = IncarnationNumber(2));
    assert_eq!(bench.keeper.load().limit, 1);
    let now = bench.warm_up(now);
    bench.ask(now, ticket(1, now + ms(100)));
    bench.step(
        now,
        KeeperEvent::Ended {
            attempt: ticket(1, now).attempt,
            end: RunEnd::Shed { retry: ms(5) },
        },
    );
    assert_eq!(bench.keeper.load().limit, 1);
    assert_eq!(bench.keeper.load().running, 0);
    let hedge = daisyhinge::keeper::ticket::SubTicket {
        hedge: true,
        ..ticket(2, now + ms(100))
    };
    assert_eq!(refused(&bench.ask(now, hedge)), [ResultCode::ServerCold]);
}

#[test]
fn what_was_decided_before_a_server_turned_cold_is_looked_at_again() {
    let mut bench = KeeperBench::new(server(2, ServerState::Ready, 1), at(0));
    let now = bench.warm_up(at(0));
    let expires = now + ms(500);
    for number in 0..2 {
        assert_eq!(sent(&bench.ask(now, ticket(number, expires))), [number]);
    }
    let look = |bench: &KeeperBench| bench.keeper.last_look(now, expires, &bench.gate);
    assert_eq!(look(&bench), None);
    bench.announce(now, |next| {
        next.incarnation = IncarnationNumber(2);
        next.state = ServerState::Cold;
    });
    assert_eq!(look(&bench), Some(ResultCode::ServerCold));
    let event = KeeperEvent::Ended {
        attempt: ticket(0, expires).attempt,
        end: RunEnd::NotSent,
    };
    bench.step(now, event);
    assert_eq!(look(&bench), None);
    bench.step(now, KeeperEvent::Left(IncarnationNumber(2)));
    assert_eq!(look(&bench), Some(ResultCode::ReplicaDraining));
}
