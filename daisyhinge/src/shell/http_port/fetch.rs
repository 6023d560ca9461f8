//! HTTP client for a single request to a port.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Timeout for opening the connection, if the timeout of the call is not shorter.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a reply, in bytes.
pub const REPLY_MAX_BYTES: usize = 64 << 20;

/// A request to the operator or metrics port of a process.
#[derive(Clone, Debug)]
pub struct PortRequest {
    /// HTTP method, such as `GET`.
    pub method: Method,
    /// Path and query of the URL.
    pub target: String,
    /// Operator token, if the port requires one.
    pub token: Option<String>,
    /// Request body; empty for `GET`.
    pub body: Bytes,
}

impl PortRequest {
    /// Creates a `GET` request without a token.
    pub fn get(target: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            token: None,
            body: Bytes::new(),
        }
    }
}

/// A reply from the operator or metrics port of a process.
#[derive(Clone, Debug)]
pub struct PortReply {
    /// HTTP status code.
    pub status: u16,
    /// Complete body, at most [`REPLY_MAX_BYTES`] long.
    pub body: Bytes,
}

/// Reason why no reply was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchError {
    /// The request was not sent.
    NotSent,
    /// The request may have been processed.
    Unknown,
}

/// Sends a request to `address` on a new connection and reads the reply within `timeout`.
///
/// # Errors
///
/// [`FetchError`], which tells whether the request may have been processed.
pub async fn fetch(
    address: SocketAddr,
    port_request: &PortRequest,
    timeout: Duration,
) -> Result<PortReply, FetchError> {
    let request = build_request(address, port_request).ok_or(FetchError::NotSent)?;
    let stream = tokio::time::timeout(CONNECT_TIMEOUT.min(timeout), TcpStream::connect(address))
        .await
        .map_err(|_elapsed| FetchError::NotSent)?
        .map_err(|_error| FetchError::NotSent)?;
    tokio::time::timeout(timeout, exchange(stream, request))
        .await
        .unwrap_or(Err(FetchError::Unknown))
}

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<PortReply, FetchError> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_error| FetchError::NotSent)?;
    let call = async move {
        let reply = sender
            .send_request(request)
            .await
            .map_err(|_error| FetchError::Unknown)?;
        let status = reply.status().as_u16();
        let body = Limited::new(reply.into_body(), REPLY_MAX_BYTES)
            .collect()
            .await
            .map_err(|_error| FetchError::Unknown)?
            .to_bytes();
        Ok(PortReply { status, body })
    };
    // The connection is polled together with the request and dropped with it. A connection error
    // surfaces as an error of the request.
    let driver = async {
        let _ = connection.await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        reply = call => reply,
        () = driver => Err(FetchError::Unknown),
    }
}

fn build_request(address: SocketAddr, port_request: &PortRequest) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(port_request.method.clone())
        .uri(port_request.target.as_str())
        .header(HOST, address.to_string());
    if let Some(token) = &port_request.token {
        let mut value = HeaderValue::from_str(&format!("Bearer {token}")).ok()?;
        value.set_sensitive(true);
        request = request.header(AUTHORIZATION, value);
    }
    request.body(Full::new(port_request.body.clone())).ok()
}
