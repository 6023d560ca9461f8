//! Decisions of a fake backend server on a sub-request, and outcomes of its work.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::server::fault::DamageKind;

/// How a sub-request that arrived is handled.
#[derive(Debug)]
pub(crate) enum AdmissionOutcome {
    /// The sub-request runs.
    Run(WorkPlan),
    /// The sub-request is shed.
    Shed,
    /// The server does not have the snapshot or shard.
    NotHeld,
    /// The sub-request is addressed to another replica or service.
    Misdirected,
    /// The sub-request fails with an error of the server.
    Fail,
    /// The sub-request was cancelled before it arrived.
    Cancelled,
    /// The server crashes.
    Crash,
    /// The server collapses because its capacity while cold is exceeded.
    Collapse,
}

/// How a sub-request is processed.
#[derive(Clone, Debug)]
pub(crate) struct WorkPlan {
    /// Time for which the work takes a slot.
    pub service: Duration,
    /// Cancelled when the sub-request is cancelled.
    pub cancel: CancellationToken,
    pub damage: DamageKind,
    /// Delay of the answer after the expiry of the sub-request if `damage` is [`DamageKind::Late`].
    pub late: Duration,
}

/// Outcome of the work on a sub-request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WorkEnd {
    Answered,
    /// The work was cancelled by the sender of the sub-request.
    Cancelled,
    Expired,
    /// The work was lost in a crash, or in a collapse caused by overload while cold.
    Lost,
}
