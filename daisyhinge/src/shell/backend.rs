//! HTTP calls to backend servers, with every answer checked before it counts as one.

use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use crate::keeper::sub_request::DispatchOutcome;
use crate::prelude::*;
use crate::shell::body::{CheckedBody, WriteCheck};
use crate::shell::header;
use crate::shell::pool::{PoolFault, ServerConnection, ServerPool};
use crate::vocabulary::subrequest::SubRequest;

/// Longest wait for the reply to a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// How a call ended and, if it was answered, with what.
#[derive(Clone, Debug)]
pub struct BackendReply {
    /// How it ended.
    pub end: DispatchOutcome,
    /// The checked payload.
    pub body: Option<Bytes>,
}

impl From<DispatchOutcome> for BackendReply {
    fn from(end: DispatchOutcome) -> Self {
        Self { end, body: None }
    }
}

/// Sends a sub-request and reads the answer, for `left` at most. `look` is asked immediately
/// before the request is written: it gives the time left then, or `None` to send nothing.
pub async fn send_subrequest(
    pool: &ServerPool,
    ask: &SubRequest,
    left: Duration,
    body_max_bytes: usize,
    look: impl Fn() -> Option<Duration> + Clone + Send + Sync + 'static,
) -> BackendReply {
    let started = tokio::time::Instant::now();
    let exchange = exchange_subrequest(pool, ask, body_max_bytes, look);
    let mut reply = match tokio::time::timeout(left, exchange).await {
        Ok(reply) => reply,
        Err(_elapsed) => DispatchOutcome::Expired.into(),
    };
    if let DispatchOutcome::Answered { took } = &mut reply.end {
        *took = started.elapsed();
    }
    reply
}

async fn exchange_subrequest(
    pool: &ServerPool,
    ask: &SubRequest,
    body_max_bytes: usize,
    look: impl Fn() -> Option<Duration> + Clone + Send + Sync + 'static,
) -> BackendReply {
    // An idle connection may have been closed by the other side; the request then comes back
    // unsent and a fresh connection is safe even for a request that may not be repeated.
    for _ in 0..2 {
        let idle = pool.take_idle();
        let fresh = idle.is_none();
        let connection = match idle {
            Some(connection) => Ok(connection),
            None => pool.connect().await,
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(PoolFault::Full) => return DispatchOutcome::NotSent.into(),
            Err(PoolFault::ConnectFailed) => return DispatchOutcome::ConnectFailed.into(),
        };
        // Asked again when the connection writes it.
        let again = look.clone();
        let check = move || again().is_some();
        let request = look().and_then(|left| build_subrequest(pool, ask, left, Box::new(check)));
        let Some(request) = request else {
            connection.give_back();
            return DispatchOutcome::NotSent.into();
        };
        match connection.sender.try_send_request(request).await {
            Ok(response) => return read_answer(connection, ask, response, body_max_bytes).await,
            // The check stopped it at the last moment. Nothing was flushed, but the slot is kept
            // and nothing is claimed of it, as for work whose end is not known.
            Err(fault) if fault.message().is_none() && fault.error().is_user() => {
                return DispatchOutcome::Expired.into();
            }
            Err(fault) if fault.message().is_none() => return DispatchOutcome::Reset.into(),
            Err(_) if fresh => return DispatchOutcome::ConnectFailed.into(),
            Err(_) => {}
        }
    }
    DispatchOutcome::ConnectFailed.into()
}

fn build_subrequest(
    pool: &ServerPool,
    ask: &SubRequest,
    left: Duration,
    check: WriteCheck,
) -> Option<Request<CheckedBody>> {
    Request::builder()
        .method(Method::POST)
        .uri("/v1/sub-request")
        .header(HOST, pool.address().to_string())
        .header(header::REQUEST, ask.request.as_str())
        .header(header::ATTEMPT, ask.attempt.to_string())
        .header(header::SERVICE, ask.service.as_str())
        .header(header::REPLICA, ask.replica.as_str())
        .header(header::SHARD, ask.shard.0)
        .header(header::SNAPSHOT, ask.snapshot.0)
        .header(header::DEADLINE_US, ask.expires_us)
        .header(
            header::EXPIRES_US,
            u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
        )
        .header(header::REPEATABLE, ask.repeatable.to_string())
        .body(CheckedBody::new(ask.body.clone(), check))
        .ok()
}

async fn read_answer(
    connection: ServerConnection,
    ask: &SubRequest,
    response: Response<Incoming>,
    body_max_bytes: usize,
) -> BackendReply {
    let (parts, body) = response.into_parts();
    let body = match Limited::new(body, body_max_bytes).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(_) if parts.status == StatusCode::OK => {
            return DispatchOutcome::BadAnswer(ResultCode::AnswerDamaged).into();
        }
        Err(_) => return DispatchOutcome::Reset.into(),
    };
    if parts.status != StatusCode::OK {
        connection.give_back();
        return refusal_end(parts.status, &parts.headers).into();
    }
    if let Some(code) = find_answer_fault(ask, &parts.headers, &body) {
        return DispatchOutcome::BadAnswer(code).into();
    }
    connection.give_back();
    BackendReply {
        end: DispatchOutcome::Answered {
            took: Duration::ZERO,
        },
        body: Some(body),
    }
}

fn refusal_end(status: StatusCode, headers: &HeaderMap) -> DispatchOutcome {
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

/// Checks that an answer is whole and belongs to the sub-request.
pub fn find_answer_fault(ask: &SubRequest, headers: &HeaderMap, body: &[u8]) -> Option<ResultCode> {
    let same = |name: &str, want: &dyn Display| {
        headers
            .get(name)
            .is_some_and(|value| value.as_bytes() == want.to_string().as_bytes())
    };
    let matches = same(header::REQUEST, &ask.request)
        && same(header::ATTEMPT, &ask.attempt)
        && same(header::SHARD, &ask.shard)
        && same(header::SNAPSHOT, &ask.snapshot);
    if !matches {
        return Some(ResultCode::AnswerMismatch);
    }
    let checksum = format!("{:08x}", crc32fast::hash(body));
    let whole = same(header::LENGTH, &body.len()) && same(header::CHECKSUM, &checksum);
    let json = || serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok();
    (!whole || !json()).then_some(ResultCode::AnswerDamaged)
}

/// Asks the backend server to stop; returns whether the work has certainly stopped.
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
    if response.into_body().collect().await.is_ok() {
        connection.give_back();
    }
    stopped
}
