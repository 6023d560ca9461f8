//! Counts an entry's work and notes where requests begin and end.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::metric::label::ReplicaLabel;
use crate::metric::{ReplicaMetrics, ServiceMetrics};
use crate::prelude::*;
use crate::shell::entry::driving::{QueryResult, run_query};
use crate::shell::entry::keeping::table_delta;
use crate::shell::entry::state::EntryState;
use crate::vocabulary::answer::QueryAnswer;
use crate::vocabulary::environment::PPM_SCALE;
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::freshness::LEASE_DURATION;
use crate::vocabulary::query::CallerQuery;
use crate::vocabulary::replica::{ReplicaRecord, TableRequest};

/// How often gauges follow the state.
const REFRESH_PERIOD: Duration = Duration::from_secs(1);

/// Runs a caller's request, counts it and notes its begin and end.
///
/// # Errors
///
/// Those of [`run_query`].
pub async fn run_counted(state: &Arc<EntryState>, query: CallerQuery) -> QueryResult {
    let arrived = EventDraft::new(EventKind::RequestArrived).with_request(&query.request);
    state.note(arrived);
    let mut meter = RequestMeter::open(state, &query);
    let result = run_query(state, query).await;
    meter.finish(&result);
    result
}

/// One request while it runs. Dropped before its end, it counts as given up by its caller.
#[derive(Debug)]
struct RequestMeter {
    state: Arc<EntryState>,
    request: RequestId,
    /// Unset if the service is not known: what callers send must not make labels.
    metrics: Option<Arc<ServiceMetrics>>,
    started: MonotonicTime,
    ended: bool,
}

impl RequestMeter {
    fn open(state: &Arc<EntryState>, query: &CallerQuery) -> Self {
        let known = state
            .document()
            .is_some_and(|document| document.find_service(&query.service).is_some());
        let metrics = known.then(|| state.metrics.open_service(&query.service));
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
        let span = self.state.now().since(self.started);
        let whole = answer.missing.is_empty();
        if let Some(metrics) = &self.metrics {
            metrics.record_answer(whole, answer.resent, span);
            for row in &answer.missing {
                metrics.record_missing(row.code);
            }
        }
        let draft = EventDraft::new(EventKind::RequestAnswered)
            .with_request(&self.request)
            .with_value(coverage_ppm(answer));
        self.state.note(draft);
    }

    fn end_refusal(&mut self, code: ResultCode) {
        self.ended = true;
        let span = self.state.now().since(self.started);
        match &self.metrics {
            Some(metrics) => metrics.record_refusal(code, span),
            None => self.state.metrics.record_front_refusal(code),
        }
        let draft = EventDraft::new(EventKind::RequestRefused)
            .with_request(&self.request)
            .with_code(code);
        self.state.note(draft);
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

/// Coverage of an answer in parts per million, rounded down so that only a whole one has all.
fn coverage_ppm(answer: &QueryAnswer) -> u64 {
    let whole = u128::from(answer.whole_weight.max(1));
    let ppm = u128::from(answer.answered_weight) * u128::from(PPM_SCALE) / whole;
    u64::try_from(ppm).unwrap_or(u64::MAX)
}

/// Lets gauges follow the state until the process stops.
pub async fn follow_state(state: Arc<EntryState>) {
    let mut shown = HashMap::new();
    loop {
        show_entry(&state);
        show_replicas(&state, &mut shown);
        tokio::time::sleep(REFRESH_PERIOD).await;
    }
}

fn show_entry(state: &EntryState) {
    let now = state.now();
    let lease = state.lease();
    // What is left of the lease and its age make up its span.
    let age = if lease.holds(now) {
        LEASE_DURATION.saturating_sub(lease.ends().since(now))
    } else {
        LEASE_DURATION.saturating_add(now.since(lease.ends()))
    };
    let metrics = &state.metrics;
    metrics.show_lease(lease.holds(now), age, lease.version());
    let connections = state.keeping.lock().connection_count();
    metrics.server_connections.set(connections.into());
}

fn show_replicas(state: &EntryState, shown: &mut HashMap<ReplicaLabel, ReplicaMetrics>) {
    let whole = TableRequest {
        table: 0,
        cursor: 0,
    };
    let records = table_delta(state, whole).records;
    let labels: HashMap<ReplicaLabel, &ReplicaRecord> = records
        .iter()
        .map(|record| (make_label(record), record))
        .collect();
    shown.retain(|label, _| {
        let kept = labels.contains_key(label);
        if !kept {
            state.metrics.remove_replica(label);
        }
        kept
    });
    let count = i64::try_from(labels.len()).unwrap_or(i64::MAX);
    state.metrics.kept_replicas.set(count);
    for (label, record) in labels {
        let metrics = shown
            .entry(label)
            .or_insert_with_key(|label| state.metrics.open_replica(label));
        metrics.show_load(record.load, record.state);
    }
}

fn make_label(record: &ReplicaRecord) -> ReplicaLabel {
    ReplicaLabel {
        replica: record.replica.clone(),
        service: record.service.clone(),
        data_centre: record.data_centre.clone(),
    }
}
