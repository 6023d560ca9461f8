//! Input events and output actions of the request state machine.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::dispatch::fleet::{ReplicaIndex, ReplicaOutcome};
use crate::prelude::*;
use crate::vocabulary::site::SiteRoute;

/// Route and times that determine how a request is dispatched.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Digest of the request, the same each time its caller sends it again.
    pub digest: RequestDigest,
    /// Route that the request matched; sets its objective, attempts and targets.
    pub route: Arc<SiteRoute>,
    /// Time at which the request arrived.
    pub started: MonotonicTime,
    /// Time at which the request ends, answered or not: the earlier of the caller's deadline and the
    /// route's timeout.
    pub deadline: MonotonicTime,
    /// Time that the caller had already spent; zero if unknown.
    pub spent: Duration,
    /// Time reserved for the answer's way to the caller: a gather is answered this long before its
    /// objective.
    pub margin: Duration,
    /// Regions that may process the request: those that both the route and the customer allow; empty
    /// for all regions.
    pub allowed_regions: Arc<[RegionName]>,
    /// Priority under load, that of the customer if it has one; 0 is the highest.
    pub priority: u32,
    /// Customer that the request was identified with. Requests without a customer count as
    /// requests of one common customer.
    pub customer: Option<CustomerName>,
}

/// How an attempt ended; mapped to a [`ReplicaOutcome`] for the health of the replica.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptEnd {
    /// A complete answer was received.
    Answered,
    /// The replica returned an error of its own, received completely.
    Failed,
    /// The replica reported that it did not run the request.
    NotRun,
    /// Not sent: no connection could be made.
    NotSent,
    /// Not sent: the replica no longer accepts requests.
    Withdrawn,
    /// Another server answers at the replica's address; the request did not run.
    WrongServer,
    /// Sent, without a usable answer, for another reason than [`Self::Reset`]; the request may have
    /// run.
    Lost,
    /// Not sent: the relaying entry is at its limit of concurrent requests to the replica.
    PeerBusy,
    /// Sent; the connection ended before any part of an answer, as it does if the replica crashes.
    Reset,
}

impl From<AttemptEnd> for ReplicaOutcome {
    fn from(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::Answered => Self::Answered,
            AttemptEnd::Failed => Self::Failed,
            AttemptEnd::NotRun | AttemptEnd::PeerBusy => Self::Shed,
            AttemptEnd::NotSent => Self::Unreachable,
            AttemptEnd::Withdrawn => Self::Cancelled,
            AttemptEnd::WrongServer => Self::WrongServer,
            AttemptEnd::Lost | AttemptEnd::Reset => Self::Broken,
        }
    }
}

/// Record of one attempt, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptRecord {
    /// Attempt number, unique within the entry.
    pub attempt: u64,
    /// Replica to which the attempt was sent.
    pub replica: ReplicaIndex,
    /// Time at which the attempt was sent.
    pub sent: MonotonicTime,
    /// Expected latency of the replica at that time.
    pub expected: Duration,
    /// Idle connections to the replica at that time.
    pub idle: usize,
    /// Outcome and time of the end; unset if the attempt was still in flight.
    pub end: Option<(AttemptEnd, MonotonicTime)>,
}

/// Record of one target, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Service from which an answer was expected.
    pub service: ServiceName,
    /// Whether an answer was received.
    pub answered: bool,
    /// Reason for the missing answer, if known.
    pub reason: Option<ResultCode>,
    /// Time at which the retry budget first denied another attempt.
    pub denied: Option<MonotonicTime>,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<AttemptRecord>,
}

/// Input event of the state machine of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEvent {
    /// The request begins, or the time of the next scheduled step was reached.
    Due,
    /// An attempt ended, whether or not it was answered.
    Ended {
        /// Attempt number, unique within the entry.
        attempt: u64,
        /// Answer, error or other outcome of the attempt.
        end: AttemptEnd,
    },
    /// The caller closed its connection.
    Abandoned,
}

/// Output action of the state machine of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestAction {
    /// Send the request to a replica.
    Send {
        /// Attempt number, unique within the entry.
        attempt: u64,
        /// Index of the target among the request's services.
        target: usize,
        /// Replica that receives the attempt.
        replica: ReplicaIndex,
        /// Whether an earlier attempt for the target may have arrived.
        repeats: bool,
    },
    /// Do not write an attempt that is still connecting: another attempt replaces it.
    Supersede {
        /// Attempt number, unique within the entry.
        attempt: u64,
    },
    /// Cancel an attempt whose answer is no longer needed.
    Cancel {
        /// Attempt number, unique within the entry.
        attempt: u64,
    },
    /// Answer the caller; the request is finished.
    Finish(Decision),
}

/// Final decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Answer with the targets that have answered.
    Answer {
        /// Number of targets without an answer.
        missing: usize,
    },
    /// Relay to the caller the error that a replica returned.
    Relay {
        /// Attempt that returned the error.
        attempt: u64,
    },
    /// Refuse the request, which has not run and never will.
    Refused {
        /// Result code to send to the caller.
        code: ResultCode,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Fail the request, which may have run.
    Unfinished {
        /// Result code to send to the caller.
        code: ResultCode,
    },
}
