//! A sequential caller that retries each request until it is answered and verifies every answer.
//!
//! The caller follows the client protocol: it fetches the addresses to use, caches them for the
//! period that the reply states, and resends a request under the same identifier after a lost
//! connection or a refusal.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::answer::AddressAnswer;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

use crate::http::{HttpClient, build_client, get_path, send_request};
use crate::server::SHARD_WEIGHT;

/// Time within which a request must be answered, resends included; otherwise it counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Delay before a request is resent.
const RESEND_DELAY: Duration = Duration::from_millis(50);

/// Timeout for one reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Request statistics of one caller.
#[derive(Clone, Debug, Default)]
pub struct CallerStats {
    /// Requests answered.
    pub answered: u64,
    /// Requests resent.
    pub resends: u64,
    /// Requests whose connection was reset after it was established.
    pub connection_resets: u64,
    /// Descriptions of incorrect answers and lost requests.
    pub failures: Vec<String>,
}

/// Sends one query and returns the reply, an answer or a refusal, as JSON.
///
/// # Errors
///
/// Those of [`send_request`]; `MalformedJson` if the reply is not JSON.
pub async fn send_query(
    client: &HttpClient,
    entry: SocketAddr,
    service: &str,
    request: &str,
) -> Result<Value, ResultCode> {
    let body = json!({"query": request}).to_string();
    let message = Request::post(format!("http://{entry}/v1/services/{service}/query"))
        .header("daisyhinge-request", request)
        .body(Full::new(Bytes::from(body)))
        .map_err(|_not_a_path| ResultCode::MalformedRequest)?;
    let response = send_request(client, message, REPLY_TIMEOUT).await?;
    response.read_json().ok_or(ResultCode::MalformedJson)
}

/// Entry addresses that a caller caches, and their expiry.
#[derive(Debug)]
struct CachedAddresses {
    entries: Vec<SocketAddr>,
    until: Instant,
}

impl CachedAddresses {
    async fn refresh(&mut self, client: &HttpClient, service: &str) {
        if Instant::now() < self.until {
            return;
        }
        let path = format!("/v1/addresses?service={service}");
        for entry in self.entries.clone() {
            let response = get_path(client, entry, &path, REPLY_TIMEOUT).await;
            let answer: Option<AddressAnswer> = response.ok().and_then(|reply| reply.read_json());
            if let Some(answer) = answer.filter(|answer| !answer.addresses.is_empty()) {
                self.entries = answer.addresses;
                self.until = Instant::now() + Duration::from_millis(answer.keep_ms);
                return;
            }
        }
    }
}

/// Sends requests sequentially until `stop_at`, retries each until it is answered, and verifies
/// each answer.
pub async fn run_caller(
    entries: Vec<SocketAddr>,
    service: &'static str,
    name: String,
    stop_at: Instant,
) -> CallerStats {
    let client = build_client();
    let mut cached = CachedAddresses {
        entries,
        until: Instant::now(),
    };
    let mut stats = CallerStats::default();
    let mut number = 0;
    while Instant::now() < stop_at {
        number += 1;
        let request = format!("{name}-{number}");
        send_until_final(&client, &mut cached, service, &request, &mut stats).await;
    }
    stats
}

async fn send_until_final(
    client: &HttpClient,
    cached: &mut CachedAddresses,
    service: &str,
    request: &str,
    stats: &mut CallerStats,
) {
    let started = Instant::now();
    for attempt in request.len().. {
        cached.refresh(client, service).await;
        let entry = cached.entries[attempt % cached.entries.len()];
        let reply = send_query(client, entry, service, request).await;
        stats.connection_resets += u64::from(reply == Err(ResultCode::ConnectionReset));
        match reply.as_ref().ok().map(|reply| check_reply(reply, request)) {
            Some(ReplyKind::Answer) => {
                stats.answered += 1;
                return;
            }
            Some(ReplyKind::Final) => return,
            Some(ReplyKind::Invalid(violation)) => {
                stats.failures.push(violation);
                return;
            }
            Some(ReplyKind::Retry) | None => stats.resends += 1,
        }
        if started.elapsed() > REQUEST_TIMEOUT {
            stats
                .failures
                .push(format!("request {request} lost, last reply: {reply:?}"));
            return;
        }
        tokio::time::sleep(RESEND_DELAY).await;
    }
}

enum ReplyKind {
    Answer,
    Retry,
    Final,
    Invalid(String),
}

fn check_reply(reply: &Value, request: &str) -> ReplyKind {
    if let Some(code) = reply["code"].as_u64() {
        // Code 2009 (`OutcomeUnknown`) is final: the outcome of a non-repeatable request can be
        // lost permanently together with an entry.
        return if code == 2009 {
            ReplyKind::Final
        } else {
            ReplyKind::Retry
        };
    }
    let parts = reply["parts"].as_array().cloned().unwrap_or_default();
    let matches_request = reply["request"] == request
        && parts.iter().all(|part| {
            part["body"]["request"] == request
                && part["body"]["shard"] == part["shard"]
                && part["body"]["snapshot"] == reply["snapshot"]
        });
    let answered = reply["coverage"]["answered_weight"].as_u64();
    let coverage_correct = answered == Some(parts.len() as u64 * SHARD_WEIGHT);
    if matches_request && coverage_correct {
        ReplyKind::Answer
    } else {
        ReplyKind::Invalid(format!("incorrect answer to request {request}: {reply}"))
    }
}
