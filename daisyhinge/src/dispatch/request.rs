//! One request on its way to a replica, or to one replica of each shard, without I/O.
//!
//! The load that it answers: a straggler among many shards sets the latency of the whole, so a
//! shard that is late is asked of a second replica while the service's budget of extra requests
//! lasts, and an answer is given before the objective once enough shards are in. What can't be
//! sent anywhere is given up at once.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::fleet::{AttemptFinish, Choice, ChooseAsk, ReplicaIndex};
use crate::prelude::*;
use crate::vocabulary::site::{RouteKind, RouteTarget};

mod message;
mod target;
pub use message::{AttemptEnd, RequestAction, RequestEvent, RequestPlan, Verdict};
use target::{TargetPhase, TargetState};

/// Time between the entry's answer and the objective as the caller sees it: both ways and the
/// work in between.
const OBJECTIVE_MARGIN: Duration = Duration::from_millis(9);
/// What a caller has spent besides when it opened a connection for the request.
const CONNECT_MARGIN: Duration = Duration::from_millis(8);
/// Share of the objective, in percent, that a hedge waits at most.
const HEDGE_OBJECTIVE_PERCENT: u32 = 38;
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
/// When a caller may come back after a refusal that tells nothing of the load.
const RETURN_SPAN: Duration = Duration::from_millis(250);

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
                let spent = if plan.opened_connection {
                    OBJECTIVE_MARGIN + CONNECT_MARGIN
                } else {
                    OBJECTIVE_MARGIN
                };
                let span = route.objective.saturating_sub(spent);
                (gather.min_shards(), Some(plan.started + span))
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

    /// Targets without an answer.
    pub fn missing(&self) -> impl Iterator<Item = &ServiceName> {
        let pairs = self.names.iter().zip(&self.targets);
        pairs
            .filter(|(_, target)| target.answer().is_none())
            .map(|(name, _)| name)
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
        let finish = match end {
            AttemptEnd::Answered => AttemptFinish::Answered,
            AttemptEnd::Failed => AttemptFinish::Failed,
            AttemptEnd::NotRun => AttemptFinish::Shed,
            AttemptEnd::NotSent => AttemptFinish::Unreachable,
            AttemptEnd::Withdrawn => AttemptFinish::Cancelled,
            AttemptEnd::WrongServer => AttemptFinish::WrongServer,
            AttemptEnd::Lost => AttemptFinish::Broken,
        };
        dispatcher.fleet.finish(now, ran.replica, attempt, finish);
        target.note_end(attempt, end);
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
        let waiting = !target.running.is_empty();
        if waiting && (kind == RouteKind::Unsafe || now < target.hedge_at) {
            target.due = (kind == RouteKind::Safe).then_some(target.hedge_at);
            return;
        }
        let spent = target.runs >= attempts_max
            || target.refusals >= REFUSALS_MAX
            || target.unreached >= UNREACHED_MAX
            || (kind == RouteKind::Unsafe && target.runs > 0);
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
        let waiting = !target.running.is_empty();
        let repeats = target.arrived;
        let granted = if waiting {
            budget.take_hedge(now)
        } else {
            !repeats || budget.take(now)
        };
        if !granted {
            target.close_unless(waiting, ResultCode::Overloaded);
            target.due = waiting.then_some(now + RETRY_SPAN);
            return;
        }
        if !repeats && target.sent == 0 {
            budget.earn(now, share);
        }
        let attempt = dispatcher.next_attempt();
        let objective = self.plan.route.objective;
        let hedge_max = objective * HEDGE_OBJECTIVE_PERCENT / 100;
        let hedge_span = dispatcher.hedge_span(now, &self.plan.route, replica);
        let hedge_span = hedge_span.min(hedge_max);
        dispatcher.fleet.begin(now, replica, attempt);
        target.note_sent(attempt, replica, now, now + hedge_span);
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

    fn find_verdict(&self, now: MonotonicTime) -> Option<Verdict> {
        if !self.admitted && now >= self.admit_until {
            return Some(Verdict::Refused {
                code: ResultCode::Overloaded,
                return_after: RETURN_SPAN,
            });
        }
        let answered = self.answered();
        let total = self.targets.len();
        let open = self
            .targets
            .iter()
            .filter(|target| target.phase == TargetPhase::Open)
            .count();
        let enough = answered >= self.min_targets;
        let late = self.answer_at.is_some_and(|at| now >= at) || now >= self.plan.ends;
        if enough && (open == 0 || late) {
            let missing = total - answered;
            return Some(Verdict::Answer { missing });
        }
        let hopeless = answered + open < self.min_targets;
        if hopeless || now >= self.plan.ends {
            return Some(self.fail(now));
        }
        None
    }

    /// How a request ends that has no answer.
    fn fail(&self, now: MonotonicTime) -> Verdict {
        let gather = self.answer_at.is_some();
        let relayed = self.targets.iter().find_map(|target| target.failure);
        if let Some(attempt) = relayed.filter(|_| !gather) {
            return Verdict::Relay { attempt };
        }
        let may_have_run = self
            .targets
            .iter()
            .any(|target| target.runs > 0 || !target.running.is_empty());
        let passed = now >= self.plan.ends;
        let reason = self.targets.iter().find_map(|target| target.reason);
        let code = match (passed, gather && may_have_run) {
            (true, _) => ResultCode::DeadlinePassed,
            (false, true) => ResultCode::CoverageTooLow,
            (false, false) => reason.unwrap_or(ResultCode::NoReplica),
        };
        if may_have_run {
            return Verdict::Unfinished { code };
        }
        let code = if passed { ResultCode::GivenUp } else { code };
        Verdict::Refused {
            code,
            return_after: RETURN_SPAN,
        }
    }
}
