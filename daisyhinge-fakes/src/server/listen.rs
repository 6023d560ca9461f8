//! The listening side of a fake backend server: connections, their bound, and paths.

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
use crate::server::answer::build_plain;
use crate::server::core::read_wall_us;
use crate::server::fault::{ColdSettings, FaultSettings};
use crate::server::share::FakeShare;
use crate::server::sub::SubTask;
use crate::server::work::{crash_server, serve_sub};

/// Health as the server tells it.
#[derive(Debug, Serialize)]
struct HealthAnswer {
    state: ServerState,
    incarnation: u64,
}

/// Load as the server tells it.
#[derive(Debug, Serialize)]
struct LoadAnswer {
    running: u32,
    slots: u32,
}

/// Accepts connections until `share` stops.
pub(crate) async fn run_listener(share: Arc<FakeShare>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = share.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _peer)) = accepted {
            take_connection(&share, stream);
        }
    }
}

fn take_connection(share: &Arc<FakeShare>, stream: TcpStream) {
    drop(stream.set_nodelay(true));
    if share.is_down() || !count_connection(share) {
        drop(stream.set_zero_linger());
        return;
    }
    let share = Arc::clone(share);
    tokio::spawn(async move {
        serve_connection(&share, stream).await;
        share.core.lock().record.connections -= 1;
    });
}

fn count_connection(share: &FakeShare) -> bool {
    let record = &mut share.core.lock().record;
    if record.connections >= share.settings.connections {
        record.connections_exceeded += 1;
        return false;
    }
    record.connections += 1;
    record.connections_made += 1;
    record.peak_connections = record.peak_connections.max(record.connections);
    true
}

async fn serve_connection(share: &Arc<FakeShare>, stream: TcpStream) {
    let life = share.life.lock().end.clone();
    // Closing with unsent or unread bytes then resets the connection, as a killed process does.
    drop(stream.set_zero_linger());
    sleep(Duration::from_micros(share.settings.connect_us)).await;
    let service = service_fn(|request| {
        let share = Arc::clone(share);
        async move { Ok::<_, Infallible>(serve_path(&share, request).await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = life.cancelled() => {}
        () = share.stop.cancelled() => {}
        _ended = connection => {}
    }
}

async fn serve_path(share: &Arc<FakeShare>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let Some(body) = read_body(body).await else {
        return build_plain(StatusCode::BAD_REQUEST, None);
    };
    if share.core.lock().faults.frozen && !path.starts_with("/fake/") {
        return pending().await;
    }
    match (&parts.method, path.as_str()) {
        (&Method::POST, "/v1/sub-request") => {
            if let Some(task) = SubTask::read(&parts.headers, body) {
                return serve_sub(share, task).await;
            }
            share.core.lock().record.malformed += 1;
            build_plain(StatusCode::BAD_REQUEST, None)
        }
        (&Method::POST, "/v1/cancel") => serve_cancel(share, &parts.headers),
        (&Method::GET, "/v1/health") => serve_health(share),
        (&Method::GET, "/v1/load") => serve_load(share),
        (&Method::GET, "/fake/record") => json_response(StatusCode::OK, &share.core.lock().record),
        (&Method::POST, path) => serve_change(share, path, &body),
        _ => build_plain(StatusCode::NOT_FOUND, None),
    }
}

fn serve_cancel(share: &FakeShare, headers: &hyper::HeaderMap) -> Response<Full<Bytes>> {
    let Some(attempt) = header_text(headers, "daisyhinge-attempt") else {
        return build_plain(StatusCode::BAD_REQUEST, None);
    };
    let stopped = share.core.lock().cancel(attempt);
    let text = if stopped { "true" } else { "false" };
    build_plain(StatusCode::OK, Some(("daisyhinge-cancelled", text)))
}

fn serve_health(share: &FakeShare) -> Response<Full<Bytes>> {
    let core = share.core.lock();
    let state = if core.faults.lying_health {
        ServerState::Ready
    } else {
        core.state
    };
    json_response(
        StatusCode::OK,
        &HealthAnswer {
            state,
            incarnation: core.incarnation.0,
        },
    )
}

fn serve_load(share: &FakeShare) -> Response<Full<Bytes>> {
    let core = share.core.lock();
    let running = if core.faults.lying_health {
        0
    } else {
        core.record.in_hand
    };
    json_response(
        StatusCode::OK,
        &LoadAnswer {
            running,
            slots: share.settings.slots,
        },
    )
}

/// Changes the server's faults and state while it runs.
fn serve_change(share: &Arc<FakeShare>, path: &str, body: &[u8]) -> Response<Full<Bytes>> {
    let done = match path {
        "/fake/faults" => serde_json::from_slice::<FaultSettings>(body)
            .map(|faults| share.core.lock().faults = faults)
            .is_ok(),
        "/fake/snapshots" => serde_json::from_slice::<Vec<ReplicaSnapshot>>(body)
            .map(|snapshots| share.core.lock().snapshots = snapshots)
            .is_ok(),
        "/fake/state" => serde_json::from_slice::<ServerState>(body)
            .map(|state| share.core.lock().state = state)
            .is_ok(),
        "/fake/cold" => serde_json::from_slice::<ColdSettings>(body)
            .map(|cold| share.core.lock().turn_cold(cold))
            .is_ok(),
        "/fake/mark" => {
            set_mark(share);
            true
        }
        "/fake/crash" => {
            crash_server(share);
            true
        }
        _ => return build_plain(StatusCode::NOT_FOUND, None),
    };
    share.announce.notify_one();
    let status = if done {
        StatusCode::OK
    } else {
        StatusCode::BAD_REQUEST
    };
    build_plain(status, None)
}

/// Counts sub-requests from now on as after the mark.
pub(crate) fn set_mark(share: &FakeShare) {
    let record = &mut share.core.lock().record;
    record.mark_us = read_wall_us();
    record.after_mark = 0;
    record.last_after_mark_us = 0;
}
