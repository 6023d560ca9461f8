//! A small HTTP/1.1 server for the metrics and operator ports.
//!
//! The number of connections and the time to read a request are limited, so that slow or silent
//! clients cannot exhaust memory or block the port.

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
use crate::shell::port_drain::{accept_queued, finish_requests};
use reply::ReplyBody;

/// Maximum number of open connections of a port. Further connections wait in the accept queue.
pub const CONNECTIONS_MAX: usize = 64;

/// Timeout for receiving the headers of a request, and for idle connections.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the next accept after a failed one, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum wait for running requests at close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the headers of a request, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Connection limits of a port.
#[derive(Clone, Copy, Debug)]
pub struct PortLimits {
    /// Maximum number of open connections. Further connections wait in the accept queue.
    pub connections_max: usize,
    /// Timeout for receiving the headers of a request, and for idle connections.
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

/// A running port. Dropping it stops the server.
#[derive(Debug)]
pub struct HttpPort {
    address: SocketAddr,
    stop: CancellationToken,
    task: Option<JoinHandle<()>>,
}

impl HttpPort {
    /// Listens on `address` and answers each request with `handler`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if the address cannot be bound.
    pub async fn bind<H, F>(address: SocketAddr, handler: H) -> Result<Self, ResultCode>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<ReplyBody>> + Send + 'static,
    {
        Self::bind_limited(address, PortLimits::default(), handler).await
    }

    /// Like [`Self::bind`], with other limits.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if the address cannot be bound.
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

    /// Returns the local address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and waits up to five seconds for running requests.
    pub async fn close(mut self) {
        self.stop.cancel();
        if let Some(task) = self.task.take() {
            // A panic in the task was already reported by the panic hook.
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
    let permits = Arc::new(Semaphore::new(limits.connections_max));
    let graceful = GracefulShutdown::new();
    tokio::select! {
        () = stop.cancelled() => {}
        () = accept_clients(&listener, limits, &handler, &permits, &graceful) => {}
    }
    accept_queued(accept_clients(
        &listener, limits, &handler, &permits, &graceful,
    ))
    .await;
    drop(listener);
    finish_requests(graceful, CLOSE_TIMEOUT).await;
}

/// Accepts connections and serves each in its own task. Never returns.
async fn accept_clients(
    listener: &TcpListener,
    limits: PortLimits,
    handler: &PortHandler,
    permits: &Arc<Semaphore>,
    graceful: &GracefulShutdown,
) {
    while let Ok(permit) = Arc::clone(permits).acquire_owned().await {
        let Ok((stream, _peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let connection = graceful.watch(open_connection(stream, limits, Arc::clone(handler)));
        tokio::spawn(async move {
            // An error on a connection affects only its client.
            let _ = connection.await;
            drop(permit);
        });
    }
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
