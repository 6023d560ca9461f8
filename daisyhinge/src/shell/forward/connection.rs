//! An HTTP/1.1 connection to a replica, polled by the request that uses it.
//!
//! No task watches idle connections. A connection is checked before it is reused, and discarded if
//! it was closed or received unexpected bytes in the meantime.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

type Driver = Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Idle timeout if the replica does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Margin by which a connection is discarded before the replica would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum size of an answer, in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// A complete answer of a replica.
#[derive(Debug)]
pub struct ReplicaAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers as received, hop-by-hop ones included.
    pub headers: HeaderMap,
    /// Complete body, or of a part that crossed a link, its greatest records.
    pub body: Bytes,
}

/// Reason why no complete answer was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ExchangeError {
    /// Nothing was written.
    NotSent,
    /// The request may have reached the replica, and no complete answer was received.
    Lost,
    /// The request may have reached the replica, and the connection ended before any part of an
    /// answer.
    Reset,
}

/// An open connection to a replica.
pub(super) struct ReplicaConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    ended: bool,
    idle_since: Instant,
    idle_timeout: Duration,
    used: bool,
}

impl ReplicaConnection {
    /// Connects to `address`. Returns `None` if that fails.
    pub(super) async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        Some(Self {
            sender,
            driver: Box::pin(driver),
            ended: false,
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            used: false,
        })
    }

    /// Returns the idle time, or `None` if the connection has not been used yet.
    pub(super) fn idle(&self) -> Option<Duration> {
        self.used.then(|| self.idle_since.elapsed())
    }

    /// Returns whether the connection can carry another request.
    pub(super) fn is_reusable(&mut self) -> bool {
        if self.idle_since.elapsed() >= self.idle_timeout {
            return false;
        }
        let mut context = Context::from_waker(std::task::Waker::noop());
        self.drive(&mut context);
        !self.ended && self.sender.is_ready()
    }

    fn drive(&mut self, context: &mut Context<'_>) {
        drive(&mut self.driver, &mut self.ended, context);
    }

    /// Sends a request and reads the complete answer.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<ReplicaAnswer, ExchangeError> {
        let Self {
            sender,
            driver,
            ended,
            ..
        } = self;
        let mut reply = std::pin::pin!(sender.send_request(request));
        let reply = poll_fn(|context| {
            drive(driver, ended, context);
            reply.as_mut().poll(context)
        });
        let reply = reply.await.map_err(|error| {
            if error.is_canceled() {
                ExchangeError::NotSent
            } else if error.is_parse() {
                ExchangeError::Lost
            } else {
                ExchangeError::Reset
            }
        })?;
        let answer = self.read_answer(reply).await;
        answer.ok_or(ExchangeError::Lost)
    }

    async fn read_answer(&mut self, reply: Response<Incoming>) -> Option<ReplicaAnswer> {
        let (head, body) = reply.into_parts();
        let mut collected = std::pin::pin!(Limited::new(body, ANSWER_MAX_BYTES).collect());
        let collected = poll_fn(|context| {
            self.drive(context);
            collected.as_mut().poll(context)
        });
        let body = collected.await.ok()?.to_bytes();
        self.used = true;
        self.idle_since = Instant::now();
        self.idle_timeout = parse_keep_alive_timeout(&head.headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        Some(ReplicaAnswer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }
}

/// Polls the connection driver unless it has finished.
fn drive(driver: &mut Pin<Box<Driver>>, ended: &mut bool, context: &mut Context<'_>) {
    // A driver error surfaces as a missing answer.
    if !*ended && driver.as_mut().poll(context).is_ready() {
        *ended = true;
    }
}

/// Parses the timeout of a `keep-alive` header and subtracts [`IDLE_MARGIN`].
fn parse_keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds.min(3_600)).saturating_sub(IDLE_MARGIN))
}
