//! HTTP calls to backend servers. Every answer is validated before it is accepted.

use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use crate::intake::held_memory::grow_capacity;
use crate::keeper::sub_request::DispatchOutcome;
use crate::prelude::*;
use crate::shell::body::{CheckedBody, WriteCheck};
use crate::shell::header;
use crate::shell::piece_limit::PieceLimit;
use crate::shell::pool::{PoolError, ServerConnection, ServerPool};
use crate::vocabulary::subrequest::SubRequest;

/// Timeout of a cancel call.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the answer to a cancel call, whose content is not used.
const CANCEL_MAX_BYTES: usize = 4 << 10;

/// Outcome of a call to a backend server and its answer, if any.
#[derive(Clone, Debug)]
pub struct BackendReply {
    /// How the dispatch ended, as reported to the keeper of the replica.
    pub outcome: DispatchOutcome,
    /// Validated payload; `None` unless the outcome is [`DispatchOutcome::Answered`].
    pub body: Option<Bytes>,
}

impl From<DispatchOutcome> for BackendReply {
    fn from(outcome: DispatchOutcome) -> Self {
        Self {
            outcome,
            body: None,
        }
    }
}

/// Sends a sub-request and reads the answer within `remaining`. `dispatch_check` is called
/// immediately before the request is written: it returns the time left until expiry, or `None` if
/// the request must not be sent.
pub async fn send_subrequest(
    pool: &ServerPool,
    sub_request: &SubRequest,
    remaining: Duration,
    max_bytes: usize,
    dispatch_check: impl Fn() -> Option<Duration> + Clone + Send + Sync + 'static,
) -> BackendReply {
    let started = tokio::time::Instant::now();
    let exchange = exchange_subrequest(pool, sub_request, max_bytes, dispatch_check);
    let mut reply = match tokio::time::timeout(remaining, exchange).await {
        Ok(reply) => reply,
        Err(_elapsed) => DispatchOutcome::Expired.into(),
    };
    if let DispatchOutcome::Answered { took } = &mut reply.outcome {
        *took = started.elapsed();
    }
    reply
}

async fn exchange_subrequest(
    pool: &ServerPool,
    sub_request: &SubRequest,
    max_bytes: usize,
    dispatch_check: impl Fn() -> Option<Duration> + Clone + Send + Sync + 'static,
) -> BackendReply {
    // The server may have closed an idle connection. hyper then returns the request unsent, so a
    // retry on a new connection is safe even for a request that must not run twice.
    for _ in 0..2 {
        let idle = pool.take_idle();
        let is_new = idle.is_none();
        let connection = match idle {
            Some(connection) => Ok(connection),
            None => pool.connect().await,
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(PoolError::Full) => return DispatchOutcome::NotSent.into(),
            Err(PoolError::ConnectFailed) => return DispatchOutcome::ConnectFailed.into(),
        };
        // Runs the check again when the connection writes the request.
        let recheck = dispatch_check.clone();
        let check = move || recheck().is_some();
        let request = dispatch_check()
            .and_then(|remaining| build_subrequest(pool, sub_request, remaining, Box::new(check)));
        let Some(request) = request else {
            connection.release();
            return DispatchOutcome::NotSent.into();
        };
        match connection.sender.try_send_request(request).await {
            Ok(response) => return read_answer(connection, sub_request, response, max_bytes).await,
            // The check failed while the connection was writing the request. Nothing was flushed,
            // but the outcome is reported as unknown and the slot stays occupied, as for any work
            // whose end is not known.
            Err(err) if err.message().is_none() && err.error().is_user() => {
                return DispatchOutcome::Expired.into();
            }
            Err(err) if err.message().is_none() => return DispatchOutcome::Reset.into(),
            Err(_) if is_new => return DispatchOutcome::ConnectFailed.into(),
            Err(_) => {}
        }
    }
    DispatchOutcome::ConnectFailed.into()
}

fn build_subrequest(
    pool: &ServerPool,
    sub_request: &SubRequest,
    remaining: Duration,
    check: WriteCheck,
) -> Option<Request<CheckedBody>> {
    Request::builder()
        .method(Method::POST)
        .uri("/v1/sub-request")
        .header(HOST, pool.address().to_string())
        .header(header::REQUEST, sub_request.request.as_str())
        .header(header::ATTEMPT, sub_request.attempt.to_string())
        .header(header::SERVICE, sub_request.service.as_str())
        .header(header::REPLICA, sub_request.replica.as_str())
        .header(header::SHARD, sub_request.shard.0)
        .header(header::SNAPSHOT, sub_request.snapshot.0)
        .header(header::DEADLINE_US, sub_request.expires_us)
        .header(
            header::EXPIRES_US,
            u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
        )
        .header(header::REPEATABLE, sub_request.repeatable.to_string())
        .body(CheckedBody::new(sub_request.body.clone(), check))
        .ok()
}

async fn read_answer(
    connection: ServerConnection,
    sub_request: &SubRequest,
    response: Response<Incoming>,
    max_bytes: usize,
) -> BackendReply {
    let (parts, body) = response.into_parts();
    if !header::is_final_status(parts.status.as_u16()) {
        return DispatchOutcome::BadAnswer(ResultCode::AnswerDamaged).into();
    }
    let body = match read_body(body, max_bytes).await {
        Some(body) => body,
        None if parts.status == StatusCode::OK => {
            return DispatchOutcome::BadAnswer(ResultCode::AnswerDamaged).into();
        }
        None => return DispatchOutcome::Reset.into(),
    };
    if parts.status != StatusCode::OK {
        connection.release();
        return refusal_outcome(parts.status, &parts.headers).into();
    }
    if let Some(code) = find_answer_error(sub_request, &parts.headers, &body) {
        return DispatchOutcome::BadAnswer(code).into();
    }
    connection.release();
    BackendReply {
        outcome: DispatchOutcome::Answered {
            took: Duration::ZERO,
        },
        body: Some(body),
    }
}

fn refusal_outcome(status: StatusCode, headers: &HeaderMap) -> DispatchOutcome {
    let shed = headers
        .get(header::SHED)
        .is_some_and(|value| value == "true");
    match status {
        StatusCode::SERVICE_UNAVAILABLE if shed => {
            let retry_ms = header::parse_number(headers, header::RETRY_MS).unwrap_or(0);
            DispatchOutcome::Shed {
                retry: Duration::from_millis(retry_ms),
            }
        }
        StatusCode::CONFLICT => DispatchOutcome::NotHeld,
        StatusCode::GATEWAY_TIMEOUT => DispatchOutcome::Expired,
        _ => DispatchOutcome::Failed,
    }
}

/// Returns the result code of an answer that is damaged or belongs to another sub-request.
pub fn find_answer_error(
    sub_request: &SubRequest,
    headers: &HeaderMap,
    body: &[u8],
) -> Option<ResultCode> {
    let header_equals = |name: &str, expected: &dyn Display| {
        headers
            .get(name)
            .is_some_and(|value| value.as_bytes() == expected.to_string().as_bytes())
    };
    let matches = header_equals(header::REQUEST, &sub_request.request)
        && header_equals(header::ATTEMPT, &sub_request.attempt)
        && header_equals(header::SHARD, &sub_request.shard)
        && header_equals(header::SNAPSHOT, &sub_request.snapshot);
    if !matches {
        return Some(ResultCode::AnswerMismatch);
    }
    let checksum = format!("{:08x}", crc32fast::hash(body));
    let is_intact =
        header_equals(header::LENGTH, &body.len()) && header_equals(header::CHECKSUM, &checksum);
    let json = || serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok();
    (!is_intact || !json()).then_some(ResultCode::AnswerDamaged)
}

/// Reads a body, copied from the pieces in which it comes: a piece keeps the buffer into which it was
/// read, however small it is. Returns `None` if it ends early, has more than `max_bytes`, or comes in
/// pieces that are too small.
async fn read_body(mut body: Incoming, max_bytes: usize) -> Option<Bytes> {
    let mut content = Vec::new();
    let mut pieces = PieceLimit::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let needed = content.len() + data.len();
        if needed > max_bytes || !pieces.add(data.len()) {
            return None;
        }
        let capacity = grow_capacity(content.capacity(), needed, max_bytes);
        content.reserve_exact(capacity - content.len());
        content.extend_from_slice(data);
    }
    Some(content.into())
}

/// Asks the backend server to cancel an attempt. Returns whether the work has definitely stopped.
pub async fn send_cancel(pool: &ServerPool, attempt: AttemptId) -> bool {
    tokio::time::timeout(CANCEL_TIMEOUT, exchange_cancel(pool, attempt))
        .await
        .unwrap_or(false)
}

async fn exchange_cancel(pool: &ServerPool, attempt: AttemptId) -> bool {
    let connection = match pool.take_idle() {
        Some(connection) => Ok(connection),
        None => pool.connect().await,
    };
    let Ok(mut connection) = connection else {
        return false;
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/cancel")
        .header(HOST, pool.address().to_string())
        .header(header::ATTEMPT, attempt.to_string())
        .body(CheckedBody::empty());
    let Ok(request) = request else { return false };
    let Ok(response) = connection.sender.send_request(request).await else {
        return false;
    };
    let stopped = response
        .headers()
        .get(header::CANCELLED)
        .is_some_and(|value| value == "true");
    let body = read_body(response.into_body(), CANCEL_MAX_BYTES).await;
    if body.is_some() {
        connection.release();
    }
    stopped
}
