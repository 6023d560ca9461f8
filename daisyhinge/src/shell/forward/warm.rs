//! Keeps a connection open to each replica that may be asked, so that a hedge to another region
//! does not wait for one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use super::connection::ReplicaConnection;
use super::state::ForwardState;
use crate::dispatch::fleet::ReplicaIndex;

/// Time between looks.
const WARM_SPAN: Duration = Duration::from_millis(500);
/// Connections opened at a time.
const OPENED_MAX: usize = 12;
/// Longest wait for one.
const CONNECT_SPAN: Duration = Duration::from_millis(400);

/// Closes connections that are of no more use and opens missing ones, time and again.
pub async fn run_warming(state: Arc<ForwardState>) {
    loop {
        state.pool.sweep(|replica| {
            let dispatcher = state.dispatcher.lock();
            dispatcher.fleet.replica(replica).is_some()
        });
        let open = i64::try_from(state.pool.count()).unwrap_or(i64::MAX);
        state.counters.connections_idle.set(open);
        let missing = list_missing(&state);
        join_all(missing.into_iter().map(|place| open_one(&state, place))).await;
        tokio::time::sleep(WARM_SPAN).await;
    }
}

fn list_missing(state: &ForwardState) -> Vec<(ReplicaIndex, SocketAddr)> {
    let now = state.clock.now();
    let dispatcher = state.dispatcher.lock();
    let wanted = dispatcher.fleet.replicas().filter(|(index, replica)| {
        replica.connections_max > 0
            && replica.running() == 0
            && !replica.is_down(now)
            && !replica.is_cold(now)
            && dispatcher.fleet.may_send(*index)
            && !state.pool.holds(*index)
    });
    wanted
        .take(OPENED_MAX)
        .map(|(index, replica)| (index, replica.record.address))
        .collect()
}

async fn open_one(state: &ForwardState, (replica, address): (ReplicaIndex, SocketAddr)) {
    let connect = ReplicaConnection::connect(address);
    // A replica that does not accept is found out by the first request to it.
    if let Ok(Some(connection)) = tokio::time::timeout(CONNECT_SPAN, connect).await {
        state.counters.connections_opened.inc();
        state.pool.put(replica, connection);
    }
}
