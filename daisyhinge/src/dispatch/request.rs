//! State machine of one request to a replica, or to one replica of each shard, without I/O.
//!
//! With many shards, one straggler determines the latency of the whole answer. A late shard is
//! therefore hedged at a second replica as long as the service's retry budget allows, and a partial
//! answer is given before the objective once enough shards have answered. A target that has no
//! usable replica is given up at once.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::admission::AdmissionTicket;
use super::fleet::{Choice, ChoiceQuery, FleetReplica, ReplicaIndex};
use crate::prelude::*;
use crate::vocabulary::site::{RouteKind, RouteTarget};

mod admission;
mod decision;
mod ending;
mod isolation;
mod message;
mod target;
pub use admission::AdmissionRecord;
use admission::AdmissionState;
use decision::answer_delay;
pub use message::{
    AttemptEnd, AttemptRecord, Decision, RequestAction, RequestEvent, RequestPlan, TargetRecord,
};
use target::{TargetPhase, TargetState};

/// Interval between attempts to send to a target without capacity or budget.
const RETRY_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum wait for admission, as a percentage of the objective. A request is admitted once enough
/// of its targets have capacity. Nothing is sent before, so that a refused request costs the
/// replicas nothing.
const ADMISSION_OBJECTIVE_PERCENT: u32 = 22;
/// Maximum wait of one target for capacity, as a percentage of the objective.
const CAPACITY_OBJECTIVE_PERCENT: u32 = 90;
/// Refusals by replicas after which a target is given up.
const REFUSALS_MAX: u32 = 3;
/// Attempts that did not reach their replica after which a target is given up.
const UNDELIVERED_MAX: u32 = 4;

/// State machine of one request, driven by [`RequestMachine::step`].
#[derive(Debug)]
pub struct RequestMachine {
    plan: RequestPlan,
    names: Arc<[ServiceName]>,
    targets: Vec<TargetState>,
    min_targets: usize,
    answer_at: Option<MonotonicTime>,
    admit_until: MonotonicTime,
    give_up_at: MonotonicTime,
    has_started: bool,
    admission: AdmissionState,
    /// Time in the admission queue; unset if the request did not wait.
    waited: Option<Duration>,
    finished: bool,
    /// Time for which the answer was scheduled, if it was not complete before.
    scheduled_at: Option<MonotonicTime>,
    /// When the caller may retry, if the request was given up as poisoned.
    poisoned_retry_after: Option<Duration>,
}

impl RequestMachine {
    /// Creates the state machine of a request to the services `names`.
    pub fn open(plan: RequestPlan, names: Arc<[ServiceName]>) -> Self {
        let route = &plan.route;
        let (min_targets, answer_at) = match &route.target {
            RouteTarget::Split(_) => (1, None),
            RouteTarget::Gather(gather) => (
                gather.min_shards(),
                Some(plan.started + answer_delay(&plan)),
            ),
        };
        let admission = route.objective * ADMISSION_OBJECTIVE_PERCENT / 100;
        let admit_until = plan.started + admission;
        let give_up_at = plan.started + route.objective * CAPACITY_OBJECTIVE_PERCENT / 100;
        Self {
            targets: names.iter().map(|_| TargetState::default()).collect(),
            names,
            min_targets,
            answer_at,
            admit_until,
            give_up_at,
            plan,
            has_started: false,
            admission: AdmissionState::default(),
            waited: None,
            finished: false,
            scheduled_at: None,
            poisoned_retry_after: None,
        }
    }

    /// Returns the time by which a gather must be answered for its caller to get the answer within
    /// the objective.
    pub fn answer_at(&self) -> Option<MonotonicTime> {
        self.answer_at
    }

    /// Returns the time for which the answer was scheduled, if it was not complete before.
    pub fn scheduled_at(&self) -> Option<MonotonicTime> {
        self.scheduled_at
    }

    /// Returns the number of the request in the admission queue while it waits.
    pub fn ticket(&self) -> Option<AdmissionTicket> {
        self.admission.ticket()
    }

    /// Returns the number of targets.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Returns the attempt whose answer is used for a target.
    pub fn answer_of(&self, target: usize) -> Option<u64> {
        self.targets.get(target).and_then(TargetState::answer)
    }

    /// Returns the number of attempts that were sent.
    pub fn sent(&self) -> u32 {
        self.targets.iter().map(|target| target.sent).sum()
    }

    /// Records whether any byte of an attempt in flight was written. Until this is called, the
    /// attempt counts as written.
    pub fn set_written(&mut self, attempt: u64, written: bool) {
        let running = self
            .targets
            .iter_mut()
            .flat_map(|target| &mut target.running);
        for pending in running.filter(|pending| pending.attempt == attempt) {
            pending.written = written;
        }
    }

    /// Ends the request at `time` at the latest, as its deadline does.
    pub fn end_by(&mut self, time: MonotonicTime) {
        self.plan.deadline = self.plan.deadline.min(time);
    }

    /// Iterates over the targets without an answer.
    pub fn missing(&self) -> impl Iterator<Item = &ServiceName> {
        let pairs = self.names.iter().zip(&self.targets);
        pairs
            .filter(|(_, target)| target.answer().is_none())
            .map(|(name, _)| name)
    }

    /// Lists the targets that are missing or needed more than one attempt, for the log.
    pub fn list_target_records(&self) -> Vec<TargetRecord> {
        let pairs = self.names.iter().zip(&self.targets);
        pairs
            .filter(|(_, target)| target.answer().is_none() || target.attempt_records.len() > 1)
            .map(|(name, target)| target.to_record(name))
            .collect()
    }

    /// Handles one event and appends the resulting actions.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        event: RequestEvent,
        dispatcher: &mut Dispatcher,
        actions: &mut Vec<RequestAction>,
    ) {
        if self.finished {
            return;
        }
        if !self.has_started {
            self.has_started = true;
            self.close_targets_without_replica(now, dispatcher);
            self.close_if_poisoned(now, dispatcher);
        }
        match event {
            RequestEvent::Due => {}
            RequestEvent::Ended { attempt, end } => self.end_attempt(now, attempt, end, dispatcher),
            RequestEvent::Abandoned => {
                self.cancel_all(now, dispatcher, actions);
                dispatcher.admission.leave(self.ticket());
                self.finished = true;
                return;
            }
        }
        if !self.admission.is_admitted() && self.decide(now).is_none() {
            self.check_admission(now, dispatcher);
        }
        // A request that can't succeed any more sends nothing, so that it can be refused before
        // it has run.
        if self.admission.is_admitted() && self.decide(now).is_none() {
            for target in 0..self.targets.len() {
                self.advance(now, target, dispatcher, actions);
            }
        }
        if let Some(decision) = self.decide(now) {
            let is_answer = matches!(decision, Decision::Answer { .. });
            self.scheduled_at = self.answer_at.filter(|at| is_answer && now >= *at);
            self.cancel_all(now, dispatcher, actions);
            dispatcher.admission.leave(self.ticket());
            self.finished = true;
            actions.push(RequestAction::Finish(decision));
        }
    }

    /// Gives up the targets without a usable replica.
    fn close_targets_without_replica(&mut self, now: MonotonicTime, dispatcher: &Dispatcher) {
        for (name, target) in self.names.iter().zip(&mut self.targets) {
            let query = ChoiceQuery {
                service: name,
                tried: &[],
                allowed_regions: &self.plan.allowed_regions,
            };
            if !dispatcher.fleet.has_usable_replica(now, &query) {
                target.back_at = dispatcher.fleet.find_pause_end(now, &query);
                target.close_unless_waiting(false, unavailable_code(target.back_at));
            }
        }
    }

    /// Returns the time of the next [`RequestEvent::Due`].
    pub fn next_due(&self) -> MonotonicTime {
        let targets = self.targets.iter().filter_map(|target| target.due);
        targets
            .chain(self.admission.check_at())
            .chain(
                self.answer_at
                    .filter(|_| self.answered() >= self.min_targets),
            )
            .fold(self.plan.deadline, MonotonicTime::min)
    }

    fn answered(&self) -> usize {
        let answers = self.targets.iter().filter_map(TargetState::answer);
        answers.count()
    }

    /// Advances one target: sends a first attempt, a retry or a hedge, or gives the target up.
    fn advance(
        &mut self,
        now: MonotonicTime,
        index: usize,
        dispatcher: &mut Dispatcher,
        actions: &mut Vec<RequestAction>,
    ) {
        let kind = self.plan.route.kind;
        let attempts_max = self.plan.route.attempts_max.max(1);
        let target = &mut self.targets[index];
        // Cleared first: a finished target must not keep a due time in the past.
        target.due = None;
        if target.phase != TargetPhase::Open {
            return;
        }
        let waiting = target.is_waiting();
        if waiting && (kind == RouteKind::Unsafe || now < target.hedge_at) {
            target.due = (kind == RouteKind::Safe).then_some(target.hedge_at);
            return;
        }
        if self.is_held_back(now, index, dispatcher) {
            return;
        }
        let must_yield = self.must_yield(now, index, dispatcher);
        let target = &mut self.targets[index];
        let runs = target.runs_written();
        let exhausted = runs >= attempts_max
            || target.refusals >= REFUSALS_MAX
            || target.undelivered >= UNDELIVERED_MAX
            || (kind == RouteKind::Unsafe && runs > 0);
        let query = ChoiceQuery {
            service: &self.names[index],
            tried: &target.tried,
            allowed_regions: &self.plan.allowed_regions,
        };
        if exhausted {
            target.back_at = dispatcher.fleet.find_pause_end(now, &query);
            target.close_unless_waiting(waiting, ResultCode::ServerFailed);
            return;
        }
        let choice = match dispatcher.fleet.choose(now, &query) {
            Choice::Replica(_) if must_yield => Choice::Busy,
            choice => choice,
        };
        match choice {
            Choice::Replica(replica) if !target.may_supersede(now, &dispatcher.fleet, replica) => {
                target.due = Some(now + RETRY_INTERVAL);
            }
            Choice::Replica(replica) => self.send(now, index, replica, dispatcher, actions),
            Choice::Busy if waiting || now < self.give_up_at => {
                target.due = Some(now + RETRY_INTERVAL);
            }
            Choice::Busy => target.close_unless_waiting(waiting, ResultCode::SlotsBusy),
            Choice::Unavailable => {
                target.back_at = dispatcher.fleet.find_pause_end(now, &query);
                target.due = target.back_at.filter(|_| waiting);
                target.close_unless_waiting(waiting, unavailable_code(target.back_at));
            }
        }
    }

    fn send(
        &mut self,
        now: MonotonicTime,
        index: usize,
        replica: ReplicaIndex,
        dispatcher: &mut Dispatcher,
        actions: &mut Vec<RequestAction>,
    ) {
        let share = dispatcher.fleet.slack_share();
        let budget = dispatcher.budget(&self.names[index]);
        let target = &mut self.targets[index];
        // Nothing of the superseded attempts was sent, so the next one is not an extra request.
        let superseded = target.supersede_connecting().into_iter();
        actions.extend(superseded.map(|attempt| RequestAction::Supersede { attempt }));
        let waiting = target.is_waiting();
        let repeats = target.arrived;
        let granted = if waiting {
            budget.withdraw_hedge(now)
        } else {
            !repeats || budget.withdraw_retry(now)
        };
        if !granted {
            target.close_unless_waiting(waiting, ResultCode::Overloaded);
            target.due = waiting.then_some(now + RETRY_INTERVAL);
            target.denied.get_or_insert(now);
            return;
        }
        if !repeats && target.sent == 0 {
            budget.deposit(now, share);
        }
        let attempt = dispatcher.next_attempt();
        let hedging_delay = dispatcher.hedging_delay(now, &self.plan.route, replica);
        let known = dispatcher.fleet.replica(replica);
        let attempt_record = AttemptRecord {
            attempt,
            replica,
            sent: now,
            expected: known.map_or(Duration::ZERO, |known| known.expected(now)),
            idle: known.map_or(0, FleetReplica::idle),
            end: None,
        };
        dispatcher.begin_attempt(now, replica, attempt, &self.plan.route);
        let crashes_before = dispatcher.crashes.crashes(now, self.plan.digest);
        target.record_sent(attempt_record, now + hedging_delay, crashes_before);
        target.due = (self.plan.route.kind == RouteKind::Safe).then_some(target.hedge_at);
        actions.push(RequestAction::Send {
            attempt,
            target: index,
            replica,
            repeats,
        });
    }
}

/// Returns why a target has no usable replica, given the end of the first pause.
fn unavailable_code(back_at: Option<MonotonicTime>) -> ResultCode {
    match back_at {
        Some(_) => ResultCode::ReplicasPaused,
        None => ResultCode::NoReplica,
    }
}
