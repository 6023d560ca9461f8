//! Answers and refusals as callers parse them.

use std::net::SocketAddr;

use daisyhinge::prelude::*;
use serde::Deserialize;

use crate::server::EchoPayload;

/// Answer to a caller's request.
#[derive(Clone, Debug, Deserialize)]
pub struct WireAnswer {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Snapshot that all parts were read from.
    pub snapshot: SnapshotNumber,
    /// Weights and missing shards, as the entry states them.
    pub coverage: WireCoverage,
    /// Whether no shard is missing.
    pub complete: bool,
    /// Whether the answer is the recorded outcome of an earlier attempt.
    pub resent: bool,
    /// Parts, one for each answered shard.
    pub parts: Vec<WirePart>,
}

/// Coverage of an answer.
#[derive(Clone, Debug, Deserialize)]
pub struct WireCoverage {
    /// Weight of the answered parts.
    pub answered_weight: u64,
    /// Total weight of the snapshot.
    pub whole_weight: u64,
    /// Shards missing from the answer.
    pub missing: Vec<WireMissing>,
}

/// A shard missing from an answer.
#[derive(Clone, Debug, Deserialize)]
pub struct WireMissing {
    /// Index of the shard within its partition, starting at 0.
    pub shard: ShardNumber,
    /// Reason why the shard is missing.
    pub code: ResultCode,
}

/// Part of an answer from one shard.
#[derive(Clone, Debug, Deserialize)]
pub struct WirePart {
    /// Index of the shard within its partition, starting at 0.
    pub shard: ShardNumber,
    /// Payload that the fake backend server returned.
    pub body: EchoPayload,
}

/// Refusal of a caller's request.
#[derive(Clone, Debug, Deserialize)]
pub struct WireRefusal {
    /// Reason of the refusal.
    pub code: ResultCode,
    /// Whether any part of the request ran.
    pub run: RunState,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_ms: Option<u64>,
    /// Addresses of entries to retry at.
    pub addresses: Vec<SocketAddr>,
}
