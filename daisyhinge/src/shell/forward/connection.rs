//! One connection to a replica, driven by whoever uses it.
//!
//! No task watches an idle connection. It is looked at before it is used again: one that was
//! closed meanwhile, or on which bytes came that nobody asked for, is not.

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

/// Idle time after which a connection is not used again, where the replica names none.
const IDLE_DEFAULT: Duration = Duration::from_secs(8);
/// Time by which a connection is given up before the replica closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// A whole answer.
#[derive(Debug)]
pub(super) struct WholeAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ExchangeFault {
    /// Nothing was written.
    NotSent,
    /// It may have arrived.
    Lost,
}

/// A connection.
pub(super) struct ReplicaConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    ended: bool,
    idle_since: Instant,
    idle_span: Duration,
    used: bool,
}

impl ReplicaConnection {
    /// Connects; unset if that fails.
    pub(super) async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        Some(Self {
            sender,
            driver: Box::pin(driver),
            ended: false,
            idle_since: Instant::now(),
            idle_span: IDLE_DEFAULT,
            used: false,
        })
    }

    /// How long it has been idle; unset if it was not used yet.
    pub(super) fn idle(&self) -> Option<Duration> {
        self.used.then(|| self.idle_since.elapsed())
    }

    /// Whether it may carry another request.
    pub(super) fn is_sound(&mut self) -> bool {
        if self.idle_since.elapsed() >= self.idle_span {
            return false;
        }
        let mut context = Context::from_waker(std::task::Waker::noop());
        self.drive(&mut context);
        !self.ended && self.sender.is_ready()
    }

    fn drive(&mut self, context: &mut Context<'_>) {
        drive(&mut self.driver, &mut self.ended, context);
    }

    /// Sends a request and reads the whole answer.
    pub(super) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<WholeAnswer, ExchangeFault> {
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
                ExchangeFault::NotSent
            } else {
                ExchangeFault::Lost
            }
        })?;
        let answer = self.read_answer(reply).await;
        answer.ok_or(ExchangeFault::Lost)
    }

    async fn read_answer(&mut self, reply: Response<Incoming>) -> Option<WholeAnswer> {
        let (head, body) = reply.into_parts();
        let mut collected = std::pin::pin!(Limited::new(body, ANSWER_MAX_BYTES).collect());
        let collected = poll_fn(|context| {
            self.drive(context);
            collected.as_mut().poll(context)
        });
        let body = collected.await.ok()?.to_bytes();
        self.used = true;
        self.idle_since = Instant::now();
        self.idle_span = read_idle_span(&head.headers).unwrap_or(IDLE_DEFAULT);
        Some(WholeAnswer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }
}

/// Lets a driver go on, unless it has ended.
fn drive(driver: &mut Pin<Box<Driver>>, ended: &mut bool, context: &mut Context<'_>) {
    // Its error shows in the answer that does not come.
    if !*ended && driver.as_mut().poll(context).is_ready() {
        *ended = true;
    }
}

/// The idle time that a replica names, less a margin.
fn read_idle_span(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds.min(3_600)).saturating_sub(IDLE_MARGIN))
}
