//! HTTP server for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::answer::answer_request;
use super::state::ForwardState;
use crate::prelude::*;
use crate::shell::intake::ClientPort;
use crate::shell::intake::accept::{accept_client, bind_clients};
use crate::shell::intake::connection::ClientConnection;
use crate::shell::intake::stream::ClientStream;
use crate::shell::port_drain::{accept_queued, finish_requests, wait_for_connections};
use crate::vocabulary::site::CallerLimits;

/// Size of the buffer for request headers beyond their maximum size, in bytes: what else has arrived.
const HEAD_BUFFER_MARGIN_BYTES: usize = 8 << 10;

/// Serves callers on `address` until `stop` is cancelled. Then accepts the connections that are
/// still queued, and listens no more. During a planned stop, serves the connections that are left
/// until the last answers are due: a request that comes on one of them would be lost if it were
/// closed at that moment. At the end closes idle connections and waits up to `grace` for running
/// requests.
///
/// # Errors
/// [`ResultCode::BindFailed`] if the address cannot be bound.
pub async fn serve_callers(
    state: Arc<ForwardState>,
    address: SocketAddr,
    stop: CancellationToken,
    grace: Duration,
) -> Result<(), ResultCode> {
    let listener = bind_clients(address)?;
    let port = state.open_caller_port();
    let graceful = GracefulShutdown::new();
    tokio::select! {
        () = stop.cancelled() => {}
        () = accept_callers(&state, &port, &listener, &graceful) => {}
    }
    accept_queued(accept_callers(&state, &port, &listener, &graceful)).await;
    drop(listener);
    wait_for_connections(&graceful, state.time_to_answer()).await;
    finish_requests(graceful, grace).await;
    Ok(())
}

/// Accepts connections and serves each in its own task. Never returns.
async fn accept_callers(
    state: &Arc<ForwardState>,
    port: &ClientPort,
    listener: &TcpListener,
    graceful: &GracefulShutdown,
) {
    let unread_timeout = || read_limits(state).idle_timeout;
    loop {
        port.set_connections_max(state.caller_connections_max());
        let (stream, guard) = accept_client(listener, port, unread_timeout).await;
        let served = open_connection(state, Arc::clone(guard.connection()), stream);
        tokio::spawn(guard.run(graceful.watch(served)));
    }
}

fn read_limits(state: &ForwardState) -> CallerLimits {
    state
        .site()
        .map_or_else(CallerLimits::default, |site| site.limits)
}

fn open_connection(
    state: &Arc<ForwardState>,
    client: Arc<ClientConnection>,
    stream: ClientStream,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + use<> {
    let limits = read_limits(state);
    let state = Arc::clone(state);
    let answered = AtomicBool::new(false);
    let service = service_fn(move |request| {
        let first = !answered.swap(true, Ordering::Relaxed);
        let answer = answer_request(Arc::clone(&state), Arc::clone(&client), request, first);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_max_bytes + HEAD_BUFFER_MARGIN_BYTES)
        .serve_connection(TokioIo::new(stream), service)
}
