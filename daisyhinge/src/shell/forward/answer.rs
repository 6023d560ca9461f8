//! Answers one request of a caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};

use super::attempt::OutgoingRequest;
use super::run::{RequestOutcome, run_request};
use super::state::{ActiveSite, ForwardState};
use super::wire::{read_text, strip_connection_headers, write_code, write_number};
use crate::dispatch::merge::merge_parts;
use crate::dispatch::request::{RequestPlan, Verdict};
use crate::metric::forward::OutcomeLabels;
use crate::prelude::*;
use crate::vocabulary::clock::span_to_micros;
use crate::vocabulary::site::{RouteKind, RouteTarget, SiteRoute};

/// When a caller may come back to an entry that knows no configuration yet.
const START_RETURN_SPAN: Duration = Duration::from_millis(200);
/// Statuses by which an answer promises that the request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

type AnswerBody = Full<Bytes>;

/// Answers a request; `opened_connection` if it is the first one of its connection.
pub async fn answer_request(
    state: Arc<ForwardState>,
    request: Request<Incoming>,
    opened_connection: bool,
) -> Response<AnswerBody> {
    let started = state.clock.now();
    let mut answer = match state.site() {
        Some(site) => answer_known(&state, &site, started, opened_connection, request).await,
        None => refuse(ResultCode::NoLease, Some(START_RETURN_SPAN)),
    };
    if state.leaving.is_cancelled() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

async fn answer_known(
    state: &Arc<ForwardState>,
    site: &ActiveSite,
    started: MonotonicTime,
    opened_connection: bool,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let Some(route) = find_route(site, &head).map(Arc::clone) else {
        let id = read_text(&head.headers, &state.names.request_id).unwrap_or("-");
        state.log.note_request(true, || {
            format!("event=route_unknown request={id} version={}", site.version)
        });
        return refuse(ResultCode::UnknownPath, None);
    };
    let limit = site.limits.body_max_bytes;
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return refuse(ResultCode::BodyTooLarge, None);
        }
        Err(_error) => return refuse(ResultCode::MalformedRequest, None),
    };
    let asked_ms = read_text(&head.headers, &state.names.deadline);
    let asked_ms = asked_ms.and_then(|text| text.trim().parse::<u64>().ok());
    let asked = asked_ms.map_or(route.timeout, Duration::from_millis);
    let plan = RequestPlan {
        route: Arc::clone(&route),
        started,
        ends: started + asked.min(route.timeout),
        opened_connection,
    };
    let outgoing = Arc::new(build_outgoing(state, &plan, head, body));
    let outcome = run_request(state, plan, Arc::clone(&outgoing)).await;
    note_outcome(state, site, &route, started, &outgoing, &outcome);
    build_answer(state, &route, outcome)
}

fn find_route<'site>(site: &'site ActiveSite, head: &Parts) -> Option<&'site Arc<SiteRoute>> {
    let host = read_text(&head.headers, &HOST).or_else(|| head.uri.host())?;
    site.routes.find_route(host, head.uri.path())
}

fn build_outgoing(
    state: &ForwardState,
    plan: &RequestPlan,
    head: Parts,
    body: Bytes,
) -> OutgoingRequest {
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    let id = headers.remove(&state.names.request_id);
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
    OutgoingRequest {
        method: head.method,
        target: target
            .parse()
            .unwrap_or_else(|_error| Uri::from_static("/")),
        headers,
        body,
        id,
        kind: plan.route.kind,
        gathers: matches!(plan.route.target, RouteTarget::Gather(_)),
        ends: plan.ends,
    }
}

fn build_answer(
    state: &ForwardState,
    route: &SiteRoute,
    outcome: RequestOutcome,
) -> Response<AnswerBody> {
    match outcome.verdict {
        Verdict::Answer { missing } => match &route.target {
            RouteTarget::Gather(plan) => merge_answer(state, plan.top_records, missing, &outcome),
            RouteTarget::Split(_) => {
                let attempt = outcome.standing.first().copied();
                relay_answer(state, route, attempt, outcome)
            }
        },
        Verdict::Relay { attempt } => relay_answer(state, route, Some(attempt), outcome),
        Verdict::Refused { code, return_after } => refuse(code, Some(return_after)),
        Verdict::Unfinished { code } => {
            let status = if code == ResultCode::DeadlinePassed {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            own_answer(status, code)
        }
    }
}

/// A replica's answer, unchanged. A status by which an entry would promise that the request has
/// not run is not passed on for one that may not be repeated, since the replica has run it.
fn relay_answer(
    state: &ForwardState,
    route: &SiteRoute,
    attempt: Option<u64>,
    outcome: RequestOutcome,
) -> Response<AnswerBody> {
    let found = outcome
        .answers
        .into_iter()
        .find(|(held, _)| Some(*held) == attempt);
    let Some((_, whole)) = found else {
        return own_answer(StatusCode::BAD_GATEWAY, ResultCode::ConnectionReset);
    };
    if route.kind == RouteKind::Unsafe && PROMISES.contains(&whole.status) {
        return own_answer(StatusCode::BAD_GATEWAY, ResultCode::ServerFailed);
    }
    let mut headers = whole.headers;
    strip_connection_headers(&mut headers);
    headers.remove(&state.names.not_run);
    let mut answer = Response::new(Full::new(whole.body));
    *answer.status_mut() =
        StatusCode::from_u16(whole.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *answer.headers_mut() = headers;
    answer
}

/// The merged answer of shards.
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
            .filter(|(attempt, _)| outcome.standing.contains(attempt))
    };
    let signatures: Vec<&str> = parts()
        .filter_map(|(_, whole)| read_text(&whole.headers, &state.names.signature))
        .collect();
    let body = merge_parts(parts().map(|(_, whole)| whole.body.as_ref()), top_records);
    let mut headers = HeaderMap::new();
    let signatures = HeaderValue::from_str(&signatures.join(", "));
    let Ok(signatures) = signatures else {
        return own_answer(StatusCode::BAD_GATEWAY, ResultCode::AnswerDamaged);
    };
    headers.insert(state.names.part_signatures.clone(), signatures);
    let missing = write_number(missing as u64);
    headers.insert(state.names.missing_shards.clone(), missing);
    let kind = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, kind);
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.headers_mut() = headers;
    answer
}

fn own_answer(status: StatusCode, code: ResultCode) -> Response<AnswerBody> {
    let mut answer = Response::new(Full::new(Bytes::from(write_code(code))));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

/// A refusal: the request has not run and never will.
fn refuse(code: ResultCode, return_after: Option<Duration>) -> Response<AnswerBody> {
    let status = StatusCode::from_u16(code.http_status());
    let mut answer = own_answer(status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE), code);
    if let Some(span) = return_after {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let seconds = format!("{:.3}", span.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}

fn note_outcome(
    state: &ForwardState,
    site: &ActiveSite,
    route: &SiteRoute,
    started: MonotonicTime,
    request: &OutgoingRequest,
    outcome: &RequestOutcome,
) {
    let took = state.clock.now().since(started);
    let name = match outcome.verdict {
        Verdict::Answer { missing: 0 } => "answered".to_owned(),
        Verdict::Answer { .. } => "partial".to_owned(),
        Verdict::Relay { .. } => "relayed".to_owned(),
        Verdict::Refused { code, .. } | Verdict::Unfinished { code } => code.number().to_string(),
    };
    let labels = OutcomeLabels {
        route: route.name.to_string(),
        outcome: name.clone(),
    };
    state.counters.requests.get_or_create(&labels).inc();
    state.counters.latency.observe(took.as_secs_f64());
    let repeated = outcome.sent as usize > outcome.targets;
    let notable = name != "answered" || took > route.objective;
    state.log.note_request(notable, || {
        let id = request.id.as_ref().and_then(|id| id.to_str().ok());
        let missing: Vec<&str> = outcome.missing.iter().map(ServiceName::as_str).collect();
        format!(
            "event=request_ended request={} route={} version={} outcome={name} took_us={} \
             targets={} sent={} repeated={repeated} missing={}",
            id.unwrap_or("-"),
            route.name,
            site.version,
            span_to_micros(took),
            outcome.targets,
            outcome.sent,
            missing.join(",")
        )
    });
}
