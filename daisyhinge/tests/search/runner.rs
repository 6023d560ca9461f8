//! Runs many requests over a [`Fleet`] in simulated time and checks every action against the
//! model's record.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::partition::UNUSED_PARTITIONS_MAX;
use daisyhinge::search::plan::SearchPlan;
use daisyhinge::search::route::RouteTable;
use daisyhinge::search::{DispatchCounts, RequestSearch, SearchAction, SearchEvent, is_covered};
use daisyhinge::vocabulary::answer::{QueryAnswer, QueryRefusal};
use daisyhinge::vocabulary::claim::ClaimResult;
use daisyhinge::vocabulary::event::EventKind;

use crate::fleet::{Fleet, part_body};

/// Event scheduled in simulated time.
pub enum ScheduledEvent {
    Step(u64, SearchEvent),
    Wake(u64),
}

pub struct ModelRequest {
    pub plan: SearchPlan,
    pub search: RequestSearch,
    /// Shards of the outstanding dispatches, by attempt.
    pub outstanding: HashMap<AttemptId, ShardNumber>,
    pub attempts: Vec<AttemptId>,
    pub won_attempts: HashSet<AttemptId>,
    pub dispatched_attempts: HashSet<AttemptId>,
    pub result: Option<Result<QueryAnswer, QueryRefusal>>,
    pub took: Duration,
    pub pins: u32,
}

pub struct Runner {
    pub fleet: Fleet,
    pub routes: RouteTable,
    pub now: MonotonicTime,
    pub requests: BTreeMap<u64, ModelRequest>,
    pub dispatch_counts: DispatchCounts,
    /// Probability per thousand that a reply is delivered twice.
    pub duplicate_reply_rate: u32,
    /// Probability per thousand that the reply to a claim is lost.
    pub claim_reply_loss_rate: u32,
    queue: BinaryHeap<Reverse<(MonotonicTime, u64)>>,
    scheduled_events: HashMap<u64, ScheduledEvent>,
    sequence: u64,
}

impl Runner {
    pub fn new(mut fleet: Fleet, seed: u64) -> Self {
        let mut routes = RouteTable::seeded(seed);
        let now = MonotonicTime(1_000_000);
        fleet.publish(now, &mut routes);
        Self {
            fleet,
            routes,
            now,
            requests: BTreeMap::new(),
            dispatch_counts: DispatchCounts::default(),
            duplicate_reply_rate: 0,
            claim_reply_loss_rate: 0,
            queue: BinaryHeap::new(),
            scheduled_events: HashMap::new(),
            sequence: 0,
        }
    }

    pub fn start(&mut self, number: u64, plan: SearchPlan) {
        let request = ModelRequest {
            search: RequestSearch::new(plan.clone()).with_claim_returns(),
            plan,
            outstanding: HashMap::new(),
            attempts: Vec::new(),
            won_attempts: HashSet::new(),
            dispatched_attempts: HashSet::new(),
            result: None,
            took: Duration::ZERO,
            pins: 0,
        };
        self.requests.insert(number, request);
        self.step(number, SearchEvent::Start);
    }

    pub fn schedule(&mut self, after: Duration, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled_events.insert(self.sequence, scheduled);
        self.queue.push(Reverse((self.now + after, self.sequence)));
    }

    /// Processes all events scheduled up to `until`.
    pub fn run_until(&mut self, until: MonotonicTime) {
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            match self.scheduled_events.remove(&sequence) {
                Some(ScheduledEvent::Step(number, event)) => self.step(number, event),
                Some(ScheduledEvent::Wake(number)) => self.wake(number),
                None => {}
            }
        }
        self.now = self.now.max(until);
    }

    fn wake(&mut self, number: u64) {
        let due = self.requests[&number].search.next_wake();
        if due.is_some_and(|due| due <= self.now) {
            self.step(number, SearchEvent::Tick);
            let next = self.requests[&number].search.next_wake();
            assert!(
                next.is_none_or(|next| next > self.now),
                "a tick must move the next wake time forward"
            );
        }
    }

    pub fn step(&mut self, number: u64, event: SearchEvent) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if let SearchEvent::SubEnded { attempt, .. } = &event {
            request.outstanding.remove(attempt);
        }
        let before = request.search.dispatch_counts();
        let mut actions = Vec::new();
        request
            .search
            .step(self.now, event, &mut self.routes, &mut actions);
        let after = request.search.dispatch_counts();
        self.dispatch_counts.primaries += after.primaries - before.primaries;
        self.dispatch_counts.replacements += after.replacements - before.replacements;
        self.dispatch_counts.hedges += after.hedges - before.hedges;
        self.dispatch_counts.retries += after.retries - before.retries;
        self.dispatch_counts.denied += after.denied - before.denied;
        for action in actions {
            self.perform(number, action);
        }
        let request = &self.requests[&number];
        if let Some(due) = request.search.next_wake() {
            self.schedule(due.since(self.now), ScheduledEvent::Wake(number));
        }
    }

    fn perform(&mut self, number: u64, action: SearchAction) {
        let now = self.now;
        let request = self.requests.get_mut(&number).expect("a known request");
        let id = request.plan.request.clone();
        match action {
            SearchAction::Claim(attempt) => {
                assert!(!request.plan.repeatable);
                let reply = self.fleet.claim(&id, attempt);
                if reply == daisyhinge::vocabulary::claim::ClaimReply::Won {
                    request.won_attempts.insert(attempt);
                }
                if !self.fleet.chance(self.claim_reply_loss_rate) {
                    let scheduled = ScheduledEvent::Step(number, SearchEvent::Claimed(reply));
                    self.schedule(Duration::from_millis(2), scheduled);
                }
            }
            SearchAction::EndClaim { attempt, end } => {
                let returned = end == ClaimResult::NotRun;
                self.fleet.end_claim(&id, attempt, end);
                if returned {
                    let scheduled = ScheduledEvent::Step(number, SearchEvent::ClaimReturned);
                    self.schedule(Duration::from_millis(2), scheduled);
                }
            }
            SearchAction::Dispatch(sub) => {
                assert!(
                    request.result.is_none(),
                    "dispatched after the caller was answered"
                );
                assert!(sub.expires <= request.plan.deadline);
                if !request.plan.repeatable {
                    assert!(
                        request.won_attempts.contains(&sub.attempt),
                        "dispatched without a won claim"
                    );
                    let first = request.dispatched_attempts.insert(sub.attempt);
                    assert!(first, "dispatched twice under one claim");
                    assert!(!sub.hedge);
                }
                request.outstanding.insert(sub.attempt, sub.shard);
                request.attempts.push(sub.attempt);
                let (duration, reply) = self.fleet.run(now, &sub);
                let attempt = sub.attempt;
                if self.fleet.chance(self.duplicate_reply_rate) {
                    let reply = reply.clone();
                    let event = SearchEvent::SubEnded { attempt, reply };
                    self.schedule(duration * 2, ScheduledEvent::Step(number, event));
                }
                let event = SearchEvent::SubEnded { attempt, reply };
                self.schedule(duration, ScheduledEvent::Step(number, event));
            }
            SearchAction::Cancel(attempt) => {
                assert!(request.plan.repeatable, "a claimed dispatch was cancelled");
                assert!(
                    request.outstanding.remove(&attempt).is_some(),
                    "cancelled an attempt that is not outstanding"
                );
                self.fleet.cancel(attempt);
            }
            SearchAction::Finish(result) => self.handle_result(number, &result),
            SearchAction::RecordEvent(event) if event.kind == EventKind::SnapshotPinned => {
                request.pins += 1;
                assert!(request.pins <= 2, "a request restarts at most once");
            }
            SearchAction::RecordEvent(_) => {}
        }
    }

    fn handle_result(&mut self, number: u64, result: &Result<QueryAnswer, QueryRefusal>) {
        let now = self.now;
        let request = self.requests.get_mut(&number).expect("a known request");
        assert!(request.result.is_none(), "the caller was answered twice");
        assert!(now <= request.plan.deadline, "answered after the deadline");
        request.result = Some(result.clone());
        request.took = now.since(request.plan.arrived);
        let request = &self.requests[&number];
        match result {
            Ok(answer) => self.check_answer(request, answer),
            Err(refusal) => self.check_refusal(request, refusal),
        }
        if request.plan.repeatable {
            assert!(
                request.outstanding.is_empty(),
                "attempts are outstanding after the answer"
            );
        }
    }

    /// Recomputes snapshot and coverage from the model's record.
    fn check_answer(&self, request: &ModelRequest, answer: &QueryAnswer) {
        assert_eq!(answer.request, request.plan.request);
        let snapshot = &self.fleet.snapshots[&answer.snapshot.0];
        let requested: Vec<u32> = match request.plan.shard {
            Some(shard) => vec![shard.0],
            None => (0..snapshot.shards()).collect(),
        };
        let mut listed: Vec<u32> = answer.parts.iter().map(|part| part.shard.0).collect();
        listed.extend(answer.missing.iter().map(|missing| missing.shard.0));
        listed.sort_unstable();
        assert_eq!(
            listed, requested,
            "each shard is either answered or missing"
        );
        for part in &answer.parts {
            assert_eq!(
                part.body,
                part_body(answer.snapshot, part.shard),
                "a part belongs to another snapshot or shard"
            );
        }
        let weight = |shard: &u32| snapshot.weights[*shard as usize];
        let answered: u64 = answer.parts.iter().map(|part| weight(&part.shard.0)).sum();
        let requested_weight: u64 = requested.iter().map(weight).sum();
        assert_eq!(
            (answer.answered_weight, answer.whole_weight),
            (answered, requested_weight)
        );
        if !answer.resent {
            assert!(is_covered(
                answered,
                requested_weight,
                request.plan.minimum_ppm
            ));
        }
        for missing in &answer.missing {
            let first = self
                .fleet
                .announced
                .get(&(answer.snapshot.0, missing.shard.0));
            let is_before = first.is_some_and(|first| *first < request.plan.arrived);
            match missing.code {
                ResultCode::ShardAbsent => assert!(!is_before, "the shard was announced earlier"),
                // For partitions beyond the limit, the entry no longer knows the announced shards.
                ResultCode::NoReplica => assert!(
                    first.is_some() || self.fleet.snapshots.len() > UNUSED_PARTITIONS_MAX,
                    "the shard was never announced"
                ),
                _ => {}
            }
        }
    }

    fn check_refusal(&self, request: &ModelRequest, refusal: &QueryRefusal) {
        let ran = request
            .attempts
            .iter()
            .any(|attempt| self.fleet.ran.contains(attempt));
        match refusal.run {
            RunState::NotRun => assert!(!ran, "reported as not run, but it ran: {refusal:?}"),
            RunState::Ran => assert!(ran, "reported as run, but it did not run: {refusal:?}"),
            RunState::Unknown => {}
        }
        let is_final = matches!(
            refusal.code,
            ResultCode::RequestPoisoned
                | ResultCode::OutcomeUnknown
                | ResultCode::CallerGone
                | ResultCode::UnknownShard
        );
        assert_eq!(refusal.retry_ms.is_none(), is_final, "{refusal:?}");
    }

    /// Checks the invariants at the end of a run.
    pub fn check_end(&mut self) {
        for (number, request) in &self.requests {
            assert!(
                request.result.is_some(),
                "request {number} was never answered"
            );
            assert!(request.search.is_done(), "request {number} is not done");
        }
        assert_eq!(
            self.routes.in_flight(),
            0,
            "ended dispatches are still counted as outstanding"
        );
    }

    /// Asserts that hedges and retries stayed within the budget of one entry.
    pub fn check_extra_work(&self, extra_work_ppm: u32, started_at: MonotonicTime) {
        let earned = f64::from(self.dispatch_counts.primaries) * f64::from(extra_work_ppm) / 1e6;
        let reserve = daisyhinge::search::budget::RESERVE as f64;
        let refilled = self.now.since(started_at).as_secs_f64();
        let spent = f64::from(self.dispatch_counts.hedges + self.dispatch_counts.retries);
        assert!(
            spent <= earned + reserve + refilled + 1.0,
            "{:?} exceeds the budget of {earned} + {reserve} + {refilled}",
            self.dispatch_counts
        );
    }
}
