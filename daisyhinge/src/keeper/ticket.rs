//! A sub-request as a keeper accounts for it.

use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::clock::span_to_millis;
use crate::vocabulary::subrequest::SubRefusal;

/// The few fields of a sub-request that the keeper decides by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SubTicket {
    /// The dispatch.
    pub attempt: AttemptId,
    /// Digest of the caller's request.
    pub digest: RequestDigest,
    /// Snapshot that must be held.
    pub snapshot: SnapshotNumber,
    /// Shard that must be held.
    pub shard: ShardNumber,
    /// When the work is of no use any more; the backend server stops then.
    pub expires: MonotonicTime,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether another attempt for the same shard is under way.
    pub hedge: bool,
    /// Whether the root knows of a crash that was laid to the request.
    pub suspect: bool,
}

/// How a dispatch to a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// A checked answer came.
    Answered {
        /// From the first byte out to the last byte in.
        took: Duration,
    },
    /// Never sent: the lease or the expiry ran out at the last look.
    NotSent,
    /// No connection was made; nothing was sent.
    ConnectFailed,
    /// The connection ended after bytes may have left.
    Reset,
    /// The backend server shed it without running it.
    Shed {
        /// When it asks to be tried again; zero if it did not say.
        retry: Duration,
    },
    /// The backend server does not hold the snapshot or shard.
    NotHeld,
    /// The backend server answered with an error of its own.
    Failed,
    /// The answer was damaged or belonged to something else; the connection was closed.
    BadAnswer(ResultCode),
    /// No answer by its expiry; the connection was closed.
    Expired,
}

impl RunEnd {
    /// Whether the connection may carry another sub-request.
    ///
    /// After every other end it must be closed: an answer that is still under way on it would be
    /// taken for the answer to the next sub-request. The same holds for a dispatch that was
    /// dropped or cancelled before its answer came.
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

    /// Whether the backend server certainly does not work on the sub-request any more.
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

/// What a root is told of a dispatch that brought no answer. If it `was_probe` without the root's
/// knowledge, since its keeper knew of a crash, a reset convicts the request.
pub fn refuse_end(end: RunEnd, was_probe: bool) -> SubRefusal {
    let refusal = SubRefusal::with_run;
    match end {
        RunEnd::NotSent => refusal(ResultCode::SlotsBusy, RunState::NotRun),
        RunEnd::ConnectFailed => refusal(ResultCode::ConnectFailed, RunState::NotRun),
        RunEnd::Reset if was_probe => refusal(ResultCode::RequestPoisoned, RunState::Unknown),
        RunEnd::Reset => refusal(ResultCode::ConnectionReset, RunState::Unknown),
        RunEnd::Shed { retry } => SubRefusal {
            retry_ms: span_to_millis(retry),
            ..refusal(ResultCode::ServerShed, RunState::NotRun)
        },
        RunEnd::NotHeld => refusal(ResultCode::SnapshotNotHeld, RunState::NotRun),
        RunEnd::Failed => refusal(ResultCode::ServerFailed, RunState::Unknown),
        RunEnd::BadAnswer(code) => refusal(code, RunState::Ran),
        RunEnd::Expired => refusal(ResultCode::SubRequestExpired, RunState::Unknown),
        RunEnd::Answered { .. } => refusal(ResultCode::AnswerDamaged, RunState::Ran),
    }
}
