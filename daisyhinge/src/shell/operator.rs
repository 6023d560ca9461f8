//! Operator port of a control VM, and its client.
//!
//! Every request must carry the operator token; without it only the request head is read. The port
//! has its own address, so that callers and backend servers never reach it.

pub mod calls;
pub mod client;
pub mod ports;
pub mod refusal;
pub mod token;

use std::net::SocketAddr;

use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response};
use serde::Serialize;

use crate::environment::{CHANGE_MAX_BYTES, check_change};
use crate::prelude::*;
use crate::shell::http_port::HttpPort;
use crate::shell::http_port::reply::{ReplyBody, reply_json};
use crate::shell::http_port::request::read_body;
use crate::vocabulary::change::ChangeRefusal;
use crate::vocabulary::field_error::FieldError;
use crate::vocabulary::name::check_name;
pub use calls::OperatorCalls;
pub use client::OperatorClient;
pub use ports::ControlPorts;
pub use refusal::OperatorRefusal;
pub use token::OperatorToken;

/// Running operator port.
#[derive(Debug)]
pub struct OperatorPort {
    port: HttpPort,
}

impl OperatorPort {
    /// Listens on `address` and answers requests that carry `token` with `calls`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if `address` cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        token: OperatorToken,
        calls: OperatorCalls,
    ) -> Result<Self, ResultCode> {
        let port = HttpPort::bind(address, move |request| {
            let authorized = is_authorized(&request, &token);
            let calls = calls.clone();
            async move {
                if authorized {
                    answer_request(request, calls).await
                } else {
                    refuse(OperatorRefusal::new(ResultCode::BadToken))
                }
            }
        })
        .await?;
        Ok(Self { port })
    }

    /// Address on which the port listens.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Stops listening and waits a few seconds for running requests.
    pub async fn close(self) {
        self.port.close().await;
    }
}

fn is_authorized(request: &Request<Incoming>, token: &OperatorToken) -> bool {
    request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .is_some_and(|presented| token.matches(presented))
}

async fn answer_request(request: Request<Incoming>, calls: OperatorCalls) -> Response<ReplyBody> {
    let method = match request.uri().path() {
        "/v1/change" => Method::POST,
        "/v1/environment" | "/v1/history" | "/v1/status" | "/v1/view" => Method::GET,
        _ => return refuse(OperatorRefusal::new(ResultCode::UnknownPath)),
    };
    if request.method() != method {
        return refuse(OperatorRefusal::new(ResultCode::BadMethod));
    }
    match request.uri().path() {
        "/v1/change" => answer_change(request, &calls).await,
        "/v1/environment" => match read_environment_name(&request) {
            Ok(name) => reply_result((calls.environment)(name).await),
            Err(error) => refuse_errors(vec![error]),
        },
        "/v1/history" => match read_environment_name(&request) {
            Ok(name) => reply_result((calls.history)(name).await),
            Err(error) => refuse_errors(vec![error]),
        },
        "/v1/status" => reply_result((calls.status)(()).await),
        _ => reply_result((calls.view)(()).await),
    }
}

async fn answer_change(request: Request<Incoming>, calls: &OperatorCalls) -> Response<ReplyBody> {
    let body = match read_body(request, CHANGE_MAX_BYTES).await {
        Ok(body) => body,
        Err(code) => return refuse(OperatorRefusal::new(code)),
    };
    match check_change(&body) {
        Ok(change) => reply_result((calls.change)(change).await),
        Err(errors) => refuse_errors(errors),
    }
}

fn read_environment_name(request: &Request<Incoming>) -> Result<EnvironmentName, FieldError> {
    let query = request.uri().query().unwrap_or("");
    query
        .strip_prefix("environment=")
        .filter(|name| check_name(name))
        .map(EnvironmentName::from)
        .ok_or_else(|| {
            let detail = "the query must be environment=NAME";
            FieldError::new("environment", ResultCode::BadName, detail)
        })
}

fn reply_result<T: Serialize>(result: Result<T, ChangeRefusal>) -> Response<ReplyBody> {
    match result {
        Ok(value) => reply_json(200, &value),
        Err(refusal) => refuse(OperatorRefusal::from(refusal)),
    }
}

fn refuse_errors(errors: Vec<FieldError>) -> Response<ReplyBody> {
    let code = match errors.as_slice() {
        [error] => error.code,
        _ => ResultCode::MalformedRequest,
    };
    refuse(OperatorRefusal {
        faults: errors,
        ..OperatorRefusal::new(code)
    })
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "callers pass a refusal that they no longer need"
)]
fn refuse(refusal: OperatorRefusal) -> Response<ReplyBody> {
    reply_json(refusal.code.http_status(), &refusal)
}
