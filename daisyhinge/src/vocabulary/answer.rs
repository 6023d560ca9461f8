//! Answers and refusals sent to callers.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A shard missing from an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MissingShard {
    /// Shard whose part the answer lacks.
    pub shard: ShardNumber,
    /// Reason why the shard is missing.
    pub code: ResultCode,
}

/// One shard's part of an answer. A part is always complete: truncated parts are reported as
/// missing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerPart {
    /// Shard that returned this part.
    pub shard: ShardNumber,
    /// Payload from the backend server, as JSON text.
    pub body: Bytes,
}

/// A complete or partial answer from one snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueryAnswer {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Snapshot that all parts come from.
    pub snapshot: SnapshotNumber,
    /// Total weight of the parts in the answer.
    pub answered_weight: u64,
    /// Total weight of the snapshot, including shards that were never announced.
    pub whole_weight: u64,
    /// Missing shards in ascending order, each with the reason.
    pub missing: Vec<MissingShard>,
    /// Answered parts in ascending order of shard.
    pub parts: Vec<AnswerPart>,
    /// Whether this is the recorded outcome of an earlier request with the same identifier.
    pub resent: bool,
}

/// A refusal of a caller's request, with advice on when and where to retry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueryRefusal {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Reason for the refusal.
    pub code: ResultCode,
    /// Whether any backend server processed the request.
    pub run: RunState,
    /// Milliseconds until the caller may retry; `None` if a retry cannot succeed.
    pub retry_ms: Option<u64>,
    /// Entries to retry at; empty if the caller should retry at this entry.
    pub addresses: Vec<SocketAddr>,
}

/// Entries that a caller should use for a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressAnswer {
    /// Addresses of entries, in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may cache the addresses, in milliseconds.
    pub keep_ms: u64,
}
