//! Idle connections to replicas.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;

use super::connection::ReplicaConnection;
use crate::dispatch::fleet::ReplicaIndex;

/// Connections that were used within this time stay open beyond those to be kept.
const USED_SPAN: Duration = Duration::from_secs(1);

/// Idle connections, the one used last at the end.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<ReplicaIndex, Vec<ReplicaConnection>>>,
}

impl ConnectionPool {
    /// A connection that may be used again and was idle for at most `idle_max`.
    pub(super) fn take(
        &self,
        replica: ReplicaIndex,
        idle_max: Duration,
    ) -> Option<ReplicaConnection> {
        let mut idle = self.idle.lock();
        let held = idle.get_mut(&replica)?;
        while let Some(mut connection) = held.pop() {
            let fresh = connection.idle().is_none_or(|idle| idle <= idle_max);
            if fresh && connection.is_sound() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub(super) fn put(&self, replica: ReplicaIndex, mut connection: ReplicaConnection) {
        if connection.is_sound() {
            let mut idle = self.idle.lock();
            idle.entry(replica).or_default().push(connection);
        }
    }

    /// Closes connections that ended or were idle too long, and what was not used of late beyond
    /// as many as are to be `kept`.
    pub(super) fn sweep(&self, kept: impl Fn(ReplicaIndex) -> usize) {
        let mut idle = self.idle.lock();
        idle.retain(|replica, held| {
            held.retain_mut(ReplicaConnection::is_sound);
            close_unused(held, kept(*replica));
            !held.is_empty()
        });
    }

    /// Idle connections to a replica.
    pub(super) fn idle(&self, replica: ReplicaIndex) -> usize {
        self.idle.lock().get(&replica).map_or(0, Vec::len)
    }

    /// Idle connections in all.
    pub(super) fn count(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }
}

/// Closes those that were not used of late, the longest idle first, until `kept` are left.
fn close_unused(held: &mut Vec<ReplicaConnection>, kept: usize) {
    let beyond = held.len().saturating_sub(kept);
    let unused = held
        .iter()
        .take(beyond)
        .take_while(|connection| connection.idle().is_none_or(|idle| idle >= USED_SPAN));
    let unused = unused.count();
    held.drain(..unused);
}
