//! Results of a run, as written to files and compared.

use std::collections::BTreeMap;

use daisyhinge::prelude::*;
use serde::{Deserialize, Serialize};

/// Result of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadResult {
    /// Name of the scenario.
    pub scenario: String,
    /// System under test: `daisyhinge`, or `naive` for the baseline.
    pub system: String,
    /// Label, such as the commit.
    pub label: String,
    /// Seed of the run.
    pub seed: u64,
    /// Period during which requests arrived, in milliseconds.
    pub duration_ms: u64,
    /// Maximum delay of the load generator itself in sending a request, in microseconds.
    pub tool_late_us: u64,
    /// Results of the services, in order of the scenario.
    pub services: Vec<ServiceResult>,
    /// Results of the fake backend servers.
    pub servers: Vec<ServerResult>,
    /// Faults that were injected.
    pub faults: Vec<FaultRecord>,
    /// Events of the system that belong to no single request, and those of the slowest and of some
    /// refused requests; one line each, with its time in milliseconds from the start.
    #[serde(default)]
    pub events: Vec<String>,
    /// Largest number of fake backend servers that received the same request with the crash marker.
    /// Each of them crashed, so the number shows when the entries stopped sending the request.
    pub marked_servers_max: u32,
}

/// Result for one service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceResult {
    /// Name of the service.
    pub service: String,
    /// Requests scheduled after the warm-up.
    pub offered: u64,
    /// Requests answered.
    pub answered: u64,
    /// Complete answers.
    pub whole: u64,
    /// Mean coverage of the answers, in parts per million.
    pub coverage_mean_ppm: u64,
    /// Smallest coverage of an answer, in parts per million.
    pub coverage_least_ppm: u64,
    /// Answers later than their deadline, measured from the last attempt, without the simulated
    /// links.
    pub late: u64,
    /// Latency of answers, from the scheduled send time.
    pub latency: LatencyResult,
    /// Refusals by the number of their result code.
    pub refused: BTreeMap<u16, u64>,
    /// Refusals by the [`RunState`] that they state.
    pub refused_run: BTreeMap<String, u64>,
    /// Latency of refusals, from the last attempt, without the simulated links.
    pub refusal_latency: LatencyResult,
    /// Refusals received within 5 ms, without the simulated links.
    pub refused_within_5ms: u64,
    /// Refusals that state "not run" although a server received part of the request.
    pub false_not_run: u64,
    /// Requests without an answer or refusal.
    pub lost: u64,
    /// Responses that are neither answers nor refusals.
    pub garbled: u64,
    /// Answers with a part for another request, payload or shard.
    pub wrong: u64,
    /// Answers with parts from more than one snapshot.
    pub mixed: u64,
    /// Answers with incorrect coverage.
    pub coverage_false: u64,
    /// Answers that repeat the recorded outcome of an earlier attempt.
    pub resent_answers: u64,
    /// Non-repeatable requests that ran more than once.
    pub doubled: u64,
    /// Attempts after the first one.
    pub resends: u64,
    /// Sub-requests that servers received, including the warm-up.
    pub sub_requests: u64,
    /// Distinct pairs of request and shard among the sub-requests.
    pub primary: u64,
    /// Sub-requests beyond the first for the same request and shard, in parts per million of
    /// `primary`.
    pub extra_load_ppm: u64,
    /// Results for each second from the start.
    pub seconds: Vec<SecondResult>,
}

/// Latency quantiles, in microseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LatencyResult {
    /// Number of recorded values.
    pub count: u64,
    /// Median latency.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum latency.
    pub max_us: u64,
}

/// Result for one second of a service, by the scheduled send time.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SecondResult {
    /// Requests scheduled in this second.
    pub offered: u64,
    /// Requests answered completely.
    pub whole: u64,
    /// Requests answered partially.
    pub partial: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests lost, and those with a response that is neither an answer nor a refusal.
    pub lost: u64,
    /// 99th percentile of the latency of answers, in microseconds.
    pub p99_us: u64,
}

/// Result for one fake backend server, including the warm-up.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServerResult {
    /// Name of the replica.
    pub replica: String,
    /// Data centre of the server.
    pub data_centre: String,
    /// Number of sub-requests that the server processes at a time.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Sub-requests received.
    pub received: u64,
    /// Sub-requests cancelled.
    pub cancelled: u64,
    /// Sub-requests shed.
    pub shed: u64,
    /// Maximum number of sub-requests running or queued at a time.
    pub peak_in_hand: u32,
    /// Sub-requests that arrived while all slots were taken.
    pub slots_exceeded: u64,
    /// Maximum number of connections open at a time.
    pub peak_connections: u32,
    /// Connections reset because the connection limit was reached.
    pub connections_exceeded: u64,
    /// Collapses because the capacity while cold was exceeded.
    pub collapses: u64,
    /// Collapses after entries could notice that the server was cold, and a grace period.
    pub collapses_after_sign: u64,
    /// Sub-requests beyond the capacity while cold.
    pub cold_exceeded: u64,
    /// Sub-requests beyond the capacity while cold that arrived after entries could notice that the
    /// server was cold, and a grace period.
    pub cold_exceeded_after_sign: u64,
    /// Duration of the cold state, in milliseconds; 0 if the server was never cold or is still
    /// cold.
    pub warm_up_ms: u64,
    /// Whether the server is still cold at the end of the run.
    pub cold_still: bool,
    /// Number of times that the server crashed.
    pub crashes: u64,
    /// Sub-requests that arrived although the replica was draining, had left, or was in a data
    /// centre out of service.
    pub after_mark: u64,
    /// Arrival time of the last sub-request in `after_mark`, in milliseconds from the drain,
    /// departure or removal from service.
    pub last_after_mark_ms: u64,
}

/// Record of an injected fault.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FaultRecord {
    /// Start of the injection, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// End of the injection, such as acceptance of a change, in milliseconds from the start of the
    /// run.
    pub done_ms: u64,
    /// Injected fault, as JSON; or `work-while-out` and a data centre, for a summary of the work
    /// that reached the data centre while it was out of service.
    pub fault: String,
    /// Number of the result code: `Ok`, or the reason why the fault was not injected.
    pub code: u16,
    /// Additional details; may be empty.
    pub remark: String,
}

impl LoadResult {
    /// Number of violations over all services.
    pub fn count_violations(&self) -> u64 {
        self.services
            .iter()
            .map(ServiceResult::count_violations)
            .sum()
    }

    /// Returns the result of the named service.
    pub fn find_service(&self, name: &str) -> Option<&ServiceResult> {
        self.services.iter().find(|service| service.service == name)
    }
}

impl ServiceResult {
    /// Number of violations: findings that must never occur.
    pub fn count_violations(&self) -> u64 {
        self.false_not_run
            + self.garbled
            + self.wrong
            + self.mixed
            + self.coverage_false
            + self.doubled
    }

    /// Sub-requests beyond the first for the same request and shard, in percent.
    pub fn extra_percent(&self) -> f64 {
        self.extra_load_ppm as f64 / 10_000.0
    }

    /// Number of refusals.
    pub fn count_refused(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Number of refusals with `code`.
    pub fn count_code(&self, code: ResultCode) -> u64 {
        self.refused.get(&code.number()).copied().unwrap_or(0)
    }
}
