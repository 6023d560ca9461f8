//! HTTP port for metrics, the timeline and progress.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use serde::Serialize;

use crate::prelude::*;
use crate::shell::http_port::HttpPort;
use crate::shell::http_port::reply::{ReplyBody, reply_json, reply_refusal, reply_text};
use crate::shell::timeline::EventLog;
use crate::timeline::EventFilter;

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Running port that serves `GET /metrics`, `GET /v1/timeline` and `GET /v1/progress`.
#[derive(Debug)]
pub struct MetricPort {
    port: HttpPort,
}

impl MetricPort {
    /// Listens on `address`. `progress` is called for each `GET /v1/progress` and must not block.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if `address` cannot be bound.
    pub async fn bind<P: Serialize + 'static>(
        address: SocketAddr,
        log: EventLog,
        registry: Registry,
        progress: impl Fn() -> P + Send + Sync + 'static,
    ) -> Result<Self, ResultCode> {
        let registry = Arc::new(registry);
        let port = HttpPort::bind(address, move |request: Request<Incoming>| {
            std::future::ready(answer_request(&request, &log, &registry, &progress))
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

fn answer_request<P: Serialize>(
    request: &Request<Incoming>,
    log: &EventLog,
    registry: &Registry,
    progress: &impl Fn() -> P,
) -> Response<ReplyBody> {
    let path = request.uri().path();
    if !matches!(path, "/metrics" | "/v1/timeline" | "/v1/progress") {
        return reply_refusal(ResultCode::UnknownPath, Vec::new());
    }
    if request.method() != Method::GET {
        return reply_refusal(ResultCode::BadMethod, Vec::new());
    }
    match path {
        "/metrics" => answer_metrics(registry),
        "/v1/timeline" => answer_timeline(request.uri().query().unwrap_or(""), log),
        _ => reply_json(200, &progress()),
    }
}

fn answer_metrics(registry: &Registry) -> Response<ReplyBody> {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = encode(&mut text, registry);
    reply_text(METRICS_TYPE, text)
}

fn answer_timeline(query: &str, log: &EventLog) -> Response<ReplyBody> {
    match EventFilter::parse(query) {
        Ok(filter) => reply_json(200, &log.select(&filter)),
        Err(errors) => reply_refusal(ResultCode::MalformedRequest, errors),
    }
}
