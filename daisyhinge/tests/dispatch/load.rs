//! Plays load through the decisions of three entries and checks what callers get.

use crate::support::LIMITS;
use crate::world::{Outcome, SHARDS, open_world};

#[track_caller]
fn check_budget(outcome: &Outcome) {
    let allowed = f64::from(outcome.first) * LIMITS.ratio + LIMITS.slack * SHARDS as f64;
    assert!(
        f64::from(outcome.extra) <= allowed,
        "too many extra requests: {outcome:?}"
    );
}

/// The usual load: a fifth of the slots are busy, and at any moment one replica in 24 pauses.
#[test]
fn pauses_do_not_make_answers_late() {
    let mut world = open_world(1, 7_500.0, 120);
    world.run(30, 50);
    let outcome = &world.outcome;
    assert_eq!(outcome.refused + outcome.failed, 0, "{outcome:?}");
    assert!(
        outcome.in_time * 100 >= outcome.answered * 99,
        "{outcome:?}"
    );
    assert!(
        outcome.parts_missing * 100 <= outcome.answered,
        "{outcome:?}"
    );
    assert!(outcome.far_first * 100 <= outcome.first * 8, "{outcome:?}");
    check_budget(outcome);
}

/// One replica in ten works ten times slower.
#[test]
fn slow_replicas_are_passed_over() {
    let mut world = open_world(2, 7_500.0, 120);
    for server in [0, 10, 20] {
        world.servers[server].slow = 10.0;
    }
    world.run(30, 50);
    let outcome = &world.outcome;
    assert_eq!(outcome.refused + outcome.failed, 0, "{outcome:?}");
    assert!(
        outcome.in_time * 100 >= outcome.answered * 98,
        "{outcome:?}"
    );
    check_budget(outcome);
}

/// One replica in eight takes requests and answers none, at the few requests a second that an entry
/// of a large deployment sends to each shard: they cost no more than a hundredth in extra
/// requests beside what pauses cost.
#[test]
fn silent_replicas_are_left_alone() {
    let mut calm = open_world(5, 7_500.0, 120);
    calm.run(30, 4);
    let mut world = open_world(5, 7_500.0, 120);
    for server in [0, 10, 20, 27] {
        world.servers[server].silent = true;
    }
    world.run(30, 4);
    let outcome = &world.outcome;
    assert_eq!(outcome.refused + outcome.failed, 0, "{outcome:?}");
    assert!(
        outcome.in_time * 100 >= outcome.answered * 99,
        "{outcome:?}"
    );
    let cost = outcome.extra.saturating_sub(calm.outcome.extra);
    assert!(cost * 100 <= outcome.first, "{cost} of {outcome:?}");
    check_budget(outcome);
}

/// Nearly as much as all slots bear: what is answered is answered in time.
#[test]
fn a_crowd_is_served_as_far_as_slots_go() {
    let mut world = open_world(3, 7_500.0, 120);
    world.run(10, 220);
    let outcome = &world.outcome;
    let asked = outcome.answered + outcome.refused + outcome.failed;
    assert!(outcome.in_time * 100 >= asked * 85, "{outcome:?}");
    check_budget(outcome);
}

/// Twice what all slots bear: what can't be served is refused, and what is served is in time.
#[test]
fn beyond_capacity_some_are_refused_and_the_rest_is_in_time() {
    let mut world = open_world(4, 7_500.0, 120);
    world.run(6, 540);
    let outcome = &world.outcome;
    let asked = outcome.answered + outcome.refused + outcome.failed;
    assert!(outcome.in_time * 100 >= asked * 30, "{outcome:?}");
    check_budget(outcome);
}
