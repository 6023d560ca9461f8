//! HTTP server for callers and backend servers.

use std::convert::Infallible;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldhash::quality::FixedState;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::address::{AddressRequest, choose_addresses};
use crate::prelude::*;
use crate::shell::entry::entry_metrics::run_instrumented;
use crate::shell::entry::keeper::announcements::{handle_announcement, handle_departure};
use crate::shell::entry::query_parser::parse_query;
use crate::shell::entry::response::{write_answer, write_refusal};
use crate::shell::entry::search_driver::{QueryResult, refuse_query};
use crate::shell::entry::state::{EntryPhase, EntryState};
use crate::shell::intake::accept::accept_client;
use crate::shell::intake::body::{BodyLimits, receive_body};
use crate::shell::intake::connection::ClientConnection;
use crate::shell::intake::reply::charge_answer;
use crate::shell::intake::stream::ClientStream;
use crate::vocabulary::announcement::AnnounceReply;
use crate::vocabulary::answer::QueryRefusal;

/// Timeout for receiving the headers of a request, for a body that does not move, and for callers that do
/// not read an answer.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the headers of an HTTP/1 request, and of the buffer for received bytes.
const HEAD_MAX_BYTES: usize = 24 << 10;
/// Maximum number of concurrent requests on an HTTP/2 connection.
const STREAMS_MAX: u32 = 64;
/// Bytes that a caller may send on an HTTP/2 connection before they are read; the default of HTTP/2.
const WINDOW_BYTES: u32 = (64 << 10) - 1;
/// Maximum size of the headers of an HTTP/2 request, in bytes.
const HEADER_LIST_MAX_BYTES: u32 = 16 << 10;
/// Buffer for the answer of an HTTP/2 request, in bytes.
const SEND_BUFFER_BYTES: usize = 16 << 10;

type HttpReply = Response<Full<Bytes>>;

/// Serves callers and backend servers until the process stops.
pub async fn serve_callers(state: Arc<EntryState>, listener: TcpListener) {
    // Aborts the connections when this task ends.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            (stream, guard) = accept_client(&listener, &state.callers, || HEADER_TIMEOUT) => {
                let client = Arc::clone(guard.connection());
                let served = serve_connection(Arc::clone(&state), client, stream);
                connections.spawn(guard.run(served));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(
    state: Arc<EntryState>,
    client: Arc<ClientConnection>,
    stream: ClientStream,
) {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS_MAX)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_header_list_size(HEADER_LIST_MAX_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES);
    let mut phases = state.watch_phase();
    // Derived from the remote address and port, so that connections of the same caller may also be
    // spread over several entries.
    let caller_key = stream
        .peer_address()
        .map_or(0, |peer| FixedState::default().hash_one(peer));
    let service = service_fn(move |request| {
        let (state, client) = (Arc::clone(&state), Arc::clone(&client));
        async move {
            let _running = client.begin_request();
            let version = request.version();
            let reply = answer_request(&state, &client, request, caller_key).await;
            let mut reply = charge_answer(&client, reply).await;
            // While the entry shuts down, connections are closed together with an answer, so that
            // none is closed while its next request is being sent.
            let closes = state.phase() != EntryPhase::Serving || client.is_port_full();
            if closes && version == Version::HTTP_11 {
                reply
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ended = connection.as_mut() => return,
        _closed = phases.wait_for(|phase| *phase == EntryPhase::Closed) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ended = connection.await;
}

async fn answer_request(
    state: &Arc<EntryState>,
    client: &Arc<ClientConnection>,
    request: Request<Incoming>,
    caller_key: u64,
) -> HttpReply {
    let path = request.uri().path().to_owned();
    let service = path
        .strip_prefix("/v1/services/")
        .and_then(|rest| rest.strip_suffix("/query"));
    let expected_method = match (path.as_str(), service) {
        ("/v1/addresses", _) => Method::GET,
        ("/v1/announce" | "/v1/leave", _) | (_, Some(_)) => Method::POST,
        _ => return refusal_reply(state, ResultCode::UnknownPath),
    };
    if *request.method() != expected_method {
        return refusal_reply(state, ResultCode::BadMethod);
    }
    match (path.as_str(), service) {
        ("/v1/addresses", _) => answer_addresses(state, &request, caller_key),
        ("/v1/announce", _) => match read_json(state, client, request).await {
            Ok(announcement) => {
                announce_reply(&handle_announcement(state, announcement, true).await)
            }
            Err(code) => refusal_reply(state, code),
        },
        ("/v1/leave", _) => match read_json(state, client, request).await {
            Ok(departure) => announce_reply(&handle_departure(state, departure, true).await),
            Err(code) => refusal_reply(state, code),
        },
        (_, Some(service)) => answer_query(state, client, service, request).await,
        _ => refusal_reply(state, ResultCode::UnknownPath),
    }
}

async fn answer_query(
    state: &Arc<EntryState>,
    client: &Arc<ClientConnection>,
    service: &str,
    request: Request<Incoming>,
) -> HttpReply {
    let (parts, body) = request.into_parts();
    let body = match read_body(state, client, body).await {
        Ok(body) => body,
        Err(code) => return refusal_reply(state, code),
    };
    let deadline_max_ms = state.settings.limits.deadline_max_ms;
    match parse_query(service, &parts.headers, body, deadline_max_ms) {
        Ok(query) => query_reply(&run_instrumented(state, query).await),
        Err(code) => refusal_reply(state, code),
    }
}

fn query_reply(result: &QueryResult) -> HttpReply {
    match result {
        Ok(answer) => text_reply(StatusCode::OK, write_answer(answer)),
        Err(refusal) => write_refusal_reply(refusal),
    }
}

fn refusal_reply(state: &EntryState, code: ResultCode) -> HttpReply {
    state.metrics.record_front_refusal(code);
    write_refusal_reply(&refuse_query(state, &RequestId::from(""), code))
}

fn write_refusal_reply(refusal: &QueryRefusal) -> HttpReply {
    let mut reply = text_reply(status_of(refusal.code), write_refusal(refusal));
    if let Some(retry_ms) = refusal.retry_ms {
        reply
            .headers_mut()
            .insert(RETRY_AFTER, retry_ms.div_ceil(1_000).into());
    }
    reply
}

fn answer_addresses(state: &EntryState, request: &Request<Incoming>, caller_key: u64) -> HttpReply {
    let service_name = request.uri().query().and_then(|query| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix("service=").map(ServiceName::from))
    });
    let Some(document) = state.document() else {
        return refusal_reply(state, ResultCode::NoLease);
    };
    let Some(service) = service_name else {
        return refusal_reply(state, ResultCode::MalformedRequest);
    };
    if document.find_service(&service).is_none() {
        return refusal_reply(state, ResultCode::UnknownService);
    }
    let keepers = state.routes.lock().service_keepers(&service);
    let address_request = AddressRequest {
        view: &state.view(),
        environment: &state.settings.environment,
        vm: &state.settings.vm,
        data_centre: &state.settings.data_centre,
        takes_requests: state.phase() == EntryPhase::Serving && state.may_dispatch(),
        caller_key,
    };
    let answer = choose_addresses(address_request, &keepers, |vm| state.is_reachable(vm));
    json_reply(StatusCode::OK, &answer)
}

fn announce_reply(reply: &AnnounceReply) -> HttpReply {
    json_reply(status_of(reply.code), reply)
}

async fn read_json<T: DeserializeOwned>(
    state: &EntryState,
    client: &Arc<ClientConnection>,
    request: Request<Incoming>,
) -> Result<T, ResultCode> {
    let body = read_body(state, client, request.into_body()).await?;
    serde_json::from_slice(&body).map_err(|_err| ResultCode::MalformedJson)
}

async fn read_body(
    state: &EntryState,
    client: &Arc<ClientConnection>,
    body: Incoming,
) -> Result<Bytes, ResultCode> {
    let limits = &state.settings.limits;
    let body_limits = BodyLimits {
        max_bytes: usize::try_from(limits.body_max_bytes).unwrap_or(usize::MAX),
        deadline: Instant::now() + Duration::from_millis(limits.deadline_max_ms),
        stall_timeout: HEADER_TIMEOUT,
    };
    receive_body(client, body, body_limits).await
}

fn status_of(code: ResultCode) -> StatusCode {
    StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    text_reply(status, serde_json::to_vec(value).ok())
}

fn text_reply(status: StatusCode, text: Option<Vec<u8>>) -> HttpReply {
    let status = if text.is_some() {
        status
    } else {
        StatusCode::INTERNAL_SERVER_ERROR
    };
    let mut reply = Response::new(Full::new(Bytes::from(text.unwrap_or_default())));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}
