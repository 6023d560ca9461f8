//! One request on its way to a replica, or to one replica of each shard, without I/O.
//!
//! The load that it answers: a straggler among many shards sets the latency of the whole, so a
//! shard that is late is asked of a second replica while the service's budget of extra requests
//! lasts, and an answer is given before the objective once enough shards are in. What can't be
//! sent anywhere is given up at once.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::fleet::{AttemptFinish, Choice, ChooseAsk, FleetReplica, ReplicaIndex};
use crate::prelude::*;
use crate::vocabulary::site::{RouteKind, RouteTarget};

mod message;
mod target;
mod verdict;
pub use message::{
    AttemptAccount, AttemptEnd, RequestAction, RequestEvent, RequestPlan, TargetAccount, Verdict,
};
use target::{TargetPhase, TargetState};
use verdict::find_span;

/// Time between tries of what can't be sent yet.
const RETRY_SPAN: Duration = Duration::from_millis(4);
/// Share of the objective, in percent, that a request waits until enough of its targets have room;
/// nothing of it is sent before, so that what is refused has cost no replica anything.
const ADMISSION_OBJECTIVE_PERCENT: u32 = 22;
/// Share of the objective, in percent, that one target of a request waits for room at most.
const ROOM_OBJECTIVE_PERCENT: u32 = 90;
/// Times that a replica may refuse a request before it is given up.
const REFUSALS_MAX: u32 = 3;
/// Times that no connection may come about before it is given up.
const UNREACHED_MAX: u32 = 4;

/// One request on its way.
#[derive(Debug)]
pub struct RequestMachine {
    plan: RequestPlan,
    names: Arc<[ServiceName]>,
    targets: Vec<TargetState>,
    min_targets: usize,
    answer_at: Option<MonotonicTime>,
    admit_until: MonotonicTime,
    give_up_at: MonotonicTime,
    begun: bool,
    admitted: bool,
    /// When it was last looked whether it is admitted.
    looked_at: MonotonicTime,
    finished: bool,
}

impl RequestMachine {
    /// A request that goes to `names`.
    pub fn open(plan: RequestPlan, names: Arc<[ServiceName]>) -> Self {
        let route = &plan.route;
        let (min_targets, answer_at) = match &route.target {
            RouteTarget::Split(_) => (1, None),
            RouteTarget::Gather(gather) => {
                (gather.min_shards(), Some(plan.started + find_span(&plan)))
            }
        };
        let admission = route.objective * ADMISSION_OBJECTIVE_PERCENT / 100;
        let admit_until = plan.started + admission;
        let give_up_at = plan.started + route.objective * ROOM_OBJECTIVE_PERCENT / 100;
        Self {
            targets: names.iter().map(|_| TargetState::default()).collect(),
            names,
            min_targets,
            answer_at,
            admit_until,
            give_up_at,
            plan,
            begun: false,
            admitted: false,
            looked_at: MonotonicTime::default(),
            finished: false,
        }
    }

    /// When an answer is due that reaches its caller within the objective, for a gather.
    pub fn answer_at(&self) -> Option<MonotonicTime> {
        self.answer_at
    }

    /// Targets in all.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Attempt whose answer stands for a target.
    pub fn answer_of(&self, target: usize) -> Option<u64> {
        self.targets.get(target).and_then(TargetState::answer)
    }

    /// Attempts that were sent.
    pub fn sent(&self) -> u32 {
        self.targets.iter().map(|target| target.sent).sum()
    }

    /// Tells whether anything of an attempt under way was written; until then it counts as written.
    pub fn note_written(&mut self, attempt: u64, written: bool) {
        let running = self
            .targets
            .iter_mut()
            .flat_map(|target| &mut target.running);
        for ran in running.filter(|ran| ran.attempt == attempt) {
            ran.written = written;
        }
    }

    /// Targets without an answer.
    pub fn missing(&self) -> impl Iterator<Item = &ServiceName> {
        let pairs = self.names.iter().zip(&self.targets);
        pairs
            .filter(|(_, target)| target.answer().is_none())
            .map(|(name, _)| name)
    }

    /// Targets that are missing or needed more than one attempt, for the log.
    pub fn list_accounts(&self) -> Vec<TargetAccount> {
        let pairs = self.names.iter().zip(&self.targets);
        pairs
            .filter(|(_, target)| target.answer().is_none() || target.accounts.len() > 1)
            .map(|(name, target)| target.account(name))
            .collect()
    }

    /// Takes one event and adds what is to be done.
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
        if !self.begun {
            self.begun = true;
            self.close_absent(now, dispatcher);
        }
        self.admitted = self.admitted || self.has_room(now, dispatcher);
        self.looked_at = now;
        match event {
            RequestEvent::Due => {}
            RequestEvent::Ended { attempt, end } => self.take_end(now, attempt, end, dispatcher),
            RequestEvent::Abandoned => {
                self.cancel_all(now, dispatcher, actions);
                self.finished = true;
                return;
            }
        }
        // What has become hopeless sends nothing more, so that it is refused before it ran.
        if self.admitted && self.find_verdict(now).is_none() {
            for target in 0..self.targets.len() {
                self.advance(now, target, dispatcher, actions);
            }
        }
        if let Some(verdict) = self.find_verdict(now) {
            if event == RequestEvent::Due && matches!(verdict, Verdict::Answer { .. }) {
                let late = self.answer_at.map_or(Duration::ZERO, |at| now.since(at));
                dispatcher.callers.note_lag(late);
            }
            self.cancel_all(now, dispatcher, actions);
            self.finished = true;
            actions.push(RequestAction::Finish(verdict));
        }
    }

    /// Whether enough targets have a replica with room.
    fn has_room(&self, now: MonotonicTime, dispatcher: &Dispatcher) -> bool {
        let open = self.names.iter().zip(&self.targets);
        let roomy = open.filter(|(name, target)| {
            let ask = ChooseAsk {
                service: name,
                tried: &target.tried,
                allowed_regions: &self.plan.route.allowed_regions,
            };
            target.phase == TargetPhase::Open
                && matches!(dispatcher.fleet.choose(now, &ask), Choice::Replica(_))
        });
        roomy.count() >= self.min_targets
    }

    /// Gives up targets that no replica serves at present.
    fn close_absent(&mut self, now: MonotonicTime, dispatcher: &Dispatcher) {
        for (name, target) in self.names.iter().zip(&mut self.targets) {
            let ask = ChooseAsk {
                service: name,
                tried: &[],
                allowed_regions: &self.plan.route.allowed_regions,
            };
            if !dispatcher.fleet.is_served(now, &ask) {
                target.close_unless(false, ResultCode::NoReplica);
            }
        }
    }

    /// When the next [`RequestEvent::Due`] is wanted.
    pub fn next_due(&self) -> MonotonicTime {
        let targets = self.targets.iter().filter_map(|target| target.due);
        let admission = (!self.admitted).then_some(self.looked_at + RETRY_SPAN);
        targets
            .chain(admission)
            .chain(
                self.answer_at
                    .filter(|_| self.answered() >= self.min_targets),
            )
            .fold(self.plan.ends, MonotonicTime::min)
    }

    fn answered(&self) -> usize {
        let answers = self.targets.iter().filter_map(TargetState::answer);
        answers.count()
    }

    fn take_end(
        &mut self,
        now: MonotonicTime,
        attempt: u64,
        end: AttemptEnd,
        dispatcher: &mut Dispatcher,
    ) {
        let found = self.targets.iter_mut().find_map(|target| {
            let ran = target.take_running(attempt)?;
            Some((target, ran))
        });
        let Some((target, ran)) = found else {
            return;
        };
        dispatcher
            .fleet
            .finish(now, ran.replica, attempt, end.into());
        target.note_end(now, ran, end);
        if end == AttemptEnd::Answered {
            let took = now.since(ran.sent);
            dispatcher.note_latency(&self.plan.route, ran.replica, took);
        }
    }

    /// Brings one target forward: a first attempt, another one, or none any more.
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
        // A target that is over must not leave a moment in the past to wait for.
        target.due = None;
        if target.phase != TargetPhase::Open {
            return;
        }
        let waiting = target.is_waiting();
        if waiting && (kind == RouteKind::Unsafe || now < target.hedge_at) {
            target.due = (kind == RouteKind::Safe).then_some(target.hedge_at);
            return;
        }
        let runs = target.runs_written();
        let spent = runs >= attempts_max
            || target.refusals >= REFUSALS_MAX
            || target.unreached >= UNREACHED_MAX
            || (kind == RouteKind::Unsafe && runs > 0);
        if spent {
            target.close_unless(waiting, ResultCode::ServerFailed);
            return;
        }
        let ask = ChooseAsk {
            service: &self.names[index],
            tried: &target.tried,
            allowed_regions: &self.plan.route.allowed_regions,
        };
        match dispatcher.fleet.choose(now, &ask) {
            Choice::Replica(replica) => self.send(now, index, replica, dispatcher, actions),
            Choice::Busy if waiting || now < self.give_up_at => {
                target.due = Some(now + RETRY_SPAN);
            }
            Choice::Busy => target.close_unless(waiting, ResultCode::SlotsBusy),
            Choice::Absent => target.close_unless(waiting, ResultCode::NoReplica),
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
        // Nothing of these has arrived, so that the next attempt is no extra one.
        let overtaken = target.overtake_connecting().into_iter();
        actions.extend(overtaken.map(|attempt| RequestAction::Overtake { attempt }));
        let waiting = target.is_waiting();
        let repeats = target.arrived;
        let granted = if waiting {
            budget.take_hedge(now)
        } else {
            !repeats || budget.take(now)
        };
        if !granted {
            target.close_unless(waiting, ResultCode::Overloaded);
            target.due = waiting.then_some(now + RETRY_SPAN);
            target.denied.get_or_insert(now);
            return;
        }
        if !repeats && target.sent == 0 {
            budget.earn(now, share);
        }
        let attempt = dispatcher.next_attempt();
        let hedge_span = dispatcher.hedge_span(now, &self.plan.route, replica);
        let known = dispatcher.fleet.replica(replica);
        let account = AttemptAccount {
            attempt,
            replica,
            sent: now,
            expected: known.map_or(Duration::ZERO, |known| known.expected(now)),
            idle: known.map_or(0, FleetReplica::idle),
            end: None,
        };
        dispatcher.fleet.begin(now, replica, attempt);
        target.note_sent(account, now + hedge_span);
        target.due = (self.plan.route.kind == RouteKind::Safe).then_some(target.hedge_at);
        actions.push(RequestAction::Send {
            attempt,
            target: index,
            replica,
            repeats,
        });
    }

    fn cancel_all(
        &mut self,
        now: MonotonicTime,
        dispatcher: &mut Dispatcher,
        actions: &mut Vec<RequestAction>,
    ) {
        for target in &mut self.targets {
            for ran in target.running.drain(..) {
                let attempt = ran.attempt;
                let finish = AttemptFinish::Cancelled;
                dispatcher.fleet.finish(now, ran.replica, attempt, finish);
                let took = now.since(ran.sent);
                dispatcher.note_latency(&self.plan.route, ran.replica, took);
                actions.push(RequestAction::Cancel { attempt });
            }
        }
    }
}
