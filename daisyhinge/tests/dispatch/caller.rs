//! What callers' deadlines tell of the time that they have spent.

use std::time::Duration;

use daisyhinge::dispatch::caller::CallerEstimate;
use daisyhinge::dispatch::request::RequestMachine;
use daisyhinge::vocabulary::site::{RouteKind, SiteRoute};

use crate::support::{at, gather, plan, route, shard_name};

const fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn sweep() -> SiteRoute {
    route("sweep", RouteKind::Safe, gather(3, 0.6))
}

#[test]
fn a_shorter_deadline_tells_what_was_spent() {
    let mut callers = CallerEstimate::default();
    let route = sweep();
    assert_eq!(callers.take_deadline(&route, ms(1_193), true), ms(0));
    assert_eq!(callers.take_deadline(&route, ms(1_200), false), ms(0));
    assert_eq!(callers.take_deadline(&route, ms(1_193), true), ms(7));
    assert_eq!(callers.take_deadline(&route, ms(1_177), true), ms(23));
    assert_eq!(callers.take_deadline(&route, ms(1_200), false), ms(0));
}

/// Callers 3 ms and a data centre away: the answer is on its way 11 ms before the objective. Routes
/// whose callers open a connection each time say nothing of the round trip.
#[test]
fn the_round_trip_is_learned_from_callers_that_connect() {
    let mut callers = CallerEstimate::default();
    let route = sweep();
    let mut probe = sweep();
    probe.name = "probe".into();
    for turn in 0..200 {
        callers.take_deadline(&route, ms(1_200), false);
        let connected = if turn % 3 == 0 { 1_178 } else { 1_193 };
        callers.take_deadline(&route, ms(connected), true);
        callers.take_deadline(&probe, ms(992 + turn % 2), true);
    }
    let margin = callers.margin();
    assert!((ms(9)..=ms(12)).contains(&margin), "{margin:?}");
}

#[test]
fn callers_of_another_kind_are_not_taken_for_late_ones() {
    let mut callers = CallerEstimate::default();
    let route = sweep();
    callers.take_deadline(&route, ms(60_000), false);
    for _ in 0..40 {
        assert_eq!(callers.take_deadline(&route, ms(1_200), false), ms(0));
    }
    assert_eq!(callers.take_deadline(&route, ms(1_190), false), ms(10));
}

#[test]
fn an_answer_is_due_before_the_objective_as_its_caller_counts_it() {
    let due = |spent: u64| {
        let mut plan = plan(sweep(), at(0));
        plan.spent = ms(spent);
        plan.margin = ms(10);
        let names = (0..3).map(shard_name).collect();
        RequestMachine::open(plan, names).answer_at()
    };
    assert_eq!(due(0), Some(at(110)));
    assert_eq!(due(20), Some(at(90)));
    // What can't be met any more does not cut the answer short.
    assert_eq!(due(100), Some(at(110)));
}
