//! Versions of the replicas of a service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{ServerRegistry, TrackedReplica};
use crate::prelude::*;
use crate::vocabulary::registration::ReplicaPhase;

/// Slots of a service's replicas during a rollout.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RolloutSlots {
    /// Slots of the ready replicas of all versions but the target.
    pub stable: u32,
    /// Slots of the ready and warm replicas of the target version.
    pub target: u32,
}

impl ServerRegistry {
    /// Returns the version of most ready replicas of a service, other than `target`. Of equally
    /// frequent versions, the one whose name sorts last.
    pub fn stable_version(
        &self,
        service: &ServiceName,
        target: &VersionName,
    ) -> Option<VersionName> {
        let mut counts: BTreeMap<&VersionName, usize> = BTreeMap::new();
        let ready = self.ready_replicas(service);
        for tracked in ready.filter(|tracked| tracked.record.version != *target) {
            *counts.entry(&tracked.record.version).or_default() += 1;
        }
        let frequent = counts.into_iter().max_by_key(|(_, count)| *count);
        frequent.map(|(version, _)| version.clone())
    }

    /// Returns the version that entries use for a service without a rollout: the present one whose
    /// first known replica started first. `None` if no replica is present.
    pub fn running_version(&self, service: &ServiceName) -> Option<VersionName> {
        let mut versions: BTreeMap<&VersionName, (u64, bool)> = BTreeMap::new();
        let records = self.replicas.values().map(|tracked| &tracked.record);
        for record in records.filter(|record| record.service == *service) {
            let (born_ms, is_present) =
                versions.entry(&record.version).or_insert((u64::MAX, false));
            *born_ms = record.born_ms.map_or(*born_ms, |own| own.min(*born_ms));
            *is_present |= record.phase != ReplicaPhase::Left;
        }
        let present = versions.into_iter().filter(|(_, known)| known.1);
        let first = present.min_by_key(|(version, known)| (known.0, *version));
        first.map(|(version, _)| version.clone())
    }

    /// Returns the time after which this registry has heard of all replicas that send heartbeats,
    /// counted from when it was opened.
    pub fn discovery_time(&self) -> Duration {
        self.silence_timeout
    }

    /// Adds up the slots of a service's ready replicas outside the data centres `evacuated`.
    pub fn rollout_slots(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        target: &VersionName,
        evacuated: &BTreeSet<CentreName>,
    ) -> RolloutSlots {
        let mut slots = RolloutSlots::default();
        for tracked in self.ready_replicas(service) {
            let record = &tracked.record;
            if evacuated.contains(&record.data_centre) {
                continue;
            }
            if record.version != *target {
                slots.stable = slots.stable.saturating_add(record.slots);
            } else if tracked.cold_until <= now {
                slots.target = slots.target.saturating_add(record.slots);
            }
        }
        slots
    }

    fn ready_replicas(&self, service: &ServiceName) -> impl Iterator<Item = &TrackedReplica> {
        self.replicas.values().filter(move |tracked| {
            tracked.record.phase == ReplicaPhase::Ready && tracked.record.service == *service
        })
    }
}
