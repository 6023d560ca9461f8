//! Replicas that the control processes had stored before all of them ended at the same moment.
//!
//! After such an outage no process knows a replica before its next heartbeat. A process stores what
//! its registry contains, and after a start uses the stored replicas that all members had stored as
//! ready. Fewer are not enough: a departure is stored by the member that acknowledged it, and by no
//! other one for certain, and the records of a member that was down for longer are out of date.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::ServerRegistry;
use crate::prelude::*;
use crate::vocabulary::registration::{ReplicaPhase, ReplicaRecord};

/// Time after the start for which stored replicas may be used. Replicas that run have sent a
/// heartbeat by then.
const RESTORE_WINDOW: Duration = Duration::from_secs(5);
/// [`ReplicaRecord::holder`] of a replica that has not sent a heartbeat since the start; lower than
/// the epochs of processes, whose records therefore take precedence.
pub const RESTORED_HOLDER: u64 = 0;

/// Stored records, until they are used or [`RESTORE_WINDOW`] has passed.
#[derive(Clone, Debug)]
pub struct RestoredReplicas {
    own: Vec<ReplicaRecord>,
    /// Records of other members, by their addresses.
    received: BTreeMap<SocketAddr, BTreeMap<ReplicaName, ReplicaRecord>>,
    until: MonotonicTime,
}

impl RestoredReplicas {
    /// Returns the stored replicas that may be used, if the records of all `members` other than
    /// `own_address` were received.
    fn select(
        &self,
        members: &[SocketAddr],
        own_address: SocketAddr,
    ) -> Option<Vec<ReplicaRecord>> {
        let mut others = members.iter().filter(|member| **member != own_address);
        let is_complete = members.contains(&own_address)
            && others.all(|member| self.received.contains_key(member));
        is_complete.then(|| {
            let is_ready_everywhere = |record: &&ReplicaRecord| {
                is_usable(record)
                    && self.received.values().all(|records| {
                        let other = records.get(&record.name);
                        other.is_some_and(|other| {
                            is_usable(other) && other.born_ms == record.born_ms
                        })
                    })
            };
            self.own
                .iter()
                .filter(is_ready_everywhere)
                .cloned()
                .collect()
        })
    }
}

/// Returns whether a stored replica may be used as far as one member knows. The request rate that a
/// cold replica has had is not stored.
fn is_usable(record: &ReplicaRecord) -> bool {
    record.phase == ReplicaPhase::Ready && record.cold_left_ms == 0 && record.born_ms.is_some()
}

impl ServerRegistry {
    /// Keeps the records that this process stored before it was started at `now`. Replicas that do
    /// not accept requests are recorded at once, so that none of them is used.
    pub fn restore(&mut self, now: MonotonicTime, stored: Vec<ReplicaRecord>) {
        let own: Vec<ReplicaRecord> = stored
            .into_iter()
            .map(|record| ReplicaRecord {
                holder: RESTORED_HOLDER,
                ..record
            })
            .collect();
        for record in own
            .iter()
            .filter(|record| record.phase != ReplicaPhase::Ready)
        {
            self.merge_replica(now, record);
        }
        self.restored = Some(RestoredReplicas {
            own,
            received: BTreeMap::new(),
            until: now + RESTORE_WINDOW,
        });
    }

    /// Returns the records that this process had stored before it started, for the other members.
    /// `None` if it had stored none, or no longer needs them.
    pub fn restored(&self) -> Option<&[ReplicaRecord]> {
        let restored = self.restored.as_ref();
        restored.map(|restored| restored.own.as_slice())
    }

    /// Records what the member at `address` had stored.
    pub fn record_restored(&mut self, address: SocketAddr, records: Vec<ReplicaRecord>) {
        if let Some(restored) = &mut self.restored {
            let records = records.into_iter();
            let by_name = records.map(|record| (record.name.clone(), record));
            restored.received.insert(address, by_name.collect());
        }
    }

    /// Uses the stored replicas if the records of all `members` are known, and returns their number.
    /// Replicas about which something newer is known are left out. `None` if records are missing.
    pub fn use_restored(
        &mut self,
        now: MonotonicTime,
        members: &[SocketAddr],
        own_address: SocketAddr,
    ) -> Option<usize> {
        let usable = self.restored.as_ref()?.select(members, own_address)?;
        let merged = usable
            .iter()
            .filter(|record| self.merge_replica(now, record));
        Some(merged.count())
    }

    /// Discards the stored replicas once it is too late to use them.
    pub(super) fn expire_restored(&mut self, now: MonotonicTime) {
        self.restored.take_if(|restored| now >= restored.until);
    }

    /// Returns the records to be stored: those of the registry, and the stored ones that may still
    /// be used.
    pub fn list_stored(&self, now: MonotonicTime) -> Vec<ReplicaRecord> {
        let mut records = self.replicas_after(now, 0);
        let pending = self.restored().unwrap_or_default().iter();
        let pending = pending.filter(|record| !self.replicas.contains_key(&record.name));
        records.extend(pending.cloned());
        records
    }
}
