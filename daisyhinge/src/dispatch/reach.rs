//! Whether this entry can reach replicas at all.
//!
//! A single replica that takes no connection has failed or is overloaded. If many different ones take
//! none and no other does, the entry itself has lost its way to them, whatever else it still reaches.

use std::collections::BTreeSet;
use std::time::Duration;

use super::fleet::{ReplicaIndex, ReplicaReach};
use crate::prelude::*;

/// Number of different replicas that must take no connection, fewer only if fewer are known.
const FAILED_MIN: usize = 8;
/// Number of different replicas without a connection from which others are probed.
const SUSPICION_MIN: usize = 2;
/// Time without any answer or connect after which open connections count as lost, too.
const SILENCE_MIN: Duration = Duration::from_millis(300);

/// Evidence of connects and answers, from which the reach follows.
#[derive(Clone, Debug, Default)]
pub struct ReachMonitor {
    /// Replicas that took no connection since the last connect that succeeded.
    failed: BTreeSet<ReplicaIndex>,
    /// Time of the last answer or connect that succeeded.
    alive_at: MonotonicTime,
}

impl ReachMonitor {
    /// Records that a connection to any replica was made.
    pub fn record_connected(&mut self, now: MonotonicTime) {
        self.failed.clear();
        self.alive_at = now;
    }

    /// Records that a replica took no connection.
    pub fn record_failed(&mut self, replica: ReplicaIndex) {
        self.failed.insert(replica);
    }

    /// Records that a replica answered on a connection of this entry.
    pub fn record_answer(&mut self, now: MonotonicTime) {
        self.alive_at = now;
    }

    /// Returns how this entry reaches replicas, of which it knows `known`.
    pub fn reach(&self, now: MonotonicTime, known: usize) -> ReplicaReach {
        let needed = FAILED_MIN.min(known).max(1);
        if self.failed.len() < needed {
            ReplicaReach::Full
        } else if self.silence(now) < SILENCE_MIN {
            ReplicaReach::OpenOnly
        } else {
            ReplicaReach::Lost
        }
    }

    /// Whether other replicas should be probed, since some of the `known` took no connection.
    pub fn is_suspicious(&self, known: usize) -> bool {
        self.failed.len() >= SUSPICION_MIN.min(known).max(1)
    }

    /// Returns the number of replicas that took no connection since one was made.
    pub fn failed(&self) -> usize {
        self.failed.len()
    }

    /// Whether the replica is among those that took no connection.
    pub fn has_failed(&self, replica: ReplicaIndex) -> bool {
        self.failed.contains(&replica)
    }

    /// Returns the time since a replica last answered or took a connection.
    pub fn silence(&self, now: MonotonicTime) -> Duration {
        now.since(self.alive_at)
    }
}
