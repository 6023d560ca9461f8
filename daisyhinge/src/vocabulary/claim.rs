//! Claims, which ensure that a non-repeatable request runs at most once.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Request to control for the right to run a non-repeatable request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// Service that the request is for. Request identifiers are unique per service.
    pub service: ServiceName,
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Digest of service and body.
    pub digest: RequestDigest,
    /// Attempt that would run the request. Claiming again with the same attempt returns the first
    /// reply.
    pub attempt: AttemptId,
    /// Age of the request as stated by the caller, in milliseconds.
    pub age_ms: u64,
}

/// Stored outcome of a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimOutcome {
    /// Snapshot that the answer comes from.
    pub snapshot: SnapshotNumber,
    /// Shard that ran the request.
    pub shard: ShardNumber,
    /// Weight of that shard.
    pub weight: u64,
    /// Total weight of the snapshot.
    pub whole_weight: u64,
    /// Payload from the backend server.
    pub body: Bytes,
}

/// Control's reply to a [`ClaimRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The claim was granted: only this attempt may dispatch the request, once.
    Won,
    /// The request was claimed before; contains its outcome, if known.
    Lost(Option<ClaimOutcome>),
    /// Nothing was claimed, for the given reason.
    Refused(ResultCode),
}

/// Report to control that a claimed request has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndClaimRequest {
    /// Service that the request is for.
    pub service: ServiceName,
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Attempt that won the claim.
    pub attempt: AttemptId,
    /// Whether the request was answered or certainly did not run.
    pub end: ClaimResult,
}

/// Result of a claimed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimResult {
    /// The request ran and was answered.
    Answered(ClaimOutcome),
    /// The request certainly reached no backend server, and the claim is released.
    NotRun,
}
