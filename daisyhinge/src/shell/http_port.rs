//! A small HTTP/1.1 server for the metrics and operator ports.
//!
//! The number of connections, the time to read a request and the memory that bodies and replies hold
//! are limited, so that slow or silent clients cannot exhaust the process or block the port.

pub mod fetch;
pub mod reply;
pub mod request;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::intake::process_limits::derive_limits;
use crate::metric::intake::IntakeCounters;
use crate::prelude::*;
use crate::shell::intake::accept::{accept_client, bind_clients};
use crate::shell::intake::connection::{ClientConnection, ClientGuard};
use crate::shell::intake::reply::hold_reply;
use crate::shell::intake::stream::ClientStream;
use crate::shell::intake::{ClientIntake, ClientPort};
use crate::shell::port_drain::{accept_queued, finish_requests};
use reply::{ReplyBody, SharedContent, reply_refusal};

/// Maximum number of open connections of a port that does not say otherwise.
pub const CONNECTIONS_MAX: usize = 64;

/// Timeout for receiving the headers of a request, and for idle connections.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// Memory and descriptors of a process whose ports do not share their limits.
const MEMORY_BYTES: usize = 256 << 20;
const DESCRIPTORS: usize = 4_096;

/// Maximum wait for running requests at close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the headers of a request, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;

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
    #[expect(clippy::unused_async, reason = "callers await the start of a port")]
    pub async fn bind<H, F>(address: SocketAddr, handler: H) -> Result<Self, ResultCode>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<ReplyBody>> + Send + 'static,
    {
        let limits = derive_limits(MEMORY_BYTES, DESCRIPTORS);
        let intake = ClientIntake::open(limits, IntakeCounters::default(), None);
        let port = intake.open_port("http", CONNECTIONS_MAX);
        Self::bind_port(address, port, HEADER_TIMEOUT, handler)
    }

    /// Like [`Self::bind`], with limits that the ports of a process share. `idle_timeout` applies to
    /// receiving the headers of a request, to idle connections and to clients that do not read a reply.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if the address cannot be bound.
    pub fn bind_port<H, F>(
        address: SocketAddr,
        port: ClientPort,
        idle_timeout: Duration,
        handler: H,
    ) -> Result<Self, ResultCode>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<ReplyBody>> + Send + 'static,
    {
        let listener = bind_clients(address)?;
        let address = listener
            .local_addr()
            .map_err(|_error| ResultCode::BindFailed)?;
        let stop = CancellationToken::new();
        let handler: PortHandler = Arc::new(move |request| Box::pin(handler(request)));
        let server = PortServer {
            listener,
            port,
            idle_timeout,
            handler,
        };
        let task = tokio::spawn(serve_port(server, stop.clone()));
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

/// What accepting connections needs.
struct PortServer {
    listener: TcpListener,
    port: ClientPort,
    idle_timeout: Duration,
    handler: PortHandler,
}

async fn serve_port(server: PortServer, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    tokio::select! {
        () = stop.cancelled() => {}
        () = accept_clients(&server, &graceful) => {}
    }
    accept_queued(accept_clients(&server, &graceful)).await;
    drop(server);
    finish_requests(graceful, CLOSE_TIMEOUT).await;
}

/// Accepts connections and serves each in its own task. Never returns.
async fn accept_clients(server: &PortServer, graceful: &GracefulShutdown) {
    let unread_timeout = || server.idle_timeout;
    loop {
        let (stream, guard) = accept_client(&server.listener, &server.port, unread_timeout).await;
        let connection = open_connection(server, &guard, stream);
        tokio::spawn(guard.run(graceful.watch(connection)));
    }
}

fn open_connection(
    server: &PortServer,
    guard: &ClientGuard,
    stream: ClientStream,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + use<> {
    let client = Arc::clone(guard.connection());
    let handler = Arc::clone(&server.handler);
    let service = service_fn(move |request| {
        let (client, handler) = (Arc::clone(&client), Arc::clone(&handler));
        async move { Ok::<_, Infallible>(answer_client(&client, &handler, request).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(server.idle_timeout)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service)
}

async fn answer_client(
    client: &Arc<ClientConnection>,
    handler: &PortHandler,
    mut request: Request<Incoming>,
) -> Response<ReplyBody> {
    let _running = client.begin_request();
    // The handler reads the body within the limits of the connection.
    request.extensions_mut().insert(Arc::clone(client));
    let is_read = request.method() == Method::GET;
    let reply = handler(request).await;
    let holds = is_read && reply.extensions().get::<SharedContent>().is_none();
    let mut reply = if holds {
        let held = hold_reply(client, reply).await;
        held.unwrap_or_else(|code| reply_refusal(code, Vec::new()))
    } else {
        reply
    };
    if client.is_port_full() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    reply
}
