//! A sub-request as the keeper accounts for it, and the outcome of its dispatch.

use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::clock::duration_to_millis;
use crate::vocabulary::subrequest::SubRefusal;

/// Properties of a sub-request on which admission depends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SubRequestInfo {
    /// Id of the attempt, chosen by the root entry; identifies the dispatch in later events and
    /// actions.
    pub attempt: AttemptId,
    /// Digest of the caller's request, by which crashes are counted.
    pub digest: RequestDigest,
    /// Snapshot that the replica must hold.
    pub snapshot: SnapshotNumber,
    /// Shard that the replica must hold.
    pub shard: ShardNumber,
    /// Time after which the answer is not needed; the backend server stops work then.
    pub expires: MonotonicTime,
    /// Whether the sub-request may run more than once.
    pub repeatable: bool,
    /// Whether another attempt for the same shard is in progress.
    pub hedge: bool,
    /// Whether the root entry knows of a crash attributed to the request.
    pub suspect: bool,
}

/// Outcome of a dispatch to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchOutcome {
    /// A valid answer arrived.
    Answered {
        /// Time from the first byte sent to the last byte received.
        took: Duration,
    },
    /// Not sent: the lease or the deadline had expired at the final check.
    NotSent,
    /// No connection could be made; nothing was sent.
    ConnectFailed,
    /// The connection ended after bytes may have been sent.
    Reset,
    /// The backend server shed the sub-request without running it.
    Shed {
        /// Delay before a retry as requested by the server; zero if it gave none.
        retry: Duration,
    },
    /// The backend server does not hold the snapshot or shard.
    NotHeld,
    /// The backend server returned an error response.
    Failed,
    /// The answer was damaged or belonged to another request; the connection was closed.
    BadAnswer(ResultCode),
    /// No answer arrived before the expiry; the connection was closed.
    Expired,
}

impl DispatchOutcome {
    /// Returns whether the connection may be reused for another sub-request.
    ///
    /// After every other outcome it must be closed: an answer still in transit on the connection
    /// would be mistaken for the answer to the next sub-request. The same applies to a dispatch
    /// that was dropped or cancelled before its answer arrived.
    pub fn keeps_connection(self) -> bool {
        match self {
            Self::Answered { .. } | Self::Shed { .. } | Self::NotHeld | Self::Failed => true,
            Self::NotSent
            | Self::ConnectFailed
            | Self::Reset
            | Self::BadAnswer(_)
            | Self::Expired => false,
        }
    }

    /// Returns whether the backend server has definitely stopped work on the sub-request.
    pub fn frees_slot(self) -> bool {
        match self {
            Self::Answered { .. }
            | Self::NotSent
            | Self::ConnectFailed
            | Self::Shed { .. }
            | Self::NotHeld
            | Self::Failed => true,
            Self::Reset | Self::BadAnswer(_) | Self::Expired => false,
        }
    }
}

/// Returns the refusal sent to the root entry for a dispatch without an answer.
///
/// `was_probe` states that the keeper, but not the root entry, knew of a crash. A reset then
/// poisons the request.
pub fn refusal_for(end: DispatchOutcome, was_probe: bool) -> SubRefusal {
    let refusal = SubRefusal::with_run;
    match end {
        DispatchOutcome::NotSent => refusal(ResultCode::SlotsBusy, RunState::NotRun),
        DispatchOutcome::ConnectFailed => refusal(ResultCode::ConnectFailed, RunState::NotRun),
        DispatchOutcome::Reset if was_probe => {
            refusal(ResultCode::RequestPoisoned, RunState::Unknown)
        }
        DispatchOutcome::Reset => refusal(ResultCode::ConnectionReset, RunState::Unknown),
        DispatchOutcome::Shed { retry } => SubRefusal {
            retry_ms: duration_to_millis(retry),
            ..refusal(ResultCode::ServerShed, RunState::NotRun)
        },
        DispatchOutcome::NotHeld => refusal(ResultCode::SnapshotNotHeld, RunState::NotRun),
        DispatchOutcome::Failed => refusal(ResultCode::ServerFailed, RunState::Unknown),
        DispatchOutcome::BadAnswer(code) => refusal(code, RunState::Ran),
        DispatchOutcome::Expired => refusal(ResultCode::SubRequestExpired, RunState::Unknown),
        DispatchOutcome::Answered { .. } => refusal(ResultCode::AnswerDamaged, RunState::Ran),
    }
}
