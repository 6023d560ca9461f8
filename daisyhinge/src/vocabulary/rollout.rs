//! Rollouts: moving a service's requests to replicas of another software version.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Share of a service's requests, in thousandths.
pub const SHARE_WHOLE: u16 = 1_000;

/// Number of buckets of a [`LatencyHistogram`].
pub const LATENCY_BUCKETS: usize = 64;

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// Service whose requests move.
    pub service: ServiceName,
    /// Version that receives the requests.
    pub target: VersionName,
    /// Time until the rollout must be completed or rolled back, in milliseconds.
    pub duration_ms: u64,
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutPhase {
    /// The target version receives this share of the service's requests, in thousandths.
    InProgress(u16),
    /// The target version receives all requests.
    Completed,
    /// The target version receives no requests.
    RolledBack,
}

/// Why a rollout was rolled back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutReason {
    /// The target version fails more requests than the stable one.
    Failures,
    /// The target version answers more slowly than the stable one.
    Slowness,
    /// There was too little evidence by the deadline.
    Undecided,
    /// The target version did not have enough warm replicas by the deadline.
    Capacity,
    /// The configuration no longer has the service.
    ServiceRemoved,
}

/// A change of the phase or the share of a rollout in progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutStep {
    /// Service of the rollout.
    pub service: ServiceName,
    /// Number of the rollout; the step has no effect on any other one.
    pub number: u64,
    /// Next phase. The current phase changes nothing but records the time of the log clock.
    pub phase: RolloutPhase,
    /// Why the rollout is rolled back; unset in other phases.
    pub reason: Option<RolloutReason>,
}

/// State of the latest rollout of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutRecord {
    /// Number of the rollout, unique in the log: the revision of the state that accepted it.
    pub number: u64,
    /// The order as accepted.
    pub order: RolloutOrder,
    /// Version that served the requests before; `None` if no replica was known.
    pub stable: Option<VersionName>,
    /// Time of acceptance, in milliseconds of the log clock.
    pub ordered_ms: u64,
    /// Time of the latest change of phase or share, in milliseconds of the log clock.
    pub advanced_ms: u64,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Why it was rolled back; unset in other phases.
    pub reason: Option<RolloutReason>,
}

/// Number of answers by latency. Bucket `i` counts latencies below `1.25^(i + 1)` ms that no lower
/// bucket counts; the last bucket also counts all longer ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LatencyHistogram {
    /// Counts by bucket; trailing zeros may be missing.
    pub counts: Vec<u32>,
}

/// Cumulative outcomes of the requests of one route at one version of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteCounts {
    /// Name of the route.
    pub route: Arc<str>,
    /// Version of the replicas.
    pub version: VersionName,
    /// Attempts begun, including those without an outcome yet and those that reached no replica.
    pub sent: u64,
    /// Complete, valid answers.
    pub answered: u64,
    /// Errors of the replica, and broken or invalid answers.
    pub failed: u64,
    /// Latencies of the valid answers of warm replicas, and the times taken so far by attempts that
    /// were cancelled when they were late enough to be hedged.
    pub latency: LatencyHistogram,
}

/// Outcomes of one service since its rollout was ordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCounts {
    /// Number of the rollout.
    pub number: u64,
    /// Outcomes by route and version.
    pub routes: Vec<RouteCounts>,
}

/// Outcomes that one entry process counted for all rollouts in progress. Each report replaces the
/// former one of the same process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutReport {
    /// VM that runs the entry.
    pub vm: VmName,
    /// Random number drawn when the process started.
    pub incarnation: u64,
    /// Number of the report, incremented with each one of this process.
    pub revision: u64,
    /// Outcomes by rollout.
    pub services: Vec<ServiceCounts>,
}

impl RolloutRecord {
    /// Returns whether the rollout is neither completed nor rolled back.
    pub fn is_in_progress(&self) -> bool {
        matches!(self.phase, RolloutPhase::InProgress(_))
    }
}

impl RolloutReport {
    /// Creates the report of a process that has counted nothing yet.
    pub fn empty(vm: VmName, incarnation: u64) -> Self {
        Self {
            vm,
            incarnation,
            revision: 0,
            services: Vec::new(),
        }
    }
}

impl LatencyHistogram {
    /// Creates a histogram without samples.
    pub fn empty() -> Self {
        Self { counts: Vec::new() }
    }

    /// Counts one latency in milliseconds.
    pub fn record(&mut self, latency_ms: f64) {
        let bucket = bucket_of(latency_ms);
        if self.counts.len() <= bucket {
            self.counts.resize(bucket + 1, 0);
        }
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
    }

    /// Adds the counts of another histogram. Buckets beyond the last one are ignored.
    pub fn add(&mut self, other: &Self) {
        let length = other.counts.len().min(LATENCY_BUCKETS);
        if self.counts.len() < length {
            self.counts.resize(length, 0);
        }
        for (count, added) in self.counts.iter_mut().zip(&other.counts) {
            *count = count.saturating_add(*added);
        }
    }

    /// Returns the bucket of the median; `None` without samples.
    pub fn median_bucket(&self) -> Option<usize> {
        let half = self.total().div_ceil(2);
        let mut below = 0;
        self.counts.iter().position(|count| {
            below += u64::from(*count);
            below >= half && below > 0
        })
    }

    /// Returns the number of samples.
    pub fn total(&self) -> u64 {
        self.counts.iter().copied().map(u64::from).sum()
    }
}

fn bucket_of(latency_ms: f64) -> usize {
    let mut bound_ms = 1.25;
    let mut bucket = 0;
    while latency_ms >= bound_ms && bucket + 1 < LATENCY_BUCKETS {
        bound_ms *= 1.25;
        bucket += 1;
    }
    bucket
}
