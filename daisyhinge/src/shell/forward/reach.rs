//! Finds out whether this entry reaches replicas, and logs each change.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::watch;

use super::connection::ReplicaConnection;
use super::state::ForwardState;
use crate::dispatch::Dispatcher;
use crate::dispatch::fleet::{ReplicaIndex, ReplicaReach};
use crate::prelude::*;
use crate::shell::line_budget::LineClass;

/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of replicas probed in one round.
const PROBES_MAX: usize = 8;

/// Connects to other replicas while some take no connections. Never returns.
pub async fn run_reach_probes(state: Arc<ForwardState>) {
    let mut round = 0;
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        round += 1;
        let targets = list_probes(&state.dispatcher.lock(), state.clock.now(), round);
        join_all(targets.into_iter().map(|target| probe(&state, target))).await;
        state.review_reach();
    }
}

/// Lists replicas to probe: those that have not failed first, others in turn.
fn list_probes(
    dispatcher: &Dispatcher,
    now: MonotonicTime,
    round: usize,
) -> Vec<(ReplicaIndex, SocketAddr)> {
    let reach = &dispatcher.reach;
    if !reach.is_suspicious(dispatcher.fleet.len()) {
        return Vec::new();
    }
    let offered = dispatcher.fleet.replicas();
    let offered = offered.filter(|(index, _)| dispatcher.fleet.may_send(now, *index));
    let mut targets: Vec<_> = offered
        .map(|(index, known)| (reach.has_failed(index), index, known.record.address))
        .collect();
    targets.sort_unstable();
    let first_failed = targets.partition_point(|(has_failed, ..)| !has_failed);
    let failed = &mut targets[first_failed..];
    if !failed.is_empty() {
        let start = round * PROBES_MAX % failed.len();
        failed.rotate_left(start);
    }
    let targets = targets.into_iter().take(PROBES_MAX);
    targets
        .map(|(_, index, address)| (index, address))
        .collect()
}

async fn probe(state: &ForwardState, (replica, address): (ReplicaIndex, SocketAddr)) {
    let connect = ReplicaConnection::connect(address);
    let connected = tokio::time::timeout(PROBE_TIMEOUT, connect).await;
    let connection = connected.ok().flatten();
    state.record_connect(replica, connection.is_some());
    if let Some(connection) = connection.filter(|_| state.may_keep(replica)) {
        state.pool.put(replica, connection);
        state.record_idle(replica);
    }
}

fn reach_label(reach: ReplicaReach) -> &'static str {
    match reach {
        ReplicaReach::Full => "full",
        ReplicaReach::OpenOnly => "open_only",
        ReplicaReach::Lost => "lost",
    }
}

impl ForwardState {
    /// Records whether a connection to a replica was made.
    pub(super) fn record_connect(&self, replica: ReplicaIndex, connected: bool) {
        if connected {
            let now = self.clock.now();
            self.dispatcher.lock().reach.record_connected(now);
            return;
        }
        self.dispatcher.lock().reach.record_failed(replica);
        self.counters.connects_failed.inc();
        // Refused connects fail within a millisecond, and requests would run out of replicas.
        self.review_reach();
    }

    /// Returns how this entry reaches replicas, and the changes.
    pub fn watch_reach(&self) -> watch::Receiver<ReplicaReach> {
        self.reach.subscribe()
    }

    /// Whether requests to the named replica have to be sent through another entry.
    pub(super) fn needs_detour_to(&self, name: &ReplicaName) -> bool {
        if *self.reach.borrow() == ReplicaReach::Full {
            return false;
        }
        let fleet = &self.dispatcher.lock().fleet;
        let found = fleet.find_index(name);
        let known = found.and_then(|index| fleet.replica(index));
        known.is_some_and(|replica| fleet.needs_detour(replica))
    }

    /// Updates the reach from the evidence, and logs a change.
    pub(super) fn review_reach(&self) {
        let now = self.clock.now();
        let (reach, failed, silence) = {
            let mut dispatcher = self.dispatcher.lock();
            let reach = dispatcher.reach(now);
            dispatcher.fleet.set_reach(now, reach);
            let monitor = &dispatcher.reach;
            (reach, monitor.failed(), monitor.silence(now))
        };
        let changed = self.reach.send_if_modified(|known| {
            let changed = *known != reach;
            *known = reach;
            changed
        });
        if !changed {
            return;
        }
        let is_full = reach == ReplicaReach::Full;
        self.counters.reaches_replicas.set(i64::from(is_full));
        self.log.log_line(LineClass::State, || {
            format!(
                "event=reach_changed reach={} failed={failed} silence_ms={}",
                reach_label(reach),
                silence.as_millis()
            )
        });
    }
}
