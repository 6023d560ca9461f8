//! Requests that crash the replicas that run them, at one entry.

use std::sync::Arc;
use std::time::Duration;

use daisyhinge::crash::{CRASH_RETENTION, PoisonStatus};
use daisyhinge::dispatch::Dispatcher;
use daisyhinge::dispatch::request::{
    AttemptEnd, Decision, RequestAction, RequestEvent, RequestMachine,
};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::registration::ReplicaPhase;
use daisyhinge::vocabulary::site::{RouteKind, RouteTarget};

use crate::support::{at, dispatcher, gather, plan, record, route, shard_name, single};

const CRASHING: RequestDigest = RequestDigest(7);
const OTHER: RequestDigest = RequestDigest(8);

/// One try of a caller, and the attempts that are in flight.
struct Try {
    machine: RequestMachine,
    running: Vec<(u64, ReplicaName)>,
    sent: usize,
    decision: Option<Decision>,
}

fn start(dispatcher: &mut Dispatcher, ms: u64, digest: RequestDigest, target: RouteTarget) -> Try {
    let names: Arc<[ServiceName]> = match &target {
        RouteTarget::Gather(gather) => Arc::clone(&gather.shards),
        RouteTarget::Split(parts) => parts.iter().map(|part| part.service.clone()).collect(),
    };
    let mut plan = plan(route("r", RouteKind::Safe, target), at(ms));
    plan.digest = digest;
    let mut started = Try {
        machine: RequestMachine::open(plan, names),
        running: Vec::new(),
        sent: 0,
        decision: None,
    };
    started.step(dispatcher, ms, RequestEvent::Due);
    started
}

impl Try {
    fn step(&mut self, dispatcher: &mut Dispatcher, ms: u64, event: RequestEvent) {
        let mut actions = Vec::new();
        self.machine.step(at(ms), event, dispatcher, &mut actions);
        for action in actions {
            match action {
                RequestAction::Send {
                    attempt, replica, ..
                } => {
                    let known = dispatcher.fleet.replica(replica).expect("a replica");
                    self.running.push((attempt, known.record.name.clone()));
                    self.sent += 1;
                }
                RequestAction::Finish(decision) => self.decision = Some(decision),
                RequestAction::Supersede { .. } | RequestAction::Cancel { .. } => {}
            }
        }
    }

    /// Ends the oldest attempt in flight, and returns the name of its replica.
    fn end(&mut self, dispatcher: &mut Dispatcher, ms: u64, end: AttemptEnd) -> ReplicaName {
        let (attempt, replica) = self.running.remove(0);
        self.step(dispatcher, ms, RequestEvent::Ended { attempt, end });
        replica
    }

    /// Ends all attempts, and those that follow, with resets 1 ms apart.
    fn crash_all(&mut self, dispatcher: &mut Dispatcher, mut ms: u64) {
        while !self.running.is_empty() {
            self.end(dispatcher, ms, AttemptEnd::Reset);
            ms += 1;
            self.step(dispatcher, ms, RequestEvent::Due);
        }
    }
}

#[track_caller]
fn check_refused(refused: &Try, retry_after: Duration) {
    let code = ResultCode::RequestPoisoned;
    assert_eq!(
        refused.decision,
        Some(Decision::Refused { code, retry_after })
    );
    assert_eq!(refused.sent, 0);
}

/// Time after the second crash at which the requests of these tests are held no longer.
const HELD_UNTIL_MS: u64 = 2_100;

#[test]
fn request_is_held_after_two_consecutive_crashes_and_blocked_after_the_third() {
    let mut dispatcher = dispatcher(1);
    let mut first = start(&mut dispatcher, 0, CRASHING, single("shard-0"));
    first.crash_all(&mut dispatcher, 5);
    assert_eq!(first.sent, 2);
    let code = ResultCode::RequestPoisoned;
    assert_eq!(first.decision, Some(Decision::Unfinished { code }));
    for number in 1..7 {
        let again = start(
            &mut dispatcher,
            6 + number * 300,
            CRASHING,
            single("shard-0"),
        );
        let left_ms = 2_007 - number * 300;
        check_refused(&again, Duration::from_millis(left_ms));
    }
    let mut probe = start(&mut dispatcher, HELD_UNTIL_MS, CRASHING, single("shard-0"));
    probe.crash_all(&mut dispatcher, HELD_UNTIL_MS + 5);
    assert_eq!(probe.sent, 1);
    assert_eq!(probe.decision, Some(Decision::Unfinished { code }));
    for number in 1..20 {
        let ms = HELD_UNTIL_MS + 10 + number * 300;
        let again = start(&mut dispatcher, ms, CRASHING, single("shard-0"));
        check_refused(&again, Duration::from_secs(1));
    }
    // Nothing was heard of the replicas since, so they count as crashed for the whole time.
    let crashed_ms = HELD_UNTIL_MS + 5;
    dispatcher.review_crashes(at(crashed_ms + 10_000));
    let again = start(
        &mut dispatcher,
        crashed_ms + 10_000,
        CRASHING,
        single("shard-0"),
    );
    check_refused(
        &again,
        CRASH_RETENTION.saturating_sub(Duration::from_secs(10)),
    );
}

#[test]
fn gather_crashes_each_shard_once_and_two_probes() {
    let mut dispatcher = dispatcher(10);
    let mut first = start(&mut dispatcher, 0, CRASHING, gather(10, 0.9));
    first.crash_all(&mut dispatcher, 5);
    assert_eq!(first.sent, 11);
    let mut probe = start(&mut dispatcher, HELD_UNTIL_MS, CRASHING, gather(10, 0.9));
    assert_eq!(probe.sent, 1, "a suspect runs alone");
    probe.crash_all(&mut dispatcher, HELD_UNTIL_MS + 5);
    assert_eq!(probe.sent, 1);
    let again = start(&mut dispatcher, 4_300, CRASHING, gather(10, 0.9));
    check_refused(&again, Duration::from_secs(1));
}

/// A request that ran beside a crashing one, and beside it again when both were retried.
#[test]
fn request_that_lost_two_replicas_beside_a_crashing_one_is_served_after_some_seconds() {
    let mut dispatcher = dispatcher(1);
    let mut first = start(&mut dispatcher, 0, OTHER, single("shard-0"));
    first.crash_all(&mut dispatcher, 5);
    let refused = start(&mut dispatcher, 300, OTHER, single("shard-0"));
    assert_eq!(refused.sent, 0);
    let mut again = start(&mut dispatcher, HELD_UNTIL_MS, OTHER, single("shard-0"));
    again.end(&mut dispatcher, HELD_UNTIL_MS + 7, AttemptEnd::Answered);
    assert_eq!(again.decision, Some(Decision::Answer { missing: 0 }));
    assert_eq!(
        dispatcher
            .crashes
            .poison_status(at(HELD_UNTIL_MS + 7), OTHER),
        PoisonStatus::Clear
    );
}

/// A gather of which one part is lost must not wait for its other parts longer than their answers
/// take.
#[test]
fn lost_part_is_retried_as_soon_as_another_part_answers() {
    let mut dispatcher = dispatcher(3);
    let mut request = start(&mut dispatcher, 0, OTHER, gather(3, 1.0));
    request.end(&mut dispatcher, 4, AttemptEnd::Reset);
    assert_eq!(request.sent, 3, "a suspect runs alone");
    request.end(&mut dispatcher, 5, AttemptEnd::Answered);
    assert_eq!(request.sent, 4);
    assert_eq!(
        dispatcher.crashes.poison_status(at(5), OTHER),
        PoisonStatus::Clear
    );
    request.end(&mut dispatcher, 6, AttemptEnd::Answered);
    request.end(&mut dispatcher, 9, AttemptEnd::Answered);
    assert_eq!(request.decision, Some(Decision::Answer { missing: 0 }));
}

#[test]
fn reset_after_an_answer_is_not_taken_for_a_crash() {
    let mut dispatcher = dispatcher(2);
    let mut request = start(&mut dispatcher, 0, OTHER, gather(2, 1.0));
    request.end(&mut dispatcher, 4, AttemptEnd::Answered);
    request.end(&mut dispatcher, 5, AttemptEnd::Reset);
    assert!(dispatcher.crashes.is_empty());
    assert_eq!(request.sent, 3);
}

/// Answers that get lost twice in a row must not block a request once its replicas prove alive.
#[test]
fn request_with_two_lost_answers_is_served_once_its_replicas_answer_others() {
    let mut dispatcher = dispatcher(1);
    let mut first = start(&mut dispatcher, 0, OTHER, single("shard-0"));
    let near = first.end(&mut dispatcher, 8, AttemptEnd::Reset);
    let far = first.end(&mut dispatcher, 40, AttemptEnd::Reset);
    assert_ne!(near, far);
    let refused = start(&mut dispatcher, 45, OTHER, single("shard-0"));
    check_refused(&refused, Duration::from_millis(2_003));
    for number in 0..12 {
        let mut other = start(
            &mut dispatcher,
            50 + number * 9,
            CRASHING,
            single("shard-0"),
        );
        other.end(&mut dispatcher, 57 + number * 9, AttemptEnd::Answered);
    }
    let again = start(&mut dispatcher, 160, OTHER, single("shard-0"));
    assert_eq!(again.sent, 1, "withdrawn at the replicas that answered");
}

#[test]
fn simultaneous_crashes_under_a_hedged_request_count_as_one() {
    let mut dispatcher = dispatcher(1);
    let mut request = start(&mut dispatcher, 0, OTHER, single("shard-0"));
    request.step(&mut dispatcher, 60, RequestEvent::Due);
    assert_eq!(request.sent, 2);
    request.crash_all(&mut dispatcher, 61);
    assert_eq!(
        dispatcher.crashes.poison_status(at(70), OTHER),
        PoisonStatus::Suspect
    );
}

#[test]
fn suspect_is_not_hedged() {
    let mut dispatcher = dispatcher(1);
    let mut request = start(&mut dispatcher, 0, OTHER, single("shard-0"));
    request.end(&mut dispatcher, 4, AttemptEnd::Reset);
    for ms in 5..200 {
        request.step(&mut dispatcher, ms, RequestEvent::Due);
    }
    assert_eq!(request.sent, 2);
}

/// A replica may come back under its name; its answers then must not withdraw its former crash.
#[test]
fn crash_is_not_withdrawn_by_answers_of_the_next_incarnation() {
    let mut dispatcher = dispatcher(1);
    let mut request = start(&mut dispatcher, 0, CRASHING, single("shard-0"));
    let crashed = request.end(&mut dispatcher, 5, AttemptEnd::Reset);
    let mut reborn = record(crashed.as_str(), "shard-0", "a", 1_001);
    (reborn.born_ms, reborn.sequence) = (Some(2_000), 1);
    dispatcher.fleet.update_replica(at(2_000), reborn);
    let events = dispatcher.review_crashes(at(2_100));
    assert!(events.iter().any(|event| event.replica == crashed));
    dispatcher
        .crashes
        .record_alive(at(2_200), &crashed, at(2_190));
    dispatcher.review_crashes(at(9_000));
    assert_eq!(
        dispatcher.crashes.poison_status(at(9_000), CRASHING),
        PoisonStatus::Suspect
    );
}

#[test]
fn replica_that_stays_ready_and_answers_later_did_not_crash() {
    let mut dispatcher = dispatcher(1);
    let mut request = start(&mut dispatcher, 0, OTHER, single("shard-0"));
    let replica = request.end(&mut dispatcher, 5, AttemptEnd::Reset);
    dispatcher
        .crashes
        .record_alive(at(3_000), &replica, at(2_990));
    dispatcher.review_crashes(at(4_000));
    let status = |dispatcher: &Dispatcher, ms| dispatcher.crashes.poison_status(at(ms), OTHER);
    assert_eq!(status(&dispatcher, 4_000), PoisonStatus::Suspect);
    dispatcher.review_crashes(at(8_100));
    assert_eq!(status(&dispatcher, 8_100), PoisonStatus::Clear);
}

#[test]
fn silent_replica_counts_as_crashed() {
    let mut dispatcher = dispatcher(1);
    let mut request = start(&mut dispatcher, 0, CRASHING, single("shard-0"));
    let replica = request.end(&mut dispatcher, 5, AttemptEnd::Reset);
    let mut silent = record(replica.as_str(), "shard-0", "a", 1_001);
    silent.phase = ReplicaPhase::Silent;
    dispatcher.fleet.update_replica(at(5_000), silent);
    dispatcher
        .crashes
        .record_alive(at(6_000), &replica, at(5_990));
    dispatcher.review_crashes(at(9_000));
    assert_eq!(
        dispatcher.crashes.poison_status(at(9_000), CRASHING),
        PoisonStatus::Suspect
    );
}

/// Resets of very many different requests must neither fill the memory nor push out the requests
/// that are refused.
#[test]
fn records_are_bounded_and_poisoned_requests_are_kept() {
    let mut dispatcher = dispatcher(1);
    let mut poisoned = start(&mut dispatcher, 0, CRASHING, single("shard-0"));
    poisoned.crash_all(&mut dispatcher, 5);
    let mut probe = start(&mut dispatcher, HELD_UNTIL_MS, CRASHING, single("shard-0"));
    probe.crash_all(&mut dispatcher, HELD_UNTIL_MS + 5);
    let replica = record("shard-0-a", shard_name(0).as_str(), "a", 1_001);
    for number in 0..5_000 {
        let digest = RequestDigest(1_000 + number);
        let crashes = &mut dispatcher.crashes;
        crashes.record_reset(at(2_200 + number), digest, Some(&replica), 0);
        crashes.take_events();
    }
    assert!(dispatcher.crashes.len() <= 1_024);
    assert_eq!(
        dispatcher.crashes.poison_status(at(6_000), CRASHING),
        PoisonStatus::Poisoned
    );
}

/// The next incarnation may be announced before the connection to the former one ends.
#[test]
fn crash_counts_if_the_next_incarnation_is_known_before_the_reset() {
    let mut dispatcher = dispatcher(1);
    let mut request = start(&mut dispatcher, 0, CRASHING, single("shard-0"));
    let (_, replica) = request.running[0].clone();
    let mut reborn = record(replica.as_str(), "shard-0", "a", 1_001);
    reborn.born_ms = Some(2_000);
    dispatcher.fleet.update_replica(at(900), reborn);
    request.end(&mut dispatcher, 950, AttemptEnd::Reset);
    assert_eq!(
        dispatcher.crashes.poison_status(at(950), CRASHING),
        PoisonStatus::Suspect
    );
}
