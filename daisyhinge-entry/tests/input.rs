//! Tests of the HTTP port of an entry: invalid input is refused with its result code and does not
//! affect later requests, HTTP/2 is accepted, and a request whose caller disconnects is cancelled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::metric::EntryMetrics;
use daisyhinge::prelude::*;
use daisyhinge::shell::entry::EntryShell;
use daisyhinge::vocabulary::setting::EntrySettings;
use daisyhinge_fakes::checker::send_query;
use daisyhinge_fakes::control::FakeControl;
use daisyhinge_fakes::http::{build_client, send_request};
use daisyhinge_fakes::server::{FakeServer, FakeSettings};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_mins(1);

struct EntryFixture {
    _control: FakeControl,
    entry: EntryShell,
    server: FakeServer,
}

impl EntryFixture {
    async fn open(service_us: u64) -> Self {
        let document = json!({
            "regions": [{"name": "lagos", "data_centres": [{"name": "lagos-1"}]}],
            "services": [
                {"name": "labels", "repeatable": true, "deadline_ms": 5_000},
                {"name": "prints", "repeatable": false},
            ],
        });
        let document = serde_json::from_value(document).unwrap();
        let control = FakeControl::spawn("production", document).await.unwrap();
        let any_port = "127.0.0.1:0";
        let settings: EntrySettings = serde_json::from_value(json!({
            "vm": "entry-1", "environment": "production", "data_centre": "lagos-1",
            "caller_address": any_port, "peer_address": any_port, "metrics_address": any_port,
            "control": [control.address()], "limits": {"body_max_bytes": 2_000},
        }))
        .unwrap();
        let metrics = EntryMetrics::register(&mut prometheus_client::registry::Registry::default());
        let entry = EntryShell::spawn(settings, metrics, Arc::new(|_| {}))
            .await
            .unwrap();
        let mut settings =
            FakeSettings::new("labels", "labels-0", "lagos-1", &[entry.caller_address()]);
        settings.service_us = service_us;
        let server = FakeServer::spawn(settings).await.unwrap();
        let fixture = Self {
            _control: control,
            entry,
            server,
        };
        let caller = build_client();
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        for attempt in 0.. {
            let reply = send_query(
                &caller,
                fixture.address(),
                "labels",
                &format!("ready-{attempt}"),
            )
            .await;
            if reply.is_ok_and(|reply| reply["complete"] == true) {
                break;
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "the entry never returned a complete answer"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        fixture
    }

    fn address(&self) -> SocketAddr {
        self.entry.caller_address()
    }

    async fn response_code(
        &self,
        method: &str,
        path: &str,
        header: (&str, &str),
        body: &str,
    ) -> u64 {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address()))
            .header(header.0, header.1)
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        let response = send_request(&build_client(), request, TIMEOUT)
            .await
            .unwrap();
        let reply: Value = response.read_json().unwrap();
        if path.starts_with("/v1/services") {
            assert_eq!(reply["run"], "not-run", "{reply}");
        }
        reply["code"].as_u64().unwrap()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_with_its_code_and_later_requests_succeed() {
    let fixture = EntryFixture::open(1_000).await;
    let query = "/v1/services/labels/query";
    let no_header = ("accept", "*/*");
    let oversized_body = "x".repeat(3_000);
    let mut announcement = json!({
        "replica": "labels-9", "service": "labels", "data_centre": "lagos-1",
        "address": "127.0.0.1:1", "slots": 2, "connections": 5, "state": "ready",
        "incarnation": 1, "sequence": 1, "cold_allowance": 0,
        "snapshots": [{"snapshot": 1, "generation": 1, "shard": 0, "shards": 7, "weight": 1,
            "whole_weight": 9}],
    });
    let other_partition = announcement.to_string();
    announcement["slots"] = json!(0);
    let no_slots = announcement.to_string();
    let cases = [
        (
            "POST",
            "/v1/services/nothing/query",
            no_header,
            "{}",
            ResultCode::UnknownService,
        ),
        (
            "POST",
            "/v1/services/a%20b/query",
            no_header,
            "{}",
            ResultCode::BadName,
        ),
        ("GET", query, no_header, "", ResultCode::BadMethod),
        ("POST", "/v1/else", no_header, "", ResultCode::UnknownPath),
        (
            "POST",
            query,
            no_header,
            &oversized_body,
            ResultCode::BodyTooLarge,
        ),
        (
            "POST",
            query,
            ("daisyhinge-deadline-ms", "0"),
            "",
            ResultCode::BadDeadline,
        ),
        (
            "POST",
            query,
            ("daisyhinge-deadline-ms", "99999999"),
            "",
            ResultCode::BadDeadline,
        ),
        (
            "POST",
            query,
            ("daisyhinge-deadline-ms", "soon"),
            "",
            ResultCode::BadHeader,
        ),
        (
            "POST",
            query,
            ("daisyhinge-minimum-coverage", "1.5"),
            "",
            ResultCode::BadHeader,
        ),
        (
            "POST",
            query,
            ("daisyhinge-minimum-coverage", "NaN"),
            "",
            ResultCode::BadHeader,
        ),
        (
            "POST",
            query,
            ("daisyhinge-preference", "both"),
            "",
            ResultCode::BadHeader,
        ),
        (
            "POST",
            query,
            ("daisyhinge-request", "a b"),
            "",
            ResultCode::BadName,
        ),
        (
            "POST",
            "/v1/services/prints/query",
            no_header,
            "",
            ResultCode::MissingRequestId,
        ),
        (
            "POST",
            "/v1/announce",
            no_header,
            "{\"replica\":",
            ResultCode::MalformedJson,
        ),
        (
            "POST",
            "/v1/announce",
            no_header,
            &no_slots,
            ResultCode::AnnouncementRange,
        ),
        (
            "POST",
            "/v1/announce",
            no_header,
            &other_partition,
            ResultCode::AnnouncementContradicts,
        ),
    ];
    for (method, path, header, body, code) in cases {
        let actual = fixture.response_code(method, path, header, body).await;
        assert_eq!(
            actual,
            u64::from(code.number()),
            "{method} {path} {header:?}"
        );
    }
    let mut invalid_client = TcpStream::connect(fixture.address()).await.unwrap();
    invalid_client
        .write_all(b"\x00\xff nonsense\r\n\r\n")
        .await
        .unwrap();
    let mut reply = Vec::new();
    let _reset_or_end = invalid_client.read_to_end(&mut reply).await;
    let reply = send_query(&build_client(), fixture.address(), "labels", "after")
        .await
        .unwrap();
    assert_eq!(reply["complete"], true);
}

#[tokio::test(flavor = "multi_thread")]
async fn http_2_query_is_answered() {
    let fixture = EntryFixture::open(1_000).await;
    let stream = TokioIo::new(TcpStream::connect(fixture.address()).await.unwrap());
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), stream)
            .await
            .unwrap();
    tokio::spawn(connection);
    let request = Request::post(format!(
        "http://{}/v1/services/labels/query",
        fixture.address()
    ))
    .body(Full::new(Bytes::from_static(b"{}")))
    .unwrap();
    let response = sender.send_request(request).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let reply: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(reply["complete"], true);
}

#[tokio::test(flavor = "multi_thread")]
async fn abandoned_request_is_cancelled_at_the_backend_server() {
    let fixture = EntryFixture::open(1_000).await;
    fixture
        .server
        .change_faults(|faults| faults.slow_times = 3_000.0);
    let started_before = fixture.server.record().started;
    let mut caller = TcpStream::connect(fixture.address()).await.unwrap();
    let text = "POST /v1/services/labels/query HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(text.as_bytes()).await.unwrap();
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while fixture.server.record().started == started_before {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the sub-request never started"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    while fixture.server.record().cancelled == 0 {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the sub-request was never cancelled"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
