//! Rollouts and requests that are relayed through another entry, over loopback.

#[path = "relay/fixture.rs"]
#[expect(dead_code, reason = "only the test of relays uses all of the fixture")]
mod fixture;
#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::dispatch::fleet::ReplicaIndex;
use daisyhinge::dispatch::request::AttemptEnd;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::attempt::run_attempt;
use daisyhinge::shell::forward::gate::WritePermit;
use daisyhinge::shell::forward::outgoing::OutgoingRequest;
use daisyhinge::shell::forward::relay::link::run_links;
use daisyhinge::shell::forward::relay::serve::bind_relay;
use daisyhinge::shell::forward::state::ForwardState;
use daisyhinge::shell::http_port::HttpPort;
use daisyhinge::shell::site::follow::ReplyProof;
use daisyhinge::vocabulary::registration::SyncReply;
use daisyhinge::vocabulary::rollout::{RolloutOrder, RolloutPhase, RolloutRecord};
use daisyhinge::vocabulary::site::{RouteKind, SiteState};
use fixture::{
    RELAY_PORT, REPLICA_PORT, SeenHeads, answer_replica, host, open_entry_with, wait_until,
};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};

/// Port of the link; the tests of relays use others.
const LINK_PORT: u16 = RELAY_PORT + 60;

/// Tells an entry the phase of the rollout to `v1`, the version of the only replica.
fn tell(entry: &ForwardState, address: SocketAddr, revision: u64, phase: RolloutPhase) {
    let service = ServiceName::from("shard");
    let record = RolloutRecord {
        number: 2,
        order: RolloutOrder {
            service: service.clone(),
            target: "v1".into(),
            duration_ms: 60_000,
        },
        stable: Some("v0".into()),
        ordered_ms: 0,
        advanced_ms: 0,
        phase,
        reason: None,
    };
    let site = SiteState {
        revision,
        rollouts: [(service, record)].into(),
        ..SiteState::default()
    };
    let reply = SyncReply {
        site: Some(Arc::new(site)),
        ..known_replica::sync_reply_with(address, "shard", "b", Vec::new())
    };
    let proof = ReplyProof {
        fresh: true,
        waited: Duration::ZERO,
    };
    entry.apply_proven(reply, proof);
}

/// Sends an attempt at the replica that was chosen before.
async fn send(entry: &Arc<ForwardState>) -> AttemptEnd {
    let request = Arc::new(OutgoingRequest {
        number: 1,
        method: Method::GET,
        target: Uri::from_static("/sweep/1"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        id: Some(HeaderValue::from_static("id-7")),
        kind: RouteKind::Safe,
        top_records: Some(2),
        deadline: entry.clock.now() + Duration::from_secs(2),
        access: None,
    });
    let permit = Arc::<WritePermit>::default();
    run_attempt(Arc::clone(entry), request, 1, ReplicaIndex(0), permit)
        .await
        .end
}

/// A request that was chosen before a rollback and reaches the bad version over a link, and one that
/// fails because the relaying entry applies the rollouts that it knows itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn entry_that_chose_the_replica_applies_rollouts_and_the_relaying_one_does_not() {
    let seen = SeenHeads::default();
    let recorder = Arc::clone(&seen);
    let answer =
        move |request: Request<Incoming>| std::future::ready(answer_replica(&recorder, &request));
    let address = SocketAddr::new(host(59), REPLICA_PORT);
    let replica = HttpPort::bind(address, answer).await;
    let replica = replica.expect("bind the port");
    let local_entry = open_entry_with(1, "a", address, true);
    let remote_entry = open_entry_with(2, "b", address, true);
    let whole = RolloutPhase::InProgress(1_000);
    tell(&local_entry, address, 2, whole);
    tell(&remote_entry, address, 2, RolloutPhase::RolledBack);
    bind_relay(
        Arc::clone(&remote_entry),
        SocketAddr::new(host(2), LINK_PORT),
    )
    .await
    .expect("bind the port");
    let links = tokio::spawn(run_links(Arc::clone(&local_entry), LINK_PORT));
    wait_until("a link is opened", || {
        local_entry.has_link(&RegionName::from("south"))
    })
    .await;

    tell(&local_entry, address, 2, whole);
    assert_eq!(send(&local_entry).await, AttemptEnd::Answered);
    assert_eq!(local_entry.counters.relayed.get(), 1);
    assert_eq!(seen.lock().len(), 1);
    assert_eq!(send(&remote_entry).await, AttemptEnd::Withdrawn);

    tell(&local_entry, address, 3, RolloutPhase::RolledBack);
    assert_eq!(send(&local_entry).await, AttemptEnd::Withdrawn);
    local_entry.drop_links();
    links.abort();
    assert_eq!(send(&local_entry).await, AttemptEnd::Withdrawn);
    assert_eq!(seen.lock().len(), 1);
    replica.close().await;
}
