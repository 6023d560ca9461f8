//! Pool of idle connections to replicas.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;

use super::connection::ReplicaConnection;
use crate::dispatch::fleet::ReplicaIndex;

/// Connections used within this period stay open even if their replica has more than it should
/// keep.
const RECENT_USE_PERIOD: Duration = Duration::from_secs(1);

/// Idle connections by replica, the most recently used one last.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<ReplicaIndex, Vec<ReplicaConnection>>>,
}

impl ConnectionPool {
    /// Takes a reusable connection that was idle for at most `idle_max`.
    pub(super) fn take(
        &self,
        replica: ReplicaIndex,
        idle_max: Duration,
    ) -> Option<ReplicaConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&replica)?;
        while let Some(mut connection) = connections.pop() {
            let recent = connection.idle().is_none_or(|idle| idle <= idle_max);
            if recent && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool.
    pub(super) fn put(&self, replica: ReplicaIndex, mut connection: ReplicaConnection) {
        if connection.is_reusable() {
            let mut idle = self.idle.lock();
            idle.entry(replica).or_default().push(connection);
        }
    }

    /// Closes connections that have ended or exceeded their idle timeout. Of the others, closes
    /// those not used recently while their replica has more than `keep_count`.
    pub(super) fn sweep(&self, keep_count: impl Fn(ReplicaIndex) -> usize) {
        let mut idle = self.idle.lock();
        idle.retain(|replica, connections| {
            connections.retain_mut(ReplicaConnection::is_reusable);
            close_unused(connections, keep_count(*replica));
            !connections.is_empty()
        });
    }

    /// Returns the number of idle connections to a replica.
    pub(super) fn idle(&self, replica: ReplicaIndex) -> usize {
        self.idle.lock().get(&replica).map_or(0, Vec::len)
    }

    /// Returns the number of idle connections to all replicas.
    pub(super) fn count(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }
}

/// Closes connections not used recently, the longest idle first, until `keep_count` are left.
fn close_unused(connections: &mut Vec<ReplicaConnection>, keep_count: usize) {
    let excess = connections.len().saturating_sub(keep_count);
    let unused = connections.iter().take(excess).take_while(|connection| {
        connection
            .idle()
            .is_none_or(|idle| idle >= RECENT_USE_PERIOD)
    });
    let unused = unused.count();
    connections.drain(..unused);
}
