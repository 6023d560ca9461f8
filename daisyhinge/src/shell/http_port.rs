//! A small HTTP/1.1 server for the ports of metrics and of operators.
//!
//! Connections and the time to read a request are bounded, so that a slow or silent peer holds
//! neither memory nor the port.

pub mod fetch;
pub mod reply;
pub mod request;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::prelude::*;
use reply::ReplyBody;

/// Connections of one port at a time; more wait to be accepted.
pub const CONNECTIONS_MAX: usize = 64;

/// Time for a peer to send a request's headers, and for a connection to be idle.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after accepting failed, as it does while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait at close for requests that run.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest head of a request, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Bounds of a port.
#[derive(Clone, Copy, Debug)]
pub struct PortLimits {
    /// Connections at a time; more wait to be accepted.
    pub connections_max: usize,
    /// Time for a peer to send a request's headers, and for a connection to be idle.
    pub idle_timeout: Duration,
}

impl Default for PortLimits {
    fn default() -> Self {
        Self {
            connections_max: CONNECTIONS_MAX,
            idle_timeout: HEADER_TIMEOUT,
        }
    }
}

type PortHandler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<ReplyBody>> + Send + Sync>;

/// A running port. Dropping it ends it.
#[derive(Debug)]
pub struct HttpPort {
    address: SocketAddr,
    stop: CancellationToken,
    task: Option<JoinHandle<()>>,
}

impl HttpPort {
    /// Listens on `address` and answers each request by `handler`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if the address cannot be had.
    pub async fn bind<H, F>(address: SocketAddr, handler: H) -> Result<Self, ResultCode>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<ReplyBody>> + Send + 'static,
    {
        Self::bind_limited(address, PortLimits::default(), handler).await
    }

    /// As [`Self::bind`], with other bounds.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if the address cannot be had.
    pub async fn bind_limited<H, F>(
        address: SocketAddr,
        limits: PortLimits,
        handler: H,
    ) -> Result<Self, ResultCode>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<ReplyBody>> + Send + 'static,
    {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|_error| ResultCode::BindFailed)?;
        let address = listener
            .local_addr()
            .map_err(|_error| ResultCode::BindFailed)?;
        let stop = CancellationToken::new();
        let handler: PortHandler = Arc::new(move |request| Box::pin(handler(request)));
        let task = tokio::spawn(serve_port(listener, limits, handler, stop.clone()));
        Ok(Self {
            address,
            stop,
            task: Some(task),
        })
    }

    /// Where it listens; the port is the real one if 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and waits a few seconds for requests that run.
    pub async fn close(mut self) {
        self.stop.cancel();
        if let Some(task) = self.task.take() {
            // The task ends by itself; a panic in it was reported already.
            let _ = task.await;
        }
    }
}

impl Drop for HttpPort {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn serve_port(
    listener: TcpListener,
    limits: PortLimits,
    handler: PortHandler,
    stop: CancellationToken,
) {
    let places = Arc::new(Semaphore::new(limits.connections_max));
    let graceful = GracefulShutdown::new();
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            break;
        };
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = graceful.watch(open_connection(stream, limits, Arc::clone(&handler)));
        tokio::spawn(async move {
            // A connection's fault concerns its peer alone.
            let _ = connection.await;
            drop(place);
        });
    }
    drop(listener);
    // Past the timeout the remaining connections are left to the end of the process.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await;
}

fn open_connection(
    stream: TcpStream,
    limits: PortLimits,
    handler: PortHandler,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> {
    let service = service_fn(move |request| {
        let reply = handler(request);
        async move { Ok::<_, std::convert::Infallible>(reply.await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service)
}
