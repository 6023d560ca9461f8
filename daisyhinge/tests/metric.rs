//! The port for metrics, the time line and progress, over real sockets.

use std::net::SocketAddr;

use daisyhinge::prelude::*;
use daisyhinge::shell::metric::MetricPort;
use daisyhinge::shell::timeline::EventLog;
use daisyhinge::timeline::EventPage;
use daisyhinge::vocabulary::event::{EventDraft, EventKind};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends one request and returns status and body.
async fn fetch(address: SocketAddr, head: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = format!("{head} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.unwrap();
    let (head, body) = reply.split_once("\r\n\r\n").unwrap();
    (head[9..12].parse().unwrap(), body.to_owned())
}

async fn bind_port() -> (MetricPort, EventLog) {
    let log = EventLog::open(VmName::from("vm-1"), 16);
    let mut registry = Registry::default();
    let counter: Counter = Counter::default();
    counter.inc_by(3);
    registry.register("tested", "A counter", counter);
    let address = "127.0.0.1:0".parse().unwrap();
    let port = MetricPort::bind(address, log.clone(), registry, || 7_u32)
        .await
        .unwrap();
    (port, log)
}

#[tokio::test]
async fn serves_metrics_timeline_and_progress() {
    let (port, log) = bind_port().await;
    let request = RequestId::from("r1");
    log.record(EventDraft::new(EventKind::RequestArrived).with_request(&request));
    log.record(EventDraft::new(EventKind::LeaseLost));
    let (status, text) = fetch(port.address(), "GET /metrics").await;
    assert_eq!(status, 200);
    assert!(text.contains("tested_total 3"), "{text}");
    let (status, text) = fetch(port.address(), "GET /v1/timeline?request=r1").await;
    assert_eq!(status, 200);
    let page: EventPage = serde_json::from_str(&text).unwrap();
    assert_eq!(page.events.len(), 1);
    assert_eq!(page.events[0].event.request, Some(request));
    assert_eq!(
        fetch(port.address(), "GET /v1/progress").await,
        (200, "7".to_owned())
    );
    port.close().await;
}

#[tokio::test]
async fn refuses_with_numbers() {
    let (port, log) = bind_port().await;
    for (head, status, number) in [
        ("GET /other", 404, "1007"),
        ("POST /metrics", 405, "1008"),
        ("GET /v1/timeline?kind=none", 400, "6006"),
    ] {
        let (got, body) = fetch(port.address(), head).await;
        assert_eq!(got, status, "{head}");
        assert!(body.contains(number), "{head}: {body}");
    }
    let again = MetricPort::bind(port.address(), log.clone(), Registry::default(), || 0).await;
    assert_eq!(again.unwrap_err(), ResultCode::BindFailed);
}
