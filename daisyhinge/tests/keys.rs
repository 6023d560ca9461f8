//! Authentication of callers at an entry, and what replicas learn of the customer.

#[path = "keys/fixture.rs"]
mod fixture;
#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::shell::forward::relay::link::run_links;
use daisyhinge::shell::forward::relay::serve::bind_relay;
use daisyhinge::shell::forward::state::ForwardState;
use fixture::{
    CUSTOMERS, Caller, NO_CUSTOMERS, RELAY_PORT, SeenHeads, bind_replica, bind_replica_with, call,
    host, open_entry, prove, reply, serve, with_key, with_second_replica,
};
use hyper::StatusCode;
use hyper::header::HeaderMap;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

const OK: (u16, u64) = (200, 0);
const REFUSED: (u16, u64) = (401, 1015);
const NO_COMMON_REGION: (u16, u64) = (503, 2015);
const UNCONFIRMED: (u16, u64) = (503, 2016);

/// Opens an entry in the region `north` with a configuration and a replica there.
async fn open(number: u8, customers: &str) -> Arc<ForwardState> {
    let state = open_entry(number, "a", None);
    state.apply_reply(reply(number + 100, "a", 1, customers), true);
    serve(number, &state).await;

    state
}

fn assert_customer(headers: &HeaderMap, name: Option<&str>) {
    let names: Vec<_> = headers.get_all("x-customer").iter().collect();
    assert_eq!(names, name.into_iter().collect::<Vec<_>>());
    assert!(!headers.contains_key("authorization"));
    assert!(!format!("{headers:?}").contains("key-"), "{headers:?}");
}

/// Guards against headers that are accepted in more forms than one, and against a request that runs
/// although it is refused.
#[tokio::test]
async fn only_one_well_formed_header_with_a_known_key_is_accepted() {
    let seen = SeenHeads::default();
    let replica = bind_replica(110, &seen, Duration::ZERO).await;
    let state = open(10, CUSTOMERS).await;
    let accepted = ["Token key-1", "token key-2", "TOKEN  key-3"];
    for value in accepted {
        assert_eq!(call(10, "/card/1", &with_key(value)).await, OK, "{value}");
    }
    let refused = [
        "Token key-5",
        "Token KEY-1",
        "Token key-1 key-2",
        "Token key-1, Token key-2",
        "Token \"key-1\"",
        "Bearer key-1",
        "Tokenkey-1",
        "Token",
        "Token ",
        "key-1",
        "",
    ];
    for value in refused {
        let answer = call(10, "/card/1", &with_key(value)).await;
        assert_eq!(answer, REFUSED, "{value}");
    }
    let twice = [with_key("Token key-1"), with_key("Token key-1")].concat();
    assert_eq!(call(10, "/card/1", &twice).await, REFUSED);
    assert_eq!(call(10, "/card/1", &[]).await, REFUSED);
    assert_eq!(seen.lock().len(), accepted.len());
    assert_eq!(state.counters.requests_unauthorised.get(), 13);
    let answer = Caller::connect(10).await.send("/card/1", &[]).await;
    assert_eq!(answer.headers()["www-authenticate"], "Token");
    replica.close().await;
}

/// Guards against a head that is read without limit for the sake of its key.
#[tokio::test]
async fn oversized_key_is_refused_by_the_limit_on_heads() {
    let seen = SeenHeads::default();
    let replica = bind_replica(111, &seen, Duration::ZERO).await;
    open(11, CUSTOMERS).await;
    let value = format!("Token {}", "k".repeat(64 << 10));
    let answer = call(11, "/card/1", &with_key(&value)).await;
    assert_eq!(answer.0, 431);
    assert!(seen.lock().is_empty());
    replica.close().await;
}

/// Guards against a caller that names a customer itself, and against a key that reaches a replica.
#[tokio::test]
async fn replica_receives_the_customer_and_not_the_key() {
    let seen = SeenHeads::default();
    let replica = bind_replica(112, &seen, Duration::ZERO).await;
    open(12, CUSTOMERS).await;
    let forged = [
        ("authorization", "Token key-2"),
        ("x-customer", "northern"),
        ("x-customer", "other"),
        ("connection", "x-customer"),
    ];
    assert_eq!(call(12, "/card/1", &forged).await, OK);
    assert_customer(&seen.lock().pop().expect("a request"), Some("acme"));
    assert_eq!(call(12, "/public/1", &forged[1..3]).await, OK);
    assert_customer(&seen.lock().pop().expect("a request"), None);
    assert_eq!(call(12, "/public/1", &with_key("Token key-5")).await, OK);
    assert_customer(&seen.lock().pop().expect("a request"), None);
    assert_eq!(call(12, "/public/1", &with_key("Token key-3")).await, OK);
    assert_customer(&seen.lock().pop().expect("a request"), Some("northern"));
    replica.close().await;
}

/// Guards against a change for deployments whose configuration has no customers.
#[tokio::test]
async fn headers_are_forwarded_without_customers() {
    let seen = SeenHeads::default();
    let replica = bind_replica(113, &seen, Duration::ZERO).await;
    open(13, "").await;
    let headers = [("authorization", "Basic dXNlcg=="), ("x-customer", "desk")];
    assert_eq!(call(13, "/card/1", &headers).await, OK);
    let received = seen.lock().pop().expect("a request");
    assert_eq!(received["authorization"], "Basic dXNlcg==");
    assert_eq!(received["x-customer"], "desk");
    replica.close().await;
}

/// Guards against a key that stays valid on a connection that was opened before its removal.
#[tokio::test]
async fn added_and_removed_keys_are_in_force_on_open_connections() {
    let seen = SeenHeads::default();
    let replica = bind_replica(114, &seen, Duration::ZERO).await;
    let state = open(14, "acme - 3 key-1").await;
    let mut caller = Caller::connect(14).await;
    let mut statuses = Vec::new();
    for (version, customers) in [(1, ""), (2, "acme - 3 key-2"), (3, "acme - 3 key-2 key-1")] {
        if version > 1 {
            state.apply_reply(reply(114, "a", version, customers), true);
        }
        for key in ["Token key-1", "Token key-2"] {
            let answer = caller.send("/card/1", &with_key(key)).await;
            statuses.push(answer.status().as_u16());
        }
    }
    assert_eq!(statuses, [200, 401, 401, 200, 200, 200]);
    replica.close().await;
}

/// Guards against a request that waits for a replica and is sent after its key was removed.
#[tokio::test]
async fn waiting_request_is_refused_after_its_key_was_removed() {
    let seen = SeenHeads::default();
    let replica = bind_replica(115, &seen, Duration::from_millis(700)).await;
    let state = open(15, "acme - 3 key-1 key-2").await;
    let send =
        |key: &'static str| tokio::spawn(async move { call(15, "/card/1", &with_key(key)).await });
    // The entry may send the replica one request at a time.
    let running = send("Token key-1");
    tokio::time::sleep(Duration::from_millis(150)).await;
    let (removed, kept) = (send("Token key-1"), send("Token key-2"));
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(seen.lock().len(), 1, "the other requests wait");
    state.apply_reply(reply(115, "a", 2, "acme - 3 key-2"), true);
    assert_eq!(removed.await.expect("no panic"), REFUSED);
    assert_eq!(state.counters.requests_unauthorised.get(), 1);
    assert_eq!(kept.await.expect("no panic"), OK);
    assert_eq!(running.await.expect("no panic"), OK, "it had been sent");
    assert_eq!(seen.lock().len(), 2);
    replica.close().await;
}

/// Guards against requests that run without a key in force once the last customer was removed.
#[tokio::test]
async fn removal_of_the_last_customer_does_not_end_the_need_for_keys() {
    let seen = SeenHeads::default();
    let replica = bind_replica(125, &seen, Duration::from_millis(700)).await;
    let state = open(25, CUSTOMERS).await;
    let send = || tokio::spawn(call(25, "/card/1", &[("authorization", "Token key-1")]));
    // The entry may send the replica one request at a time.
    let running = send();
    tokio::time::sleep(Duration::from_millis(150)).await;
    let waiting = send();
    tokio::time::sleep(Duration::from_millis(150)).await;
    state.apply_reply(reply(125, "a", 2, NO_CUSTOMERS), true);
    assert_eq!(waiting.await.expect("no panic"), REFUSED);
    assert_eq!(running.await.expect("no panic"), OK, "it had been sent");
    let forged = ("x-customer", "acme");
    for key in ["Token key-1", "Token key-5"] {
        let headers = [with_key(key)[0], forged];
        assert_eq!(call(25, "/card/1", &headers).await, REFUSED);
    }
    assert_eq!(call(25, "/card/1", &[forged]).await, REFUSED);
    assert_eq!(seen.lock().len(), 1);
    let headers = [with_key("Token key-1")[0], forged];
    assert_eq!(call(25, "/public/1", &headers).await, OK);
    assert_customer(&seen.lock().pop().expect("a request"), None);
    replica.close().await;
}

/// Guards against a hedge or a retry that is sent after the key of its request was removed.
#[tokio::test]
async fn request_is_not_sent_again_after_its_key_was_removed() {
    let seen = SeenHeads::default();
    let failed = StatusCode::INTERNAL_SERVER_ERROR;
    let delay = Duration::from_millis(300);
    let first = bind_replica_with(122, &seen, delay, failed).await;
    let second = bind_replica_with(123, &seen, delay, failed).await;
    for (number, customers, sent) in [(22, "acme - 3 key-1", 2), (23, "acme - 3 key-2", 1)] {
        seen.lock().clear();
        let state = open_entry(number, "a", None);
        state.apply_reply(reply(122, "a", 1, "acme - 3 key-1"), true);
        serve(number, &state).await;
        let running = tokio::spawn(call(number, "/card/1", &[("authorization", "Token key-1")]));
        tokio::time::sleep(delay / 3).await;
        assert_eq!(seen.lock().len(), 1, "there is one replica");
        let second_known = with_second_replica(reply(122, "a", 2, customers), 123);
        state.apply_reply(second_known, true);
        assert_eq!(running.await.expect("no panic").0, 500);
        assert_eq!(seen.lock().len(), sent, "{customers}");
    }
    first.close().await;
    second.close().await;
}

/// Guards against a request that waits until its entry may no longer check keys, and is sent then.
#[tokio::test]
async fn waiting_request_is_refused_after_contact_was_lost() {
    let seen = SeenHeads::default();
    let replica = bind_replica(124, &seen, Duration::from_millis(1_200)).await;
    let state = open_entry(24, "a", Some(Duration::from_secs(5)));
    prove(
        &state,
        reply(124, "a", 1, CUSTOMERS),
        Duration::from_secs(4),
    );
    serve(24, &state).await;
    let send = || tokio::spawn(call(24, "/card/1", &[("authorization", "Token key-1")]));
    let running = send();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(send().await.expect("no panic"), UNCONFIRMED);
    assert_eq!(running.await.expect("no panic"), OK);
    assert_eq!(seen.lock().len(), 1);
    replica.close().await;
}

/// Guards against a replica in a region that the customer or the route does not allow.
#[tokio::test]
async fn regions_of_the_route_and_of_the_customer_both_apply() {
    let seen = SeenHeads::default();
    let replica = bind_replica(116, &seen, Duration::ZERO).await;
    let state = open(16, CUSTOMERS).await;
    assert_eq!(call(16, "/card/1", &with_key("Token key-3")).await, OK);
    let northern = call(16, "/south/1", &with_key("Token key-3")).await;
    assert_eq!(northern, NO_COMMON_REGION);
    assert_eq!(state.counters.requests_unauthorised.get(), 0);
    // The only replica is in the region north.
    for (path, key) in [("/card/1", "Token key-4"), ("/south/1", "Token key-1")] {
        let (status, code) = call(16, path, &with_key(key)).await;
        assert_eq!((status, code), (503, 2004), "{path}");
    }
    assert_eq!(seen.lock().len(), 1);
    replica.close().await;
}

/// Guards against a part of a gather that crosses a link with the key or without the customer.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn replica_behind_a_link_receives_the_customer_and_not_the_key() {
    let seen = SeenHeads::default();
    let replica = bind_replica(117, &seen, Duration::ZERO).await;
    let entries = [(1, "a"), (2, "b")].map(|(number, centre)| {
        let state = open_entry(number, centre, None);
        state.apply_reply(reply(117, "b", 1, CUSTOMERS), true);
        state
    });
    let [local, remote] = entries;
    let relay = SocketAddr::new(host(2), RELAY_PORT);
    bind_relay(remote, relay).await.expect("bind the port");
    let links = tokio::spawn(run_links(Arc::clone(&local), RELAY_PORT));
    serve(1, &local).await;
    for _ in 0..200 {
        if local.has_link(&RegionName::from("south")) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let headers = [("authorization", "Token key-4"), ("x-customer", "acme")];
    assert_eq!(call(1, "/sweep/1", &headers).await.0, 200);
    assert_eq!(local.counters.relayed.get(), 1);
    assert_customer(&seen.lock().pop().expect("a request"), Some("southern"));
    // The replica is in the region south.
    let northern = call(1, "/sweep/1", &with_key("Token key-3")).await;
    assert_eq!(northern.0, 503);
    assert!(seen.lock().is_empty());
    links.abort();
    replica.close().await;
}

/// Guards against keys that stay valid at an entry which cannot learn of their removal, and against
/// refusals where the deployment has not asked for them.
#[tokio::test]
async fn keys_are_refused_without_contact_only_under_strict_revocation() {
    let seen = SeenHeads::default();
    let replica = bind_replica(120, &seen, Duration::ZERO).await;
    let key = with_key("Token key-1");
    for (number, delay) in [(18, Some(Duration::from_secs(5))), (19, None)] {
        let expected = delay.map_or(OK, |_| UNCONFIRMED);
        let state = open_entry(number, "a", delay);
        let confirmed = || reply(120, "a", 1, CUSTOMERS);
        state.apply_reply(confirmed(), false);
        serve(number, &state).await;
        assert_eq!(call(number, "/card/1", &key).await, expected, "no proof");
        prove(&state, confirmed(), Duration::from_secs(4));
        assert_eq!(call(number, "/card/1", &key).await, OK);
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(call(number, "/card/1", &key).await, expected, "5 s");
        assert_eq!(call(number, "/card/1", &[]).await, REFUSED);
        assert_eq!(call(number, "/public/1", &[]).await, OK);
        prove(&state, confirmed(), Duration::ZERO);
        assert_eq!(call(number, "/card/1", &key).await, OK);
    }
    replica.close().await;
}

/// Guards against keys in metrics, and against metrics of customers that no longer exist.
#[tokio::test]
async fn metrics_count_by_customer_and_show_no_key() {
    let seen = SeenHeads::default();
    let replica = bind_replica(121, &seen, Duration::ZERO).await;
    let state = open(21, CUSTOMERS).await;
    for key in ["Token key-1", "Token key-2", "Token key-3", "Token key-5"] {
        call(21, "/card/1", &with_key(key)).await;
    }
    let mut registry = Registry::default();
    state.counters.register(&mut registry);
    let exported = || {
        let mut text = String::new();
        encode(&mut text, &registry).expect("text");
        text
    };
    let text = exported();
    assert!(
        text.contains("customer_requests_total{customer=\"acme\"} 2"),
        "{text}"
    );
    assert!(text.contains("customer_requests_total{customer=\"northern\"} 1"));
    assert!(text.contains("requests_unauthorised_total 1"));
    assert!(!text.contains("key-"));
    state.apply_reply(reply(121, "a", 2, "northern - 0 key-3"), true);
    assert!(!exported().contains("acme"));
    replica.close().await;
}
