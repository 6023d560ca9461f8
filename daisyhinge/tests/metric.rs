//! Metrics, and the HTTP port that serves metrics, the timeline and progress.

use std::net::SocketAddr;
use std::time::Duration;

use daisyhinge::metric::label::ReplicaLabel;
use daisyhinge::metric::{ControlMetrics, EntryMetrics};
use daisyhinge::prelude::*;
use daisyhinge::shell::metric::MetricPort;
use daisyhinge::shell::timeline::EventLog;
use daisyhinge::timeline::EventPage;
use daisyhinge::vocabulary::event::{EventDraft, EventKind};
use daisyhinge::vocabulary::replica::{KeeperLoad, ReplicaAvailability};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends one request without a body and returns the status and the body of the reply.
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
async fn errors_have_status_and_code() {
    let (port, log) = bind_port().await;
    for (head, status, number) in [
        ("GET /other", 404, "1007"),
        ("POST /metrics", 405, "1008"),
        ("GET /v1/timeline?kind=none", 400, "6006"),
    ] {
        let (actual, body) = fetch(port.address(), head).await;
        assert_eq!(actual, status, "{head}");
        assert!(body.contains(number), "{head}: {body}");
    }
    let second = MetricPort::bind(port.address(), log.clone(), Registry::default(), || 0).await;
    assert_eq!(second.unwrap_err(), ResultCode::BindFailed);
}

fn encode_registry(registry: &Registry) -> String {
    let mut text = String::new();
    encode(&mut text, registry).unwrap();
    text
}

#[test]
fn refusal_metrics_have_code_and_name() {
    let mut registry = Registry::default();
    let metrics = EntryMetrics::register(&mut registry);
    let service = metrics.open_service(&ServiceName::from("card-view"));
    service.requests.inc();
    service.hedges.inc_by(2);
    service.record_refusal(ResultCode::Overloaded, Duration::from_millis(1));
    service.record_missing(ResultCode::ShardLate);
    service.record_answer(false, false, Duration::from_millis(3));
    metrics.set_lease(true, Duration::from_millis(250), VersionNumber(9));
    let text = encode_registry(&registry);
    for line in [
        "daisyhinge_requests_total{service=\"card-view\"} 1",
        "daisyhinge_hedges_total{service=\"card-view\"} 2",
        "daisyhinge_refusals_total{service=\"card-view\",code=\"2001\",name=\"Overloaded\"} 1",
        "daisyhinge_missing_shards_total{service=\"card-view\",code=\"3018\",name=\"ShardLate\"} 1",
        "daisyhinge_answers_partial_total{service=\"card-view\"} 1",
        "daisyhinge_request_seconds_count{service=\"card-view\"} 2",
        "daisyhinge_lease_age_seconds 0.25",
        "daisyhinge_version_in_force 9",
    ] {
        assert!(text.contains(line), "{line}\n{text}");
    }
}

#[test]
fn released_replica_is_not_shown() {
    let mut registry = Registry::default();
    let metrics = EntryMetrics::register(&mut registry);
    let label = ReplicaLabel {
        replica: ReplicaName::from("card-0-a"),
        service: ServiceName::from("card-view"),
        data_centre: CentreName::from("lagos-1"),
    };
    let load = KeeperLoad {
        running: 1,
        queued: 4,
        limit: 2,
        service_us: 0,
    };
    metrics
        .open_replica(&label)
        .set_load(load, ReplicaAvailability::Cold);
    let text = encode_registry(&registry);
    assert!(
        text.contains("replica_queued{replica=\"card-0-a\""),
        "{text}"
    );
    metrics.remove_replica(&label);
    assert!(!encode_registry(&registry).contains("card-0-a"));
}

#[test]
fn control_metrics_count_changes_by_outcome() {
    let mut registry = Registry::default();
    let metrics = ControlMetrics::register(&mut registry);
    metrics.record_change(ResultCode::VersionConflict);
    metrics.set_term_and_version(3, VersionNumber(12));
    let text = encode_registry(&registry);
    let line = "daisyhinge_control_changes_total{code=\"5001\",name=\"VersionConflict\"} 1";
    assert!(text.contains(line), "{text}");
    assert!(text.contains("daisyhinge_control_version 12"), "{text}");
}
