//! The port that callers connect to.

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
use crate::vocabulary::site::CallerLimits;

/// Pause after accepting failed, as it does while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long connections that wait to be accepted are still taken once the port is to close.
const LAST_ACCEPT_SPAN: Duration = Duration::from_millis(50);
/// How long the first request of a connection is waited for once the port has closed.
const FIRST_REQUEST_SPAN: Duration = Duration::from_millis(100);
/// Smallest buffer for a request's head that is possible, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8 << 10;

/// Listens for callers on `address` until `stop` is cancelled, then takes the connections that wait
/// to be accepted, closes idle ones and waits at most `grace` for requests that run.
///
/// # Errors
/// [`ResultCode::BindFailed`] if the address cannot be had.
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
    // Closing the port resets what the kernel has accepted and the entry has not.
    let last = accept_callers(&state, &listener, &graceful);
    drop(tokio::time::timeout(LAST_ACCEPT_SPAN, last).await);
    drop(listener);
    tokio::time::sleep(FIRST_REQUEST_SPAN).await;
    // What runs longer than this is cut with the process.
    drop(tokio::time::timeout(grace, graceful.shutdown()).await);
    Ok(())
}

/// Accepts connections and serves each in a task of its own. Does not end by itself.
async fn accept_callers(
    state: &Arc<ForwardState>,
    listener: &TcpListener,
    graceful: &GracefulShutdown,
) {
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A connection that can't be set up is its peer's to open again.
        drop(stream.set_nodelay(true));
        let connection = graceful.watch(open_connection(state, stream));
        tokio::spawn(async move {
            // A connection's fault concerns its peer alone.
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
