//! The fake backend server: slots and runs are counted, faults show as they should.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use daisyhinge_fakes::http::{HttpCaller, WholeResponse, build_caller, header_text, send_request};
use daisyhinge_fakes::server::answer::format_crc;
use daisyhinge_fakes::server::{
    ColdSettings, DamageKind, EchoPayload, FakeServer, FakeSettings, hold_snapshot,
};
use http_body_util::Full;
use hyper::Request;

const LIMIT: Duration = Duration::from_secs(10);

struct Ask {
    request: &'static str,
    sequence: u64,
    snapshot: u64,
    repeatable: bool,
    expires_us: u64,
    body: &'static str,
}

impl Default for Ask {
    fn default() -> Self {
        Self {
            request: "r-1",
            sequence: 1,
            snapshot: 1,
            repeatable: true,
            expires_us: 5_000_000,
            body: "groundnut",
        }
    }
}

fn ask_request(address: SocketAddr, ask: &Ask) -> Request<Full<Bytes>> {
    Request::post(format!("http://{address}/v1/sub-request"))
        .header("daisyhinge-request", ask.request)
        .header("daisyhinge-attempt", format!("a-{:x}", ask.sequence))
        .header("daisyhinge-service", "cards")
        .header("daisyhinge-replica", "cards-0-a")
        .header("daisyhinge-shard", "0")
        .header("daisyhinge-snapshot", ask.snapshot.to_string())
        .header("daisyhinge-deadline-us", ask.expires_us.to_string())
        .header("daisyhinge-expires-us", ask.expires_us.to_string())
        .header("daisyhinge-repeatable", ask.repeatable.to_string())
        .body(Full::new(Bytes::from_static(ask.body.as_bytes())))
        .unwrap()
}

async fn send_ask(
    caller: &HttpCaller,
    server: &FakeServer,
    ask: &Ask,
) -> Result<WholeResponse, ResultCode> {
    send_request(caller, ask_request(server.address(), ask), LIMIT).await
}

async fn cancel(caller: &HttpCaller, server: &FakeServer, attempt: &str) -> String {
    let request = Request::post(format!("http://{}/v1/cancel", server.address()))
        .header("daisyhinge-attempt", attempt)
        .body(Full::default())
        .unwrap();
    let response = send_request(caller, request, LIMIT).await.unwrap();
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
    let caller = build_caller();
    let answer = send_ask(&caller, &server, &Ask::default()).await.unwrap();
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
    let old = Ask {
        snapshot: 9,
        ..Ask::default()
    };
    assert_eq!(send_ask(&caller, &server, &old).await.unwrap().status, 409);
}

#[tokio::test]
async fn slots_beyond_the_settings_are_counted() {
    let server = FakeServer::spawn(FakeSettings {
        slots: 2,
        service_us: 50_000,
        ..settings()
    })
    .await
    .unwrap();
    let caller = build_caller();
    let asks = (0..3).map(|sequence| {
        let (caller, server) = (&caller, &server);
        async move {
            send_ask(
                caller,
                server,
                &Ask {
                    sequence,
                    ..Ask::default()
                },
            )
            .await
        }
    });
    let answers = futures::future::join_all(asks).await;
    assert!(
        answers
            .iter()
            .all(|answer| answer.as_ref().unwrap().status == 200)
    );
    let record = server.record();
    assert_eq!((record.peak_in_hand, record.slots_exceeded), (3, 1));
}

#[tokio::test]
async fn runs_of_a_request_that_may_not_be_repeated_are_counted() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    let caller = build_caller();
    for sequence in 0..2 {
        let ask = Ask {
            sequence,
            repeatable: false,
            ..Ask::default()
        };
        assert_eq!(send_ask(&caller, &server, &ask).await.unwrap().status, 200);
    }
    assert_eq!(server.record().single_runs[&RequestId::from("r-1")], 2);
}

#[tokio::test]
async fn a_cancel_is_answered_truly() {
    let server = FakeServer::spawn(FakeSettings {
        service_us: 2_000_000,
        ..settings()
    })
    .await
    .unwrap();
    let caller = build_caller();
    let running = Ask::default();
    let work = send_ask(&caller, &server, &running);
    let stop = async {
        wait_in_hand(&server, 1).await;
        cancel(&caller, &server, "a-1").await
    };
    let (answer, stopped) = tokio::join!(work, stop);
    assert_eq!(
        (answer.unwrap().status.as_u16(), stopped.as_str()),
        (504, "true")
    );
    assert_eq!(server.record().in_hand, 0);
    // Cancelled before it arrives: never started.
    assert_eq!(cancel(&caller, &server, "a-2").await, "true");
    let late = Ask {
        sequence: 2,
        ..Ask::default()
    };
    assert_eq!(send_ask(&caller, &server, &late).await.unwrap().status, 504);
    assert_eq!(server.record().started, 1);
}

/// The sender may have given up just before the answer: its slot must not seem taken until the
/// expiry.
#[tokio::test]
async fn a_cancel_after_the_answer_says_that_the_work_has_stopped() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    let caller = build_caller();
    assert_eq!(
        send_ask(&caller, &server, &Ask::default())
            .await
            .unwrap()
            .status,
        200
    );
    assert_eq!(cancel(&caller, &server, "a-1").await, "true");
    assert_eq!(server.record().in_hand, 0);
    assert_eq!(server.record().answered, 1);
}

#[tokio::test]
async fn a_marked_request_crashes_the_server_and_it_returns_anew() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    server.change_faults(|faults| faults.restart_ms = 20);
    let caller = build_caller();
    let ask = Ask {
        body: "crash-the-server please",
        ..Ask::default()
    };
    assert_eq!(
        send_ask(&caller, &server, &ask).await.unwrap_err(),
        ResultCode::ConnectionReset
    );
    while server.incarnation() != IncarnationNumber(2) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let after = Ask {
        sequence: 2,
        ..Ask::default()
    };
    while send_ask(&caller, &server, &after).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(server.record().marked_runs[&RequestId::from("r-1")], 1);
}

#[tokio::test]
async fn a_cold_server_collapses_under_more_than_it_bears() {
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
    let caller = build_caller();
    let first = Ask::default();
    let work = send_ask(&caller, &server, &first);
    let crowd = async {
        wait_in_hand(&server, 1).await;
        send_ask(
            &caller,
            &server,
            &Ask {
                sequence: 2,
                ..Ask::default()
            },
        )
        .await
    };
    let (one, two) = tokio::join!(work, crowd);
    assert!(one.is_err() && two.is_err());
    assert_eq!(server.record().collapses, 1);
    // One at a time warms it.
    let mut sequence = 3;
    while server.record().warm_at_us == 0 {
        drop(
            send_ask(
                &caller,
                &server,
                &Ask {
                    sequence,
                    ..Ask::default()
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
    let caller = build_caller();
    let ask = Ask {
        expires_us: 20_000,
        ..Ask::default()
    };
    assert_eq!(send_ask(&caller, &server, &ask).await.unwrap().status, 504);
    assert_eq!(server.record().expired, 1);
}

#[tokio::test]
async fn damaged_answers_are_recognisable() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    let caller = build_caller();
    let first = Ask {
        request: "r-0",
        ..Ask::default()
    };
    send_ask(&caller, &server, &first).await.unwrap();
    for (sequence, damage) in (2..).zip([
        DamageKind::Truncated,
        DamageKind::WrongChecksum,
        DamageKind::Crossed,
    ]) {
        server.change_faults(|faults| faults.damage = damage);
        let ask = Ask {
            sequence,
            ..Ask::default()
        };
        let answer = send_ask(&caller, &server, &ask).await.unwrap();
        let length = header_text(&answer.headers, "daisyhinge-length").unwrap();
        let checksum = header_text(&answer.headers, "daisyhinge-checksum").unwrap();
        let attempt = header_text(&answer.headers, "daisyhinge-attempt").unwrap();
        let whole = length.parse::<usize>().unwrap() == answer.body.len();
        let sound = checksum == format_crc(&answer.body);
        let own = attempt == format!("a-{sequence:x}");
        let expected = match damage {
            DamageKind::Truncated => (false, false, true),
            DamageKind::WrongChecksum => (true, false, true),
            _ => (true, true, false),
        };
        assert_eq!((whole, sound, own), expected, "{damage:?}");
    }
}

#[tokio::test]
async fn connections_beyond_the_bound_are_reset() {
    let server = FakeServer::spawn(FakeSettings {
        connections: 1,
        ..settings()
    })
    .await
    .unwrap();
    let held = tokio::net::TcpStream::connect(server.address())
        .await
        .unwrap();
    while server.record().connections != 1 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let outcome = send_ask(&build_caller(), &server, &Ask::default()).await;
    outcome.unwrap_err();
    assert_eq!(server.record().connections_exceeded, 1);
    drop(held);
}

#[tokio::test]
async fn a_roll_holds_both_snapshots_and_then_the_newer() {
    let server = FakeServer::spawn(settings()).await.unwrap();
    let caller = build_caller();
    server.roll(hold_snapshot(2, 0, 1), Duration::from_secs(1));
    for snapshot in 1..=2 {
        let ask = Ask {
            snapshot,
            sequence: snapshot,
            ..Ask::default()
        };
        assert_eq!(send_ask(&caller, &server, &ask).await.unwrap().status, 200);
    }
    let old = Ask {
        sequence: 9,
        ..Ask::default()
    };
    while send_ask(&caller, &server, &old).await.unwrap().status != 409 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
