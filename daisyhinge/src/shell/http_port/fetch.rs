//! Sends one request to a port and reads its reply.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Time to connect.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest reply that is read, in bytes.
pub const REPLY_MAX_BYTES: usize = 64 << 20;

/// A request to a port.
#[derive(Clone, Debug)]
pub struct PortAsk {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The operators' token, if the port wants one.
    pub token: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl PortAsk {
    /// A `GET` without token.
    pub fn get(target: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            token: None,
            body: Bytes::new(),
        }
    }
}

/// A port's reply.
#[derive(Clone, Debug)]
pub struct PortReply {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Why there is no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchFault {
    /// The request certainly did not leave.
    NotSent,
    /// The request may have been worked on.
    Unknown,
}

/// Sends `ask` to `address` on a connection of its own and reads the reply within `timeout`.
///
/// # Errors
///
/// [`FetchFault`], which says whether the request may have been worked on.
pub async fn fetch(
    address: SocketAddr,
    ask: &PortAsk,
    timeout: Duration,
) -> Result<PortReply, FetchFault> {
    let request = build_request(address, ask).ok_or(FetchFault::NotSent)?;
    let stream = tokio::time::timeout(CONNECT_TIMEOUT.min(timeout), TcpStream::connect(address))
        .await
        .map_err(|_elapsed| FetchFault::NotSent)?
        .map_err(|_error| FetchFault::NotSent)?;
    tokio::time::timeout(timeout, exchange(stream, request))
        .await
        .unwrap_or(Err(FetchFault::Unknown))
}

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<PortReply, FetchFault> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_error| FetchFault::NotSent)?;
    let ask = async move {
        let reply = sender
            .send_request(request)
            .await
            .map_err(|_error| FetchFault::Unknown)?;
        let status = reply.status().as_u16();
        let body = Limited::new(reply.into_body(), REPLY_MAX_BYTES)
            .collect()
            .await
            .map_err(|_error| FetchFault::Unknown)?
            .to_bytes();
        Ok(PortReply { status, body })
    };
    // The connection is driven beside the request and is dropped with it; its fault shows as the
    // request's.
    let driver = async {
        let _ = connection.await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        reply = ask => reply,
        () = driver => Err(FetchFault::Unknown),
    }
}

fn build_request(address: SocketAddr, ask: &PortAsk) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(ask.method.clone())
        .uri(ask.target.as_str())
        .header(HOST, address.to_string());
    if let Some(token) = &ask.token {
        let mut value = HeaderValue::from_str(&format!("Bearer {token}")).ok()?;
        value.set_sensitive(true);
        request = request.header(AUTHORIZATION, value);
    }
    request.body(Full::new(ask.body.clone())).ok()
}
