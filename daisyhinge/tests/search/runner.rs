//! Runs many requests over a [`Fleet`] in model time, and judges every action by its record.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::partition::UNHELD_MAX;
use daisyhinge::search::plan::SearchPlan;
use daisyhinge::search::route::RouteTable;
use daisyhinge::search::{RequestSearch, SearchAction, SearchEvent, SearchTally, is_covered};
use daisyhinge::vocabulary::answer::{QueryAnswer, QueryRefusal};
use daisyhinge::vocabulary::claim::ClaimEnding;
use daisyhinge::vocabulary::event::EventKind;

use crate::fleet::{Fleet, part_body};

/// What happens next in model time.
pub enum Happening {
    Step(u64, SearchEvent),
    Wake(u64),
}

pub struct ModelRequest {
    pub plan: SearchPlan,
    pub search: RequestSearch,
    /// Dispatches under way, by attempt, with their shard.
    pub out: HashMap<AttemptId, ShardNumber>,
    pub attempts: Vec<AttemptId>,
    pub won: HashSet<AttemptId>,
    pub dispatched_under: HashSet<AttemptId>,
    pub result: Option<Result<QueryAnswer, QueryRefusal>>,
    pub took: Duration,
    pub pins: u32,
}

pub struct Runner {
    pub fleet: Fleet,
    pub routes: RouteTable,
    pub now: MonotonicTime,
    pub requests: BTreeMap<u64, ModelRequest>,
    pub tally: SearchTally,
    /// Chance per thousand that a reply comes twice.
    pub twice: u32,
    /// Chance per thousand that a claim's reply is lost.
    pub claim_lost: u32,
    queue: BinaryHeap<Reverse<(MonotonicTime, u64)>>,
    happenings: HashMap<u64, Happening>,
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
            tally: SearchTally::default(),
            twice: 0,
            claim_lost: 0,
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            sequence: 0,
        }
    }

    pub fn start(&mut self, number: u64, plan: SearchPlan) {
        let request = ModelRequest {
            search: RequestSearch::new(plan.clone()).with_claim_returns(),
            plan,
            out: HashMap::new(),
            attempts: Vec::new(),
            won: HashSet::new(),
            dispatched_under: HashSet::new(),
            result: None,
            took: Duration::ZERO,
            pins: 0,
        };
        self.requests.insert(number, request);
        self.step(number, SearchEvent::Start);
    }

    pub fn later(&mut self, after: Duration, happening: Happening) {
        self.sequence += 1;
        self.happenings.insert(self.sequence, happening);
        self.queue.push(Reverse((self.now + after, self.sequence)));
    }

    /// Lets everything happen that is due until `until`.
    pub fn run_until(&mut self, until: MonotonicTime) {
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            match self.happenings.remove(&sequence) {
                Some(Happening::Step(number, event)) => self.step(number, event),
                Some(Happening::Wake(number)) => self.wake(number),
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
                "a wake that changes nothing"
            );
        }
    }

    pub fn step(&mut self, number: u64, event: SearchEvent) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if let SearchEvent::SubEnded { attempt, .. } = &event {
            request.out.remove(attempt);
        }
        let before = request.search.tally();
        let mut actions = Vec::new();
        request
            .search
            .step(self.now, event, &mut self.routes, &mut actions);
        let after = request.search.tally();
        self.tally.primaries += after.primaries - before.primaries;
        self.tally.replaced += after.replaced - before.replaced;
        self.tally.hedges += after.hedges - before.hedges;
        self.tally.retries += after.retries - before.retries;
        self.tally.denied += after.denied - before.denied;
        for action in actions {
            self.act(number, action);
        }
        let request = &self.requests[&number];
        if let Some(due) = request.search.next_wake() {
            self.later(due.since(self.now), Happening::Wake(number));
        }
    }

    fn act(&mut self, number: u64, action: SearchAction) {
        let now = self.now;
        let request = self.requests.get_mut(&number).expect("a known request");
        let id = request.plan.request.clone();
        match action {
            SearchAction::Claim(attempt) => {
                assert!(!request.plan.repeatable);
                let reply = self.fleet.claim(&id, attempt);
                if reply == daisyhinge::vocabulary::claim::ClaimReply::Won {
                    request.won.insert(attempt);
                }
                if !self.fleet.chance(self.claim_lost) {
                    let happening = Happening::Step(number, SearchEvent::Claimed(reply));
                    self.later(Duration::from_millis(2), happening);
                }
            }
            SearchAction::EndClaim { attempt, end } => {
                let returned = end == ClaimEnding::NotRun;
                self.fleet.end_claim(&id, attempt, end);
                if returned {
                    let happening = Happening::Step(number, SearchEvent::ClaimReturned);
                    self.later(Duration::from_millis(2), happening);
                }
            }
            SearchAction::Dispatch(sub) => {
                assert!(request.result.is_none(), "a dispatch after the answer");
                assert!(sub.expires <= request.plan.deadline);
                if !request.plan.repeatable {
                    assert!(
                        request.won.contains(&sub.attempt),
                        "a dispatch without a claim"
                    );
                    let first = request.dispatched_under.insert(sub.attempt);
                    assert!(first, "two dispatches under one claim");
                    assert!(!sub.hedge);
                }
                request.out.insert(sub.attempt, sub.shard);
                request.attempts.push(sub.attempt);
                let (span, reply) = self.fleet.run(now, &sub);
                let attempt = sub.attempt;
                if self.fleet.chance(self.twice) {
                    let reply = reply.clone();
                    let event = SearchEvent::SubEnded { attempt, reply };
                    self.later(span * 2, Happening::Step(number, event));
                }
                let event = SearchEvent::SubEnded { attempt, reply };
                self.later(span, Happening::Step(number, event));
            }
            SearchAction::Cancel(attempt) => {
                assert!(request.plan.repeatable, "a claimed dispatch was cancelled");
                assert!(request.out.remove(&attempt).is_some(), "cancelled twice");
                self.fleet.cancel(attempt);
            }
            SearchAction::Finish(result) => self.take_result(number, &result),
            SearchAction::Note(event) if event.kind == EventKind::SnapshotPinned => {
                request.pins += 1;
                assert!(request.pins <= 2, "a request starts again once");
            }
            SearchAction::Note(_) => {}
        }
    }

    fn take_result(&mut self, number: u64, result: &Result<QueryAnswer, QueryRefusal>) {
        let now = self.now;
        let request = self.requests.get_mut(&number).expect("a known request");
        assert!(request.result.is_none(), "a caller was answered twice");
        assert!(now <= request.plan.deadline, "an answer after its deadline");
        request.result = Some(result.clone());
        request.took = now.since(request.plan.arrived);
        let request = &self.requests[&number];
        match result {
            Ok(answer) => self.judge_answer(request, answer),
            Err(refusal) => self.judge_refusal(request, refusal),
        }
        if request.plan.repeatable {
            assert!(request.out.is_empty(), "work is left under way");
        }
    }

    /// Recomputes snapshot and coverage from the model's own record.
    fn judge_answer(&self, request: &ModelRequest, answer: &QueryAnswer) {
        assert_eq!(answer.request, request.plan.request);
        let cut = &self.fleet.snapshots[&answer.snapshot.0];
        let wanted: Vec<u32> = match request.plan.shard {
            Some(shard) => vec![shard.0],
            None => (0..cut.shards()).collect(),
        };
        let mut listed: Vec<u32> = answer.parts.iter().map(|part| part.shard.0).collect();
        listed.extend(answer.missing.iter().map(|row| row.shard.0));
        listed.sort_unstable();
        assert_eq!(listed, wanted, "each shard is either here or missing");
        for part in &answer.parts {
            assert_eq!(
                part.body,
                part_body(answer.snapshot, part.shard),
                "a mixed snapshot"
            );
        }
        let weight = |shard: &u32| cut.weights[*shard as usize];
        let answered: u64 = answer.parts.iter().map(|part| weight(&part.shard.0)).sum();
        let whole: u64 = wanted.iter().map(weight).sum();
        assert_eq!(
            (answer.answered_weight, answer.whole_weight),
            (answered, whole)
        );
        if !answer.resent {
            assert!(is_covered(answered, whole, request.plan.minimum_ppm));
        }
        for row in &answer.missing {
            let first = self.fleet.announced.get(&(answer.snapshot.0, row.shard.0));
            let is_before = first.is_some_and(|first| *first < request.plan.arrived);
            match row.code {
                ResultCode::ShardAbsent => assert!(!is_before, "the shard had announced itself"),
                // Of partitions beyond the bound, the entry no longer knows which shards announced.
                ResultCode::NoReplica => assert!(
                    first.is_some() || self.fleet.snapshots.len() > UNHELD_MAX,
                    "the shard never announced itself"
                ),
                _ => {}
            }
        }
    }

    fn judge_refusal(&self, request: &ModelRequest, refusal: &QueryRefusal) {
        let ran = request
            .attempts
            .iter()
            .any(|attempt| self.fleet.ran.contains(attempt));
        match refusal.run {
            RunState::NotRun => assert!(!ran, "not run, but it ran: {refusal:?}"),
            RunState::Ran => assert!(ran, "ran, but it did not: {refusal:?}"),
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

    /// Checks what must hold at the end of a run.
    pub fn judge_end(&mut self) {
        for (number, request) in &self.requests {
            assert!(
                request.result.is_some(),
                "request {number} was never answered"
            );
            assert!(request.search.is_done(), "request {number} lingers");
        }
        assert_eq!(
            self.routes.in_flight(),
            0,
            "dispatches are counted as under way for ever"
        );
    }

    /// Asserts that hedges and retries stayed within the budget of one entry.
    pub fn judge_extra(&self, ppm: u32, began: MonotonicTime) {
        let earned = f64::from(self.tally.primaries) * f64::from(ppm) / 1e6;
        let floor = daisyhinge::search::budget::FLOOR as f64;
        let refilled = self.now.since(began).as_secs_f64();
        let spent = f64::from(self.tally.hedges + self.tally.retries);
        assert!(
            spent <= earned + floor + refilled + 1.0,
            "{:?} is beyond {earned} + {floor} + {refilled}",
            self.tally
        );
    }
}
