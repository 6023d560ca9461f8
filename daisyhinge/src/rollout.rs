//! Decides how a rollout advances, from the outcomes that entries report. Without I/O.

use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::rollout::{RolloutPhase, RolloutReason, RouteCounts};

pub use judge::RolloutJudge;

mod history;
mod judge;
mod pace;
mod scores;
mod sequential;

/// Limits on the requests that an unproven version may receive, summed over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Maximum share of all requests to the service, from 0 to 1.
    pub exposure_share: f64,
    /// Requests allowed beyond that share.
    pub exposure_slack: u32,
    /// Maximum time for which requests are sent to the version after its 50th bad response.
    pub rollback_delay: Duration,
}

/// What is known about a rollout at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutObservation {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time until the rollout must be completed or rolled back, counted from the order.
    pub duration: Duration,
    /// Time since the latest change of phase or share.
    pub since_advance: Duration,
    /// Phase in force.
    pub phase: RolloutPhase,
    /// Version that the requests move to.
    pub target: VersionName,
    /// Cumulative outcomes over all entries, by route and version.
    pub counts: Vec<RouteCounts>,
    /// Slots of the ready replicas of all other versions.
    pub stable_slots: u32,
    /// Slots of the ready and warm replicas of the target version.
    pub target_slots: u32,
}

/// A change of a rollout's phase or share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RolloutAdvance {
    /// Next phase.
    pub phase: RolloutPhase,
    /// Why the rollout is rolled back; unset in other phases.
    pub reason: Option<RolloutReason>,
}
