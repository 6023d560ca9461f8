//! Metrics of an entry, and events for the start and end of requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::metric::label::ReplicaLabel;
use crate::metric::{ReplicaMetrics, ServiceMetrics};
use crate::prelude::*;
use crate::shell::entry::keeper::table_delta;
use crate::shell::entry::search_driver::{QueryResult, run_query};
use crate::shell::entry::state::EntryState;
use crate::vocabulary::answer::QueryAnswer;
use crate::vocabulary::environment::PPM_SCALE;
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::freshness::LEASE_DURATION;
use crate::vocabulary::query::CallerQuery;
use crate::vocabulary::replica::{ReplicaRecord, TableRequest};

/// Interval at which gauges are refreshed.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a caller's request, updates the metrics and records events for its start and end.
///
/// # Errors
///
/// Those of [`run_query`].
pub async fn run_instrumented(state: &Arc<EntryState>, query: CallerQuery) -> QueryResult {
    let arrived = EventDraft::new(EventKind::RequestArrived).with_request(&query.request);
    state.record_event(arrived);
    let mut meter = RequestMeter::open(state, &query);
    let result = run_query(state, query).await;
    meter.finish(&result);
    result
}

/// Metrics of a running request. A request that is dropped before its end is recorded as abandoned
/// by its caller.
#[derive(Debug)]
struct RequestMeter {
    state: Arc<EntryState>,
    request: RequestId,
    /// `None` for an unknown service: names sent by callers must not become metric labels.
    metrics: Option<Arc<ServiceMetrics>>,
    started: MonotonicTime,
    ended: bool,
}

impl RequestMeter {
    fn open(state: &Arc<EntryState>, query: &CallerQuery) -> Self {
        let is_known = state
            .document()
            .is_some_and(|document| document.find_service(&query.service).is_some());
        let metrics = is_known.then(|| state.metrics.open_service(&query.service));
        if let Some(metrics) = &metrics {
            metrics.requests.inc();
            metrics.running.inc();
        }
        Self {
            state: Arc::clone(state),
            request: query.request.clone(),
            metrics,
            started: state.now(),
            ended: false,
        }
    }

    fn finish(&mut self, result: &QueryResult) {
        match result {
            Ok(answer) => self.end_answer(answer),
            Err(refusal) => self.end_refusal(refusal.code),
        }
    }

    fn end_answer(&mut self, answer: &QueryAnswer) {
        self.ended = true;
        let elapsed = self.state.now().since(self.started);
        let is_complete = answer.missing.is_empty();
        if let Some(metrics) = &self.metrics {
            metrics.record_answer(is_complete, answer.resent, elapsed);
            for missing_shard in &answer.missing {
                metrics.record_missing(missing_shard.code);
            }
        }
        let draft = EventDraft::new(EventKind::RequestAnswered)
            .with_request(&self.request)
            .with_value(coverage_ppm(answer));
        self.state.record_event(draft);
    }

    fn end_refusal(&mut self, code: ResultCode) {
        self.ended = true;
        let elapsed = self.state.now().since(self.started);
        match &self.metrics {
            Some(metrics) => metrics.record_refusal(code, elapsed),
            None => self.state.metrics.record_front_refusal(code),
        }
        let draft = EventDraft::new(EventKind::RequestRefused)
            .with_request(&self.request)
            .with_code(code);
        self.state.record_event(draft);
    }
}

impl Drop for RequestMeter {
    fn drop(&mut self) {
        if !self.ended {
            self.end_refusal(ResultCode::CallerGone);
        }
        if let Some(metrics) = &self.metrics {
            metrics.running.dec();
        }
    }
}

/// Coverage of an answer in parts per million, rounded down so that only a complete answer reaches
/// 100%.
fn coverage_ppm(answer: &QueryAnswer) -> u64 {
    let total_weight = u128::from(answer.whole_weight.max(1));
    let ppm = u128::from(answer.answered_weight) * u128::from(PPM_SCALE) / total_weight;
    u64::try_from(ppm).unwrap_or(u64::MAX)
}

/// Refreshes the gauges until the process stops.
pub async fn refresh_gauges(state: Arc<EntryState>) {
    let mut exported = HashMap::new();
    loop {
        refresh_entry_gauges(&state);
        refresh_replica_gauges(&state, &mut exported);
        tokio::time::sleep(GAUGE_INTERVAL).await;
    }
}

fn refresh_entry_gauges(state: &EntryState) {
    let now = state.now();
    let lease = state.lease();
    // The age and the remaining time of the lease add up to `LEASE_DURATION`.
    let age = if lease.holds(now) {
        LEASE_DURATION.saturating_sub(lease.expires_at().since(now))
    } else {
        LEASE_DURATION.saturating_add(now.since(lease.expires_at()))
    };
    let metrics = &state.metrics;
    metrics.set_lease(lease.holds(now), age, lease.version());
    let connections = state.keepers.lock().connection_count();
    metrics.server_connections.set(connections.into());
    state.callers.intake().update_gauges();
}

fn refresh_replica_gauges(
    state: &EntryState,
    exported: &mut HashMap<ReplicaLabel, ReplicaMetrics>,
) {
    let full_table = TableRequest {
        table: 0,
        cursor: 0,
    };
    let records = table_delta(state, full_table).records;
    let labels: HashMap<ReplicaLabel, &ReplicaRecord> = records
        .iter()
        .map(|record| (replica_label(record), record))
        .collect();
    exported.retain(|label, _| {
        let is_kept = labels.contains_key(label);
        if !is_kept {
            state.metrics.remove_replica(label);
        }
        is_kept
    });
    let count = i64::try_from(labels.len()).unwrap_or(i64::MAX);
    state.metrics.kept_replicas.set(count);
    for (label, record) in labels {
        let metrics = exported
            .entry(label)
            .or_insert_with_key(|label| state.metrics.open_replica(label));
        metrics.set_load(record.load, record.state);
    }
}

fn replica_label(record: &ReplicaRecord) -> ReplicaLabel {
    ReplicaLabel {
        replica: record.replica.clone(),
        service: record.service.clone(),
        data_centre: record.data_centre.clone(),
    }
}
