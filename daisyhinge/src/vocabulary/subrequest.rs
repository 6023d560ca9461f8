//! Messages between a root entry and a keeper.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::replica::KeeperLoad;

/// A sub-request from a root entry to the keeper of the selected replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubRequest {
    /// Identifier of this dispatch; every hedge and retry has its own.
    pub attempt: AttemptId,
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Digest of the request's service and body, used to recognise requests that crash backend
    /// servers.
    pub digest: RequestDigest,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Replica, kept by the receiver, that should run the sub-request.
    pub replica: ReplicaName,
    /// Shard to query.
    pub shard: ShardNumber,
    /// Snapshot that the request is pinned to.
    pub snapshot: SnapshotNumber,
    /// Version of configuration and membership used by the root entry.
    pub version: VersionNumber,
    /// Time left before the result becomes useless, in microseconds.
    pub expires_us: u64,
    /// Whether the sub-request may run more than once.
    pub repeatable: bool,
    /// Whether another attempt for the same shard is already running.
    pub hedge: bool,
    /// Whether the request is suspected of crashing a backend server. It is then sent alone, as a
    /// probe.
    pub suspect: bool,
    /// Payload for the backend server.
    pub body: Bytes,
}

/// A backend server's answer, checked by the keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubAnswer {
    /// Shard that answered.
    pub shard: ShardNumber,
    /// Snapshot that the answer comes from.
    pub snapshot: SnapshotNumber,
    /// Payload from the backend server.
    pub body: Bytes,
    /// Load of the replica after the answer.
    pub load: KeeperLoad,
}

/// Reason why a sub-request was not answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubRefusal {
    /// Reason for the refusal.
    pub code: ResultCode,
    /// Whether the backend server may have processed the sub-request.
    pub run: RunState,
    /// Milliseconds until this replica may be retried; 0 if unknown.
    pub retry_ms: u64,
    /// Load of the replica at the time of the refusal.
    pub load: KeeperLoad,
}

impl SubRefusal {
    /// Creates a refusal for a sub-request that reached no backend server.
    pub fn not_run(code: ResultCode) -> Self {
        Self {
            code,
            run: RunState::NotRun,
            retry_ms: 0,
            load: KeeperLoad::default(),
        }
    }

    /// Creates a refusal for a sub-request that a backend server may have processed.
    pub fn with_run(code: ResultCode, run: RunState) -> Self {
        Self {
            run,
            ..Self::not_run(code)
        }
    }
}

/// Reply of a keeper to a [`SubRequest`].
pub type SubReply = Result<SubAnswer, SubRefusal>;
