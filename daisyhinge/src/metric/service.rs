//! Metrics of a service, exported by an entry.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::metric::label::{OutcomeLabel, ServiceLabel};
use crate::prelude::*;

/// Upper bound of the first latency bucket, in seconds; each further bound is 1.5 times as high.
const BUCKET_FIRST_SECONDS: f64 = 0.000_5;
const BUCKET_FACTOR: f64 = 1.5;
const BUCKET_COUNT: u16 = 28;

type LatencyFamily = Family<ServiceLabel, Histogram, fn() -> Histogram>;

/// Metric families labelled by service, registered once per process.
///
/// The lock of the handles is held only while a handle is looked up or added.
#[derive(Clone, Debug)]
pub struct ServiceFamilies {
    requests: Family<ServiceLabel, Counter>,
    whole: Family<ServiceLabel, Counter>,
    partial: Family<ServiceLabel, Counter>,
    resent: Family<ServiceLabel, Counter>,
    refusals: Family<OutcomeLabel, Counter>,
    missing: Family<OutcomeLabel, Counter>,
    sub_requests: Family<ServiceLabel, Counter>,
    hedges: Family<ServiceLabel, Counter>,
    retries: Family<ServiceLabel, Counter>,
    budget_spent: Family<ServiceLabel, Counter>,
    cancelled: Family<ServiceLabel, Counter>,
    sub_failures: Family<OutcomeLabel, Counter>,
    running: Family<ServiceLabel, Gauge>,
    latency: LatencyFamily,
    handles: Arc<RwLock<HashMap<ServiceName, Arc<ServiceMetrics>>>>,
}

/// Handle to the metrics of one service; clones share them.
#[derive(Clone, Debug)]
pub struct ServiceMetrics {
    service: ServiceName,
    /// Number of requests received from callers.
    pub requests: Counter,
    /// Number of first sub-requests, one for each shard of a request. Hedges and retries are extra
    /// load on top of it.
    pub sub_requests: Counter,
    /// Number of second attempts sent because the first was slow.
    pub hedges: Counter,
    /// Number of attempts on another replica after a failure.
    pub retries: Counter,
    /// Number of hedges and retries suppressed because the budget for extra work was exhausted.
    pub budget_spent: Counter,
    /// Number of sub-requests that this entry cancelled.
    pub cancelled: Counter,
    /// Number of running requests.
    pub running: Gauge,
    whole: Counter,
    partial: Counter,
    resent: Counter,
    latency: Histogram,
    refusals: Family<OutcomeLabel, Counter>,
    missing: Family<OutcomeLabel, Counter>,
    sub_failures: Family<OutcomeLabel, Counter>,
}

impl ServiceFamilies {
    /// Registers the families; a service appears in them once [`Self::open_service`] is called.
    pub fn register(registry: &mut Registry) -> Self {
        let families = Self {
            requests: Family::default(),
            whole: Family::default(),
            partial: Family::default(),
            resent: Family::default(),
            refusals: Family::default(),
            missing: Family::default(),
            sub_requests: Family::default(),
            hedges: Family::default(),
            retries: Family::default(),
            budget_spent: Family::default(),
            cancelled: Family::default(),
            sub_failures: Family::default(),
            running: Family::default(),
            latency: Family::new_with_constructor(latency_histogram as fn() -> Histogram),
            handles: Arc::default(),
        };
        families.register_requests(registry);
        families.register_sub_requests(registry);
        families
    }

    fn register_requests(&self, registry: &mut Registry) {
        let help = "Requests from callers";
        registry.register("requests", help, self.requests.clone());
        let help = "Answers that cover the whole snapshot";
        registry.register("answers_whole", help, self.whole.clone());
        let help = "Answers that miss shards";
        registry.register("answers_partial", help, self.partial.clone());
        let help = "Answers repeated from a recorded outcome";
        registry.register("answers_resent", help, self.resent.clone());
        let help = "Requests refused, by the rule that refused them";
        registry.register("refusals", help, self.refusals.clone());
        let help = "Shards missing from answers, by reason";
        registry.register("missing_shards", help, self.missing.clone());
        let help = "Requests that run now";
        registry.register("running_requests", help, self.running.clone());
        let help = "Seconds from a request's arrival to its answer or refusal";
        registry.register("request_seconds", help, self.latency.clone());
    }

    fn register_sub_requests(&self, registry: &mut Registry) {
        let help = "First sub-requests for a shard";
        registry.register("sub_requests", help, self.sub_requests.clone());
        let help = "Second attempts since the first was slow";
        registry.register("hedges", help, self.hedges.clone());
        let help = "Attempts on another replica after a failure";
        registry.register("retries", help, self.retries.clone());
        let help = "Hedges and retries not sent since the budget of extra work was spent";
        registry.register("budget_spent", help, self.budget_spent.clone());
        let help = "Sub-requests cancelled";
        registry.register("cancelled_sub_requests", help, self.cancelled.clone());
        let help = "Sub-requests that brought no answer, by reason";
        registry.register("sub_request_failures", help, self.sub_failures.clone());
    }

    /// Returns the metrics of `service` and creates them if necessary.
    pub fn open_service(&self, service: &ServiceName) -> Arc<ServiceMetrics> {
        if let Some(existing) = self.handles.read().get(service) {
            return Arc::clone(existing);
        }
        let mut handles = self.handles.write();
        let handle = handles
            .entry(service.clone())
            .or_insert_with(|| Arc::new(self.create_metrics(service)));
        Arc::clone(handle)
    }

    fn create_metrics(&self, service: &ServiceName) -> ServiceMetrics {
        let label = ServiceLabel {
            service: service.clone(),
        };
        ServiceMetrics {
            service: service.clone(),
            requests: self.requests.get_or_create_owned(&label),
            sub_requests: self.sub_requests.get_or_create_owned(&label),
            hedges: self.hedges.get_or_create_owned(&label),
            retries: self.retries.get_or_create_owned(&label),
            budget_spent: self.budget_spent.get_or_create_owned(&label),
            cancelled: self.cancelled.get_or_create_owned(&label),
            running: self.running.get_or_create_owned(&label),
            whole: self.whole.get_or_create_owned(&label),
            partial: self.partial.get_or_create_owned(&label),
            resent: self.resent.get_or_create_owned(&label),
            latency: self.latency.get_or_create_owned(&label),
            refusals: self.refusals.clone(),
            missing: self.missing.clone(),
            sub_failures: self.sub_failures.clone(),
        }
    }
}

impl ServiceMetrics {
    /// Counts an answer and its latency. `whole` says whether it covers all shards, `resent`
    /// whether it repeats a recorded outcome.
    pub fn record_answer(&self, whole: bool, resent: bool, elapsed: Duration) {
        if whole {
            self.whole.inc();
        } else {
            self.partial.inc();
        }
        if resent {
            self.resent.inc();
        }
        self.latency.observe(elapsed.as_secs_f64());
    }

    /// Counts a refusal and its latency.
    pub fn record_refusal(&self, code: ResultCode, elapsed: Duration) {
        self.count_code(&self.refusals, code);
        self.latency.observe(elapsed.as_secs_f64());
    }

    /// Counts a shard that is missing from an answer.
    pub fn record_missing(&self, code: ResultCode) {
        self.count_code(&self.missing, code);
    }

    /// Counts a sub-request that ended without an answer.
    pub fn record_sub_failure(&self, code: ResultCode) {
        self.count_code(&self.sub_failures, code);
    }

    fn count_code(&self, family: &Family<OutcomeLabel, Counter>, code: ResultCode) {
        let label = OutcomeLabel {
            service: self.service.clone(),
            code,
            name: code.name(),
        };
        family.get_or_create(&label).inc();
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        BUCKET_FIRST_SECONDS,
        BUCKET_FACTOR,
        BUCKET_COUNT,
    ))
}
