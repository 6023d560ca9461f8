//! Estimates, from callers' deadlines, of the time that callers have spent.

use std::time::Duration;

use daisyhinge::dispatch::caller::CallerEstimate;
use daisyhinge::dispatch::request::RequestMachine;
use daisyhinge::vocabulary::site::{RouteKind, SiteRoute};

use crate::support::{at, gather, plan, route, shard_name};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn sweep() -> SiteRoute {
    route("sweep", RouteKind::Safe, gather(3, 0.6))
}

#[test]
fn time_spent_is_inferred_from_a_shorter_deadline() {
    let mut callers = CallerEstimate::default();
    let route = sweep();
    assert_eq!(callers.record_deadline(&route, ms(1_193), true), ms(0));
    assert_eq!(callers.record_deadline(&route, ms(1_200), false), ms(0));
    assert_eq!(callers.record_deadline(&route, ms(1_193), true), ms(7));
    assert_eq!(callers.record_deadline(&route, ms(1_177), true), ms(23));
    assert_eq!(callers.record_deadline(&route, ms(1_200), false), ms(0));
}

/// Opening a connection takes a third of the callers 22 ms and the others 7 ms: the margin must
/// follow the shorter time and end up near 11 ms. A route whose callers open a connection for each
/// request must not affect the estimate.
#[test]
fn round_trip_is_estimated_from_new_connections() {
    let mut callers = CallerEstimate::default();
    let route = sweep();
    let mut probe = sweep();
    probe.name = "probe".into();
    for round in 0..200 {
        callers.record_deadline(&route, ms(1_200), false);
        let connected = if round % 3 == 0 { 1_178 } else { 1_193 };
        callers.record_deadline(&route, ms(connected), true);
        callers.record_deadline(&probe, ms(992 + round % 2), true);
    }
    let margin = callers.margin();
    assert!((ms(9)..=ms(12)).contains(&margin), "{margin:?}");
}

#[test]
fn callers_with_shorter_deadlines_do_not_count_as_late() {
    let mut callers = CallerEstimate::default();
    let route = sweep();
    callers.record_deadline(&route, ms(60_000), false);
    for _ in 0..40 {
        assert_eq!(callers.record_deadline(&route, ms(1_200), false), ms(0));
    }
    assert_eq!(callers.record_deadline(&route, ms(1_190), false), ms(10));
}

#[test]
fn answer_is_due_a_margin_before_the_callers_objective() {
    let answer_at = |spent: u64| {
        let mut plan = plan(sweep(), at(0));
        plan.spent = ms(spent);
        plan.margin = ms(10);
        let names = (0..3).map(shard_name).collect();
        RequestMachine::open(plan, names).answer_at()
    };
    assert_eq!(answer_at(0), Some(at(110)));
    assert_eq!(answer_at(20), Some(at(90)));
    // If the objective can't be met any more, the time already spent is ignored.
    assert_eq!(answer_at(100), Some(at(110)));
}

/// Half of the answers that are sent at the last moment are later than the mean lag.
#[test]
fn margin_covers_most_of_the_lags_not_their_mean() {
    let mut callers = CallerEstimate::default();
    let idle = callers.margin();
    let lags = [1, 9, 2, 4, 1, 12, 3, 2, 8, 1].map(ms);
    for lag in lags.iter().cycle().take(200) {
        callers.record_lag(*lag);
    }
    let reserved = callers.margin().saturating_sub(idle);
    let covered = lags.iter().filter(|lag| **lag <= reserved).count();
    assert!(
        covered >= 9,
        "{covered} of {} within {reserved:?}",
        lags.len()
    );
    for _ in 0..100 {
        callers.record_lag(ms(0));
    }
    assert!(callers.margin() < idle + ms(1), "the lag has ended");
}

/// An entry among hundreds sees few requests, so it cannot wait for many samples.
#[test]
fn first_lag_counts_in_full() {
    let mut callers = CallerEstimate::default();
    let idle = callers.margin();
    callers.record_lag(ms(4));
    assert!(callers.margin() >= idle + ms(4));
}
