//! One caller's request as its root entry runs it: pin a snapshot, ask every shard, merge.

pub mod admission;
pub mod budget;
pub mod choice;
pub mod claiming;
mod conclude;
pub mod estimate;
pub mod outcome;
pub mod partition;
pub mod plan;
pub mod poison;
mod reply;
pub mod route;
mod scatter;
mod shard;
mod suspect;

use crate::prelude::*;
use crate::vocabulary::answer::{QueryAnswer, QueryRefusal};
use crate::vocabulary::claim::{ClaimEnding, ClaimReply};
use crate::vocabulary::environment::WHOLE_PPM;
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::subrequest::SubReply;
use plan::{PinnedSnapshot, SearchPlan};
use route::RouteTable;
use shard::ShardRow;
use suspect::Suspicion;

/// What happens to a request.
#[derive(Clone, Debug)]
pub enum SearchEvent {
    /// It begins.
    Start,
    /// Control replied to a claim.
    Claimed(ClaimReply),
    /// Control committed a [`SearchAction::EndClaim`] that gave the claim back.
    ClaimReturned,
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
    /// Whether a crash was laid to the request before.
    pub suspect: bool,
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

/// Dispatches of one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SearchTally {
    /// First attempts.
    pub primaries: u32,
    /// Attempts in place of one that certainly did not run.
    pub replaced: u32,
    /// Second attempts sent since the first was slow.
    pub hedges: u32,
    /// Attempts after one that may have run.
    pub retries: u32,
    /// Hedges and retries not sent since the budget was spent.
    pub denied: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SearchPhase {
    New,
    /// The reply to a claim is awaited.
    Claiming(AttemptId),
    /// A claim was given back and is asked for anew once that is committed.
    Returning,
    Running,
    /// The caller is answered; the outcome of a claimed dispatch is still awaited.
    Lingering,
    Done,
}

/// One caller's request.
#[derive(Clone, Debug)]
pub struct RequestSearch {
    plan: SearchPlan,
    answer_by: MonotonicTime,
    phase: SearchPhase,
    service: u32,
    pinned: Option<PinnedSnapshot>,
    rows: Vec<ShardRow>,
    /// Row of each attempt, by the attempt's number.
    owners: Vec<u32>,
    answered_weight: u64,
    open_weight: u64,
    open_count: usize,
    answered_count: usize,
    run: RunState,
    suspicion: Suspicion,
    restarted: bool,
    claims: u8,
    claim_returns: bool,
    dispatched_claim: bool,
    /// Shortest time after which a refusing keeper wants to be asked again.
    retry_ms: Option<u64>,
    wake: MonotonicTime,
    tally: SearchTally,
}

impl RequestSearch {
    /// A request that has not begun.
    pub fn new(plan: SearchPlan) -> Self {
        Self {
            answer_by: plan.answer_by(),
            plan,
            phase: SearchPhase::New,
            service: 0,
            pinned: None,
            rows: Vec::new(),
            owners: Vec::new(),
            answered_weight: 0,
            open_weight: 0,
            open_count: 0,
            answered_count: 0,
            run: RunState::NotRun,
            suspicion: Suspicion::Clear,
            restarted: false,
            claims: 0,
            claim_returns: false,
            dispatched_claim: false,
            retry_ms: None,
            wake: MonotonicTime::default(),
            tally: SearchTally::default(),
        }
    }

    /// Promises that [`SearchEvent::ClaimReturned`] will follow each claim given back, so that a
    /// request which a replica turned away may claim again and try another.
    pub fn with_claim_returns(mut self) -> Self {
        self.claim_returns = true;
        self
    }

    /// Takes in one event and says what is to be done.
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
            (_, SearchEvent::Claimed(reply)) => self.take_claim(reply, routes, actions),
            (SearchPhase::Done, _) => {}
            (_, SearchEvent::ClaimReturned) => self.take_returned(actions),
            (_, SearchEvent::SubEnded { attempt, reply }) => {
                self.take_reply(now, attempt, reply, routes, actions);
            }
            (_, SearchEvent::Tick) => self.send_hedges(now, routes, actions),
            (_, SearchEvent::CallerGone) => self.lose_caller(now, routes, actions),
        }
        self.conclude(now, routes, actions);
        self.plan_wake(now);
    }

    /// When to step with [`SearchEvent::Tick`] next.
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        (!matches!(self.phase, SearchPhase::Done)).then_some(self.wake)
    }

    /// Whether the caller was answered.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, SearchPhase::Lingering | SearchPhase::Done)
    }

    /// Whether nothing more will come of it. A request that may not be repeated is kept and
    /// stepped on after its caller was answered until this is true, so that its outcome can be
    /// recorded for a resend.
    pub fn is_done(&self) -> bool {
        self.phase == SearchPhase::Done
    }

    /// Memory that the request holds, in bytes, without names and payloads.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>()
            + self.rows.capacity() * size_of::<ShardRow>()
            + self.owners.capacity() * size_of::<u32>()
    }

    /// Dispatches so far.
    pub fn tally(&self) -> SearchTally {
        self.tally
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

    fn next_attempt(&mut self, row: usize) -> AttemptId {
        self.owners.push(u32::try_from(row).unwrap_or(u32::MAX));
        self.last_attempt()
    }

    fn last_attempt(&self) -> AttemptId {
        AttemptId {
            origin: self.plan.origin,
            sequence: self.plan.sequence_base + self.owners.len() as u64,
        }
    }

    /// The row that an attempt of this request belongs to.
    fn owner_of(&self, attempt: AttemptId) -> Option<usize> {
        let number = attempt.sequence.checked_sub(self.plan.sequence_base + 1)?;
        let owner = self.owners.get(usize::try_from(number).ok()?)?;
        let row = *owner as usize;
        (attempt.origin == self.plan.origin && row < self.rows.len()).then_some(row)
    }
}

/// Whether `answered` of `whole` is at least `minimum_ppm`. Nothing at all never is.
pub fn is_covered(answered: u64, whole: u64, minimum_ppm: u32) -> bool {
    let needed = u128::from(whole) * u128::from(minimum_ppm);
    answered > 0 && u128::from(answered) * u128::from(WHOLE_PPM) >= needed
}
