//! HTTP helpers on top of hyper that all fakes share.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest body that the fakes read, in bytes.
const BODY_MAX_BYTES: usize = 8 << 20;

/// An HTTP/1.1 client with pooled connections.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A response with its body read completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status code of the response.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body, of at most 8 MiB.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Parses the body as JSON; `None` if it does not match `T`.
    pub fn read_json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Builds an HTTP client that keeps idle connections.
pub fn build_client() -> HttpClient {
    build_client_from(None)
}

/// Builds an HTTP client that connects from `source`, so that servers can distinguish it from other
/// clients.
pub fn build_client_from(source: Option<IpAddr>) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_local_address(source);
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Reads a body to its end; `None` if it ends early or exceeds the size limit.
pub async fn read_body(body: Incoming) -> Option<Bytes> {
    let body = Limited::new(body, BODY_MAX_BYTES);
    body.collect()
        .await
        .ok()
        .map(http_body_util::Collected::to_bytes)
}

/// Sends `request` and reads the complete response within `timeout`.
///
/// # Errors
///
/// `ConnectFailed` if no connection is established, `ConnectionReset` if the connection ends early,
/// `SubRequestExpired` after `timeout`.
pub async fn send_request(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<BufferedResponse, ResultCode> {
    let exchange = async {
        let response = client.request(request).await.map_err(|error| {
            if error.is_connect() {
                ResultCode::ConnectFailed
            } else {
                ResultCode::ConnectionReset
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = read_body(body).await.ok_or(ResultCode::ConnectionReset)?;
        Ok(BufferedResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(ResultCode::SubRequestExpired))
}

/// Sends a POST request with `value` as JSON to `path` at `address`.
///
/// # Errors
///
/// Those of [`send_request`]; `MalformedRequest` if `path` is not a path.
pub async fn post_json<T: Serialize>(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    value: &T,
    timeout: Duration,
) -> Result<BufferedResponse, ResultCode> {
    let body = serde_json::to_vec(value).map_err(|_not_json| ResultCode::MalformedJson)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|_not_a_path| ResultCode::MalformedRequest)?;
    send_request(client, request, timeout).await
}

/// Sends a GET request for `path` to `address`.
///
/// # Errors
///
/// Those of [`send_request`]; `MalformedRequest` if `path` is not a path.
pub async fn get_path(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<BufferedResponse, ResultCode> {
    let request = Request::builder()
        .uri(format!("http://{address}{path}"))
        .body(Full::default())
        .map_err(|_not_a_path| ResultCode::MalformedRequest)?;
    send_request(client, request, timeout).await
}

/// Builds a response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns a header's value as text; `None` if it is absent or not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's value as a number; `None` if it is absent or not an unsigned integer.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}
