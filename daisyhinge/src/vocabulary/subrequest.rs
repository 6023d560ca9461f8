//! Messages from a root entry to a keeper and back.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::replica::KeeperLoad;

/// One sub-request, sent by a root entry to the keeper of the chosen replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubAsk {
    /// This dispatch.
    pub attempt: AttemptId,
    /// The caller's request.
    pub request: RequestId,
    /// Digest of the caller's request.
    pub digest: RequestDigest,
    /// Service asked.
    pub service: ServiceName,
    /// Replica chosen.
    pub replica: ReplicaName,
    /// Shard asked for.
    pub shard: ShardNumber,
    /// Snapshot that the request is pinned to.
    pub snapshot: SnapshotNumber,
    /// Version of configuration and membership that the root entry acts on.
    pub version: VersionNumber,
    /// Time left until the work is of no use, in microseconds.
    pub expires_us: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether another attempt for the same shard is already under way.
    pub hedge: bool,
    /// Whether a crash was laid to the request before: it is sent as a probe, alone.
    pub suspect: bool,
    /// Payload for the backend server.
    pub body: Bytes,
}

/// A backend server's answer, checked by the keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubAnswer {
    /// Shard that answered.
    pub shard: ShardNumber,
    /// Snapshot that it answered from.
    pub snapshot: SnapshotNumber,
    /// Payload.
    pub body: Bytes,
    /// Load after the answer.
    pub load: KeeperLoad,
}

/// Why a sub-request brought no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubRefusal {
    /// The reason.
    pub code: ResultCode,
    /// Whether the backend server may have worked on it.
    pub run: RunState,
    /// When to try this replica again, in milliseconds; 0 if not known.
    pub retry_ms: u64,
    /// Load at the refusal.
    pub load: KeeperLoad,
}

impl SubRefusal {
    /// A refusal of which no backend server saw anything.
    pub fn not_run(code: ResultCode) -> Self {
        Self {
            code,
            run: RunState::NotRun,
            retry_ms: 0,
            load: KeeperLoad::default(),
        }
    }

    /// A refusal of which a backend server may have seen something.
    pub fn with_run(code: ResultCode, run: RunState) -> Self {
        Self {
            run,
            ..Self::not_run(code)
        }
    }
}

/// A keeper's reply to [`SubAsk`].
pub type SubReply = Result<SubAnswer, SubRefusal>;
