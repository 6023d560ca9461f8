//! Tests of the fake backend server: slots and runs are counted, and injected faults take effect.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use daisyhinge_fakes::http::{
    BufferedResponse, HttpClient, build_client, header_text, send_request,
};
use daisyhinge_fakes::server::answer::format_crc;
use daisyhinge_fakes::server::{
    ColdSettings, DamageKind, EchoPayload, FakeServer, FakeSettings, build_snapshot,
};
use http_body_util::Full;
use hyper::Request;

const TIMEOUT: Duration = Duration::from_secs(10);

struct TestRequest {
    id: &'static str,
    sequence: u64,
    snapshot: u64,
    repeatable: bool,
    expires_us: u64,
    body: &'static str,
}

impl Default for TestRequest {
    fn default() -> Self {
        Self {
            id: "r-1",
            sequence: 1,
            snapshot: 1,
            repeatable: true,
            expires_us: 5_000_000,
            body: "groundnut",
        }
    }
}

fn build_request(address: SocketAddr, request: &TestRequest) -> Request<Full<Bytes>> {
    Request::post(format!("http://{address}/v1/sub-request"))
        .header("daisyhinge-request", request.id)
        .header("daisyhinge-attempt", format!("a-{:x}", request.sequence))
        .header("daisyhinge-service", "cards")
        .header("daisyhinge-replica", "cards-0-a")
        .header("daisyhinge-shard", "0")
        .header("daisyhinge-snapshot", request.snapshot.to_string())
        .header("daisyhinge-deadline-us", request.expires_us.to_string())
        .header("daisyhinge-expires-us", request.expires_us.to_string())
        .header("daisyhinge-repeatable", request.repeatable.to_string())
        .body(Full::new(Bytes::from_static(request.body.as_bytes())))
        .unwrap()
}

async fn send(
    client: &HttpClient,
    server: &FakeServer,
    request: &TestRequest,
) -> Result<BufferedResponse, ResultCode> {
    send_request(client, build_request(server.address(), request), TIMEOUT).await
}

async fn cancel(client: &HttpClient, server: &FakeServer, attempt: &str) -> String {
    let request = Request::post(format!("http://{}/v1/cancel", server.address()))
        .header("daisyhinge-attempt", attempt)
        .body(Full::default())
        .unwrap();
    let response = send_request(client, request, TIMEOUT).await.unwrap();
    header_text(&response.headers, "daisyhinge-cancelled")
        .unwrap()
        .to_owned()
}

fn settings() -> FakeSettings {
    FakeSettings::new("cards", "cards-0-a", "lagos-1", &[])
}

async fn wait_in_hand(server: &FakeServer, count: u32) {
    while server.record().in_hand != count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn an_answer_echoes_its_sub_request() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    let client = build_client();
    let answer = send(&client, &server, &TestRequest::default())
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(
        header_text(&answer.headers, "daisyhinge-attempt"),
        Some("a-1")
    );
    let checksum = format_crc(&answer.body);
    assert_eq!(
        header_text(&answer.headers, "daisyhinge-checksum"),
        Some(checksum.as_str())
    );
    let payload = answer.read_json::<EchoPayload>().unwrap();
    assert_eq!(payload.echo_crc, format_crc(b"groundnut"));
    assert_eq!(payload.snapshot, SnapshotNumber(1));
    assert_eq!(server.record().log.len(), 1);
    let old = TestRequest {
        snapshot: 9,
        ..TestRequest::default()
    };
    assert_eq!(send(&client, &server, &old).await.unwrap().status, 409);
}

#[tokio::test]
async fn sub_requests_beyond_the_slots_are_counted() {
    let server = FakeServer::spawn(FakeSettings {
        slots: 2,
        service_us: 50_000,
        ..settings()
    })
    .await
    .unwrap();
    let client = build_client();
    let requests = (0..3).map(|sequence| {
        let (client, server) = (&client, &server);
        async move {
            send(
                client,
                server,
                &TestRequest {
                    sequence,
                    ..TestRequest::default()
                },
            )
            .await
        }
    });
    let answers = futures::future::join_all(requests).await;
    assert!(
        answers
            .iter()
            .all(|answer| answer.as_ref().unwrap().status == 200)
    );
    let record = server.record();
    assert_eq!((record.peak_in_hand, record.slots_exceeded), (3, 1));
}

#[tokio::test]
async fn runs_of_a_non_repeatable_request_are_counted() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    let client = build_client();
    for sequence in 0..2 {
        let request = TestRequest {
            sequence,
            repeatable: false,
            ..TestRequest::default()
        };
        assert_eq!(send(&client, &server, &request).await.unwrap().status, 200);
    }
    assert_eq!(server.record().single_runs[&RequestId::from("r-1")], 2);
}

#[tokio::test]
async fn cancel_reports_stopped_work_and_prevents_a_late_start() {
    let server = FakeServer::spawn(FakeSettings {
        service_us: 2_000_000,
        ..settings()
    })
    .await
    .unwrap();
    let client = build_client();
    let running = TestRequest::default();
    let work = send(&client, &server, &running);
    let stop = async {
        wait_in_hand(&server, 1).await;
        cancel(&client, &server, "a-1").await
    };
    let (answer, stopped) = tokio::join!(work, stop);
    assert_eq!(
        (answer.unwrap().status.as_u16(), stopped.as_str()),
        (504, "true")
    );
    assert_eq!(server.record().in_hand, 0);
    // An attempt that is cancelled before it arrives never starts.
    assert_eq!(cancel(&client, &server, "a-2").await, "true");
    let late = TestRequest {
        sequence: 2,
        ..TestRequest::default()
    };
    assert_eq!(send(&client, &server, &late).await.unwrap().status, 504);
    assert_eq!(server.record().started, 1);
}

/// If the sender gives up just before the answer arrives, the cancel must report that the work has
/// stopped; otherwise the slot would appear taken until the expiry.
#[tokio::test]
async fn cancel_after_the_answer_reports_stopped_work() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    let client = build_client();
    assert_eq!(
        send(&client, &server, &TestRequest::default())
            .await
            .unwrap()
            .status,
        200
    );
    assert_eq!(cancel(&client, &server, "a-1").await, "true");
    assert_eq!(server.record().in_hand, 0);
    assert_eq!(server.record().answered, 1);
}

#[tokio::test]
async fn crash_marker_crashes_and_restarts_the_server() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    server.change_faults(|faults| faults.restart_ms = 20);
    let client = build_client();
    let request = TestRequest {
        body: "crash-the-server please",
        ..TestRequest::default()
    };
    assert_eq!(
        send(&client, &server, &request).await.unwrap_err(),
        ResultCode::ConnectionReset
    );
    while server.incarnation() != IncarnationNumber(2) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let after = TestRequest {
        sequence: 2,
        ..TestRequest::default()
    };
    while send(&client, &server, &after).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(server.record().marked_runs[&RequestId::from("r-1")], 1);
}

#[tokio::test]
async fn cold_server_collapses_beyond_its_capacity() {
    let server = FakeServer::spawn(FakeSettings {
        service_us: 300_000,
        ..settings()
    })
    .await
    .unwrap();
    server.turn_cold(ColdSettings {
        warm_after: 2,
        collapse_ms: 10,
        ..ColdSettings::default()
    });
    let client = build_client();
    let first = TestRequest::default();
    let work = send(&client, &server, &first);
    let overload = async {
        wait_in_hand(&server, 1).await;
        send(
            &client,
            &server,
            &TestRequest {
                sequence: 2,
                ..TestRequest::default()
            },
        )
        .await
    };
    let (one, two) = tokio::join!(work, overload);
    assert!(one.is_err() && two.is_err());
    assert_eq!(server.record().collapses, 1);
    // Sub-requests one at a time warm the server up without a collapse.
    let mut sequence = 3;
    while server.record().warm_at_us == 0 {
        drop(
            send(
                &client,
                &server,
                &TestRequest {
                    sequence,
                    ..TestRequest::default()
                },
            )
            .await,
        );
        sequence += 1;
    }
    assert_eq!(server.record().collapses, 1);
}

#[tokio::test]
async fn work_ends_at_its_expiry() {
    let server = FakeServer::spawn(FakeSettings {
        service_us: 5_000_000,
        ..settings()
    })
    .await
    .unwrap();
    let client = build_client();
    let request = TestRequest {
        expires_us: 20_000,
        ..TestRequest::default()
    };
    assert_eq!(send(&client, &server, &request).await.unwrap().status, 504);
    assert_eq!(server.record().expired, 1);
}

#[tokio::test]
async fn damaged_answers_are_recognisable() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    let client = build_client();
    let first = TestRequest {
        id: "r-0",
        ..TestRequest::default()
    };
    send(&client, &server, &first).await.unwrap();
    for (sequence, damage) in (2..).zip([
        DamageKind::Truncated,
        DamageKind::WrongChecksum,
        DamageKind::Crossed,
    ]) {
        server.change_faults(|faults| faults.damage = damage);
        let request = TestRequest {
            sequence,
            ..TestRequest::default()
        };
        let answer = send(&client, &server, &request).await.unwrap();
        let length = header_text(&answer.headers, "daisyhinge-length").unwrap();
        let checksum = header_text(&answer.headers, "daisyhinge-checksum").unwrap();
        let attempt = header_text(&answer.headers, "daisyhinge-attempt").unwrap();
        let complete = length.parse::<usize>().unwrap() == answer.body.len();
        let intact = checksum == format_crc(&answer.body);
        let attempt_matches = attempt == format!("a-{sequence:x}");
        let expected = match damage {
            DamageKind::Truncated => (false, false, true),
            DamageKind::WrongChecksum => (true, false, true),
            _ => (true, true, false),
        };
        assert_eq!((complete, intact, attempt_matches), expected, "{damage:?}");
    }
}

#[tokio::test]
async fn connections_beyond_the_limit_are_reset() {
    let server = FakeServer::spawn(FakeSettings {
        connections: 1,
        ..settings()
    })
    .await
    .unwrap();
    let open_connection = tokio::net::TcpStream::connect(server.address())
        .await
        .unwrap();
    while server.record().connections != 1 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let outcome = send(&build_client(), &server, &TestRequest::default()).await;
    outcome.unwrap_err();
    assert_eq!(server.record().connections_exceeded, 1);
    drop(open_connection);
}

#[tokio::test]
async fn roll_serves_both_snapshots_and_then_the_newer() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    let client = build_client();
    server.roll(build_snapshot(2, 0, 1), Duration::from_secs(1));
    for snapshot in 1..=2 {
        let request = TestRequest {
            snapshot,
            sequence: snapshot,
            ..TestRequest::default()
        };
        assert_eq!(send(&client, &server, &request).await.unwrap().status, 200);
    }
    let old = TestRequest {
        sequence: 9,
        ..TestRequest::default()
    };
    while send(&client, &server, &old).await.unwrap().status != 409 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
