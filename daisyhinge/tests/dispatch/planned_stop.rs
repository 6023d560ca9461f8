//! Which requests an entry accepts during a planned stop, and how the last ones end.

use std::sync::Arc;
use std::time::Duration;

use daisyhinge::dispatch::Dispatcher;
use daisyhinge::dispatch::planned_stop::PlannedStop;
use daisyhinge::dispatch::request::{
    AttemptEnd, Decision, RequestAction, RequestEvent, RequestMachine,
};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::site::{RouteKind, SiteRoute};

use crate::support::{at, dispatcher, plan, route, shard_name, single};

const GRACE: Duration = Duration::from_secs(6);

fn once() -> SiteRoute {
    route("r", RouteKind::Unsafe, single("shard-0"))
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn short_requests_are_accepted_to_the_end_and_long_ones_while_they_can_end() {
    let stop = PlannedStop::open(at(1_000), GRACE);
    assert_eq!(stop.answer_by(), at(6_200));
    let far = at(60_000);
    for (usual, last) in [(60, 6_040), (1_000, 5_100), (4_000, 2_100)] {
        assert!(stop.accepts(at(last), ms(usual), far), "{usual} ms");
        assert!(!stop.accepts(at(last + 1), ms(usual), far), "{usual} ms");
    }
}

#[test]
fn request_whose_deadline_comes_before_the_end_is_accepted_however_long_it_takes() {
    let stop = PlannedStop::open(at(0), GRACE);
    assert!(stop.accepts(at(4_000), ms(5_000), at(5_200)));
    assert!(!stop.accepts(at(4_000), ms(5_000), at(5_201)));
}

#[test]
fn a_short_grace_leaves_half_of_it_for_requests() {
    let stop = PlannedStop::open(at(0), ms(1_000));
    assert_eq!(stop.answer_by(), at(500));
}

/// Sends one request and returns its machine with the number of its attempt.
fn send_one(dispatcher: &mut Dispatcher, started: u64) -> (RequestMachine, u64) {
    let plan = plan(once(), at(started));
    let mut machine = RequestMachine::open(plan, Arc::from([shard_name(0)]));
    let mut actions = Vec::new();
    machine.step(at(started), RequestEvent::Due, dispatcher, &mut actions);
    let [RequestAction::Send { attempt, .. }] = actions[..] else {
        panic!("{actions:?}");
    };
    (machine, attempt)
}

#[test]
fn usual_duration_covers_the_slow_requests_of_a_route() {
    let mut dispatcher = dispatcher(1);
    assert_eq!(dispatcher.usual_duration(&once()), once().objective);
    for number in 0..40 {
        let started = number * 1_000;
        let took = if number % 10 == 9 { 700 } else { 60 };
        let (mut machine, attempt) = send_one(&mut dispatcher, started);
        let end = AttemptEnd::Answered;
        let ended = RequestEvent::Ended { attempt, end };
        machine.step(at(started + took), ended, &mut dispatcher, &mut Vec::new());
    }
    let usual = dispatcher.usual_duration(&once());
    assert!((ms(700)..ms(790)).contains(&usual), "{usual:?}");
}

/// A request that is not safe to repeat must not be refused as not run after it was written.
#[test]
fn unfinished_request_ends_at_the_stop_as_what_it_is() {
    for written in [true, false] {
        let mut dispatcher = dispatcher(1);
        let (mut machine, attempt) = send_one(&mut dispatcher, 0);
        machine.end_by(at(500));
        machine.set_written(attempt, written);
        assert_eq!(machine.next_due(), at(500));
        let mut actions = Vec::new();
        machine.step(at(499), RequestEvent::Due, &mut dispatcher, &mut actions);
        assert_eq!(actions, []);
        machine.step(at(500), RequestEvent::Due, &mut dispatcher, &mut actions);
        let Some(RequestAction::Finish(decision)) = actions.last() else {
            panic!("{actions:?}");
        };
        match decision {
            Decision::Unfinished { code } if written => {
                assert_eq!(*code, ResultCode::DeadlinePassed);
            }
            Decision::Refused { .. } if !written => {}
            other => panic!("written {written}: {other:?}"),
        }
    }
}
