//! Answers of replicas that are damaged, foreign or late, over loopback: a caller never gets one as
//! its own.

#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "forward/stand.rs"]
mod stand;

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;
use std::time::Duration;

use daisyhinge::shell::forward::listen::serve_callers;
use http_body_util::Full;
use hyper::Request;
use stand::{
    AfterAnswer, AnswerScript, CALLER_PORT, REPLICA_PORT, ReplicaAnswer, ask, ask_on, open_entry,
    open_stand, play, send_on, whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

#[tokio::test]
async fn a_whole_answer_is_passed_on_and_its_connection_used_again() {
    let script = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label"),
        then: AfterAnswer::Stay,
    };
    let (first, second, opened) = play(1, script).await;
    assert_eq!(
        (first.status().as_u16(), second.status().as_u16()),
        (200, 200)
    );
    assert_eq!((&**first.body(), opened), (&b"label"[..], 1));
    assert_eq!(first.headers()["x-seal"], "s");
}

#[tokio::test]
async fn a_cut_answer_is_none() {
    let script = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label").replace("length: 5", "length: 9"),
        then: AfterAnswer::Close,
    };
    let (first, _, _) = play(2, script).await;
    assert_eq!(first.status(), 502);
    assert!(!first.headers().contains_key("x-seal"));
}

#[tokio::test]
async fn bytes_after_an_answer_are_nobodys() {
    let script = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label") + &whole("id-2", "wrong"),
        then: AfterAnswer::Stay,
    };
    let (first, second, opened) = play(3, script).await;
    assert_eq!(
        (first.status().as_u16(), &**first.body()),
        (200, &b"label"[..])
    );
    assert_eq!(
        (second.status().as_u16(), &**second.body()),
        (200, &b"label"[..])
    );
    assert_eq!(opened, 2, "the connection is not used again");
}

#[tokio::test]
async fn an_answer_that_comes_late_is_nobodys() {
    let script = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label"),
        then: AfterAnswer::Late(whole("id-2", "wrong")),
    };
    let (_, second, opened) = play(4, script).await;
    assert_eq!(
        (second.status().as_u16(), &**second.body()),
        (200, &b"label"[..])
    );
    assert_eq!(opened, 2, "the connection is not used again");
}

#[tokio::test]
async fn answers_of_another_request_unsigned_or_encoded_are_none() {
    let foreign = |_: &str| ReplicaAnswer {
        bytes: whole("id-9", "label"),
        then: AfterAnswer::Stay,
    };
    let unsigned = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label").replace("x-seal: s\r\n", ""),
        then: AfterAnswer::Stay,
    };
    let encoded = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label").replace("x-seal", "content-encoding: br\r\nx-seal"),
        then: AfterAnswer::Stay,
    };
    for (number, script) in [(5, foreign as AnswerScript), (6, unsigned), (7, encoded)] {
        let (first, second, _) = play(number, script).await;
        assert_eq!(
            (first.status().as_u16(), second.status().as_u16()),
            (502, 502)
        );
    }
}

/// An answer without a length ends with its connection; whole only if that was not reset.
#[tokio::test]
async fn an_answer_that_ends_with_a_reset_is_none() {
    let closed = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label").replace("content-length: 5\r\n", ""),
        then: AfterAnswer::Close,
    };
    let (first, _, _) = play(8, closed).await;
    assert_eq!(
        (first.status().as_u16(), &**first.body()),
        (200, &b"label"[..])
    );
    let reset = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label").replace("content-length: 5\r\n", ""),
        then: AfterAnswer::Reset,
    };
    let (first, _, _) = play(9, reset).await;
    assert_eq!(first.status(), 502);
}

/// A replica that never answers hears within a few milliseconds that its caller has gone.
#[tokio::test]
async fn a_request_ends_with_its_callers_connection() {
    let silent = |_: &str| ReplicaAnswer {
        bytes: String::new(),
        then: AfterAnswer::Stay,
    };
    let stand = open_stand(10, silent).await;
    let host = stand.host;
    let asking = tokio::time::timeout(Duration::from_millis(100), ask(host, "id-1"));
    assert!(asking.await.is_err(), "nothing is answered");
    for _ in 0..40 {
        if stand.seen.ended.load(Ordering::Relaxed) == 1 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(stand.seen.ended.load(Ordering::Relaxed), 1);
    stand.stop.cancel();
}

/// What runs when an entry is told to stop is answered, and callers are told to connect elsewhere.
#[tokio::test]
async fn what_runs_at_the_stop_is_answered() {
    let late = |id: &str| ReplicaAnswer {
        bytes: String::new(),
        then: AfterAnswer::Late(whole(id, "label")),
    };
    let stand = open_stand(11, late).await;
    let asking = tokio::spawn(ask(stand.host, "id-1"));
    while stand.seen.opened.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    stand.stop.cancel();
    let answer = asking.await.expect("it ends");
    assert_eq!(
        (answer.status().as_u16(), &**answer.body()),
        (200, &b"label"[..])
    );
    stand
        .serving
        .await
        .expect("it ends")
        .expect("it has stopped");
    let refused = TcpStream::connect(SocketAddr::new(stand.host, CALLER_PORT)).await;
    assert!(refused.is_err(), "it takes no more connections");
}

/// Callers whose connections the kernel has taken, but not yet the entry, when it is told to stop.
#[tokio::test]
async fn connections_that_wait_at_the_stop_are_answered() {
    let script = |id: &str| ReplicaAnswer {
        bytes: whole(id, "label"),
        then: AfterAnswer::Stay,
    };
    let stand = open_stand(12, script).await;
    let address = SocketAddr::new(stand.host, CALLER_PORT);
    // No task of the entry runs between these lines.
    let connect = |_| std::net::TcpStream::connect(address).expect("it listens");
    let streams: Vec<_> = (0..8).map(connect).collect();
    stand.stop.cancel();
    let mut asking = tokio::task::JoinSet::new();
    for (number, stream) in streams.into_iter().enumerate() {
        stream.set_nonblocking(true).expect("a socket");
        let stream = TcpStream::from_std(stream).expect("a socket");
        asking.spawn(async move { ask_on(stream, &format!("id-{number}")).await });
    }
    for answer in asking.join_all().await {
        assert_eq!(answer.status(), 200);
    }
}

/// A replica that answers a long body before it has read it, and reads on later: nothing but the
/// rest of that body ever comes on the connection.
#[tokio::test]
async fn an_early_answer_to_a_long_body_is_passed_on_and_its_connection_left() {
    const LENGTH: usize = 200 << 10;
    let host = IpAddr::from([127, 63, 0, 13]);
    let replica = SocketAddr::new(host, REPLICA_PORT);
    let listener = TcpListener::bind(replica).await.expect("a free port");
    let reading = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut read = Vec::new();
        let mut buffer = [0; 1_024];
        while !read.windows(4).any(|part| part == b"\r\n\r\n") {
            let count = stream.read(&mut buffer).await.expect("a head");
            read.extend_from_slice(&buffer[..count]);
        }
        let answer = whole("id-1", "label");
        stream
            .write_all(answer.as_bytes())
            .await
            .expect("it is read");
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
    let stream = TcpStream::connect(address).await.expect("it listens");
    let first = Request::post("/card/1")
        .header("host", "labels.example")
        .header("x-id", "id-1")
        .body(Full::from(vec![b'b'; LENGTH]));
    let answer = send_on(stream, first.expect("a request")).await;
    assert_eq!(
        (answer.status().as_u16(), &**answer.body()),
        (200, &b"label"[..])
    );
    // The replica has not ended the connection; a second request must not go there.
    let second = tokio::time::timeout(Duration::from_millis(50), ask(host, "id-2"));
    drop(second.await);
    let (_listener, body) = reading.await.expect("it ends");
    assert!(body.len() <= LENGTH);
    assert!(body.iter().all(|byte| *byte == b'b'), "only that body");
    stop.cancel();
}
