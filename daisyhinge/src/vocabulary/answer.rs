//! What a caller gets.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardNumber,
    /// The reason.
    pub code: ResultCode,
}

/// One shard's part of an answer, always complete: a part that was cut is reported as missing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerPart {
    /// The shard.
    pub shard: ShardNumber,
    /// The backend server's payload, a JSON text.
    pub body: Bytes,
}

/// An answer, whole or partial, from one snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueryAnswer {
    /// The caller's request.
    pub request: RequestId,
    /// The snapshot that every part comes from.
    pub snapshot: SnapshotNumber,
    /// Weight of the parts that are here.
    pub answered_weight: u64,
    /// Weight of the whole snapshot, shards that never announced included.
    pub whole_weight: u64,
    /// Shards that are not here, in order, each with the reason.
    pub missing: Vec<MissingShard>,
    /// Shards that are here, in order.
    pub parts: Vec<AnswerPart>,
    /// Whether this is the recorded outcome of an earlier request with the same identifier.
    pub resent: bool,
}

/// A numbered refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueryRefusal {
    /// The caller's request.
    pub request: RequestId,
    /// The reason.
    pub code: ResultCode,
    /// Whether anything ran.
    pub run: RunState,
    /// When to come back, in milliseconds; unset where coming back is of no use.
    pub retry_ms: Option<u64>,
    /// Where to come back; empty if here.
    pub addresses: Vec<SocketAddr>,
}

/// Which entries a caller should use for a service, and how long to keep that.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressAnswer {
    /// Entries in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// How long to keep them, in milliseconds.
    pub keep_ms: u64,
}
