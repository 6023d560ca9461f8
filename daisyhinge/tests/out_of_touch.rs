//! An entry that cannot prove that its configuration is the newest, under both policies.

#[path = "forward/fixture.rs"]
#[expect(dead_code, reason = "shared with the tests of forwarding")]
mod fixture;
#[path = "support/known_replica.rs"]
mod known_replica;
#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::lease::LapsePolicy;
use daisyhinge::shell::forward::listen::serve_callers;
use daisyhinge::shell::forward::state::ForwardState;
use daisyhinge::shell::site::follow::ReplyProof;
use fixture::{
    AfterAnswer, CALLER_PORT, REPLICA_PORT, ReplicaAnswer, call_entry, complete_answer,
    open_entry_with, run_replica,
};
use known_replica::sync_reply_with;
use reserved_network::reserved_host;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Time after which a lease ends that is extended by a proof of 3.8 s.
const LEASE_LEFT: Duration = Duration::from_millis(200);

async fn open(number: u8, policy: LapsePolicy) -> (IpAddr, Arc<ForwardState>) {
    let host = reserved_host(65, 0, number);
    let listener = TcpListener::bind(SocketAddr::new(host, REPLICA_PORT)).await;
    let script = |id: &str| ReplicaAnswer {
        bytes: complete_answer(id, "label"),
        then: AfterAnswer::Stay,
    };
    tokio::spawn(run_replica(
        listener.expect("bind the port"),
        script,
        Arc::default(),
    ));
    let state = open_entry_with(host, policy);
    let address = SocketAddr::new(host, CALLER_PORT);
    let stop = CancellationToken::new();
    tokio::spawn(serve_callers(
        Arc::clone(&state),
        address,
        stop,
        Duration::from_secs(1),
    ));
    while tokio::net::TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (host, state)
}

/// Applies a reply from control whose confirmation by a quorum is `age_ms` old.
fn prove(state: &ForwardState, host: IpAddr, age_ms: u64) {
    let mut reply = sync_reply_with(SocketAddr::new(host, REPLICA_PORT), "card", "a", Vec::new());
    reply.quorum_age_ms = Some(age_ms);
    let waited = Duration::ZERO;
    state.apply_proven(
        reply,
        ReplyProof {
            fresh: true,
            waited,
        },
    );
}

#[tokio::test]
async fn lapsed_lease_refuses_requests_as_not_run_if_so_set() {
    let (host, state) = open(1, LapsePolicy::Refuse).await;
    let refused = call_entry(host, "id-1").await;
    assert_eq!(refused.status(), 503, "no proof yet");
    assert_eq!(refused.headers()["retry-after"], "1.000");
    prove(&state, host, 3_800);
    assert_eq!(call_entry(host, "id-2").await.status(), 200);
    tokio::time::sleep(LEASE_LEFT).await;
    assert_eq!(call_entry(host, "id-3").await.status(), 503);
    prove(&state, host, 0);
    assert_eq!(call_entry(host, "id-4").await.status(), 200);
}

#[tokio::test]
async fn lapsed_lease_does_not_stop_service_by_default() {
    let (host, state) = open(2, LapsePolicy::default()).await;
    assert_eq!(call_entry(host, "id-1").await.status(), 200);
    prove(&state, host, 60_000);
    assert_eq!(call_entry(host, "id-2").await.status(), 200);
}
