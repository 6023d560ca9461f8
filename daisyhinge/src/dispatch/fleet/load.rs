//! Capacity that the replicas of a service have for this entry.

use super::{Choice, ChoiceQuery, Fleet, FleetReplica};
use crate::dispatch::admission::ServiceLoad;
use crate::prelude::*;

impl Fleet {
    /// Returns the load of the replicas that the criteria allow.
    pub fn load(&self, now: MonotonicTime, query: &ChoiceQuery<'_>) -> ServiceLoad {
        let mut load = ServiceLoad {
            free: 0,
            running: 0,
            newest: MonotonicTime::default(),
        };
        let members = self.services.get(query.service);
        let members = members.into_iter().flat_map(|state| &state.members);
        for index in members.filter(|index| !query.tried.contains(index)) {
            let usable = self.replicas.get(index);
            let Some(replica) =
                usable.filter(|replica| self.is_usable(now, replica, query.allowed_regions))
            else {
                continue;
            };
            load.running += replica.running();
            load.newest = load.newest.max(replica.newest_running());
            if self.has_capacity(now, replica) {
                load.free += free_slots(now, replica);
            }
        }
        // A rollout may reserve the replicas with capacity for other requests.
        if load.free > 0 && !matches!(self.choose(now, query), Choice::Replica(_)) {
            load.free = 0;
        }
        load
    }
}

fn free_slots(now: MonotonicTime, replica: &FleetReplica) -> usize {
    let is_limited = replica.cold_rate.is_some() && replica.is_cold(now);
    if is_limited { 1 } else { replica.free_slots() }
}

impl FleetReplica {
    /// Returns how many more requests this entry may have in flight.
    fn free_slots(&self) -> usize {
        let limit = f64::from(self.connections_max.max(1)).min(self.concurrency_limit.ceil());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a limit is at least 1 and at most the number of connections"
        )]
        let limit = limit as usize;
        limit.saturating_sub(self.running.len())
    }

    /// Returns when the newest attempt in flight began, or zero if there is none.
    fn newest_running(&self) -> MonotonicTime {
        let since = self.running.iter().map(|(_, since)| *since);
        since.max().unwrap_or_default()
    }
}
