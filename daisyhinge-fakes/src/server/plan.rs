//! What a fake backend server decides on a sub-request, and how its work ended.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::server::fault::DamageKind;

/// What is to be done with a sub-request that arrived.
#[derive(Debug)]
pub(crate) enum TakeOutcome {
    /// Work on it.
    Run(WorkPlan),
    /// Shed it.
    Shed,
    /// The snapshot or shard is not held.
    NotHeld,
    /// Another replica is meant.
    Misdirected,
    /// Fail with an error of the server's own.
    Fail,
    /// It was cancelled before it arrived.
    Cancelled,
    /// The server crashes.
    Crash,
    /// The server collapses under more than it bears.
    Collapse,
}

/// How a sub-request is worked on.
#[derive(Clone, Debug)]
pub(crate) struct WorkPlan {
    /// Time that the work takes.
    pub service: Duration,
    /// Fires when it is cancelled.
    pub cancel: CancellationToken,
    /// Damage to the answer.
    pub damage: DamageKind,
    /// How late a late answer is.
    pub late: Duration,
}

/// How work ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WorkEnd {
    /// Answered.
    Answered,
    /// Cancelled by its sender.
    Cancelled,
    /// Expired.
    Expired,
    /// Lost in a crash or collapse.
    Lost,
}
