//! Results of a run, as they are written to a file and compared.

use std::collections::BTreeMap;

use daisyhinge::prelude::*;
use serde::{Deserialize, Serialize};

/// Result of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadResult {
    /// Name of the scenario.
    pub scenario: String,
    /// What was tried: `daisyhinge`, or `naive` for the baseline.
    pub system: String,
    /// A free label, such as the commit.
    pub label: String,
    /// Seed.
    pub seed: u64,
    /// How long requests arrived, in milliseconds.
    pub duration_ms: u64,
    /// Most that the tool itself was late with sending, in microseconds.
    pub tool_late_us: u64,
    /// Services in order of the scenario.
    pub services: Vec<ServiceResult>,
    /// Fake backend servers.
    pub servers: Vec<ServerResult>,
    /// Faults as they were brought about.
    pub faults: Vec<FaultNote>,
    /// Events of the system that concern no single request, and those of the slowest and of some
    /// refused requests; one line each, in milliseconds from the start.
    #[serde(default)]
    pub events: Vec<String>,
    /// Most servers that one crashing request reached.
    pub marked_servers_max: u32,
}

/// Result for one service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceResult {
    /// Its name.
    pub service: String,
    /// Requests that were due after the warm-up.
    pub offered: u64,
    /// Requests answered.
    pub answered: u64,
    /// Answers that were whole.
    pub whole: u64,
    /// Mean coverage of the answers, in parts per million.
    pub coverage_mean_ppm: u64,
    /// Smallest coverage of an answer, in parts per million.
    pub coverage_least_ppm: u64,
    /// Answers after their deadline, measured from the last sending, without the simulated links.
    pub late: u64,
    /// Answers to a request, from when it was due.
    pub latency: LatencyResult,
    /// Refusals by number of their code.
    pub refused: BTreeMap<u16, u64>,
    /// Refusals by what they say ran.
    pub refused_run: BTreeMap<String, u64>,
    /// Refusals, from the last sending, without the simulated links.
    pub refusal_latency: LatencyResult,
    /// Refusals given within 5 ms, without the simulated links.
    pub refused_within_5ms: u64,
    /// Refusals that say "not run" though a server was given part of the request.
    pub false_not_run: u64,
    /// Requests without answer or refusal.
    pub lost: u64,
    /// Responses that are neither.
    pub garbled: u64,
    /// Answers that hold another request's parts.
    pub wrong: u64,
    /// Answers of more than one snapshot.
    pub mixed: u64,
    /// Answers whose stated coverage is not true.
    pub coverage_false: u64,
    /// Answers that are recorded outcomes.
    pub resent_answers: u64,
    /// Requests that may not be repeated and ran more than once.
    pub doubled: u64,
    /// Sendings beyond the first.
    pub resends: u64,
    /// Sub-requests that servers received, warm-up included.
    pub sub_requests: u64,
    /// Different pairs of request and shard among them.
    pub primary: u64,
    /// Sub-requests beyond the first for each such pair, per million pairs.
    pub extra_load_ppm: u64,
    /// Second by second from the start.
    pub seconds: Vec<SecondResult>,
}

/// Quantiles, in microseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LatencyResult {
    /// Values recorded.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99 in 100 are at most this.
    pub p99_us: u64,
    /// 999 in 1000 are at most this.
    pub p999_us: u64,
    /// Largest.
    pub max_us: u64,
}

/// One second of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SecondResult {
    /// Requests due in it.
    pub offered: u64,
    /// Those of them that were answered whole.
    pub whole: u64,
    /// Those of them that were answered in part.
    pub partial: u64,
    /// Those of them that were refused.
    pub refused: u64,
    /// Those of them that were lost.
    pub lost: u64,
    /// 99 in 100 of their answers took at most this, in microseconds.
    pub p99_us: u64,
}

/// Result for one fake backend server, warm-up included.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServerResult {
    /// Its replica.
    pub replica: String,
    /// Data centre.
    pub data_centre: String,
    /// Slots.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Sub-requests received.
    pub received: u64,
    /// Sub-requests cancelled.
    pub cancelled: u64,
    /// Sub-requests shed.
    pub shed: u64,
    /// Most in hand at a time.
    pub peak_in_hand: u32,
    /// Sub-requests that found all slots taken.
    pub slots_exceeded: u64,
    /// Most connections at a time.
    pub peak_connections: u32,
    /// Connections beyond the bound.
    pub connections_exceeded: u64,
    /// Collapses while cold.
    pub collapses: u64,
    /// Those of them after the first sign.
    pub collapses_after_sign: u64,
    /// Sub-requests beyond what it bears while cold.
    pub cold_exceeded: u64,
    /// Those of them after the first sign.
    pub cold_exceeded_after_sign: u64,
    /// Time from cold to warm, in milliseconds; 0 if it was never cold or is cold still.
    pub warm_up_ms: u64,
    /// Whether it is cold still.
    pub cold_still: bool,
    /// Crashes.
    pub crashes: u64,
    /// Sub-requests after the mark.
    pub after_mark: u64,
    /// Time from the mark to the last of them, in milliseconds.
    pub last_after_mark_ms: u64,
}

/// A fault as it was brought about.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FaultNote {
    /// When it was begun, in milliseconds from the start.
    pub at_ms: u64,
    /// When it was done or accepted, in milliseconds from the start.
    pub done_ms: u64,
    /// What.
    pub fault: String,
    /// `Ok`, or why it could not be brought about.
    pub code: u16,
    /// What came of it, where there is something to tell.
    pub remark: String,
}

impl LoadResult {
    /// Number of things that must never be, over all services.
    pub fn count_violations(&self) -> u64 {
        self.services
            .iter()
            .map(ServiceResult::count_violations)
            .sum()
    }

    /// The service of that name.
    pub fn find_service(&self, name: &str) -> Option<&ServiceResult> {
        self.services.iter().find(|service| service.service == name)
    }
}

impl ServiceResult {
    /// Number of things that must never be.
    pub fn count_violations(&self) -> u64 {
        self.false_not_run
            + self.garbled
            + self.wrong
            + self.mixed
            + self.coverage_false
            + self.doubled
    }

    /// Extra load, in percent.
    pub fn extra_percent(&self) -> f64 {
        self.extra_load_ppm as f64 / 10_000.0
    }

    /// All refusals.
    pub fn count_refused(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Refusals with `code`.
    pub fn count_code(&self, code: ResultCode) -> u64 {
        self.refused.get(&code.number()).copied().unwrap_or(0)
    }
}
