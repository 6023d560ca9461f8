//! One caller's request as its root entry runs it: pin a snapshot, ask every shard, merge.

pub mod plan;
pub mod route;

use crate::prelude::*;
use crate::vocabulary::answer::{AnswerPart, MissingShard, QueryAnswer, QueryRefusal};
use crate::vocabulary::claim::{ClaimEnding, ClaimOutcome, ClaimReply};
use crate::vocabulary::environment::WHOLE_PPM;
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::subrequest::{SubAnswer, SubReply};
use plan::SearchPlan;
use route::{PinnedShard, PinnedSnapshot, RouteTable};

/// What happens to a request.
#[derive(Clone, Debug)]
pub enum SearchEvent {
    /// It begins.
    Start,
    /// Control replied to a claim.
    Claimed(ClaimReply),
    /// A dispatch ended.
    SubEnded {
        /// The dispatch.
        attempt: AttemptId,
        /// How it ended.
        reply: SubReply,
    },
    /// Time passed.
    Tick,
    /// The caller closed the connection.
    CallerGone,
}

/// One dispatch to the keeper of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubPlan {
    /// The dispatch.
    pub attempt: AttemptId,
    /// The replica.
    pub replica: ReplicaName,
    /// The VM that keeps it.
    pub keeper: VmName,
    /// The shard asked for.
    pub shard: ShardNumber,
    /// The snapshot asked for.
    pub snapshot: SnapshotNumber,
    /// When the answer is of no use any more.
    pub expires: MonotonicTime,
    /// Whether another attempt for the shard is under way.
    pub hedge: bool,
}

/// What a request wants done.
#[derive(Clone, Debug)]
pub enum SearchAction {
    /// Claim the request at control, for this attempt.
    Claim(AttemptId),
    /// Tell control how the claimed request ended.
    EndClaim {
        /// The attempt that won the claim.
        attempt: AttemptId,
        /// How it ended.
        end: ClaimEnding,
    },
    /// Send a sub-request, after a last look at the lease.
    Dispatch(SubPlan),
    /// Give a dispatch up.
    Cancel(AttemptId),
    /// Answer the caller. Comes exactly once.
    Finish(Result<QueryAnswer, QueryRefusal>),
    /// An event for the time line.
    Note(EventDraft),
}

/// State of one shard of a request.
#[derive(Clone, Debug)]
enum ShardState {
    Waiting(AttemptId),
    Answered(SubAnswer),
    Missing(ResultCode),
}

#[derive(Clone, Debug)]
struct ShardRow {
    pinned: PinnedShard,
    state: ShardState,
}

/// One caller's request.
#[derive(Clone, Debug)]
pub struct RequestSearch {
    plan: SearchPlan,
    pinned: Option<PinnedSnapshot>,
    rows: Vec<ShardRow>,
    attempts: u64,
    run: RunState,
    finished: bool,
}

impl RequestSearch {
    /// A request that has not begun.
    pub fn new(plan: SearchPlan) -> Self {
        Self {
            plan,
            pinned: None,
            rows: Vec::new(),
            attempts: 0,
            run: RunState::NotRun,
            finished: false,
        }
    }

    /// Takes in one event and says what is to be done.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        event: SearchEvent,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        if self.finished {
            return;
        }
        match event {
            SearchEvent::Start => self.begin(routes, actions),
            SearchEvent::Claimed(reply) => self.take_claim(reply, routes, actions),
            SearchEvent::SubEnded { attempt, reply } => self.take_reply(attempt, reply, actions),
            SearchEvent::Tick => {}
            SearchEvent::CallerGone => {
                self.cancel_waiting(actions);
                self.refuse(ResultCode::CallerGone, actions);
                return;
            }
        }
        self.conclude(now, actions);
    }

    /// When to step with [`SearchEvent::Tick`] next.
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        (!self.finished).then_some(self.plan.deadline)
    }

    /// Whether the caller was answered.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    fn begin(&mut self, routes: &RouteTable, actions: &mut Vec<SearchAction>) {
        let pinned = routes.pin_snapshot(&self.plan.service, self.plan.minimum_ppm);
        let Some(pinned) = pinned else {
            self.refuse(ResultCode::NoSnapshot, actions);
            return;
        };
        let wanted = |row: &&PinnedShard| self.plan.shard.is_none_or(|shard| shard == row.shard);
        let rows = pinned.shards.iter().filter(wanted).map(|row| ShardRow {
            pinned: *row,
            state: ShardState::Missing(ResultCode::ShardAbsent),
        });
        self.rows = rows.collect();
        self.pinned = Some(pinned);
        if self.rows.is_empty() {
            self.refuse(ResultCode::UnknownShard, actions);
        } else if self.plan.repeatable {
            self.dispatch_all(routes, actions);
        } else if self.rows.len() > 1 {
            self.refuse(ResultCode::AmbiguousShard, actions);
        } else {
            let attempt = self.next_attempt();
            self.rows[0].state = ShardState::Waiting(attempt);
            actions.push(SearchAction::Claim(attempt));
        }
    }

    fn dispatch_all(&mut self, routes: &RouteTable, actions: &mut Vec<SearchAction>) {
        for index in 0..self.rows.len() {
            let attempt = self.next_attempt();
            self.dispatch(index, attempt, routes, actions);
        }
    }

    fn dispatch(
        &mut self,
        index: usize,
        attempt: AttemptId,
        routes: &RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let Some(pinned) = &self.pinned else { return };
        let shard = self.rows[index].pinned.shard;
        let route = routes.find_route(&self.plan.service, pinned.snapshot, shard);
        let Some(route) = route else {
            self.rows[index].state = ShardState::Missing(ResultCode::NoReplica);
            return;
        };
        self.rows[index].state = ShardState::Waiting(attempt);
        actions.push(SearchAction::Dispatch(SubPlan {
            attempt,
            replica: route.record.replica.clone(),
            keeper: route.keeper.clone(),
            shard,
            snapshot: pinned.snapshot,
            expires: self.plan.deadline,
            hedge: false,
        }));
    }

    fn take_claim(
        &mut self,
        reply: ClaimReply,
        routes: &RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let Some(ShardState::Waiting(attempt)) = self.rows.first().map(|row| row.state.clone())
        else {
            return;
        };
        match reply {
            ClaimReply::Won => self.dispatch(0, attempt, routes, actions),
            ClaimReply::Lost(Some(outcome)) => self.answer_resent(outcome, actions),
            ClaimReply::Lost(None) => {
                self.run = RunState::Unknown;
                self.refuse(ResultCode::OutcomeUnknown, actions);
            }
            ClaimReply::Refused(code) => self.refuse(code, actions),
        }
    }

    fn answer_resent(&mut self, outcome: ClaimOutcome, actions: &mut Vec<SearchAction>) {
        self.finished = true;
        actions.push(SearchAction::Finish(Ok(QueryAnswer {
            request: self.plan.request.clone(),
            snapshot: outcome.snapshot,
            answered_weight: outcome.weight,
            whole_weight: outcome.whole_weight,
            missing: Vec::new(),
            parts: vec![AnswerPart {
                shard: outcome.shard,
                body: outcome.body,
            }],
            resent: true,
        })));
    }

    fn take_reply(&mut self, attempt: AttemptId, reply: SubReply, actions: &mut Vec<SearchAction>) {
        let waiting =
            |row: &&mut ShardRow| matches!(row.state, ShardState::Waiting(id) if id == attempt);
        let Some(row) = self.rows.iter_mut().find(waiting) else {
            return;
        };
        let end = match reply {
            Ok(answer) => {
                self.run = RunState::Ran;
                let outcome = self.pinned.as_ref().map(|pinned| ClaimOutcome {
                    snapshot: pinned.snapshot,
                    shard: row.pinned.shard,
                    weight: row.pinned.weight,
                    whole_weight: pinned.whole_weight,
                    body: answer.body.clone(),
                });
                row.state = ShardState::Answered(answer);
                outcome.map(ClaimEnding::Answered)
            }
            Err(refusal) => {
                self.run = self.run.join(refusal.run);
                row.state = ShardState::Missing(refusal.code);
                (refusal.run == RunState::NotRun).then_some(ClaimEnding::NotRun)
            }
        };
        if let (false, Some(end)) = (self.plan.repeatable, end) {
            actions.push(SearchAction::EndClaim { attempt, end });
        }
    }

    /// Answers as soon as nothing is waited for, or at the deadline with what is here.
    fn conclude(&mut self, now: MonotonicTime, actions: &mut Vec<SearchAction>) {
        let late = now >= self.plan.deadline;
        let waits = self
            .rows
            .iter()
            .any(|row| matches!(row.state, ShardState::Waiting(_)));
        if self.finished || (waits && !late) {
            return;
        }
        self.cancel_waiting(actions);
        let answered = |row: &&ShardRow| matches!(row.state, ShardState::Answered(_));
        let answered_weight: u64 = self
            .rows
            .iter()
            .filter(answered)
            .map(|row| row.pinned.weight)
            .sum();
        let whole_weight = self.wanted_weight();
        if !is_covered(answered_weight, whole_weight, self.plan.minimum_ppm) {
            let code = if late {
                ResultCode::DeadlinePassed
            } else {
                self.first_missing_code()
            };
            self.refuse(code, actions);
            return;
        }
        self.finished = true;
        actions.push(SearchAction::Finish(Ok(
            self.merge_answer(answered_weight, whole_weight)
        )));
    }

    fn wanted_weight(&self) -> u64 {
        match (&self.pinned, self.plan.shard) {
            (Some(pinned), None) => pinned.whole_weight,
            _ => self.rows.iter().map(|row| row.pinned.weight).sum(),
        }
    }

    fn merge_answer(&self, answered_weight: u64, whole_weight: u64) -> QueryAnswer {
        let mut parts = Vec::new();
        let mut missing = Vec::new();
        for row in &self.rows {
            let shard = row.pinned.shard;
            match &row.state {
                ShardState::Answered(answer) => {
                    parts.push(AnswerPart {
                        shard,
                        body: answer.body.clone(),
                    });
                }
                ShardState::Missing(code) => missing.push(MissingShard { shard, code: *code }),
                ShardState::Waiting(_) => {
                    missing.push(MissingShard {
                        shard,
                        code: ResultCode::ShardLate,
                    });
                }
            }
        }
        QueryAnswer {
            request: self.plan.request.clone(),
            snapshot: self
                .pinned
                .as_ref()
                .map(|pinned| pinned.snapshot)
                .unwrap_or_default(),
            answered_weight,
            whole_weight,
            missing,
            parts,
            resent: false,
        }
    }

    fn first_missing_code(&self) -> ResultCode {
        let code = self.rows.iter().find_map(|row| match row.state {
            ShardState::Missing(code) => Some(code),
            _ => None,
        });
        code.unwrap_or(ResultCode::CoverageTooLow)
    }

    fn cancel_waiting(&mut self, actions: &mut Vec<SearchAction>) {
        for row in &self.rows {
            if let ShardState::Waiting(attempt) = row.state {
                self.run = self.run.join(RunState::Unknown);
                actions.push(SearchAction::Cancel(attempt));
            }
        }
    }

    fn refuse(&mut self, code: ResultCode, actions: &mut Vec<SearchAction>) {
        self.finished = true;
        actions.push(SearchAction::Finish(Err(QueryRefusal {
            request: self.plan.request.clone(),
            code,
            run: self.run,
            retry_ms: None,
            addresses: Vec::new(),
        })));
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        let sequence = self.plan.sequence_base + self.attempts;
        AttemptId {
            origin: self.plan.origin,
            sequence,
        }
    }
}

/// Whether `answered` of `whole` is at least `minimum_ppm`. Nothing at all never is.
pub fn is_covered(answered: u64, whole: u64, minimum_ppm: u32) -> bool {
    let needed = u128::from(whole) * u128::from(minimum_ppm);
    answered > 0 && u128::from(answered) * u128::from(WHOLE_PPM) >= needed
}
