//! A planned stop of an entry over loopback: every request that it has read gets a true answer.

#[expect(dead_code, reason = "shared with the tests of damaged answers")]
#[path = "forward/fixture.rs"]
mod fixture;
#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyhinge::dispatch::request::AttemptEnd;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::relay::serve::bind_relay;
use daisyhinge::shell::forward::relay::{HeadRef, RelayLinkClient, RelayReply, RelayRequest};
use daisyhinge::vocabulary::site::{RouteKind, SiteConfig, SiteRoute};
use fixture::{
    AfterAnswer, CALLER_PORT, Fixture, ReplicaAnswer, call_entry, call_entry_on, complete_answer,
    decode_site, open_fixture_decoding,
};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after which the process would be killed; the last answers are due after half of it.
const GRACE: Duration = Duration::from_secs(1);
const RELAY_PORT: u16 = 27_854;

fn silent(_: &str) -> ReplicaAnswer {
    ReplicaAnswer {
        bytes: String::new(),
        then: AfterAnswer::Stay,
    }
}

fn prompt(id: &str) -> ReplicaAnswer {
    ReplicaAnswer {
        bytes: complete_answer(id, "label"),
        then: AfterAnswer::Stay,
    }
}

/// The site of the fixture, with requests that may not be repeated and take long.
fn decode_once(bytes: &[u8]) -> Result<SiteConfig, ResultCode> {
    let mut config = decode_site(bytes)?;
    let route = SiteRoute {
        kind: RouteKind::Unsafe,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(200),
        ..(*config.routes[0]).clone()
    };
    config.routes = vec![Arc::new(route)];
    Ok(config)
}

async fn wait_for_arrival(fixture: &Fixture) {
    while fixture.seen.opened.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn request_that_runs_at_the_end_of_a_stop_is_answered_as_possibly_run() {
    let fixture = open_fixture_decoding(101, silent, decode_once).await;
    let pending = tokio::spawn(call_entry(fixture.host, "id-1"));
    wait_for_arrival(&fixture).await;
    let begun = Instant::now();
    fixture.state.begin_stop(GRACE);
    fixture.stop.cancel();
    let answer = pending.await.expect("the task finishes");
    assert_eq!(answer.status(), 504);
    assert_eq!(answer.headers()["connection"], "close");
    let served = fixture.serving.await.expect("the task finishes");
    served.expect("the server stops cleanly");
    assert!(begun.elapsed() < GRACE, "{:?}", begun.elapsed());
    assert_eq!(fixture.seen.opened.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn request_whose_body_is_incomplete_at_the_end_of_a_stop_is_refused() {
    let fixture = open_fixture_decoding(102, prompt, decode_once).await;
    let address = SocketAddr::new(fixture.host, CALLER_PORT);
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = b"POST /card/1 HTTP/1.1\r\nhost: labels.example\r\nx-id: id-1\r\n\
        content-length: 9\r\n\r\nhalf";
    stream.write_all(head).await.expect("send the head");
    tokio::time::sleep(Duration::from_millis(20)).await;
    let begun = Instant::now();
    fixture.state.begin_stop(GRACE);
    fixture.stop.cancel();
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    read.expect("a whole answer");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(begun.elapsed() < GRACE, "{:?}", begun.elapsed());
    assert_eq!(fixture.seen.opened.load(Ordering::Relaxed), 0);
}

/// Connections that the entry has accepted are served after it has stopped to listen.
#[tokio::test]
async fn open_connections_are_served_until_the_last_answers_are_due() {
    let fixture = open_fixture_decoding(103, prompt, decode_once).await;
    let address = SocketAddr::new(fixture.host, CALLER_PORT);
    let connect = || async { TcpStream::connect(address).await.expect("a connection") };
    let (early, late) = (connect().await, connect().await);
    fixture.state.begin_stop(GRACE);
    fixture.stop.cancel();
    tokio::time::sleep(Duration::from_millis(180)).await;
    let refused = TcpStream::connect(address).await;
    assert!(refused.is_err(), "new connections are refused");
    // The route's objective is 200 ms: there is time left for one, and none for the other.
    assert_eq!(call_entry_on(early, "id-1").await.status(), 200);
    tokio::time::sleep(Duration::from_millis(120)).await;
    let refusal = call_entry_on(late, "id-2").await;
    assert_eq!(refusal.status(), 503);
    assert!(refusal.headers().contains_key("retry-after"));
    assert_eq!(fixture.seen.opened.load(Ordering::Relaxed), 1);
}

async fn open_relay(fixture: &Fixture) -> RelayLinkClient {
    let address = SocketAddr::new(fixture.host, RELAY_PORT);
    let bound = bind_relay(Arc::clone(&fixture.state), address).await;
    bound.expect("bind the port");
    let stream = TcpStream::connect(address).await.expect("a link");
    let transport = Transport::from((stream, Bincode::default()));
    RelayLinkClient::new(client::Config::default(), transport).spawn()
}

async fn relay(client: &RelayLinkClient) -> RelayReply {
    let text = Bytes::from_static(b"GET\n/card/1\nhost:labels.example\nx-id:id-1");
    let request = RelayRequest {
        replica: "replica-1".into(),
        left_ms: 5_000,
        top_records: None,
        kind: RouteKind::Unsafe,
        body: Bytes::new(),
        head: HeadRef::Whole { number: 1, text },
    };
    let reply = client.relay(context::current(), request).await;
    reply.expect("a reply")
}

/// The process exited as soon as its own callers were served, and cut the link.
#[tokio::test]
async fn stop_waits_for_requests_of_other_entries() {
    let late = |id: &str| ReplicaAnswer {
        bytes: String::new(),
        then: AfterAnswer::Late(complete_answer(id, "label")),
    };
    let fixture = open_fixture_decoding(104, late, decode_once).await;
    let client = open_relay(&fixture).await;
    let pending = tokio::spawn(async move { relay(&client).await });
    wait_for_arrival(&fixture).await;
    fixture.state.begin_stop(GRACE);
    fixture.state.finish_relayed().await;
    assert!(pending.is_finished(), "the reply was written");
    let reply = pending.await.expect("the task finishes");
    assert_eq!(reply.end, AttemptEnd::Answered);
    assert!(reply.answer.is_some());
}

#[tokio::test]
async fn request_of_another_entry_that_cannot_end_is_not_sent_or_counts_as_lost() {
    let fixture = open_fixture_decoding(105, silent, decode_once).await;
    let client = open_relay(&fixture).await;
    let running = client.clone();
    let pending = tokio::spawn(async move { relay(&running).await });
    wait_for_arrival(&fixture).await;
    let begun = Instant::now();
    fixture.state.begin_stop(GRACE);
    let refused = relay(&client).await;
    assert_eq!(refused.end, AttemptEnd::Withdrawn);
    assert!(refused.cut_off, "the calling entry uses another link");
    fixture.state.finish_relayed().await;
    let reply = pending.await.expect("the task finishes");
    assert_eq!(reply.end, AttemptEnd::Lost);
    assert!(begun.elapsed() < GRACE, "{:?}", begun.elapsed());
    assert_eq!(fixture.seen.opened.load(Ordering::Relaxed), 1);
}
