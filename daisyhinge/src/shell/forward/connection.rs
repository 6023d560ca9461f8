//! An HTTP/1.1 connection to a replica, polled by the request that uses it.
//!
//! No task watches idle connections. A connection is checked before it is reused, and discarded if
//! it was closed or received unexpected bytes in the meantime.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::answer_body::AnswerCollector;
use super::drop_reason::DropReason;
use super::limited_stream::{LimitedStream, ReceiveLimit};
use crate::shell::header::is_final_status;

type Driver = Connection<TokioIo<LimitedStream>, Full<Bytes>>;

/// Idle timeout if the replica does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Margin by which a connection is discarded before the replica would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum size of the headers of an answer, and of the buffer for received bytes.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// Maximum number of bytes received before the headers are complete, interim answers included.
const HEAD_PHASE_MAX_BYTES: usize = 2 * HEAD_MAX_BYTES;

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
    /// The request may have reached the replica, and its answer was dropped.
    Dropped(DropReason),
    /// The request may have reached the replica, and the connection ended before any part of an
    /// answer.
    Reset,
}

/// An open connection to a replica.
pub(super) struct ReplicaConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    limit: Arc<ReceiveLimit>,
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
        let limit = Arc::<ReceiveLimit>::default();
        let stream = TokioIo::new(LimitedStream::open(stream, Arc::clone(&limit)));
        let mut builder = Builder::new();
        builder.max_buf_size(HEAD_MAX_BYTES);
        let (sender, driver) = builder.handshake(stream).await.ok()?;
        Some(Self {
            sender,
            driver: Box::pin(driver),
            limit,
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

    /// Sends a request and reads the complete answer into `collector`.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        collector: AnswerCollector,
    ) -> Result<ReplicaAnswer, ExchangeError> {
        self.limit.reset(HEAD_PHASE_MAX_BYTES);
        let Self {
            sender,
            driver,
            ended,
            limit,
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
            } else if limit.is_exceeded() {
                ExchangeError::Dropped(DropReason::Oversized)
            } else if error.is_parse() {
                ExchangeError::Dropped(DropReason::Malformed)
            } else {
                ExchangeError::Reset
            }
        })?;
        if !is_final_status(reply.status().as_u16()) {
            return Err(ExchangeError::Dropped(DropReason::Malformed));
        }
        limit.reset(collector.wire_max_bytes());
        self.read_answer(reply, collector)
            .await
            .map_err(ExchangeError::Dropped)
    }

    async fn read_answer(
        &mut self,
        reply: Response<Incoming>,
        mut collector: AnswerCollector,
    ) -> Result<ReplicaAnswer, DropReason> {
        let (head, mut body) = reply.into_parts();
        collector.set_size(body.size_hint().exact());
        loop {
            let mut frame = std::pin::pin!(body.frame());
            let frame = poll_fn(|context| {
                self.drive(context);
                frame.as_mut().poll(context)
            });
            match frame.await {
                None => break,
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        collector.add_piece(data).await?;
                    }
                }
                Some(Err(_)) if self.limit.is_exceeded() => return Err(DropReason::Oversized),
                Some(Err(_error)) => return Err(DropReason::Truncated),
            }
        }
        self.used = true;
        self.idle_since = Instant::now();
        self.idle_timeout = parse_keep_alive_timeout(&head.headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        Ok(ReplicaAnswer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: collector.into_bytes(),
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
