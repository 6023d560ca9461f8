//! Replies of a port.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::field_error::FieldError;

/// Body of a reply, buffered completely.
pub type ReplyBody = Full<Bytes>;

/// A refusal with a numeric result code.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PortRefusal {
    /// Result code that states the reason.
    pub code: ResultCode,
    /// Name of the result code.
    pub name: String,
    /// Description of the result code.
    pub message: String,
    /// Errors in the submitted input, each with its path.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FieldError>,
}

impl PortRefusal {
    /// Creates a refusal with the name and the description of `code`.
    pub fn new(code: ResultCode, errors: Vec<FieldError>) -> Self {
        Self {
            code,
            name: code.name().to_owned(),
            message: code.to_string(),
            faults: errors,
        }
    }
}

/// Builds a reply with the given status and `value` as JSON.
pub fn reply_json(status: u16, value: &impl Serialize) -> Response<ReplyBody> {
    match serde_json::to_vec(value) {
        Ok(body) => build_reply(status, "application/json", Bytes::from(body)),
        Err(_error) => build_reply(500, "text/plain", Bytes::from_static(b"not serialisable")),
    }
}

/// Builds a text reply with status 200.
pub fn reply_text(content_type: &'static str, text: String) -> Response<ReplyBody> {
    build_reply(200, content_type, Bytes::from(text))
}

/// Marks a reply whose body the process keeps anyway, however many clients read it.
#[derive(Clone, Copy, Debug)]
pub struct SharedContent;

/// Builds a reply with status 200 whose body is `bytes` unchanged. The process keeps `bytes` anyway.
pub fn reply_shared(content_type: &'static str, bytes: Bytes) -> Response<ReplyBody> {
    let mut reply = build_reply(200, content_type, bytes);
    reply.extensions_mut().insert(SharedContent);
    reply
}

/// Builds a refusal with a numeric result code.
pub fn reply_refusal(code: ResultCode, errors: Vec<FieldError>) -> Response<ReplyBody> {
    reply_json(code.http_status(), &PortRefusal::new(code, errors))
}

fn build_reply(status: u16, content_type: &'static str, body: Bytes) -> Response<ReplyBody> {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}
