//! Counters and histograms of an entry that forwards requests.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::dispatch::fleet::NoticeCounts;
use crate::prelude::*;

/// Bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.12, 0.2, 0.3, 0.6, 1.2, 5.0,
];

/// Bounds of the histogram of waits for admission, in seconds.
const ADMISSION_WAIT_BOUNDS: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5];

/// Labels of the request counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RouteOutcomeLabels {
    /// Name of the route.
    pub route: String,
    /// Outcome: `answered`, `partial`, or the number of a result code.
    pub outcome: String,
}

/// Label of the counter of customers' requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CustomerLabels {
    /// Name of the customer, or `other` beyond the maximum number of labels.
    pub customer: String,
}

/// Label of the attempt counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AttemptLabels {
    /// Outcome of the attempt, such as `answered` or `lost`.
    pub end: String,
}

/// Label of the counter of changes in the crash records.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CrashLabels {
    /// `suspected`, `withdrawn`, `confirmed` or `cleared`.
    pub change: String,
}

/// Label of the counter of dropped answers.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct DropLabels {
    /// `oversized`, `fragmented`, `no_memory`, `malformed`, `truncated` or `unusable`.
    pub reason: String,
}

/// Labels of the counter of requests refused by admission control.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AdmissionLabels {
    /// `unlikely`, `timed_out` or `queue_full`.
    pub reason: String,
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
}

/// Labels of the outcomes of rollouts in progress.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RolloutLabels {
    /// Name of the service.
    pub service: ServiceName,
    /// Version of the replicas.
    pub version: VersionName,
}

/// Metrics of an entry that forwards requests.
#[derive(Clone, Debug)]
pub struct ForwardCounters {
    /// Number of finished requests by route and outcome.
    pub requests: Family<RouteOutcomeLabels, Counter>,
    /// Number of requests refused since their customer had used up its quota.
    pub requests_over_quota: Counter,
    /// Number of requests with a known key by customer.
    pub customer_requests: Family<CustomerLabels, Counter>,
    /// Number of requests that were refused because of their key.
    pub requests_unauthorised: Counter,
    /// Number of requests that wait for capacity.
    pub admission_queued: Gauge,
    /// Waits of requests that were admitted or refused after waiting, in seconds.
    pub admission_wait: Histogram,
    /// Number of requests refused by admission control.
    pub admission_refusals: Family<AdmissionLabels, Counter>,
    /// Number of finished attempts at replicas by outcome.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Number of attempts that repeat an earlier attempt of the same request.
    pub repeats: Counter,
    /// Number of attempts relayed through an entry of another region.
    pub relayed: Counter,
    /// Number of connections opened to replicas since the process started.
    pub connections_opened: Counter,
    /// Number of connections to replicas that could not be opened since the process started.
    pub connects_failed: Counter,
    /// 1 if connections to replicas can be opened, 0 if not.
    pub reaches_replicas: Gauge,
    /// Number of idle connections to replicas.
    pub connections_idle: Gauge,
    /// Number of changes in the records of requests that crash replicas.
    pub crashes: Family<CrashLabels, Counter>,
    /// Number of requests with crash records.
    pub crash_records: Gauge,
    /// Number of answers that were dropped, by reason.
    pub answers_dropped: Family<DropLabels, Counter>,
    /// Number of replicas that said in an answer that they leave.
    pub replicas_leaving: Gauge,
    /// Number of replicas that have asked this entry to pause.
    pub replicas_paused: Gauge,
    /// Number of replicas that take a limited rate of requests.
    pub replicas_limited: Gauge,
    /// Memory that the bodies of answers hold, in bytes.
    pub answer_bytes: Gauge,
    /// Number of attempts by version since the rollout in progress of a service was ordered.
    pub rollout_requests: Family<RolloutLabels, Gauge>,
    /// Number of those that failed.
    pub rollout_failures: Family<RolloutLabels, Gauge>,
    /// Number of configurations from control that could not be decoded.
    pub documents_refused: Counter,
    /// Latency of requests, in seconds.
    pub latency: Histogram,
}

impl Default for ForwardCounters {
    fn default() -> Self {
        let reached = Gauge::default();
        reached.set(1);
        Self {
            requests: Family::default(),
            requests_over_quota: Counter::default(),
            customer_requests: Family::default(),
            requests_unauthorised: Counter::default(),
            admission_queued: Gauge::default(),
            admission_wait: Histogram::new(ADMISSION_WAIT_BOUNDS),
            admission_refusals: Family::default(),
            attempts: Family::default(),
            repeats: Counter::default(),
            relayed: Counter::default(),
            connections_opened: Counter::default(),
            connects_failed: Counter::default(),
            reaches_replicas: reached,
            connections_idle: Gauge::default(),
            crashes: Family::default(),
            crash_records: Gauge::default(),
            answers_dropped: Family::default(),
            replicas_leaving: Gauge::default(),
            replicas_paused: Gauge::default(),
            replicas_limited: Gauge::default(),
            answer_bytes: Gauge::default(),
            rollout_requests: Family::default(),
            rollout_failures: Family::default(),
            documents_refused: Counter::default(),
            latency: Histogram::new(LATENCY_BOUNDS),
        }
    }
}

impl ForwardCounters {
    /// Sets the numbers of replicas by what their answers stated.
    pub fn set_notices(&self, counts: NoticeCounts) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.replicas_leaving.set(gauge(counts.leaving));
        self.replicas_paused.set(gauge(counts.paused));
        self.replicas_limited.set(gauge(counts.limited));
    }

    fn register_admission(&self, registry: &mut Registry) {
        let queued = "Requests that wait for capacity";
        registry.register(
            "daisyhinge_forward_admission_queued",
            queued,
            self.admission_queued.clone(),
        );
        let wait = "Time that requests have waited for capacity, in seconds";
        registry.register(
            "daisyhinge_forward_admission_wait_seconds",
            wait,
            self.admission_wait.clone(),
        );
        let refusals = "Requests refused for lack of capacity, by reason and priority";
        registry.register(
            "daisyhinge_forward_admission_refusals",
            refusals,
            self.admission_refusals.clone(),
        );
    }

    fn register_documents(&self, registry: &mut Registry) {
        let refused = "Configurations from control that could not be decoded";
        registry.register(
            "daisyhinge_forward_documents_refused",
            refused,
            self.documents_refused.clone(),
        );
    }

    fn register_customers(&self, registry: &mut Registry) {
        let customers = "Requests with a known key by customer";
        registry.register(
            "daisyhinge_forward_customer_requests",
            customers,
            self.customer_requests.clone(),
        );
        let over_quota = "Requests refused since their customer had used up its quota";
        registry.register(
            "daisyhinge_forward_requests_over_quota",
            over_quota,
            self.requests_over_quota.clone(),
        );
        let unauthorised = "Requests refused because of their key";
        registry.register(
            "daisyhinge_forward_requests_unauthorised",
            unauthorised,
            self.requests_unauthorised.clone(),
        );
    }

    /// Registers the metrics under their complete names; `registry` must not add a prefix.
    pub fn register(&self, registry: &mut Registry) {
        let requests = "Requests by route and outcome";
        registry.register(
            "daisyhinge_forward_requests",
            requests,
            self.requests.clone(),
        );
        self.register_customers(registry);
        self.register_admission(registry);
        self.register_documents(registry);
        let attempts = "Attempts at replicas by their end";
        registry.register(
            "daisyhinge_forward_attempts",
            attempts,
            self.attempts.clone(),
        );
        let repeats = "Attempts that repeat an earlier one";
        registry.register("daisyhinge_forward_repeats", repeats, self.repeats.clone());
        let relayed = "Attempts that went through an entry of another region";
        registry.register("daisyhinge_forward_relayed", relayed, self.relayed.clone());
        let opened = "Connections opened to replicas";
        registry.register(
            "daisyhinge_forward_connections_opened",
            opened,
            self.connections_opened.clone(),
        );
        let failed = "Connections to replicas that could not be opened";
        registry.register(
            "daisyhinge_forward_connects_failed",
            failed,
            self.connects_failed.clone(),
        );
        let reached = "Whether connections to replicas can be opened";
        registry.register(
            "daisyhinge_forward_reaches_replicas",
            reached,
            self.reaches_replicas.clone(),
        );
        let idle = "Idle connections to replicas";
        registry.register(
            "daisyhinge_forward_connections_idle",
            idle,
            self.connections_idle.clone(),
        );
        let crashes = "Changes in the records of requests that crash replicas";
        registry.register("daisyhinge_forward_crashes", crashes, self.crashes.clone());
        let records = "Requests with crash records";
        registry.register(
            "daisyhinge_forward_crash_records",
            records,
            self.crash_records.clone(),
        );
        let dropped = "Answers of replicas that were dropped, by reason";
        registry.register(
            "daisyhinge_forward_answers_dropped",
            dropped,
            self.answers_dropped.clone(),
        );
        let leaving = "Replicas that said in an answer that they leave";
        registry.register(
            "daisyhinge_forward_replicas_leaving",
            leaving,
            self.replicas_leaving.clone(),
        );
        let paused = "Replicas that have asked this entry to pause";
        registry.register(
            "daisyhinge_forward_replicas_paused",
            paused,
            self.replicas_paused.clone(),
        );
        let limited = "Replicas that take a limited rate of requests";
        registry.register(
            "daisyhinge_forward_replicas_limited",
            limited,
            self.replicas_limited.clone(),
        );
        let bytes = "Memory that the bodies of answers hold, in bytes";
        registry.register(
            "daisyhinge_forward_answer_bytes",
            bytes,
            self.answer_bytes.clone(),
        );
        let requests = "Attempts since the rollout in progress was ordered, by version";
        registry.register(
            "daisyhinge_forward_rollout_requests",
            requests,
            self.rollout_requests.clone(),
        );
        let failures = "Failed attempts since the rollout in progress was ordered, by version";
        registry.register(
            "daisyhinge_forward_rollout_failures",
            failures,
            self.rollout_failures.clone(),
        );
        let latency = "Latency of requests in seconds";
        registry.register(
            "daisyhinge_forward_latency_seconds",
            latency,
            self.latency.clone(),
        );
    }
}
