//! Records the outcome of finished requests in the log and the metrics.

use std::time::Duration;

use super::drop_reason::DropReason;
use super::outgoing::OutgoingRequest;
use super::run::{RequestOutcome, end_label};
use super::state::{ActiveSite, ForwardState};
use crate::dispatch::request::{AttemptRecord, Decision, RequestPlan, TargetRecord};
use crate::metric::forward::{AdmissionLabels, DropLabels, RouteOutcomeLabels};
use crate::prelude::*;
use crate::shell::line_budget::LineClass;
use crate::vocabulary::clock::duration_to_micros;

/// Maximum number of targets of one request that are logged.
const TARGET_LINES_MAX: usize = 6;

/// Logs and counts the outcome of a request. A request that was slow, incomplete or refused also
/// gets lines about its targets.
pub(super) fn log_outcome(
    state: &ForwardState,
    site: &ActiveSite,
    plan: &RequestPlan,
    request: &OutgoingRequest,
    outcome: &RequestOutcome,
) {
    let route = &plan.route;
    let took = state.clock.now().since(plan.started);
    let name = match outcome.decision {
        Decision::Answer { missing: 0 } => "answered".to_owned(),
        Decision::Answer { .. } => "partial".to_owned(),
        Decision::Relay { .. } => "relayed".to_owned(),
        Decision::Refused { code, .. } | Decision::Unfinished { code } => code.number().to_string(),
    };
    let labels = RouteOutcomeLabels {
        route: route.name.to_string(),
        outcome: name.clone(),
    };
    state.counters.requests.get_or_create(&labels).inc();
    state.counters.latency.observe(took.as_secs_f64());
    let repeated = outcome.sent as usize > outcome.targets;
    let notable = name != "answered" || took > route.objective;
    let id = request.id.as_ref().and_then(|id| id.to_str().ok());
    let id = id.unwrap_or("-");
    let class = if notable {
        LineClass::Request
    } else {
        LineClass::Ordinary
    };
    state.log.log_line(class, || {
        let customer = request.access.as_ref();
        let customer = customer.map_or("-", |access| access.customer.name.as_str());
        let missing: Vec<&str> = outcome.missing.iter().map(ServiceName::as_str).collect();
        format!(
            "event=request_ended request={} digest={:016x} route={} version={} customer={} priority={} \
             outcome={name} took_us={} spent_us={} margin_us={} targets={} sent={} repeated={repeated} missing={}",
            id,
            plan.digest.0,
            route.name,
            site.version,
            customer,
            plan.priority,
            duration_to_micros(took),
            duration_to_micros(plan.spent),
            duration_to_micros(plan.margin),
            outcome.targets,
            outcome.sent,
            missing.join(",")
        )
    });
    log_admission(state, plan, request, outcome);
    if notable {
        log_targets(state, plan, id, &outcome.target_records);
    }
}

/// Counts a request that waited for admission or was refused by it, and logs the refusal.
fn log_admission(
    state: &ForwardState,
    plan: &RequestPlan,
    request: &OutgoingRequest,
    outcome: &RequestOutcome,
) {
    let waited = outcome.admission.waited;
    if let Some(waited) = waited {
        state.counters.admission_wait.observe(waited.as_secs_f64());
    }
    let Some(reason) = outcome.admission.refusal else {
        return;
    };
    let labels = AdmissionLabels {
        reason: reason.name().to_owned(),
        priority: plan.priority,
    };
    let refusals = &state.counters.admission_refusals;
    refusals.get_or_create(&labels).inc();
    state.log.log_line(LineClass::Request, || {
        let id = request.id.as_ref().and_then(|id| id.to_str().ok());
        let customer = request.access.as_ref();
        let retry_after = match outcome.decision {
            Decision::Refused { retry_after, .. } => retry_after,
            _ => Duration::ZERO,
        };
        format!(
            "event=admission_refused request={} route={} customer={} priority={} reason={} waited_us={} \
             retry_after_ms={} queued={}",
            id.unwrap_or("-"),
            plan.route.name,
            customer.map_or("-", |access| access.customer.name.as_str()),
            plan.priority,
            reason.name(),
            waited.map_or(0, duration_to_micros),
            retry_after.as_millis(),
            state.counters.admission_queued.get()
        )
    });
}

impl ForwardState {
    /// Logs and counts an answer that was dropped, whose request may have run.
    pub(super) fn record_dropped_answer(
        &self,
        request: &OutgoingRequest,
        replica: &ReplicaName,
        reason: DropReason,
    ) {
        let reason = reason.name();
        let labels = DropLabels {
            reason: reason.to_owned(),
        };
        self.counters.answers_dropped.get_or_create(&labels).inc();
        let id = request.id.as_ref().and_then(|id| id.to_str().ok());
        let id = id.unwrap_or("-");
        self.log.log_line(LineClass::Request, || {
            format!("event=answer_dropped request={id} replica={replica} reason={reason}")
        });
    }
}

/// Logs the targets without an answer and those that took more than one attempt.
fn log_targets(
    state: &ForwardState,
    plan: &RequestPlan,
    id: &str,
    target_records: &[TargetRecord],
) {
    let mut target_records: Vec<&TargetRecord> = target_records.iter().collect();
    target_records.sort_by_key(|target| target.answered);
    for target in target_records.into_iter().take(TARGET_LINES_MAX) {
        state.log.log_line(LineClass::Request, || {
            let attempts = target.attempts.iter();
            let attempts: Vec<String> = attempts
                .map(|attempt| format_attempt(state, plan, attempt))
                .collect();
            let denied = target.denied.map_or("-".to_owned(), |at| {
                duration_to_micros(at.since(plan.started)).to_string()
            });
            let reason = target.reason.map_or(0, ResultCode::number);
            format!(
                "event=target_ended request={id} service={} answered={} code={reason} \
                 denied_us={denied} attempts={}",
                target.service,
                target.answered,
                attempts.join(";")
            )
        });
    }
}

/// Formats an attempt as replica name, send time, expected duration, idle connections, end and end
/// time, separated by commas. Times are microseconds since the request started.
fn format_attempt(state: &ForwardState, plan: &RequestPlan, attempt: &AttemptRecord) -> String {
    let since = |at: MonotonicTime| duration_to_micros(at.since(plan.started));
    let dispatcher = state.dispatcher.lock();
    let known = dispatcher.fleet.replica(attempt.replica);
    let name = known.map_or("gone", |known| known.record.name.as_str());
    let (end, ended) = match attempt.end {
        Some((end, at)) => (end_label(end), since(at).to_string()),
        None => ("running", "-".to_owned()),
    };
    format!(
        "{name},{},{},{},{end},{ended}",
        since(attempt.sent),
        duration_to_micros(attempt.expected),
        attempt.idle
    )
}
