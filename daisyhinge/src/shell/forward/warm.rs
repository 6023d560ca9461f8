//! Keeps connections open to the replicas that may receive requests, so that a hedge to another
//! region does not wait for a connect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use super::connection::ReplicaConnection;
use super::state::ForwardState;
use crate::dispatch::fleet::ReplicaIndex;

/// Time between two sweeps of the pool.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of connections opened at a time.
const CONCURRENT_CONNECTS_MAX: usize = 16;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Closes superfluous connections and opens missing ones at regular intervals. Never returns.
pub async fn run_warming(state: Arc<ForwardState>) {
    loop {
        sweep_pool(&state);
        let open = i64::try_from(state.pool.count()).unwrap_or(i64::MAX);
        state.counters.connections_idle.set(open);
        update_gauges(&state);
        let missing = list_missing(&state);
        join_all(
            missing
                .into_iter()
                .map(|target| open_connection(&state, target)),
        )
        .await;
        tokio::time::sleep(SWEEP_INTERVAL).await;
    }
}

fn update_gauges(state: &ForwardState) {
    let counts = state
        .dispatcher
        .lock()
        .fleet
        .count_notices(state.clock.now());
    state.counters.set_notices(counts);
    let held = state.intake.memory().held_bytes();
    let held = i64::try_from(held).unwrap_or(i64::MAX);
    state.counters.answer_bytes.set(held);
}

fn sweep_pool(state: &ForwardState) {
    let mut dispatcher = state.dispatcher.lock();
    state.pool.sweep(|replica| {
        let known = dispatcher.fleet.replica(replica);
        known.map_or(0, |replica| replica.connections_kept as usize)
    });
    let fleet = &mut dispatcher.fleet;
    fleet.record_all_idle(|replica| state.pool.idle(replica));
}

fn list_missing(state: &ForwardState) -> Vec<(ReplicaIndex, SocketAddr)> {
    let now = state.clock.now();
    let dispatcher = state.dispatcher.lock();
    let wanted = dispatcher.fleet.replicas().filter(|(index, replica)| {
        replica.connections_kept > 0
            && replica.running() == 0
            && replica.idle() == 0
            && !replica.is_backed_off(now)
            && !replica.is_cold(now)
            && dispatcher.fleet.may_send(now, *index)
    });
    let mut wanted: Vec<_> = wanted.collect();
    // Replicas in the entry's own region receive most requests, so they come first.
    wanted.sort_by_key(|(_, replica)| !replica.is_in_same_region());
    wanted
        .into_iter()
        .take(CONCURRENT_CONNECTS_MAX)
        .map(|(index, replica)| (index, replica.record.address))
        .collect()
}

async fn open_connection(state: &ForwardState, (replica, address): (ReplicaIndex, SocketAddr)) {
    let connect = ReplicaConnection::connect(address);
    // If a replica does not accept connections, the next request to it detects that.
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    let connection = connected.ok().flatten();
    state.record_connect(replica, connection.is_some());
    if let Some(connection) = connection {
        state.counters.connections_opened.inc();
        state.pool.put(replica, connection);
        state.record_idle(replica);
    }
}
