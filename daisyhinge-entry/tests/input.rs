//! Bad input gets its number and disturbs nobody; HTTP/2 works; an abandoned request is cancelled.

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
use daisyhinge_fakes::http::{build_caller, send_request};
use daisyhinge_fakes::server::{FakeServer, FakeSettings};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PATIENCE: Duration = Duration::from_mins(1);

struct InputBench {
    _control: FakeControl,
    entry: EntryShell,
    server: FakeServer,
}

impl InputBench {
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
        let any = "127.0.0.1:0";
        let settings: EntrySettings = serde_json::from_value(json!({
            "vm": "entry-1", "environment": "production", "data_centre": "lagos-1",
            "caller_address": any, "peer_address": any, "metrics_address": any,
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
        let bench = Self {
            _control: control,
            entry,
            server,
        };
        let caller = build_caller();
        let until = tokio::time::Instant::now() + PATIENCE;
        for turn in 0.. {
            let reply =
                send_query(&caller, bench.address(), "labels", &format!("ready-{turn}")).await;
            if reply.is_ok_and(|reply| reply["complete"] == true) {
                break;
            }
            assert!(
                tokio::time::Instant::now() < until,
                "the entry never served"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        bench
    }

    fn address(&self) -> SocketAddr {
        self.entry.caller_address()
    }

    async fn code_of(&self, method: &str, path: &str, header: (&str, &str), body: &str) -> u64 {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address()))
            .header(header.0, header.1)
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        let response = send_request(&build_caller(), request, PATIENCE)
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
async fn bad_input_is_refused_by_number_and_disturbs_nobody() {
    let bench = InputBench::open(1_000).await;
    let query = "/v1/services/labels/query";
    let none = ("accept", "*/*");
    let long = "x".repeat(3_000);
    let mut contradicts = json!({
        "replica": "labels-9", "service": "labels", "data_centre": "lagos-1",
        "address": "127.0.0.1:1", "slots": 2, "connections": 5, "state": "ready",
        "incarnation": 1, "sequence": 1, "cold_allowance": 0,
        "snapshots": [{"snapshot": 1, "generation": 1, "shard": 0, "shards": 7, "weight": 1,
            "whole_weight": 9}],
    });
    let other_partition = contradicts.to_string();
    contradicts["slots"] = json!(0);
    let no_slots = contradicts.to_string();
    let cases = [
        (
            "POST",
            "/v1/services/nothing/query",
            none,
            "{}",
            ResultCode::UnknownService,
        ),
        (
            "POST",
            "/v1/services/a%20b/query",
            none,
            "{}",
            ResultCode::BadName,
        ),
        ("GET", query, none, "", ResultCode::BadMethod),
        ("POST", "/v1/else", none, "", ResultCode::UnknownPath),
        ("POST", query, none, &long, ResultCode::BodyTooLarge),
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
            none,
            "",
            ResultCode::MissingRequestId,
        ),
        (
            "POST",
            "/v1/announce",
            none,
            "{\"replica\":",
            ResultCode::MalformedJson,
        ),
        (
            "POST",
            "/v1/announce",
            none,
            &no_slots,
            ResultCode::AnnouncementRange,
        ),
        (
            "POST",
            "/v1/announce",
            none,
            &other_partition,
            ResultCode::AnnouncementContradicts,
        ),
    ];
    for (method, path, header, body, code) in cases {
        let got = bench.code_of(method, path, header, body).await;
        assert_eq!(got, u64::from(code.number()), "{method} {path} {header:?}");
    }
    let mut garbage = TcpStream::connect(bench.address()).await.unwrap();
    garbage
        .write_all(b"\x00\xff nonsense\r\n\r\n")
        .await
        .unwrap();
    let mut reply = Vec::new();
    let _reset_or_end = garbage.read_to_end(&mut reply).await;
    let reply = send_query(&build_caller(), bench.address(), "labels", "after")
        .await
        .unwrap();
    assert_eq!(reply["complete"], true);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_over_http_2_is_answered() {
    let bench = InputBench::open(1_000).await;
    let stream = TokioIo::new(TcpStream::connect(bench.address()).await.unwrap());
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), stream)
            .await
            .unwrap();
    tokio::spawn(connection);
    let request = Request::post(format!(
        "http://{}/v1/services/labels/query",
        bench.address()
    ))
    .body(Full::new(Bytes::from_static(b"{}")))
    .unwrap();
    let response = sender.send_request(request).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let reply: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(reply["complete"], true);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_abandoned_request_is_cancelled_at_the_backend_server() {
    let bench = InputBench::open(1_000).await;
    bench
        .server
        .change_faults(|faults| faults.slow_times = 3_000.0);
    let begun = bench.server.record().started;
    let mut caller = TcpStream::connect(bench.address()).await.unwrap();
    let text = "POST /v1/services/labels/query HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(text.as_bytes()).await.unwrap();
    let until = tokio::time::Instant::now() + PATIENCE;
    while bench.server.record().started == begun {
        assert!(tokio::time::Instant::now() < until, "it never started");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    while bench.server.record().cancelled == 0 {
        assert!(
            tokio::time::Instant::now() < until,
            "it was never cancelled"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
