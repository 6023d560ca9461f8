//! Answers and refusals as callers read them.

use std::net::SocketAddr;

use daisyhinge::prelude::*;
use serde::Deserialize;

use crate::server::EchoPayload;

/// An answer to a caller.
#[derive(Clone, Debug, Deserialize)]
pub struct WireAnswer {
    /// The caller's request.
    pub request: RequestId,
    /// Snapshot of every part.
    pub snapshot: SnapshotNumber,
    /// Coverage.
    pub coverage: WireCoverage,
    /// Whether nothing is missing.
    pub complete: bool,
    /// Whether it is the recorded outcome of an earlier request.
    pub resent: bool,
    /// Parts.
    pub parts: Vec<WirePart>,
}

/// Coverage of an answer.
#[derive(Clone, Debug, Deserialize)]
pub struct WireCoverage {
    /// Weight of the parts that are there.
    pub answered_weight: u64,
    /// Weight of the whole snapshot.
    pub whole_weight: u64,
    /// Shards that are not there.
    pub missing: Vec<WireMissing>,
}

/// A shard that is not there.
#[derive(Clone, Debug, Deserialize)]
pub struct WireMissing {
    /// The shard.
    pub shard: ShardNumber,
    /// The reason.
    pub code: ResultCode,
}

/// One shard's part.
#[derive(Clone, Debug, Deserialize)]
pub struct WirePart {
    /// The shard.
    pub shard: ShardNumber,
    /// Payload of the fake backend server.
    pub body: EchoPayload,
}

/// A refusal.
#[derive(Clone, Debug, Deserialize)]
pub struct WireRefusal {
    /// The reason.
    pub code: ResultCode,
    /// Whether anything ran.
    pub run: RunState,
    /// When to come back, in milliseconds.
    pub retry_ms: Option<u64>,
    /// Where to come back.
    pub addresses: Vec<SocketAddr>,
}
