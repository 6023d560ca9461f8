//! Simulates load on three entries and checks the answers that callers get.

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

/// Normal load: a fifth of the slots are busy, and one replica in 24 is paused at any time.
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
    assert!(
        outcome.remote_first * 100 <= outcome.first * 8,
        "{outcome:?}"
    );
    check_budget(outcome);
}

/// One replica in ten is ten times slower.
#[test]
fn slow_replicas_are_avoided() {
    let mut world = open_world(2, 7_500.0, 120);
    for server in [0, 10, 20] {
        world.servers[server].slowdown = 10.0;
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

/// One replica in eight accepts requests and never answers. The rate is the few requests per second
/// that an entry of a large deployment sends to each shard. Compared with the same load without
/// silent replicas, extra requests rise by at most 1 % of the first attempts.
#[test]
fn silent_replicas_are_ejected() {
    let mut baseline = open_world(5, 7_500.0, 120);
    baseline.run(30, 4);
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
    let added_extra = outcome.extra.saturating_sub(baseline.outcome.extra);
    assert!(
        added_extra * 100 <= outcome.first,
        "{added_extra} of {outcome:?}"
    );
    check_budget(outcome);
}

/// Load close to the capacity of all slots: at least 85 % of the requests are answered in time.
#[test]
fn load_near_capacity_is_answered_in_time() {
    let mut world = open_world(3, 7_500.0, 120);
    world.run(10, 220);
    let outcome = &world.outcome;
    let total = outcome.answered + outcome.refused + outcome.failed;
    assert!(outcome.in_time * 100 >= total * 85, "{outcome:?}");
    check_budget(outcome);
}

/// Twice the capacity of all slots: excess requests are refused, and at least 30 % of all requests
/// are answered in time.
#[test]
fn overload_is_refused_and_the_rest_is_in_time() {
    let mut world = open_world(4, 7_500.0, 120);
    world.run(6, 540);
    let outcome = &world.outcome;
    let total = outcome.answered + outcome.refused + outcome.failed;
    assert!(outcome.in_time * 100 >= total * 30, "{outcome:?}");
    check_budget(outcome);
}
