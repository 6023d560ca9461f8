//! Idle connections to replicas.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;

use super::connection::ReplicaConnection;
use crate::dispatch::fleet::ReplicaIndex;

/// Idle connections, the one used last first.
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

    /// Closes connections that ended or were idle too long, and those to replicas that are not
    /// `known`.
    pub(super) fn sweep(&self, known: impl Fn(ReplicaIndex) -> bool) {
        let mut idle = self.idle.lock();
        idle.retain(|replica, held| {
            held.retain_mut(ReplicaConnection::is_sound);
            known(*replica) && !held.is_empty()
        });
    }

    /// Whether an idle connection is held.
    pub(super) fn holds(&self, replica: ReplicaIndex) -> bool {
        self.idle.lock().contains_key(&replica)
    }

    /// Idle connections in all.
    pub(super) fn count(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }
}
