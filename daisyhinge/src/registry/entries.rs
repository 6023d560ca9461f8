//! The entries that announced themselves.

use super::{ServerRegistry, TrackedEntry};
use crate::prelude::*;
use crate::vocabulary::registration::{EntryPhase, EntryPresence};

impl ServerRegistry {
    /// Records a sync request that this process received from an entry and returns whether the
    /// entry's record changed.
    pub fn record_entry(&mut self, now: MonotonicTime, mut presence: EntryPresence) -> bool {
        presence.holder = self.epoch;
        let mark = self.mark + 1;
        if let Some(tracked) = self.entries.get_mut(&presence.vm) {
            tracked.last_contact = now;
            presence.stamp = tracked.presence.stamp;
            if tracked.presence == presence {
                return false;
            }
            presence.stamp += 1;
            tracked.presence = presence;
            tracked.mark = mark;
        } else {
            presence.stamp = 1;
            let last_contact = now;
            let vm = presence.vm.clone();
            self.entries.insert(
                vm,
                TrackedEntry {
                    presence,
                    mark,
                    last_contact,
                },
            );
        }
        self.mark = mark;
        true
    }

    /// Merges an entry record received from another control process and returns whether it was
    /// accepted.
    pub fn merge_entry(&mut self, now: MonotonicTime, presence: EntryPresence) -> bool {
        let mark = self.mark + 1;
        let known = self
            .entries
            .get(&presence.vm)
            .map(|tracked| &tracked.presence);
        let is_later = known.is_none_or(|known| {
            // The level distinguishes copies that a build without levels passed on from the
            // original, which must win in whichever order they arrive.
            let order = |presence: &EntryPresence| {
                (
                    presence.stamp,
                    presence.holder,
                    presence.phase,
                    presence.feature_level,
                )
            };
            order(known) < order(&presence)
        });
        if !is_later {
            return false;
        }
        let vm = presence.vm.clone();
        let tracked = TrackedEntry {
            presence,
            mark,
            last_contact: now,
        };
        self.entries.insert(vm, tracked);
        self.mark = mark;
        true
    }

    /// Returns the entries modified after `mark`.
    pub fn entries_after(&self, mark: u64) -> Vec<EntryPresence> {
        let changed = self.entries.values().filter(|tracked| tracked.mark > mark);
        changed.map(|tracked| tracked.presence.clone()).collect()
    }

    /// Returns the entries that accept requests, those without a way to the replicas included.
    pub fn open_entries(&self) -> impl Iterator<Item = &EntryPresence> + Clone {
        let entries = self.entries.values().map(|tracked| &tracked.presence);
        let is_open = |phase| matches!(phase, EntryPhase::Serving | EntryPhase::CutOff);
        entries.filter(move |presence| is_open(presence.phase))
    }

    /// Returns the entries that accept requests and reach replicas.
    pub fn serving_entries(&self) -> impl Iterator<Item = &EntryPresence> + Clone {
        let entries = self.open_entries();
        entries.filter(|presence| presence.phase == EntryPhase::Serving)
    }
}
