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
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::answer::answer_request;
use super::state::ForwardState;
use crate::prelude::*;
use crate::shell::port_drain::{accept_queued, finish_requests, wait_for_connections};
use crate::vocabulary::site::CallerLimits;

/// Delay before the next accept after a failed one, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum size of the buffer for request headers that `hyper` accepts, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8 << 10;

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
    let listener = TcpListener::bind(address)
        .await
        .map_err(|_error| ResultCode::BindFailed)?;
    let graceful = GracefulShutdown::new();
    tokio::select! {
        () = stop.cancelled() => {}
        () = accept_callers(&state, &listener, &graceful) => {}
    }
    accept_queued(accept_callers(&state, &listener, &graceful)).await;
    drop(listener);
    wait_for_connections(&graceful, state.time_to_answer()).await;
    finish_requests(graceful, grace).await;
    Ok(())
}

/// Accepts connections and serves each in its own task. Never returns.
async fn accept_callers(
    state: &Arc<ForwardState>,
    listener: &TcpListener,
    graceful: &GracefulShutdown,
) {
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // The caller reconnects if its connection cannot be set up.
        drop(stream.set_nodelay(true));
        let connection = graceful.watch(open_connection(state, stream));
        tokio::spawn(async move {
            // An error on a connection affects only its caller.
            drop(connection.await);
        });
    }
}

fn open_connection(
    state: &Arc<ForwardState>,
    stream: TcpStream,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + use<> {
    let limits = state
        .site()
        .map_or_else(CallerLimits::default, |site| site.limits);
    let state = Arc::clone(state);
    let answered = AtomicBool::new(false);
    let service = service_fn(move |request| {
        let first = !answered.swap(true, Ordering::Relaxed);
        let answer = answer_request(Arc::clone(&state), request, first);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_max_bytes.max(HEAD_BUFFER_MIN_BYTES) * 2)
        .serve_connection(TokioIo::new(stream), service)
}
