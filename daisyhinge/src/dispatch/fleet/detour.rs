//! Reaching replicas through other entries while this one cannot connect to them itself.

use super::{Fleet, FleetReplica, ReplicaIndex, ReplicaOutcome};
use crate::prelude::*;

/// How an entry reaches replicas.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReplicaReach {
    /// By new connections, as far as is known.
    #[default]
    Full,
    /// By the connections that are open, while no new ones can be made.
    OpenOnly,
    /// Not at all.
    Lost,
}

impl Fleet {
    /// Sets how this entry reaches replicas. Replicas are no longer backed off: those that took no
    /// connection of this entry may take one of another entry, or take one again.
    pub fn set_reach(&mut self, now: MonotonicTime, reach: ReplicaReach) {
        if reach != self.reach {
            self.reach = reach;
            self.reach_changed_at = now;
            let replicas = self.replicas.values_mut();
            replicas.for_each(|replica| replica.clear_backoff(now));
        }
    }

    /// Returns the outcome that counts for a replica. A connect of this entry that began before its
    /// reach changed says nothing about the replica.
    pub(super) fn judge_outcome(
        &self,
        replica: &FleetReplica,
        attempt: u64,
        outcome: ReplicaOutcome,
    ) -> ReplicaOutcome {
        let since = replica.running_since(attempt);
        let is_earlier = since.is_some_and(|since| since < self.reach_changed_at);
        match outcome {
            ReplicaOutcome::Unreachable if is_earlier => ReplicaOutcome::Cancelled,
            _ => outcome,
        }
    }

    /// Whether requests to a replica have to be sent through another entry.
    pub fn needs_detour(&self, replica: &FleetReplica) -> bool {
        match self.reach {
            ReplicaReach::Full => false,
            ReplicaReach::OpenOnly => replica.idle == 0,
            ReplicaReach::Lost => true,
        }
    }

    /// Whether requests to a replica can be sent, be it through another entry. Without any link, it
    /// is tried as usual.
    pub(super) fn is_reachable(&self, replica: &FleetReplica) -> bool {
        let region = self.location.region_of(&replica.record.data_centre);
        let is_linked = || region.is_some_and(|region| self.linked_regions.contains(region));
        !self.needs_detour(replica) || self.linked_regions.is_empty() || is_linked()
    }

    /// Returns the index of the named replica.
    pub fn find_index(&self, name: &ReplicaName) -> Option<ReplicaIndex> {
        self.names.get(name).copied()
    }

    /// Returns the number of replicas of all services.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }
}
