//! Membership of entries.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ReplicatedState;
use crate::prelude::*;
use crate::vocabulary::view::{EntryRecord, EntryState};

/// Maximum number of member entries.
pub const ENTRIES_MAX: usize = 4_096;

/// An entry that departed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DepartedRecord {
    /// VM that ran the entry.
    pub vm: VmName,
    /// Whether the entry had released all its replicas.
    pub released: bool,
    /// Time since the entry last received a freshness proof when it departed, in milliseconds.
    pub silent_ms: u64,
    /// Time of departure, in milliseconds of the log clock.
    pub at_ms: u64,
}

/// Member entries and recently departed entries.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryTable {
    /// Member entries by VM.
    pub live: BTreeMap<VmName, EntryRecord>,
    /// Departed entries, oldest first.
    pub departed: Vec<DepartedRecord>,
}

impl ReplicatedState {
    /// Returns whether a join of `entry` would change the membership.
    pub fn would_join(&self, entry: &EntryRecord) -> bool {
        match self.entries.live.get(&entry.vm) {
            Some(listed) if listed.incarnation > entry.incarnation => false,
            Some(listed) if listed.incarnation == entry.incarnation => listed != entry,
            _ => entry.state == EntryState::Live,
        }
    }

    pub(super) fn join_entry(&mut self, entry: &EntryRecord) -> bool {
        if !self.would_join(entry) {
            return false;
        }
        let known = self.entries.live.get(&entry.vm);
        if known.is_none() && self.entries.live.len() >= ENTRIES_MAX {
            return false;
        }
        if known.is_some_and(|listed| listed.incarnation < entry.incarnation) {
            // The former process may be frozen rather than dead, with a lease that is still valid.
            self.add_departed(&entry.vm, false, 0);
        }
        self.entries.live.insert(entry.vm.clone(), entry.clone());
        self.version.0 += 1;
        true
    }

    pub(super) fn remove_entry(
        &mut self,
        vm: &VmName,
        incarnation: IncarnationNumber,
        released: bool,
        silent_ms: u64,
    ) -> bool {
        let listed = self.entries.live.get(vm);
        if listed.is_none_or(|listed| listed.incarnation != incarnation) {
            return false;
        }
        self.entries.live.remove(vm);
        self.add_departed(vm, released, silent_ms);
        self.version.0 += 1;
        true
    }

    fn add_departed(&mut self, vm: &VmName, released: bool, silent_ms: u64) {
        let departed = &mut self.entries.departed;
        let former_index = departed.iter().position(|record| record.vm == *vm);
        let former = former_index.map(|index| departed.remove(index));
        departed.push(DepartedRecord {
            vm: vm.clone(),
            released: released && former.as_ref().is_none_or(|record| record.released),
            // For two departures in quick succession, assume that the lease which ends later is
            // still valid.
            silent_ms: former.map_or(silent_ms, |record| record.silent_ms.min(silent_ms)),
            at_ms: self.clock_ms,
        });
    }

    pub(super) fn forget_entries(&mut self, before_ms: u64) -> bool {
        let count = self.entries.departed.len();
        self.entries
            .departed
            .retain(|record| record.at_ms > before_ms);
        let changed = self.entries.departed.len() < count;
        if changed {
            self.version.0 += 1;
        }
        changed
    }
}
