//! HTTP listener of a fake backend server: accepts connections up to a limit and serves its paths.

use std::convert::Infallible;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::vocabulary::announcement::{ReplicaSnapshot, ServerState};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::http::{header_text, json_response, read_body};
use crate::server::answer::build_empty_response;
use crate::server::core::read_wall_us;
use crate::server::fault::{ColdSettings, FaultSettings};
use crate::server::shared::ServerShared;
use crate::server::task::SubTask;
use crate::server::work::{crash_server, serve_sub_request};

/// Body of a health response.
#[derive(Debug, Serialize)]
struct HealthResponse {
    state: ServerState,
    incarnation: u64,
}

/// Body of a load response.
#[derive(Debug, Serialize)]
struct LoadResponse {
    running: u32,
    slots: u32,
}

/// Accepts connections until `shared` is stopped.
pub(crate) async fn run_listener(shared: Arc<ServerShared>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _peer)) = accepted {
            accept_connection(&shared, stream);
        }
    }
}

fn accept_connection(shared: &Arc<ServerShared>, stream: TcpStream) {
    drop(stream.set_nodelay(true));
    if shared.is_down() || !admit_connection(shared) {
        drop(stream.set_zero_linger());
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        serve_connection(&shared, stream).await;
        shared.core.lock().record.connections -= 1;
    });
}

fn admit_connection(shared: &ServerShared) -> bool {
    let record = &mut shared.core.lock().record;
    if record.connections >= shared.settings.connections {
        record.connections_exceeded += 1;
        return false;
    }
    record.connections += 1;
    record.connections_made += 1;
    record.peak_connections = record.peak_connections.max(record.connections);
    true
}

async fn serve_connection(shared: &Arc<ServerShared>, stream: TcpStream) {
    let run_end = shared.run.lock().end.clone();
    // With zero linger, closing resets the connection, as it does when a process is killed.
    drop(stream.set_zero_linger());
    sleep(Duration::from_micros(shared.settings.connect_us)).await;
    let service = service_fn(|request| {
        let shared = Arc::clone(shared);
        async move { Ok::<_, Infallible>(serve_path(&shared, request).await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = run_end.cancelled() => {}
        () = shared.stop.cancelled() => {}
        _ended = connection => {}
    }
}

async fn serve_path(
    shared: &Arc<ServerShared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let Some(body) = read_body(body).await else {
        return build_empty_response(StatusCode::BAD_REQUEST, None);
    };
    if shared.core.lock().faults.frozen && !path.starts_with("/fake/") {
        return pending().await;
    }
    match (&parts.method, path.as_str()) {
        (&Method::POST, "/v1/sub-request") => {
            if let Some(task) = SubTask::read(&parts.headers, body) {
                return serve_sub_request(shared, task).await;
            }
            shared.core.lock().record.malformed += 1;
            build_empty_response(StatusCode::BAD_REQUEST, None)
        }
        (&Method::POST, "/v1/cancel") => serve_cancel(shared, &parts.headers),
        (&Method::GET, "/v1/health") => serve_health(shared),
        (&Method::GET, "/v1/load") => serve_load(shared),
        (&Method::GET, "/fake/record") => json_response(StatusCode::OK, &shared.core.lock().record),
        (&Method::POST, path) => serve_change(shared, path, &body),
        _ => build_empty_response(StatusCode::NOT_FOUND, None),
    }
}

fn serve_cancel(shared: &ServerShared, headers: &hyper::HeaderMap) -> Response<Full<Bytes>> {
    let Some(attempt) = header_text(headers, "daisyhinge-attempt") else {
        return build_empty_response(StatusCode::BAD_REQUEST, None);
    };
    let stopped = shared.core.lock().cancel(attempt);
    let text = if stopped { "true" } else { "false" };
    build_empty_response(StatusCode::OK, Some(("daisyhinge-cancelled", text)))
}

fn serve_health(shared: &ServerShared) -> Response<Full<Bytes>> {
    let core = shared.core.lock();
    let state = if core.faults.lying_health {
        ServerState::Ready
    } else {
        core.state
    };
    json_response(
        StatusCode::OK,
        &HealthResponse {
            state,
            incarnation: core.incarnation.0,
        },
    )
}

fn serve_load(shared: &ServerShared) -> Response<Full<Bytes>> {
    let core = shared.core.lock();
    let running = if core.faults.lying_health {
        0
    } else {
        core.record.in_hand
    };
    json_response(
        StatusCode::OK,
        &LoadResponse {
            running,
            slots: shared.settings.slots,
        },
    )
}

/// Serves the paths that change the server's faults and state at run time.
fn serve_change(shared: &Arc<ServerShared>, path: &str, body: &[u8]) -> Response<Full<Bytes>> {
    let applied = match path {
        "/fake/faults" => serde_json::from_slice::<FaultSettings>(body)
            .map(|faults| shared.core.lock().faults = faults)
            .is_ok(),
        "/fake/snapshots" => serde_json::from_slice::<Vec<ReplicaSnapshot>>(body)
            .map(|snapshots| shared.core.lock().snapshots = snapshots)
            .is_ok(),
        "/fake/state" => serde_json::from_slice::<ServerState>(body)
            .map(|state| shared.core.lock().state = state)
            .is_ok(),
        "/fake/cold" => serde_json::from_slice::<ColdSettings>(body)
            .map(|cold| shared.core.lock().turn_cold(cold))
            .is_ok(),
        "/fake/mark" => {
            set_mark(shared);
            true
        }
        "/fake/crash" => {
            crash_server(shared);
            true
        }
        _ => return build_empty_response(StatusCode::NOT_FOUND, None),
    };
    shared.announce.notify_one();
    let status = if applied {
        StatusCode::OK
    } else {
        StatusCode::BAD_REQUEST
    };
    build_empty_response(status, None)
}

/// Counts sub-requests that arrive later in `after_mark` of the record, starting from 0.
pub(crate) fn set_mark(shared: &ServerShared) {
    let record = &mut shared.core.lock().record;
    record.mark_us = read_wall_us();
    record.after_mark = 0;
    record.last_after_mark_us = 0;
}
