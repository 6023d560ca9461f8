//! Whole requests, event by event.

use std::sync::Arc;
use std::time::Duration;

use daisyhinge::dispatch::Dispatcher;
use daisyhinge::dispatch::request::{
    AttemptEnd, RequestAction, RequestEvent, RequestMachine, Verdict,
};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::site::{RouteKind, RouteTarget, SiteRoute};

use crate::support::{at, dispatcher, gather, plan, route, shard_name, single};

struct Play {
    dispatcher: Dispatcher,
    machine: RequestMachine,
    /// Attempts with their targets, in order.
    sent: Vec<(u64, usize)>,
    /// Attempts that are not to be written any more.
    overtaken: Vec<u64>,
    verdict: Option<Verdict>,
}

fn begin(route: SiteRoute, dispatcher: Dispatcher) -> Play {
    let names: Arc<[ServiceName]> = match &route.target {
        RouteTarget::Gather(gather) => Arc::clone(&gather.shards),
        RouteTarget::Split(parts) => parts.iter().map(|part| part.service.clone()).collect(),
    };
    let machine = RequestMachine::open(plan(route, at(0)), names);
    let mut play = Play {
        dispatcher,
        machine,
        sent: Vec::new(),
        overtaken: Vec::new(),
        verdict: None,
    };
    play.step(0, RequestEvent::Due);
    play
}

impl Play {
    fn step(&mut self, ms: u64, event: RequestEvent) {
        let mut actions = Vec::new();
        self.machine
            .step(at(ms), event, &mut self.dispatcher, &mut actions);
        for action in actions {
            match action {
                RequestAction::Send {
                    attempt, target, ..
                } => self.sent.push((attempt, target)),
                RequestAction::Overtake { attempt } => self.overtaken.push(attempt),
                RequestAction::Cancel { .. } => {}
                RequestAction::Finish(verdict) => {
                    assert!(self.verdict.is_none(), "finished twice");
                    self.verdict = Some(verdict);
                }
            }
        }
    }

    fn end(&mut self, ms: u64, place: usize, end: AttemptEnd) {
        let (attempt, _) = self.sent[place];
        self.step(ms, RequestEvent::Ended { attempt, end });
    }
}

fn safe(target: RouteTarget) -> SiteRoute {
    route("r", RouteKind::Safe, target)
}

fn unsafe_route(target: RouteTarget) -> SiteRoute {
    route("r", RouteKind::Unsafe, target)
}

#[test]
fn all_shards_are_asked_at_once_and_a_whole_answer_is_given_at_once() {
    let mut play = begin(safe(gather(3, 0.6)), dispatcher(3));
    assert_eq!(play.sent.len(), 3);
    for place in 0..3 {
        assert_eq!(play.verdict, None);
        play.end(10, place, AttemptEnd::Answered);
    }
    assert_eq!(play.verdict, Some(Verdict::Answer { missing: 0 }));
}

#[test]
fn a_late_shard_is_asked_of_a_second_replica() {
    let mut play = begin(safe(gather(2, 0.5)), dispatcher(2));
    play.end(8, 0, AttemptEnd::Answered);
    let due = play.machine.next_due();
    assert!(due < at(50), "the hedge is due in time");
    play.step(50, RequestEvent::Due);
    assert_eq!(play.sent.len(), 3);
    assert_eq!(play.sent[2].1, 1);
    play.end(70, 2, AttemptEnd::Answered);
    assert_eq!(play.verdict, Some(Verdict::Answer { missing: 0 }));
}

#[test]
fn enough_shards_are_an_answer_shortly_before_the_objective() {
    let mut play = begin(safe(gather(4, 0.75)), dispatcher(4));
    for place in 0..3 {
        play.end(8, place, AttemptEnd::Answered);
    }
    assert!(play.machine.next_due() < at(120));
    play.step(100, RequestEvent::Due);
    assert_eq!(play.verdict, None);
    play.step(112, RequestEvent::Due);
    assert_eq!(play.verdict, Some(Verdict::Answer { missing: 1 }));
}

#[test]
fn below_the_minimum_it_waits_beyond_the_objective_and_answers_once_it_is_reached() {
    let mut play = begin(safe(gather(2, 1.0)), dispatcher(2));
    play.end(8, 0, AttemptEnd::Answered);
    play.step(200, RequestEvent::Due);
    assert_eq!(play.verdict, None);
    play.end(300, 1, AttemptEnd::Answered);
    assert_eq!(play.verdict, Some(Verdict::Answer { missing: 0 }));
}

#[test]
fn what_cannot_reach_the_minimum_is_refused_before_anything_is_sent() {
    let mut shards = dispatcher(2);
    let mut names: Vec<ServiceName> = (0..2).map(shard_name).collect();
    names.push("absent".into());
    shards.take_config(&crate::support::config(&names, Vec::new()));
    let RouteTarget::Gather(mut wanted) = gather(2, 1.0) else {
        panic!("a gather");
    };
    wanted.shards = names.into();
    let play = begin(safe(RouteTarget::Gather(wanted)), shards);
    assert!(play.sent.is_empty(), "nothing runs of what is refused");
    let verdict = play.verdict;
    assert!(
        matches!(verdict, Some(Verdict::Refused { code: ResultCode::NoReplica, return_after })
            if return_after > Duration::ZERO),
        "{verdict:?}"
    );
}

#[test]
fn a_request_that_may_have_run_is_never_refused() {
    let mut play = begin(unsafe_route(single("shard-0")), dispatcher(1));
    play.end(30, 0, AttemptEnd::Lost);
    assert_eq!(play.sent.len(), 1, "it is not sent again");
    assert!(matches!(play.verdict, Some(Verdict::Unfinished { .. })));
}

/// Another replica is asked in time for its answer to be in before the objective.
#[test]
fn an_account_tells_what_became_of_each_target() {
    let mut play = begin(safe(gather(2, 0.5)), dispatcher(2));
    play.end(10, 0, AttemptEnd::Answered);
    let due = play.machine.next_due();
    assert!(due <= at(30), "{due:?}");
    play.step(30, RequestEvent::Due);
    play.end(55, 2, AttemptEnd::Answered);
    assert_eq!(play.verdict, Some(Verdict::Answer { missing: 0 }));
    let accounts = play.machine.list_accounts();
    assert_eq!(accounts.len(), 1, "one target needed two attempts");
    let account = &accounts[0];
    assert!(account.answered && account.denied.is_none());
    let ends: Vec<_> = account.attempts.iter().map(|one| one.end).collect();
    assert_eq!(ends, [None, Some((AttemptEnd::Answered, at(55)))]);
}

#[test]
fn a_request_that_may_not_be_repeated_is_not_hedged() {
    let mut play = begin(unsafe_route(single("shard-0")), dispatcher(1));
    for ms in 1..1_999 {
        play.step(ms, RequestEvent::Due);
    }
    assert_eq!(play.sent.len(), 1);
    play.step(2_000, RequestEvent::Due);
    let code = ResultCode::DeadlinePassed;
    assert_eq!(play.verdict, Some(Verdict::Unfinished { code }));
}

#[test]
fn what_a_server_did_not_run_may_be_sent_again_whatever_its_kind() {
    let mut play = begin(unsafe_route(single("shard-0")), dispatcher(1));
    play.end(5, 0, AttemptEnd::NotRun);
    assert_eq!(play.sent.len(), 2);
    play.end(50, 1, AttemptEnd::Answered);
    assert_eq!(play.verdict, Some(Verdict::Answer { missing: 0 }));
}

/// Another entry that has no room at a replica has sent nothing: the next attempt is no extra one,
/// and requests go elsewhere.
#[test]
fn a_busy_peer_costs_no_extra_request() {
    let mut play = begin(safe(gather(1, 1.0)), dispatcher(1));
    let left = play.dispatcher.budget(&shard_name(0)).left();
    for turn in 0..2 {
        play.end(10 + turn as u64, turn, AttemptEnd::PeerBusy);
    }
    assert_eq!(play.sent.len(), 3);
    assert!(play.dispatcher.budget(&shard_name(0)).left() >= left);
    play.end(20, 2, AttemptEnd::Answered);
    assert_eq!(play.verdict, Some(Verdict::Answer { missing: 0 }));
}

/// An attempt that is still connecting when another replica is asked has arrived nowhere: the other
/// one is no extra request, and the first one is not written any more.
#[test]
fn what_is_still_connecting_is_overtaken_at_no_extra_request() {
    let mut play = begin(safe(gather(1, 1.0)), dispatcher(1));
    let left = play.dispatcher.budget(&shard_name(0)).left();
    let (first, _) = play.sent[0];
    play.machine.note_written(first, false);
    play.step(60, RequestEvent::Due);
    assert_eq!((play.sent.len(), &*play.overtaken), (2, &[first][..]));
    assert!(play.dispatcher.budget(&shard_name(0)).left() >= left);
    play.end(70, 0, AttemptEnd::NotSent);
    play.end(80, 1, AttemptEnd::Answered);
    assert_eq!(play.verdict, Some(Verdict::Answer { missing: 0 }));
}

#[test]
fn what_was_never_written_is_truly_refused() {
    let mut play = begin(unsafe_route(single("shard-0")), dispatcher(1));
    let (first, _) = play.sent[0];
    play.machine.note_written(first, false);
    play.step(20_000, RequestEvent::Due);
    assert!(matches!(play.verdict, Some(Verdict::Refused { .. })));
}

#[test]
fn a_refusal_by_every_server_is_a_true_refusal() {
    let mut play = begin(unsafe_route(single("shard-0")), dispatcher(1));
    let mut place = 0;
    while play.verdict.is_none() {
        play.end(5 + place as u64, place, AttemptEnd::NotRun);
        place += 1;
    }
    assert!(matches!(play.verdict, Some(Verdict::Refused { .. })));
}

#[test]
fn attempts_that_may_run_stay_within_the_routes_limit() {
    let mut play = begin(safe(single("shard-0")), dispatcher(1));
    let mut place = 0;
    while play.verdict.is_none() {
        play.end(5 + place as u64, place, AttemptEnd::Lost);
        place += 1;
    }
    assert_eq!(play.sent.len(), 2);
    assert!(matches!(play.verdict, Some(Verdict::Unfinished { .. })));
}

#[test]
fn a_servers_own_failure_is_passed_on_when_no_other_answers() {
    let mut play = begin(unsafe_route(single("shard-0")), dispatcher(1));
    play.end(30, 0, AttemptEnd::Failed);
    let (attempt, _) = play.sent[0];
    assert_eq!(play.verdict, Some(Verdict::Relay { attempt }));
}

#[test]
fn nothing_is_due_in_the_past_once_a_shard_has_answered() {
    let mut play = begin(safe(gather(2, 1.0)), dispatcher(2));
    play.end(8, 0, AttemptEnd::Answered);
    for ms in [40, 60, 200] {
        play.step(ms, RequestEvent::Due);
        assert!(
            play.machine.next_due() > at(ms),
            "due in the past at {ms} ms"
        );
    }
}

#[test]
fn an_abandoned_request_leaves_nothing_under_way() {
    let mut play = begin(safe(gather(3, 0.6)), dispatcher(3));
    play.step(20, RequestEvent::Abandoned);
    let running: usize = play
        .dispatcher
        .fleet
        .replicas()
        .map(|(_, one)| one.running())
        .sum();
    assert_eq!(running, 0);
}
