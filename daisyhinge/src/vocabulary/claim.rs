//! Claims, by which a request that may not be repeated runs at most once.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Asks control for the right to run a request that may not be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimAsk {
    /// Service asked; identifiers are per service.
    pub service: ServiceName,
    /// The caller's request.
    pub request: RequestId,
    /// Digest of service and body.
    pub digest: RequestDigest,
    /// The attempt that would run it; asking again with the same one repeats the first reply.
    pub attempt: AttemptId,
    /// Age of the request as the caller states it, in milliseconds.
    pub age_ms: u64,
}

/// The kept outcome of a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimOutcome {
    /// Snapshot of the answer.
    pub snapshot: SnapshotNumber,
    /// Shard that ran it.
    pub shard: ShardNumber,
    /// Weight of that shard.
    pub weight: u64,
    /// Whole weight of the snapshot.
    pub whole_weight: u64,
    /// The backend server's payload.
    pub body: Bytes,
}

/// Control's reply to [`ClaimAsk`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The asker alone may dispatch it, once.
    Won,
    /// It was claimed before; the outcome, if it is known.
    Lost(Option<ClaimOutcome>),
    /// Nothing was claimed; the code says why.
    Refused(ResultCode),
}

/// Tells control how a claimed request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimEnd {
    /// Service asked.
    pub service: ServiceName,
    /// The caller's request.
    pub request: RequestId,
    /// The attempt that won the claim.
    pub attempt: AttemptId,
    /// How it ended.
    pub end: ClaimEnding,
}

/// How a claimed request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimEnding {
    /// It ran and was answered.
    Answered(ClaimOutcome),
    /// It certainly never reached a backend server: the claim is given back.
    NotRun,
}
