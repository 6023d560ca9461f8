//! Earlier and later incarnations at the same address, and departures of unknown ones.
//!
//! Only replicas of the same service succeed each other. A record of another service at the address of
//! a replica may come from another writer, and says nothing of the replica: if that has ended, it falls
//! silent, and whoever has its address answers that it is another one.

use super::order::{is_established, is_in_use};
use super::{SILENT_HEARTBEATS, ServerRegistry};
use crate::prelude::*;
use crate::vocabulary::registration::{ReplicaPhase, ReplicaRecord};

impl ServerRegistry {
    /// Completes a recent departure of a replica that was unknown then, after a start of this
    /// process, by the incarnation that another process knows, so that it takes effect there, too.
    pub(super) fn complete_departure(&mut self, now: MonotonicTime, record: &ReplicaRecord) {
        let recent = self.silence_timeout / (SILENT_HEARTBEATS / 2);
        let Some(tracked) = self.replicas.get_mut(&record.name) else {
            return;
        };
        let known = &tracked.record;
        let is_incomplete = known.phase == ReplicaPhase::Left && known.born_ms.is_none();
        if is_incomplete && now.since(tracked.last_contact) < recent && is_established(record) {
            self.mark += 1;
            tracked.mark = self.mark;
            tracked.record = ReplicaRecord {
                phase: ReplicaPhase::Left,
                holder: self.epoch,
                ..record.clone()
            };
        }
    }

    /// Returns whether a later incarnation is known at the same address.
    pub(super) fn is_superseded(&self, record: &ReplicaRecord) -> bool {
        let born = record.born_ms;
        born.is_some()
            && self.replicas.values().any(|tracked| {
                is_succession(&tracked.record, record) && tracked.record.born_ms > born
            })
    }

    /// Marks earlier incarnations at the same address as having left.
    pub(super) fn retire_predecessors(&mut self, record: &ReplicaRecord) {
        if record.born_ms.is_none() {
            return;
        }
        for tracked in self.replicas.values_mut() {
            let known = &mut tracked.record;
            let is_predecessor = is_succession(known, record)
                && known.born_ms < record.born_ms
                && known.phase != ReplicaPhase::Left;
            if is_predecessor {
                self.mark += 1;
                known.phase = ReplicaPhase::Left;
                tracked.mark = self.mark;
            }
        }
    }

    /// Returns the replicas in use that have announced the address of the replica `name` for another
    /// service. Only one of all these can be at the address.
    pub fn list_sharing(&self, name: &ReplicaName) -> Vec<ReplicaRecord> {
        let Some(tracked) = self.replicas.get(name) else {
            return Vec::new();
        };
        let own = &tracked.record;
        let records = self.replicas.values().map(|other| &other.record);
        let sharing = records.filter(|other| {
            other.address == own.address && other.service != own.service && is_in_use(other)
        });
        sharing.cloned().collect()
    }
}

/// Returns whether one of two replicas has taken the place of the other.
fn is_succession(one: &ReplicaRecord, other: &ReplicaRecord) -> bool {
    one.address == other.address && one.service == other.service && one.name != other.name
}
