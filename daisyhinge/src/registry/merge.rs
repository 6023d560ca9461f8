//! Records that other control processes send, and the contact with them.
//!
//! A process takes a record for silent or lost when it has had no contact with its holder. Another
//! process may have, so only the holder's word on that counts.

use std::time::Duration;

use super::ServerRegistry;
use crate::prelude::*;
use crate::vocabulary::registration::{EntryPhase, EntryPresence, ReplicaPhase, ReplicaRecord};

impl ServerRegistry {
    /// Merges the replicas and entries that the control process `epoch` sent.
    pub fn merge_sent(
        &mut self,
        now: MonotonicTime,
        epoch: u64,
        replicas: Vec<ReplicaRecord>,
        entries: Vec<EntryPresence>,
    ) {
        self.record_contact(now, epoch);
        for record in replicas {
            let is_silent = record.phase == ReplicaPhase::Silent;
            if is_silent && record.holder != epoch {
                continue;
            }
            if !is_silent && record.holder == epoch {
                self.drop_silent(&record.name, epoch);
            }
            self.merge_replica(now, &record);
        }
        for presence in entries {
            let is_lost = presence.phase == EntryPhase::Lost;
            if is_lost && presence.holder != epoch {
                continue;
            }
            if !is_lost && presence.holder == epoch {
                self.drop_lost(&presence.vm, epoch);
            }
            self.merge_entry(now, presence);
        }
    }

    /// Leaves a pause of this process out of the time without contact: what others sent meanwhile has
    /// not been read yet.
    pub fn skip_pause(&mut self, now: MonotonicTime, pause: Duration) {
        let replicas = self.replicas.values_mut();
        let contacts = replicas.map(|tracked| &mut tracked.last_contact);
        let entries = self.entries.values_mut();
        let contacts = contacts.chain(entries.map(|tracked| &mut tracked.last_contact));
        for contact in contacts.chain(self.holders.values_mut()) {
            *contact = now.min(*contact + pause);
        }
    }

    /// Drops the record of a replica that counts as silent, so that one of its holder, which may have
    /// the same sequence number, replaces it.
    fn drop_silent(&mut self, name: &ReplicaName, holder: u64) {
        let known = self.replicas.get(name).map(|tracked| &tracked.record);
        if known.is_some_and(|known| known.phase == ReplicaPhase::Silent && known.holder == holder)
        {
            self.replicas.remove(name);
        }
    }

    /// Like [`Self::drop_silent`], for an entry.
    fn drop_lost(&mut self, vm: &VmName, holder: u64) {
        let known = self.entries.get(vm).map(|tracked| &tracked.presence);
        if known.is_some_and(|known| known.phase == EntryPhase::Lost && known.holder == holder) {
            self.entries.remove(vm);
        }
    }
}
