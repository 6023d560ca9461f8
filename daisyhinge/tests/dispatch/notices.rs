//! What replicas state about themselves in their answers: that they leave, and that they want a
//! pause.

use std::time::Duration;

use daisyhinge::dispatch::Dispatcher;
use daisyhinge::dispatch::fleet::{Choice, ChoiceQuery, RateNotice, ReplicaIndex, ReplicaNotice};
use daisyhinge::dispatch::request::{
    AttemptEnd, Decision, RequestAction, RequestEvent, RequestMachine,
};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::registration::{ReplicaPhase, ReplicaRecord};
use daisyhinge::vocabulary::site::{RouteKind, RouteTarget};

use crate::support::{at, dispatcher, gather, plan, record, route, shard_name, single};

const LEAVING: ReplicaNotice = ReplicaNotice {
    leaving: true,
    pause: None,
    rate: RateNotice::Unstated,
};

fn pause(ms: u64) -> ReplicaNotice {
    ReplicaNotice {
        pause: Some(Duration::from_millis(ms)),
        ..ReplicaNotice::default()
    }
}

fn index_of(dispatcher: &Dispatcher, name: &str) -> Option<ReplicaIndex> {
    let mut known = dispatcher.fleet.replicas();
    known.find_map(|(index, known)| (known.record.name.as_str() == name).then_some(index))
}

/// Records a notice at 10 ms.
fn tell(dispatcher: &mut Dispatcher, name: &str, notice: ReplicaNotice) -> ReplicaIndex {
    let index = index_of(dispatcher, name).expect("a known replica");
    let fleet = &mut dispatcher.fleet;
    fleet.record_notice(at(10), index, &name.into(), Some(1), notice);
    index
}

fn choose(dispatcher: &Dispatcher, ms: u64, shard: usize) -> Option<String> {
    let query = ChoiceQuery {
        service: &shard_name(shard),
        tried: &[],
        allowed_regions: &[],
    };
    match dispatcher.fleet.choose(at(ms), &query) {
        Choice::Replica(index) => {
            let known = dispatcher.fleet.replica(index).expect("a replica");
            Some(known.record.name.to_string())
        }
        Choice::Busy | Choice::Unavailable => None,
    }
}

fn later(record: ReplicaRecord, sequence: u64) -> ReplicaRecord {
    ReplicaRecord { sequence, ..record }
}

#[test]
fn replica_that_said_it_leaves_is_not_used_again_whatever_control_says() {
    let mut dispatcher = dispatcher(1);
    let index = tell(&mut dispatcher, "shard-0-a", LEAVING);
    assert!(!dispatcher.fleet.may_send(at(11), index));
    let named = dispatcher.fleet.choose_named(at(11), &"shard-0-a".into());
    assert_eq!(named, Choice::Unavailable);
    let known = record("shard-0-a", "shard-0", "a", 1_001);
    let reports = [
        later(known.clone(), 7),
        ReplicaRecord {
            phase: ReplicaPhase::Left,
            ..later(known.clone(), 8)
        },
        later(known.clone(), 9),
        later(record("shard-0-a", "shard-0", "a", 2_001), 10),
    ];
    for report in reports {
        dispatcher.fleet.update_replicas(at(12), vec![report]);
        assert_ne!(choose(&dispatcher, 13, 0).as_deref(), Some("shard-0-a"));
    }
}

#[test]
fn next_incarnation_of_a_replica_that_left_is_used() {
    let mut dispatcher = dispatcher(1);
    tell(&mut dispatcher, "shard-0-a", LEAVING);
    let successor = ReplicaRecord {
        born_ms: Some(2),
        ..record("shard-0-a", "shard-0", "a", 1_001)
    };
    dispatcher.fleet.update_replicas(at(12), vec![successor]);
    assert_eq!(choose(&dispatcher, 13, 0).as_deref(), Some("shard-0-a"));
}

/// The notice of an answer that arrives after its replica was replaced concerns the former one.
#[test]
fn late_leaving_notice_does_not_affect_the_next_incarnation() {
    let mut dispatcher = dispatcher(1);
    let former = index_of(&dispatcher, "shard-0-a").expect("a known replica");
    let successor = ReplicaRecord {
        born_ms: Some(2),
        ..record("shard-0-a", "shard-0", "a", 1_001)
    };
    dispatcher.fleet.update_replicas(at(9), vec![successor]);
    let name = "shard-0-a".into();
    dispatcher
        .fleet
        .record_notice(at(10), former, &name, Some(1), LEAVING);
    assert_eq!(choose(&dispatcher, 13, 0).as_deref(), Some("shard-0-a"));
}

#[test]
fn replica_that_left_is_not_restored_by_a_control_process_that_lags() {
    let mut dispatcher = dispatcher(1);
    let known = record("shard-0-a", "shard-0", "a", 1_001);
    let left = ReplicaRecord {
        phase: ReplicaPhase::Left,
        ..known.clone()
    };
    dispatcher.fleet.update_replicas(at(10), vec![left]);
    dispatcher
        .fleet
        .update_replicas(at(11), vec![later(known, 3)]);
    assert_ne!(choose(&dispatcher, 12, 0).as_deref(), Some("shard-0-a"));
}

#[test]
fn paused_replica_gets_nothing_until_its_pause_ends() {
    let mut dispatcher = dispatcher(1);
    let index = tell(&mut dispatcher, "shard-0-a", pause(700));
    tell(&mut dispatcher, "shard-0-a", pause(100));
    for (ms, paused) in [(11, true), (600, true), (709, true), (710, false)] {
        assert_eq!(dispatcher.fleet.may_send(at(ms), index), !paused, "{ms}");
        let chosen = choose(&dispatcher, ms, 0);
        assert_eq!(chosen.as_deref() == Some("shard-0-a"), !paused, "{ms}");
    }
}

#[test]
fn heartbeat_does_not_end_a_pause() {
    let mut dispatcher = dispatcher(1);
    let index = tell(&mut dispatcher, "shard-0-a", pause(700));
    let beat = later(record("shard-0-a", "shard-0", "a", 1_001), 5);
    dispatcher.fleet.update_replicas(at(20), vec![beat]);
    assert!(!dispatcher.fleet.may_send(at(30), index));
}

#[test]
fn pause_is_limited_to_an_hour() {
    let mut dispatcher = dispatcher(1);
    let notice = ReplicaNotice {
        pause: Some(Duration::MAX),
        ..ReplicaNotice::default()
    };
    let index = tell(&mut dispatcher, "shard-0-a", notice);
    let hour = 3_600_000;
    assert!(!dispatcher.fleet.may_send(at(hour), index));
    assert!(dispatcher.fleet.may_send(at(hour + 10), index));
}

/// Runs a request that starts at 20 ms until it sends something or finishes at once.
fn start(dispatcher: &mut Dispatcher, target: RouteTarget) -> Vec<RequestAction> {
    let route = route("sweep", RouteKind::Safe, target);
    let plan = plan(route, at(20));
    let names = dispatcher.pick_targets(&plan.route);
    let mut machine = RequestMachine::open(plan, names);
    let mut actions = Vec::new();
    machine.step(at(20), RequestEvent::Due, dispatcher, &mut actions);
    actions
}

#[test]
fn request_whose_replicas_are_all_paused_is_refused_at_once_until_the_first_pause_ends() {
    let mut dispatcher = dispatcher(1);
    for (name, ms) in [("shard-0-a", 900), ("shard-0-b", 400), ("shard-0-c", 600)] {
        tell(&mut dispatcher, name, pause(ms));
    }
    let actions = start(&mut dispatcher, single("shard-0"));
    let refused = Decision::Refused {
        code: ResultCode::ReplicasPaused,
        retry_after: Duration::from_millis(390),
    };
    assert_eq!(actions, [RequestAction::Finish(refused)]);
}

fn pause_shard(dispatcher: &mut Dispatcher, shard: usize, ms: u64) {
    for centre in ["a", "b", "c"] {
        tell(dispatcher, &format!("shard-{shard}-{centre}"), pause(ms));
    }
}

#[test]
fn gather_leaves_out_a_paused_shard_if_the_minimum_allows() {
    let mut dispatcher = dispatcher(4);
    pause_shard(&mut dispatcher, 2, 400);
    let actions = start(&mut dispatcher, gather(4, 0.75));
    let sends = actions.iter().filter_map(|action| match action {
        RequestAction::Send { target, .. } => Some(*target),
        _ => None,
    });
    assert_eq!(sends.collect::<Vec<_>>(), [0, 1, 3]);
    assert_eq!(actions.len(), 3, "nothing else is decided yet");
}

#[test]
fn gather_below_its_minimum_is_refused_until_enough_pauses_have_ended() {
    let mut dispatcher = dispatcher(4);
    for (shard, ms) in [(1, 300), (2, 800), (3, 500)] {
        pause_shard(&mut dispatcher, shard, ms);
    }
    let actions = start(&mut dispatcher, gather(4, 0.75));
    // Two of the three shards are needed: those that are back after 300 and 500 ms.
    let refused = Decision::Refused {
        code: ResultCode::ReplicasPaused,
        retry_after: Duration::from_millis(490),
    };
    assert_eq!(actions, [RequestAction::Finish(refused)]);
}

/// The last replica asks for a pause while the request is under way.
#[test]
fn refusal_after_the_last_replica_paused_states_the_first_end() {
    let mut dispatcher = dispatcher(1);
    tell(&mut dispatcher, "shard-0-b", pause(900));
    tell(&mut dispatcher, "shard-0-c", pause(900));
    let plan = plan(route("card", RouteKind::Safe, single("shard-0")), at(20));
    let names = dispatcher.pick_targets(&plan.route);
    let mut machine = RequestMachine::open(plan, names);
    let mut actions = Vec::new();
    machine.step(at(20), RequestEvent::Due, &mut dispatcher, &mut actions);
    let [RequestAction::Send { attempt, .. }] = actions[..] else {
        panic!("one attempt: {actions:?}");
    };
    tell(&mut dispatcher, "shard-0-a", pause(300));
    actions.clear();
    let ended = RequestEvent::Ended {
        attempt,
        end: AttemptEnd::NotRun,
    };
    machine.step(at(30), ended, &mut dispatcher, &mut actions);
    let [RequestAction::Finish(Decision::Refused { retry_after, .. })] = actions[..] else {
        panic!("a refusal: {actions:?}");
    };
    assert_eq!(retry_after, Duration::from_millis(280));
}
