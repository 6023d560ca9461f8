//! Handles one request of a caller, from its route to the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};

use super::access::{RequestAccess, set_customer_headers};
use super::answer_body::lease_bytes;
use super::outcome_log::log_outcome;
use super::outgoing::OutgoingRequest;
use super::request_body::receive_caller_body;
use super::run::{RequestOutcome, run_request};
use super::state::{ActiveSite, ForwardState};
use super::wire::{encode_number, encode_result_code, header_text, strip_connection_headers};
use crate::customer::intersect_regions;
use crate::digest::digest_request;
use crate::dispatch::merge::merge_parts;
use crate::dispatch::request::{Decision, RequestPlan};
use crate::prelude::*;
use crate::shell::intake::connection::ClientConnection;
use crate::shell::intake::reply::tie_answer;
use crate::shell::line_budget::LineClass;
use crate::vocabulary::site::{RouteKind, RouteTarget, SiteRoute};

/// `Retry-After` of an entry that has not received its first configuration.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(200);
/// `Retry-After` of an entry whose lease has lapsed.
const LAPSED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` of a request that is refused by its key or its customer with status 503.
const ACCESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` of a request for whose body there is no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Statuses that promise the caller that its request was not executed.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

pub(super) type AnswerBody = Full<Bytes>;

/// Handles a request. `opened_connection` is set for the first request on its connection.
pub async fn answer_request(
    state: Arc<ForwardState>,
    client: Arc<ClientConnection>,
    request: Request<Incoming>,
    opened_connection: bool,
) -> Response<AnswerBody> {
    let _running = client.begin_request();
    let started = state.clock.now();
    let mut answer = match state.site() {
        Some(_) if !state.may_serve() => refuse(ResultCode::NoLease, Some(LAPSED_RETRY_AFTER)),
        Some(site) => {
            answer_with_site(&state, &site, &client, started, opened_connection, request).await
        }
        None => refuse(ResultCode::NoLease, Some(STARTUP_RETRY_AFTER)),
    };
    if state.leaving.is_cancelled() || client.is_port_full() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    tie_answer(&client, answer).await
}

async fn answer_with_site(
    state: &Arc<ForwardState>,
    site: &ActiveSite,
    client: &Arc<ClientConnection>,
    started: MonotonicTime,
    opened_connection: bool,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let Some(route) = find_route(site, &head).map(Arc::clone) else {
        let id = header_text(&head.headers, &state.names.request_id).unwrap_or("-");
        state.log.log_line(LineClass::Request, || {
            format!("event=route_unknown request={id} version={}", site.version)
        });
        return refuse(ResultCode::UnknownPath, None);
    };
    let access = match identify(state, site, &route, &head) {
        Ok(access) => access,
        Err(code) => return refuse_access(state, code),
    };
    let allowed_regions = match find_regions(&route, access.as_ref()) {
        Ok(regions) => regions,
        Err(code) => {
            let id = header_text(&head.headers, &state.names.request_id).unwrap_or("-");
            state.record_access_refusal(&route, id, access.as_ref(), code);
            return refuse_access(state, code);
        }
    };
    let id = header_text(&head.headers, &state.names.request_id).unwrap_or("-");
    let requested_ms = header_text(&head.headers, &state.names.deadline);
    let requested_ms = requested_ms.and_then(|text| text.trim().parse::<u64>().ok());
    let requested = requested_ms.map_or(route.timeout, Duration::from_millis);
    let time_left = requested.min(route.timeout);
    let body = match receive_caller_body(state, site, &route, id, client, body, time_left).await {
        Ok(body) => body,
        Err(ResultCode::ShuttingDown) => return state.refuse_at_stop(&route.name, id),
        Err(code) => return refuse_body(code),
    };
    let over_quota = tokio::select! {
        biased;
        over_quota = state.check_quota(&route, id, access.as_ref()) => over_quota,
        () = state.answers_due() => return state.refuse_at_stop(&route.name, id),
    };
    if let Some(retry_after) = over_quota {
        return refuse_quota(retry_after);
    }
    let mut plan = RequestPlan {
        digest: digest_request(
            &[&route.host, head.method.as_str(), path_and_query(&head.uri)],
            &body,
        ),
        route: Arc::clone(&route),
        started,
        deadline: started + time_left,
        spent: Duration::ZERO,
        margin: Duration::ZERO,
        allowed_regions,
        priority: access
            .as_ref()
            .and_then(|access| access.customer.priority)
            .unwrap_or(route.priority),
        customer: access.as_ref().map(|access| access.customer.name.clone()),
    };
    record_caller_deadline(state, &mut plan, requested_ms, opened_connection);
    if !state.accepts(&plan) {
        return state.refuse_at_stop(&route.name, id);
    }
    let outgoing = Arc::new(build_outgoing(state, site, &plan, head, body, access));
    let outcome = run_request(state, plan.clone(), Arc::clone(&outgoing)).await;
    log_outcome(state, site, &plan, &outgoing, &outcome);
    let scheduled_at = outcome.scheduled_at;
    let answer = build_answer(state, &route, outcome);
    if let Some(scheduled_at) = scheduled_at {
        let late = state.clock.now().since(scheduled_at);
        state.dispatcher.lock().callers.record_lag(late);
    }
    answer
}

/// Refuses a request by its body. What is left of the body is not read.
fn refuse_body(code: ResultCode) -> Response<AnswerBody> {
    let retry_after = (code == ResultCode::MemoryShort).then_some(MEMORY_RETRY_AFTER);
    let mut answer = refuse(code, retry_after);
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(CONNECTION, close);
    answer
}

/// Identifies the customer of a request, and counts it.
fn identify(
    state: &ForwardState,
    site: &ActiveSite,
    route: &SiteRoute,
    head: &Parts,
) -> Result<Option<RequestAccess>, ResultCode> {
    let access = state.identify_customer(site, route, &head.headers);
    match &access {
        Ok(Some(access)) => state.count_customer(site, access),
        Ok(None) => {}
        Err(code) => {
            let id = header_text(&head.headers, &state.names.request_id).unwrap_or("-");
            state.record_access_refusal(route, id, None, *code);
        }
    }
    access
}

/// Returns the regions that may process a request; empty for all regions.
fn find_regions(
    route: &SiteRoute,
    access: Option<&RequestAccess>,
) -> Result<Arc<[RegionName]>, ResultCode> {
    access.map_or_else(
        || Ok(Arc::clone(&route.allowed_regions)),
        |access| intersect_regions(&route.allowed_regions, &access.customer.allowed_regions),
    )
}

/// Refuses a request by its key or its customer.
fn refuse_access(state: &ForwardState, code: ResultCode) -> Response<AnswerBody> {
    if code != ResultCode::KeyRefused {
        return refuse(code, Some(ACCESS_RETRY_AFTER));
    }
    let mut answer = refuse(code, None);
    let scheme = HeaderValue::from_static(state.names.key_scheme);
    answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    answer
}

/// Records the caller's deadline, and sets the time that the caller has already spent and the
/// margin for the answer's return trip in the plan.
fn record_caller_deadline(
    state: &ForwardState,
    plan: &mut RequestPlan,
    requested_ms: Option<u64>,
    opened_connection: bool,
) {
    let callers = &mut state.dispatcher.lock().callers;
    if let Some(requested_ms) = requested_ms {
        let requested = Duration::from_millis(requested_ms);
        plan.spent = callers.record_deadline(&plan.route, requested, opened_connection);
    }
    plan.margin = callers.margin();
}

fn find_route<'site>(site: &'site ActiveSite, head: &Parts) -> Option<&'site Arc<SiteRoute>> {
    let host = header_text(&head.headers, &HOST).or_else(|| head.uri.host())?;
    site.routes.find_route(host, head.uri.path())
}

fn path_and_query(uri: &Uri) -> &str {
    uri.path_and_query().map_or("/", |path| path.as_str())
}

fn build_outgoing(
    state: &ForwardState,
    site: &ActiveSite,
    plan: &RequestPlan,
    head: Parts,
    body: Bytes,
    access: Option<RequestAccess>,
) -> OutgoingRequest {
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    if site.customers.is_some() {
        set_customer_headers(&state.names, &mut headers, access.as_ref());
    }
    let id = headers.remove(&state.names.request_id);
    let target = path_and_query(&head.uri);
    OutgoingRequest {
        number: state.next_number(),
        method: head.method,
        target: target
            .parse()
            .unwrap_or_else(|_error| Uri::from_static("/")),
        headers,
        body,
        id,
        kind: plan.route.kind,
        top_records: match &plan.route.target {
            RouteTarget::Gather(gather) => Some(gather.top_records),
            RouteTarget::Split(_) => None,
        },
        deadline: plan.deadline,
        access,
    }
}

fn build_answer(
    state: &ForwardState,
    route: &SiteRoute,
    outcome: RequestOutcome,
) -> Response<AnswerBody> {
    match outcome.decision {
        Decision::Answer { missing } => match &route.target {
            RouteTarget::Gather(plan) => merge_answer(state, plan.top_records, missing, &outcome),
            RouteTarget::Split(_) => {
                let attempt = outcome.accepted_attempts.first().copied();
                forward_answer(state, route, attempt, outcome)
            }
        },
        Decision::Relay { attempt } => forward_answer(state, route, Some(attempt), outcome),
        // The key was removed, or contact was lost, while the request waited.
        Decision::Refused {
            code: code @ (ResultCode::KeyRefused | ResultCode::KeysUnconfirmed),
            ..
        } => {
            state.counters.requests_unauthorised.inc();
            refuse_access(state, code)
        }
        Decision::Refused { code, retry_after } => refuse(code, Some(retry_after)),
        Decision::Unfinished { code } => {
            let status = if code == ResultCode::DeadlinePassed {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            entry_answer(status, code)
        }
    }
}

/// Returns a replica's answer unchanged. If the request is not safe to repeat, a status that
/// promises that the request was not executed is replaced, because the replica did execute the
/// request.
fn forward_answer(
    state: &ForwardState,
    route: &SiteRoute,
    attempt: Option<u64>,
    outcome: RequestOutcome,
) -> Response<AnswerBody> {
    let selected = outcome
        .answers
        .into_iter()
        .find(|(candidate, _)| Some(*candidate) == attempt);
    let Some((_, replica_answer)) = selected else {
        return entry_answer(StatusCode::BAD_GATEWAY, ResultCode::ConnectionReset);
    };
    if route.kind == RouteKind::Unsafe && NOT_EXECUTED_STATUSES.contains(&replica_answer.status) {
        return entry_answer(StatusCode::BAD_GATEWAY, ResultCode::ServerFailed);
    }
    let mut headers = replica_answer.headers;
    strip_connection_headers(&mut headers);
    headers.remove(&state.names.not_run);
    // Both concern this entry and the replica; the caller may come back at once.
    headers.remove(&state.names.leaving);
    headers.remove(&state.names.rate_limit);
    headers.remove(RETRY_AFTER);
    let mut answer = Response::new(Full::new(replica_answer.body));
    *answer.status_mut() =
        StatusCode::from_u16(replica_answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *answer.headers_mut() = headers;
    answer
}

/// Merges the answers of the shards.
fn merge_answer(
    state: &ForwardState,
    top_records: usize,
    missing: usize,
    outcome: &RequestOutcome,
) -> Response<AnswerBody> {
    let parts = || {
        outcome
            .answers
            .iter()
            .filter(|(attempt, _)| outcome.accepted_attempts.contains(attempt))
    };
    let signatures: Vec<&str> = parts()
        .filter_map(|(_, replica_answer)| {
            header_text(&replica_answer.headers, &state.names.signature)
        })
        .collect();
    let body = merge_parts(
        parts().map(|(_, replica_answer)| replica_answer.body.as_ref()),
        top_records,
    );
    let mut headers = HeaderMap::new();
    let signatures = HeaderValue::from_str(&signatures.join(", "));
    let Ok(signatures) = signatures else {
        return entry_answer(StatusCode::BAD_GATEWAY, ResultCode::AnswerDamaged);
    };
    headers.insert(state.names.part_signatures.clone(), signatures);
    let missing = encode_number(missing as u64);
    headers.insert(state.names.missing_shards.clone(), missing);
    let kind = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, kind);
    let mut answer = Response::new(Full::new(lease_bytes(&state.intake, body)));
    *answer.headers_mut() = headers;
    answer
}

fn entry_answer(status: StatusCode, code: ResultCode) -> Response<AnswerBody> {
    let mut answer = Response::new(Full::new(Bytes::from(encode_result_code(code))));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

/// Refuses a request that is beyond the quota of its customer.
fn refuse_quota(retry_after: Duration) -> Response<AnswerBody> {
    let code = ResultCode::QuotaExceeded;
    let mut answer = refuse(code, Some(retry_after));
    *answer.status_mut() = StatusCode::TOO_MANY_REQUESTS;
    answer
}

/// Builds a refusal. The request was not executed and will not be.
pub(super) fn refuse(code: ResultCode, retry_after: Option<Duration>) -> Response<AnswerBody> {
    let status = StatusCode::from_u16(code.http_status());
    let mut answer = entry_answer(status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE), code);
    if let Some(delay) = retry_after {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let seconds = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}
