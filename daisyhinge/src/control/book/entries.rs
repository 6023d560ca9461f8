//! Entries as members.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::BookState;
use crate::prelude::*;
use crate::vocabulary::view::{EntryRecord, EntryState};

/// Entries at most.
pub const ENTRIES_MAX: usize = 4_096;

/// An entry that departed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DepartedRecord {
    /// Its VM.
    pub vm: VmName,
    /// Whether it kept no replica any more.
    pub released: bool,
    /// For how long it had got no proof by then, in milliseconds.
    pub silent_ms: u64,
    /// When it departed, by the log's clock, in milliseconds.
    pub at_ms: u64,
}

/// Members, and those that departed a short while ago.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryTable {
    /// Members.
    pub live: BTreeMap<VmName, EntryRecord>,
    /// Those that departed, oldest first.
    pub departed: Vec<DepartedRecord>,
}

impl BookState {
    /// Whether listing `entry` would alter anything.
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
            // The former process may be frozen rather than dead, with a lease that still runs.
            self.depart(&entry.vm, false, 0);
        }
        self.entries.live.insert(entry.vm.clone(), entry.clone());
        self.version.0 += 1;
        true
    }

    pub(super) fn lose_entry(
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
        self.depart(vm, released, silent_ms);
        self.version.0 += 1;
        true
    }

    fn depart(&mut self, vm: &VmName, released: bool, silent_ms: u64) {
        let departed = &mut self.entries.departed;
        let before = departed.iter().position(|record| record.vm == *vm);
        let former = before.map(|place| departed.remove(place));
        departed.push(DepartedRecord {
            vm: vm.clone(),
            released: released && former.as_ref().is_none_or(|record| record.released),
            // Two departures in short order: the later lease may be the one that still runs.
            silent_ms: former.map_or(silent_ms, |record| record.silent_ms.min(silent_ms)),
            at_ms: self.clock_ms,
        });
    }

    pub(super) fn forget_entries(&mut self, before_ms: u64) -> bool {
        let count = self.entries.departed.len();
        self.entries
            .departed
            .retain(|record| record.at_ms > before_ms);
        let altered = self.entries.departed.len() < count;
        if altered {
            self.version.0 += 1;
        }
        altered
    }
}
