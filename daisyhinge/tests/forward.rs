//! Tests of damaged, mismatched and late answers of replicas, over loopback. A caller must never
//! receive the answer to another request.

#[path = "forward/fixture.rs"]
mod fixture;
#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "forward/overload.rs"]
mod overload;
#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use daisyhinge::shell::forward::crashes::run_crash_reports;
use daisyhinge::shell::forward::listen::serve_callers;
use fixture::{
    AfterAnswer, AnswerScript, CALLER_PORT, REPLICA_PORT, ReplicaAnswer, call_entry, call_entry_on,
    complete_answer, open_entry, open_fixture, run_replica, send_on, send_two_requests,
};
use http_body_util::Full;
use hyper::Request;
use reserved_network::reserved_host;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

#[tokio::test]
async fn complete_answer_is_forwarded_and_connection_reused() {
    let script = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label"),
        then: AfterAnswer::Stay,
    };
    let (first, second, opened) = send_two_requests(1, script).await;
    assert_eq!(
        (first.status().as_u16(), second.status().as_u16()),
        (200, 200)
    );
    assert_eq!((&**first.body(), opened), (&b"label"[..], 1));
    assert_eq!(first.headers()["x-seal"], "s");
}

#[tokio::test]
async fn truncated_answer_is_rejected() {
    let script = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label").replace("length: 5", "length: 9"),
        then: AfterAnswer::Close,
    };
    let (first, _, _) = send_two_requests(2, script).await;
    assert_eq!(first.status(), 502);
    assert!(!first.headers().contains_key("x-seal"));
}

#[tokio::test]
async fn connection_with_trailing_bytes_is_not_reused() {
    let script = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label") + &complete_answer("id-2", "wrong"),
        then: AfterAnswer::Stay,
    };
    let (first, second, opened) = send_two_requests(3, script).await;
    assert_eq!(
        (first.status().as_u16(), &**first.body()),
        (200, &b"label"[..])
    );
    assert_eq!(
        (second.status().as_u16(), &**second.body()),
        (200, &b"label"[..])
    );
    assert_eq!(opened, 2, "the connection is not reused");
}

#[tokio::test]
async fn late_answer_is_not_given_to_next_request() {
    let script = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label"),
        then: AfterAnswer::Late(complete_answer("id-2", "wrong")),
    };
    let (_, second, opened) = send_two_requests(4, script).await;
    assert_eq!(
        (second.status().as_u16(), &**second.body()),
        (200, &b"label"[..])
    );
    assert_eq!(opened, 2, "the connection is not reused");
}

/// The copy arrives when the next request has already been written to the connection.
#[tokio::test]
async fn second_copy_of_an_answer_is_not_given_to_the_request_in_flight() {
    let script = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, id),
        then: AfterAnswer::Late(complete_answer(id, id)),
    };
    let fixture = open_fixture(14, script).await;
    let first = call_entry(fixture.host, "id-1").await;
    let second = call_entry(fixture.host, "id-2").await;
    assert_eq!(
        (first.status().as_u16(), &**first.body()),
        (200, &b"id-1"[..])
    );
    assert_eq!(second.status(), 502);
    assert_eq!(
        fixture.seen.opened.load(Ordering::Relaxed),
        1,
        "the connection was in use again"
    );
    let third = call_entry(fixture.host, "id-3").await;
    assert_eq!(
        (third.status().as_u16(), &**third.body()),
        (200, &b"id-3"[..])
    );
    fixture.stop.cancel();
}

#[tokio::test]
async fn connection_is_not_reused_after_an_answer_without_identifier() {
    let script = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, id).replace(&format!("x-id: {id}\r\n"), ""),
        then: AfterAnswer::Stay,
    };
    let (first, second, opened) = send_two_requests(15, script).await;
    assert_eq!(
        (&**first.body(), &**second.body()),
        (&b"id-1"[..], &b"id-2"[..])
    );
    assert_eq!(opened, 2, "the connection is not reused");
}

#[tokio::test]
async fn mismatched_unsigned_or_encoded_answer_is_rejected() {
    let foreign = |_: &str| ReplicaAnswer {
        bytes: complete_answer("id-9", "label"),
        then: AfterAnswer::Stay,
    };
    let unsigned = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label").replace("x-seal: s\r\n", ""),
        then: AfterAnswer::Stay,
    };
    let encoded = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label").replace("x-seal", "content-encoding: br\r\nx-seal"),
        then: AfterAnswer::Stay,
    };
    for (number, script) in [(5, foreign as AnswerScript), (6, unsigned), (7, encoded)] {
        let (first, second, _) = send_two_requests(number, script).await;
        assert_eq!(
            (first.status().as_u16(), second.status().as_u16()),
            (502, 502)
        );
    }
}

/// An answer without a length ends with its connection, and is complete only if the connection was
/// closed rather than reset.
#[tokio::test]
async fn answer_without_length_is_rejected_after_reset() {
    let closed = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label").replace("content-length: 5\r\n", ""),
        then: AfterAnswer::Close,
    };
    let (first, _, _) = send_two_requests(8, closed).await;
    assert_eq!(
        (first.status().as_u16(), &**first.body()),
        (200, &b"label"[..])
    );
    let reset = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label").replace("content-length: 5\r\n", ""),
        then: AfterAnswer::Reset,
    };
    let (first, _, _) = send_two_requests(9, reset).await;
    assert_eq!(first.status(), 502);
}

/// A replica that never answers must see its connection close within milliseconds of the caller
/// disconnecting.
#[tokio::test]
async fn closed_caller_connection_cancels_request() {
    let silent = |_: &str| ReplicaAnswer {
        bytes: String::new(),
        then: AfterAnswer::Stay,
    };
    let fixture = open_fixture(10, silent).await;
    let host = fixture.host;
    let pending = tokio::time::timeout(Duration::from_millis(100), call_entry(host, "id-1"));
    assert!(pending.await.is_err(), "the request is not answered");
    for _ in 0..40 {
        if fixture.seen.ended.load(Ordering::Relaxed) == 1 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(fixture.seen.ended.load(Ordering::Relaxed), 1);
    fixture.stop.cancel();
}

/// On shutdown, running requests are answered and new connections are refused.
#[tokio::test]
async fn running_requests_are_answered_at_shutdown() {
    let late = |id: &str| ReplicaAnswer {
        bytes: String::new(),
        then: AfterAnswer::Late(complete_answer(id, "label")),
    };
    let fixture = open_fixture(11, late).await;
    let pending = tokio::spawn(call_entry(fixture.host, "id-1"));
    while fixture.seen.opened.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    fixture.stop.cancel();
    let answer = pending.await.expect("the task finishes");
    assert_eq!(
        (answer.status().as_u16(), &**answer.body()),
        (200, &b"label"[..])
    );
    fixture
        .serving
        .await
        .expect("the task finishes")
        .expect("the server stops cleanly");
    let refused = TcpStream::connect(SocketAddr::new(fixture.host, CALLER_PORT)).await;
    assert!(refused.is_err(), "new connections are refused");
}

/// Connections that the kernel has accepted but the entry has not when shutdown starts are still
/// answered.
#[tokio::test]
async fn queued_connections_are_answered_at_shutdown() {
    let script = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label"),
        then: AfterAnswer::Stay,
    };
    let fixture = open_fixture(12, script).await;
    let address = SocketAddr::new(fixture.host, CALLER_PORT);
    // The entry's tasks do not run between the connects and the cancellation.
    let connect = |_| std::net::TcpStream::connect(address).expect("the port accepts connections");
    let streams: Vec<_> = (0..8).map(connect).collect();
    fixture.stop.cancel();
    let mut pending = tokio::task::JoinSet::new();
    for (number, stream) in streams.into_iter().enumerate() {
        stream.set_nonblocking(true).expect("a socket");
        let stream = TcpStream::from_std(stream).expect("a socket");
        pending.spawn(async move { call_entry_on(stream, &format!("id-{number}")).await });
    }
    for answer in pending.join_all().await {
        assert_eq!(answer.status(), 200);
    }
}

/// A replica may answer a request before it has read all of a long body, and then continue reading.
/// The answer is forwarded, and only the rest of that body may be written to the connection.
#[tokio::test]
async fn early_answer_to_long_body_is_forwarded_and_connection_not_reused() {
    const LENGTH: usize = 200 << 10;
    let host = reserved_host(63, 0, 13);
    let replica = SocketAddr::new(host, REPLICA_PORT);
    let listener = TcpListener::bind(replica).await.expect("bind the port");
    let replica_task = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("open a connection");
        let mut read = Vec::new();
        let mut buffer = [0; 1_024];
        while !read.windows(4).any(|part| part == b"\r\n\r\n") {
            let count = stream.read(&mut buffer).await.expect("a head");
            read.extend_from_slice(&buffer[..count]);
        }
        let answer = complete_answer("id-1", "label");
        stream
            .write_all(answer.as_bytes())
            .await
            .expect("write the answer");
        tokio::time::sleep(Duration::from_millis(100)).await;
        while let Ok(count) = stream.read(&mut buffer).await {
            if count == 0 {
                break;
            }
            read.extend_from_slice(&buffer[..count]);
        }
        let end = read.windows(4).position(|part| part == b"\r\n\r\n");
        let body = read.split_off(end.expect("a head") + 4);
        (listener, body)
    });
    let state = open_entry(host);
    let address = SocketAddr::new(host, CALLER_PORT);
    let stop = CancellationToken::new();
    let serving = serve_callers(state, address, stop.clone(), Duration::from_secs(1));
    tokio::spawn(serving);
    while TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let stream = TcpStream::connect(address)
        .await
        .expect("the port accepts connections");
    let first = Request::post("/card/1")
        .header("host", "labels.example")
        .header("x-id", "id-1")
        .body(Full::from(vec![b'b'; LENGTH]));
    let answer = send_on(stream, first.expect("a request")).await;
    assert_eq!(
        (answer.status().as_u16(), &**answer.body()),
        (200, &b"label"[..])
    );
    // The replica has not closed the connection. A second request must not use it.
    let second = tokio::time::timeout(Duration::from_millis(50), call_entry(host, "id-2"));
    drop(second.await);
    let (_listener, body) = replica_task.await.expect("the task finishes");
    assert!(body.len() <= LENGTH);
    assert!(
        body.iter().all(|byte| *byte == b'b'),
        "only bytes of the first body"
    );
    stop.cancel();
}

#[tokio::test]
async fn body_beyond_the_limit_is_refused_before_it_reaches_a_replica() {
    let script = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label"),
        then: AfterAnswer::Stay,
    };
    let fixture = open_fixture(12, script).await;
    let address = SocketAddr::new(fixture.host, CALLER_PORT);
    let stream = TcpStream::connect(address).await.expect("a connection");
    let request = Request::post("/card/1")
        .header("host", "labels.example")
        .header("x-id", "id-1")
        .body(Full::from(vec![b'x'; (256 << 10) + 1]));
    let answer = send_on(stream, request.expect("a request")).await;
    assert_eq!(answer.status(), 413);
    assert!(String::from_utf8_lossy(answer.body()).contains("1003"));
    assert_eq!(fixture.seen.opened.load(Ordering::Relaxed), 0);
    fixture.stop.cancel();
}

/// A report that is sent again to another control process said that its crashes had just happened.
#[tokio::test]
async fn crash_report_states_the_current_ages_of_its_records() {
    let host = reserved_host(63, 0, 31);
    let listener = TcpListener::bind(SocketAddr::new(host, REPLICA_PORT)).await;
    let script = |_: &str| ReplicaAnswer {
        bytes: String::new(),
        then: AfterAnswer::Close,
    };
    let listener = listener.expect("bind the port");
    tokio::spawn(run_replica(listener, script, Arc::default()));
    let state = open_entry(host);
    tokio::spawn(run_crash_reports(Arc::clone(&state)));
    let address = SocketAddr::new(host, CALLER_PORT);
    let stop = CancellationToken::new();
    let grace = Duration::from_secs(1);
    tokio::spawn(serve_callers(Arc::clone(&state), address, stop, grace));
    while TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(call_entry(host, "id-1").await.status(), 502);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let report = state.crash_reports().borrow().clone();
    assert_eq!((report.revision, report.records.len()), (1, 1));
    assert!(report.records[0].age_ms >= 1_000, "{report:?}");
}
