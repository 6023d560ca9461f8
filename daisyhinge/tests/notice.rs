//! Reading of what replicas state in the headers of their answers, and what an entry does then, over
//! loopback.

#[expect(dead_code, reason = "shared with the tests of damaged answers")]
#[path = "forward/fixture.rs"]
mod fixture;
#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use daisyhinge::dispatch::fleet::{RateNotice, ReplicaNotice, RequestRate};
use daisyhinge::shell::forward::notice::read_notice;
use fixture::{AfterAnswer, ReplicaAnswer, call_entry, complete_answer, open_fixture};
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use known_replica::header_names;

fn read(status: u16, lines: &[(&str, &str)]) -> ReplicaNotice {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        headers.append(name, HeaderValue::from_str(value).expect("a value"));
    }
    read_notice(&header_names(), status, &headers)
}

fn pause_of(values: &[&str]) -> Option<Duration> {
    let lines: Vec<_> = values.iter().map(|value| ("retry-after", *value)).collect();
    read(503, &lines).pause
}

#[test]
fn pause_is_read_in_seconds_with_fractions() {
    assert_eq!(pause_of(&["2"]), Some(Duration::from_secs(2)));
    assert_eq!(pause_of(&[" 0.75 "]), Some(Duration::from_millis(750)));
    assert_eq!(pause_of(&["1", "3", "2"]), Some(Duration::from_secs(3)));
    assert_eq!(pause_of(&["x", "3"]), Some(Duration::from_secs(3)));
    let digits = "9".repeat(400);
    assert_eq!(pause_of(&[&digits]), Some(Duration::MAX));
    assert_eq!(read(500, &[("retry-after", "2")]).pause, None);
    assert_eq!(read(200, &[("retry-after", "2")]).pause, None);
}

#[test]
fn malformed_pause_counts_as_none() {
    for value in [
        "", "-1", "0", "0.0", "soon", "1e3", "inf", "NaN", "+2", "1.2.3", ".",
    ] {
        assert_eq!(pause_of(&[value]), None, "{value:?}");
    }
}

/// The clock of the entry's VM may jump, so it has no part in this.
#[test]
fn date_counts_from_the_date_of_the_same_answer() {
    let end = ("retry-after", "Tue, 15 Nov 1994 08:12:34 GMT");
    let sent = ("date", "Tue, 15 Nov 1994 08:12:31 GMT");
    let after = ("date", "Tue, 15 Nov 1994 08:12:39 GMT");
    assert_eq!(read(503, &[end, sent]).pause, Some(Duration::from_secs(3)));
    assert_eq!(read(503, &[end]).pause, None);
    assert_eq!(read(503, &[end, after]).pause, None);
}

fn rate_of(status: u16, values: &[&str]) -> RateNotice {
    let lines: Vec<_> = values.iter().map(|value| ("x-limit", *value)).collect();
    read(status, &lines).rate
}

#[test]
fn rate_is_read_in_requests_per_second_with_fractions() {
    let limited = |thousandths| RateNotice::Limited(RequestRate(thousandths));
    for status in [200, 404, 500, 503] {
        assert_eq!(rate_of(status, &["36.4"]), limited(36_400));
    }
    assert_eq!(rate_of(200, &[" 7 "]), limited(7_000));
    assert_eq!(rate_of(200, &["0"]), limited(0));
    assert_eq!(rate_of(200, &["9", "2.5", "x"]), limited(2_500));
    let digits = "9".repeat(400);
    assert_eq!(rate_of(200, &[&digits]), limited(u64::MAX));
}

#[test]
fn malformed_rate_leaves_the_last_statement_in_force() {
    for value in ["", "-1", "soon", "1e3", "inf", "NaN", "+2", "1.2.3", "."] {
        assert_eq!(rate_of(200, &[value]), RateNotice::Unstated, "{value:?}");
    }
}

#[test]
fn only_a_success_without_a_rate_lifts_the_limit() {
    assert_eq!(rate_of(200, &[]), RateNotice::Unlimited);
    for status in [404, 500, 503] {
        assert_eq!(rate_of(status, &[]), RateNotice::Unstated);
    }
}

#[test]
fn leaving_is_read_from_answers_of_any_status() {
    for status in [200, 404, 503] {
        assert!(read(status, &[("x-leaving", "1")]).leaving);
        assert!(!read(status, &[("x-leaving", "0")]).leaving);
        assert!(!read(status, &[]).leaving);
    }
}

#[tokio::test]
async fn answer_of_a_leaving_replica_is_delivered_and_the_replica_is_not_used_again() {
    static ARRIVED: AtomicUsize = AtomicUsize::new(0);
    let script = |id: &str| {
        ARRIVED.fetch_add(1, Ordering::Relaxed);
        ReplicaAnswer {
            bytes: complete_answer(id, "label").replace("x-seal", "x-leaving: 1\r\nx-seal"),
            then: AfterAnswer::Stay,
        }
    };
    let fixture = open_fixture(41, script).await;
    let first = call_entry(fixture.host, "id-1").await;
    assert_eq!(
        (first.status().as_u16(), &**first.body()),
        (200, &b"label"[..])
    );
    assert!(!first.headers().contains_key("x-leaving"));
    let second = call_entry(fixture.host, "id-2").await;
    assert_eq!(second.status(), 503);
    assert_eq!(ARRIVED.load(Ordering::Relaxed), 1);
    fixture.stop.cancel();
}

#[tokio::test]
async fn replica_is_left_alone_for_the_pause_it_asked_for() {
    static ARRIVED: AtomicUsize = AtomicUsize::new(0);
    let script = |id: &str| {
        let first = ARRIVED.fetch_add(1, Ordering::Relaxed) == 0;
        let refusal = format!(
            "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nretry-after: 0.8\r\nx-id: {id}\r\n\
             content-length: 0\r\n\r\n"
        );
        ReplicaAnswer {
            bytes: if first {
                refusal
            } else {
                complete_answer(id, "label")
            },
            then: AfterAnswer::Stay,
        }
    };
    let fixture = open_fixture(42, script).await;
    for number in 0..4 {
        let refused = call_entry(fixture.host, &format!("id-{number}")).await;
        assert_eq!(refused.status(), 503);
        let left = refused.headers()["retry-after"].to_str().expect("text");
        let left: f64 = left.parse().expect("seconds");
        assert!((0.3..=0.8).contains(&left), "{left}");
    }
    assert_eq!(ARRIVED.load(Ordering::Relaxed), 1);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let served = call_entry(fixture.host, "id-9").await;
    assert_eq!(served.status(), 200);
    fixture.stop.cancel();
}

/// The entry is the only one, so all of the rate is its own.
#[tokio::test]
async fn replica_that_named_a_rate_gets_no_more_requests_than_that() {
    const PER_SECOND: usize = 20;
    static ARRIVED: AtomicUsize = AtomicUsize::new(0);
    let script = |id: &str| {
        ARRIVED.fetch_add(1, Ordering::Relaxed);
        ReplicaAnswer {
            bytes: complete_answer(id, "label").replace("x-seal", "x-limit: 20.0\r\nx-seal"),
            then: AfterAnswer::Stay,
        }
    };
    let fixture = open_fixture(43, script).await;
    let first = call_entry(fixture.host, "id-first").await;
    assert_eq!(first.status(), 200);
    assert!(!first.headers().contains_key("x-limit"));
    let started = Instant::now();
    let mut served = 0;
    for number in 0.. {
        let answer = call_entry(fixture.host, &format!("id-{number}")).await;
        served += usize::from(answer.status() == 200);
        if answer.status() != 200 {
            let left = answer.headers()["retry-after"].to_str().expect("text");
            let left: f64 = left.parse().expect("seconds");
            assert!((0.0..0.5).contains(&left), "{left}");
        }
        if started.elapsed() > Duration::from_secs(2) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let arrived = ARRIVED.load(Ordering::Relaxed) - 1;
    assert_eq!(arrived, served);
    assert!(arrived <= 2 * PER_SECOND, "{arrived} in two seconds");
    assert!(arrived > PER_SECOND, "{arrived} in two seconds");
    fixture.stop.cancel();
}
