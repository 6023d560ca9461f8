//! What a request's machine is told, and what it wants done.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::dispatch::fleet::{AttemptFinish, ReplicaIndex};
use crate::prelude::*;
use crate::vocabulary::site::SiteRoute;

/// What a request asks of the machine.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Its route.
    pub route: Arc<SiteRoute>,
    /// When it came in.
    pub started: MonotonicTime,
    /// When its caller, or its route, stops waiting.
    pub ends: MonotonicTime,
    /// Time that its caller had spent before, as far as that is known.
    pub spent: Duration,
    /// Time between the answer here and the objective, as the caller sees it.
    pub margin: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptEnd {
    /// A whole answer came.
    Answered,
    /// The replica failed with an error of its own, which is whole.
    Failed,
    /// The replica says that it did not run it.
    NotRun,
    /// It was not sent: no connection came about.
    NotSent,
    /// It was not sent: the replica may no longer be sent anything.
    Withdrawn,
    /// Another server answers at the replica's address, which did not run it.
    WrongServer,
    /// It was sent and may have run.
    Lost,
    /// It was not sent: the entry through which it goes has as many requests at the replica as it
    /// may.
    PeerBusy,
}

impl From<AttemptEnd> for AttemptFinish {
    fn from(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::Answered => Self::Answered,
            AttemptEnd::Failed => Self::Failed,
            AttemptEnd::NotRun | AttemptEnd::PeerBusy => Self::Shed,
            AttemptEnd::NotSent => Self::Unreachable,
            AttemptEnd::Withdrawn => Self::Cancelled,
            AttemptEnd::WrongServer => Self::WrongServer,
            AttemptEnd::Lost => Self::Broken,
        }
    }
}

/// One attempt, as it is told afterwards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptAccount {
    /// Its number.
    pub attempt: u64,
    /// The replica that was chosen.
    pub replica: ReplicaIndex,
    /// When it was sent.
    pub sent: MonotonicTime,
    /// Latency that was expected of the replica then.
    pub expected: Duration,
    /// Idle connections to the replica then.
    pub idle: usize,
    /// How and when it ended; unset if it was still under way.
    pub end: Option<(AttemptEnd, MonotonicTime)>,
}

/// One target, as it is told afterwards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetAccount {
    /// Its service.
    pub service: ServiceName,
    /// Whether its answer stands.
    pub answered: bool,
    /// Why there is no answer, as far as that is known.
    pub reason: Option<ResultCode>,
    /// When another attempt was wanted and the budget of extra requests did not allow it.
    pub denied: Option<MonotonicTime>,
    /// Its attempts, in order.
    pub attempts: Vec<AttemptAccount>,
}

/// What a machine is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEvent {
    /// Time passed, or the request begins.
    Due,
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: u64,
        /// How.
        end: AttemptEnd,
    },
    /// The caller has gone.
    Abandoned,
}

/// What a machine wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestAction {
    /// Send the request to a replica.
    Send {
        /// Number of the attempt.
        attempt: u64,
        /// Which of the targets it is for.
        target: usize,
        /// The replica.
        replica: ReplicaIndex,
        /// Whether an earlier attempt for the target was sent.
        repeats: bool,
    },
    /// Do not write an attempt any more that is still connecting: another one takes its place.
    Overtake {
        /// Number of the attempt.
        attempt: u64,
    },
    /// Stop an attempt.
    Cancel {
        /// Number of the attempt.
        attempt: u64,
    },
    /// Answer the caller; the request is over.
    Finish(Verdict),
}

/// How a request ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// With the answers of these targets.
    Answer {
        /// Targets that are left out.
        missing: usize,
    },
    /// With the replica's own failure.
    Relay {
        /// The attempt that brought it.
        attempt: u64,
    },
    /// It has not run and never will.
    Refused {
        /// Why.
        code: ResultCode,
        /// When the caller may come back.
        return_after: Duration,
    },
    /// It may have run.
    Unfinished {
        /// Why.
        code: ResultCode,
    },
}
