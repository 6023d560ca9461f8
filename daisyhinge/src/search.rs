//! State machine of one caller's request at its root entry: pins a snapshot, scatters sub-requests
//! over its shards, and merges the answers.

pub mod admission;
pub mod budget;
pub mod claiming;
mod conclude;
pub mod estimate;
pub mod feedback;
pub mod partition;
pub mod plan;
pub mod poison;
mod probe;
mod reply;
pub mod route;
mod scatter;
pub mod selection;
mod shard;

use crate::prelude::*;
use crate::vocabulary::answer::{QueryAnswer, QueryRefusal};
use crate::vocabulary::claim::{ClaimReply, ClaimResult};
use crate::vocabulary::environment::PPM_SCALE;
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::subrequest::SubReply;
use plan::{PinnedSnapshot, SearchPlan};
use probe::PoisonState;
use route::RouteTable;
use shard::ShardProgress;

/// Input of [`RequestSearch::step`].
#[derive(Clone, Debug)]
pub enum SearchEvent {
    /// The request starts.
    Start,
    /// Control replied to a [`SearchAction::Claim`].
    Claimed(ClaimReply),
    /// Control committed a [`SearchAction::EndClaim`] that returned the claim.
    ClaimReturned,
    /// A sub-request ended.
    SubEnded {
        /// Attempt given in [`SearchAction::Dispatch`].
        attempt: AttemptId,
        /// Answer of the replica, or the refusal by its keeper.
        reply: SubReply,
    },
    /// A timer fired; see [`RequestSearch::next_wake`].
    Tick,
    /// The caller closed the connection.
    CallerGone,
}

/// A sub-request to send to the keeper of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubPlan {
    /// Id of the attempt, used in its [`SearchEvent::SubEnded`] and [`SearchAction::Cancel`].
    pub attempt: AttemptId,
    /// Replica that runs the sub-request.
    pub replica: ReplicaName,
    /// VM of the replica's keeper, the entry that owns the connections to the replica. The
    /// sub-request is sent to this entry.
    pub keeper: VmName,
    /// Shard to query.
    pub shard: ShardNumber,
    /// Snapshot to which the request is pinned.
    pub snapshot: SnapshotNumber,
    /// Time after which the answer is discarded.
    pub expires: MonotonicTime,
    /// Whether another attempt for the same shard is outstanding.
    pub hedge: bool,
    /// Whether the request is suspected of having crashed a backend server.
    pub suspect: bool,
}

/// Output of [`RequestSearch::step`], to be carried out by the caller of `step`.
#[derive(Clone, Debug)]
pub enum SearchAction {
    /// Claims the request at control for this attempt.
    Claim(AttemptId),
    /// Reports the outcome of the claimed request to control.
    EndClaim {
        /// Attempt that holds the claim.
        attempt: AttemptId,
        /// Outcome to record, or the return of the claim.
        end: ClaimResult,
    },
    /// Sends a sub-request, after a final check of the lease.
    Dispatch(SubPlan),
    /// Cancels an outstanding sub-request.
    Cancel(AttemptId),
    /// Answers the caller. Emitted exactly once per request.
    Finish(Result<QueryAnswer, QueryRefusal>),
    /// Records an event on the timeline.
    RecordEvent(EventDraft),
}

/// Numbers of sub-requests that one request has dispatched, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DispatchCounts {
    /// First attempts.
    pub primaries: u32,
    /// Replacements of attempts that certainly did not run.
    pub replacements: u32,
    /// Hedges: further attempts sent because an outstanding one is slow.
    pub hedges: u32,
    /// Retries of failed attempts that may have run.
    pub retries: u32,
    /// Hedges and retries not sent because the budget was exhausted.
    pub denied: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SearchPhase {
    New,
    /// Waits for the reply to a claim.
    Claiming(AttemptId),
    /// Waits for the return of a claim to be committed before claiming again.
    ReturningClaim,
    Running,
    /// The caller is answered, but the outcome of a claimed dispatch is outstanding.
    AwaitingOutcome,
    Done,
}

/// State machine of one caller's request.
#[derive(Clone, Debug)]
pub struct RequestSearch {
    plan: SearchPlan,
    answer_by: MonotonicTime,
    phase: SearchPhase,
    service: u32,
    pinned: Option<PinnedSnapshot>,
    shards: Vec<ShardProgress>,
    /// Index into `shards` for each attempt, by attempt number.
    shard_of_attempt: Vec<u32>,
    answered_weight: u64,
    open_weight: u64,
    open_count: usize,
    answered_count: usize,
    run: RunState,
    poison_state: PoisonState,
    restarted: bool,
    claims: u8,
    may_claim_again: bool,
    dispatched_claim: bool,
    /// Smallest retry hint received from a refusing keeper, in milliseconds.
    retry_ms: Option<u64>,
    wake_at: MonotonicTime,
    dispatch_counts: DispatchCounts,
}

impl RequestSearch {
    /// Creates a request that has not started; it starts on [`SearchEvent::Start`].
    pub fn new(plan: SearchPlan) -> Self {
        Self {
            answer_by: plan.answer_by(),
            plan,
            phase: SearchPhase::New,
            service: 0,
            pinned: None,
            shards: Vec::new(),
            shard_of_attempt: Vec::new(),
            answered_weight: 0,
            open_weight: 0,
            open_count: 0,
            answered_count: 0,
            run: RunState::NotRun,
            poison_state: PoisonState::Clear,
            restarted: false,
            claims: 0,
            may_claim_again: false,
            dispatched_claim: false,
            retry_ms: None,
            wake_at: MonotonicTime::default(),
            dispatch_counts: DispatchCounts::default(),
        }
    }

    /// Enables further claims. The caller must send [`SearchEvent::ClaimReturned`] after each
    /// returned claim, so that a request refused by one replica can claim again and try another.
    pub fn with_claim_returns(mut self) -> Self {
        self.may_claim_again = true;
        self
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        event: SearchEvent,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        routes.advance(now);
        match (self.phase, event) {
            (SearchPhase::New, SearchEvent::Start) => self.begin(now, routes, actions),
            (SearchPhase::New, SearchEvent::CallerGone) => {
                self.refuse(ResultCode::CallerGone, actions);
            }
            (SearchPhase::New, _) | (_, SearchEvent::Start) => {}
            (_, SearchEvent::Claimed(reply)) => self.handle_claim_reply(reply, routes, actions),
            (SearchPhase::Done, _) => {}
            (_, SearchEvent::ClaimReturned) => self.handle_claim_returned(actions),
            (_, SearchEvent::SubEnded { attempt, reply }) => {
                self.handle_reply(now, attempt, reply, routes, actions);
            }
            (_, SearchEvent::Tick) => self.send_hedges(now, routes, actions),
            (_, SearchEvent::CallerGone) => self.handle_caller_gone(now, routes, actions),
        }
        self.conclude(now, routes, actions);
        self.schedule_wake(now);
    }

    /// Time of the next [`SearchEvent::Tick`]; `None` once the request is done.
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        (!matches!(self.phase, SearchPhase::Done)).then_some(self.wake_at)
    }

    /// Whether the caller has been answered.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, SearchPhase::AwaitingOutcome | SearchPhase::Done)
    }

    /// Whether the request has ended. A non-repeatable request must be stepped until this is true,
    /// even after its caller is answered, so that its outcome is recorded for a resend.
    pub fn is_done(&self) -> bool {
        self.phase == SearchPhase::Done
    }

    /// Memory used by the request in bytes, excluding names and payloads.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>()
            + self.shards.capacity() * size_of::<ShardProgress>()
            + self.shard_of_attempt.capacity() * size_of::<u32>()
    }

    /// Numbers of sub-requests dispatched so far.
    pub fn dispatch_counts(&self) -> DispatchCounts {
        self.dispatch_counts
    }

    fn begin(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        self.phase = SearchPhase::Running;
        if now >= self.answer_by {
            self.refuse(ResultCode::DeadlinePassed, actions);
            return;
        }
        if self.refuse_poisoned(routes, actions) {
            return;
        }
        if !self.plan.repeatable {
            self.begin_claim(routes, actions);
        } else if self.pin(routes) {
            self.scatter(now, routes, actions);
        } else {
            self.refuse(ResultCode::NoSnapshot, actions);
        }
    }

    fn next_attempt(&mut self, index: usize) -> AttemptId {
        self.shard_of_attempt
            .push(u32::try_from(index).unwrap_or(u32::MAX));
        self.last_attempt()
    }

    fn last_attempt(&self) -> AttemptId {
        AttemptId {
            origin: self.plan.origin,
            sequence: self.plan.sequence_base + self.shard_of_attempt.len() as u64,
        }
    }

    /// Index into `shards` of the shard that an attempt of this request belongs to.
    fn shard_index(&self, attempt: AttemptId) -> Option<usize> {
        let number = attempt.sequence.checked_sub(self.plan.sequence_base + 1)?;
        let shard = self.shard_of_attempt.get(usize::try_from(number).ok()?)?;
        let index = *shard as usize;
        (attempt.origin == self.plan.origin && index < self.shards.len()).then_some(index)
    }
}

/// Whether `answered` is at least `minimum_ppm` parts per million of `total`. Always false if
/// `answered` is 0.
pub fn is_covered(answered: u64, total: u64, minimum_ppm: u32) -> bool {
    let needed = u128::from(total) * u128::from(minimum_ppm);
    answered > 0 && u128::from(answered) * u128::from(PPM_SCALE) >= needed
}
