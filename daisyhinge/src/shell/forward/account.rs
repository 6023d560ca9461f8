//! Accounts for a request in the log and the counters, once it is over.

use super::outgoing::OutgoingRequest;
use super::run::{RequestOutcome, name_end};
use super::state::{ActiveSite, ForwardState};
use crate::dispatch::request::{AttemptRecord, Decision, RequestPlan, TargetRecord};
use crate::metric::forward::OutcomeLabels;
use crate::prelude::*;
use crate::vocabulary::clock::duration_to_micros;

/// Targets of one request that get a line at most.
const TARGET_LINES_MAX: usize = 6;

/// Notes how a request ended, and of one that did not go as it should, why.
pub(super) fn note_outcome(
    state: &ForwardState,
    site: &ActiveSite,
    plan: &RequestPlan,
    request: &OutgoingRequest,
    outcome: &RequestOutcome,
) {
    let route = &plan.route;
    let took = state.clock.now().since(plan.started);
    let name = match outcome.verdict {
        Decision::Answer { missing: 0 } => "answered".to_owned(),
        Decision::Answer { .. } => "partial".to_owned(),
        Decision::Relay { .. } => "relayed".to_owned(),
        Decision::Refused { code, .. } | Decision::Unfinished { code } => code.number().to_string(),
    };
    let labels = OutcomeLabels {
        route: route.name.to_string(),
        outcome: name.clone(),
    };
    state.counters.requests.get_or_create(&labels).inc();
    state.counters.latency.observe(took.as_secs_f64());
    let repeated = outcome.sent as usize > outcome.targets;
    let notable = name != "answered" || took > route.objective;
    let id = request.id.as_ref().and_then(|id| id.to_str().ok());
    let id = id.unwrap_or("-");
    state.log.note_request(notable, || {
        let missing: Vec<&str> = outcome.missing.iter().map(ServiceName::as_str).collect();
        format!(
            "event=request_ended request={} route={} version={} outcome={name} took_us={} \
             spent_us={} margin_us={} targets={} sent={} repeated={repeated} missing={}",
            id,
            route.name,
            site.version,
            duration_to_micros(took),
            duration_to_micros(plan.spent),
            duration_to_micros(plan.margin),
            outcome.targets,
            outcome.sent,
            missing.join(",")
        )
    });
    if notable {
        note_targets(state, plan, id, &outcome.accounts);
    }
}

/// The targets that were missing, and those that took more than one attempt.
fn note_targets(state: &ForwardState, plan: &RequestPlan, id: &str, accounts: &[TargetRecord]) {
    let mut accounts: Vec<&TargetRecord> = accounts.iter().collect();
    accounts.sort_by_key(|account| account.answered);
    for account in accounts.into_iter().take(TARGET_LINES_MAX) {
        state.log.note_request(true, || {
            let attempts = account.attempts.iter();
            let attempts: Vec<String> = attempts
                .map(|attempt| write_attempt(state, plan, attempt))
                .collect();
            let denied = account.denied.map_or("-".to_owned(), |at| {
                duration_to_micros(at.since(plan.started)).to_string()
            });
            let reason = account.reason.map_or(0, ResultCode::number);
            format!(
                "event=target_ended request={id} service={} answered={} code={reason} \
                 denied_us={denied} attempts={}",
                account.service,
                account.answered,
                attempts.join(";")
            )
        });
    }
}

/// Replica, when it was sent, what was expected, idle connections, how it ended and when.
fn write_attempt(state: &ForwardState, plan: &RequestPlan, attempt: &AttemptRecord) -> String {
    let since = |at: MonotonicTime| duration_to_micros(at.since(plan.started));
    let dispatcher = state.dispatcher.lock();
    let known = dispatcher.fleet.replica(attempt.replica);
    let name = known.map_or("gone", |known| known.record.name.as_str());
    let (end, ended) = match attempt.end {
        Some((end, at)) => (name_end(end), since(at).to_string()),
        None => ("running", "-".to_owned()),
    };
    format!(
        "{name},{},{},{},{end},{ended}",
        since(attempt.sent),
        duration_to_micros(attempt.expected),
        attempt.idle
    )
}
