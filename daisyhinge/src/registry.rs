//! Soft state that control processes share: replicas and entries, as they announce themselves.
//!
//! Every control process has a registry. What an announcement alters gets a mark, and whoever
//! asks is told all that was altered after a mark. Registries that tell each other converge: of
//! two records of one incarnation the later one stands.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::registration::{EntryPhase, EntryPresence, ReplicaPhase, ReplicaRecord};

/// Heartbeat periods after which a replica counts as silent.
const SILENT_BEATS: u32 = 4;
/// Longest time that an entry may leave its question for changes open or unasked.
const ENTRY_SILENT_SPAN: Duration = Duration::from_millis(3_500);
/// Silence of a control process after which what it holds counts as silent too.
const HOLDER_SILENT_SPAN: Duration = Duration::from_secs(4);
/// How long what has gone is remembered, so that late heartbeats do not bring it back.
const GONE_KEPT_SPAN: Duration = Duration::from_secs(90);

/// Sequence of the first heartbeats after a start, at most.
const FRESH_SEQUENCE_MAX: u64 = 2;

/// A heartbeat or a departure of a replica, whether it altered anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BeatOutcome {
    /// Something changed.
    Changed,
    /// It confirms what is known.
    Confirmed,
    /// It is older than what is known, and ignored.
    Stale,
}

#[derive(Clone, Debug)]
struct ReplicaSlot {
    record: ReplicaRecord,
    mark: u64,
    heard: MonotonicTime,
    cold_until: MonotonicTime,
}

#[derive(Clone, Debug)]
struct EntrySlot {
    presence: EntryPresence,
    mark: u64,
    heard: MonotonicTime,
}

/// What one control process knows of replicas and entries.
#[derive(Clone, Debug)]
pub struct ServerRegistry {
    /// Drawn when this process started.
    epoch: u64,
    mark: u64,
    silent_span: Duration,
    replicas: BTreeMap<ReplicaName, ReplicaSlot>,
    entries: BTreeMap<VmName, EntrySlot>,
    /// Other control processes and when each was last heard of.
    holders: BTreeMap<u64, MonotonicTime>,
}

impl ServerRegistry {
    /// An empty registry of the process `epoch`; replicas announce themselves every
    /// `beat_span`.
    pub fn open(epoch: u64, beat_span: Duration) -> Self {
        Self {
            epoch,
            mark: 0,
            silent_span: beat_span * SILENT_BEATS,
            replicas: BTreeMap::new(),
            entries: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    /// The process.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The newest change.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Takes a heartbeat that came to this process.
    pub fn take_beat(&mut self, now: MonotonicTime, mut record: ReplicaRecord) -> BeatOutcome {
        record.holder = self.epoch;
        let cold_until = now + Duration::from_millis(record.cold_left_ms);
        let Some(slot) = self.replicas.get_mut(&record.name) else {
            if self.is_superseded(&record) {
                return BeatOutcome::Stale;
            }
            self.mark += 1;
            self.forget_former(&record);
            let slot = ReplicaSlot {
                record,
                mark: self.mark,
                heard: now,
                cold_until,
            };
            self.replicas.insert(slot.record.name.clone(), slot);
            return BeatOutcome::Changed;
        };
        if !is_newer(&slot.record, &record) {
            return BeatOutcome::Stale;
        }
        let changed = is_altered(&slot.record, &record) || differ(slot.cold_until, cold_until);
        slot.record = record;
        slot.heard = now;
        slot.cold_until = cold_until;
        if !changed {
            return BeatOutcome::Confirmed;
        }
        self.mark += 1;
        slot.mark = self.mark;
        let record = slot.record.clone();
        self.forget_former(&record);
        BeatOutcome::Changed
    }

    /// Takes the departure of a replica. One that is not known yet is remembered as gone.
    pub fn take_departure(&mut self, now: MonotonicTime, name: &ReplicaName) -> BeatOutcome {
        self.mark += 1;
        let mark = self.mark;
        if let Some(slot) = self.replicas.get_mut(name) {
            if slot.record.phase == ReplicaPhase::Left {
                return BeatOutcome::Confirmed;
            }
            slot.record.phase = ReplicaPhase::Left;
            slot.record.holder = self.epoch;
            slot.mark = mark;
            slot.heard = now;
            return BeatOutcome::Changed;
        }
        let record = ReplicaRecord {
            name: name.clone(),
            service: ServiceName::from(""),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            data_centre: CentreName::from(""),
            slots: 0,
            phase: ReplicaPhase::Left,
            born_ms: None,
            sequence: 0,
            cold_left_ms: 0,
            holder: self.epoch,
        };
        let slot = ReplicaSlot {
            record,
            mark,
            heard: now,
            cold_until: now,
        };
        self.replicas.insert(name.clone(), slot);
        BeatOutcome::Changed
    }

    /// Takes a record that another control process told.
    pub fn merge_replica(&mut self, now: MonotonicTime, record: &ReplicaRecord) -> bool {
        let cold_until = now + Duration::from_millis(record.cold_left_ms);
        let held = self.replicas.get(&record.name).map(|slot| &slot.record);
        // A known departure outlasts what its sender heard before.
        let ignored = match held {
            Some(held) => !supersedes(held, record),
            None => self.is_superseded(record),
        };
        if ignored {
            return false;
        }
        self.mark += 1;
        let slot = ReplicaSlot {
            record: record.clone(),
            mark: self.mark,
            heard: now,
            cold_until,
        };
        self.replicas.insert(record.name.clone(), slot);
        self.forget_former(record);
        true
    }

    /// Whether a later incarnation is known at the same address.
    fn is_superseded(&self, record: &ReplicaRecord) -> bool {
        let born = record.born_ms;
        born.is_some()
            && self.replicas.values().any(|slot| {
                slot.record.address == record.address
                    && slot.record.name != record.name
                    && slot.record.born_ms > born
            })
    }

    /// Earlier incarnations at the same address are gone.
    fn forget_former(&mut self, record: &ReplicaRecord) {
        if record.born_ms.is_none() {
            return;
        }
        for slot in self.replicas.values_mut() {
            let held = &mut slot.record;
            let former = held.address == record.address
                && held.name != record.name
                && held.born_ms < record.born_ms
                && held.phase != ReplicaPhase::Left;
            if former {
                self.mark += 1;
                held.phase = ReplicaPhase::Left;
                slot.mark = self.mark;
            }
        }
    }

    /// Notes that an entry asked this process.
    pub fn take_entry(&mut self, now: MonotonicTime, mut presence: EntryPresence) -> bool {
        presence.holder = self.epoch;
        let mark = self.mark + 1;
        if let Some(slot) = self.entries.get_mut(&presence.vm) {
            slot.heard = now;
            presence.stamp = slot.presence.stamp;
            if slot.presence == presence {
                return false;
            }
            presence.stamp += 1;
            slot.presence = presence;
            slot.mark = mark;
        } else {
            presence.stamp = 1;
            let heard = now;
            let vm = presence.vm.clone();
            self.entries.insert(
                vm,
                EntrySlot {
                    presence,
                    mark,
                    heard,
                },
            );
        }
        self.mark = mark;
        true
    }

    /// Takes an entry that another control process told of.
    pub fn merge_entry(&mut self, now: MonotonicTime, presence: EntryPresence) -> bool {
        let mark = self.mark + 1;
        let held = self.entries.get(&presence.vm).map(|slot| &slot.presence);
        let newer = held.is_none_or(|held| {
            (held.stamp, held.holder, held.phase)
                < (presence.stamp, presence.holder, presence.phase)
        });
        if !newer {
            return false;
        }
        let vm = presence.vm.clone();
        let slot = EntrySlot {
            presence,
            mark,
            heard: now,
        };
        self.entries.insert(vm, slot);
        self.mark = mark;
        true
    }

    /// Notes that another control process answered.
    pub fn note_holder(&mut self, now: MonotonicTime, epoch: u64) {
        self.holders.insert(epoch, now);
    }

    /// Replicas that changed after `mark`, with how long they stay cold from `now` on.
    pub fn replicas_after(&self, now: MonotonicTime, mark: u64) -> Vec<ReplicaRecord> {
        let changed = self.replicas.values().filter(|slot| slot.mark > mark);
        changed
            .map(|slot| ReplicaRecord {
                cold_left_ms: whole_millis(slot.cold_until.since(now)),
                ..slot.record.clone()
            })
            .collect()
    }

    /// Entries that changed after `mark`.
    pub fn entries_after(&self, mark: u64) -> Vec<EntryPresence> {
        let changed = self.entries.values().filter(|slot| slot.mark > mark);
        changed.map(|slot| slot.presence.clone()).collect()
    }

    /// Entries that take requests.
    pub fn serving_entries(&self) -> impl Iterator<Item = &EntryPresence> + Clone {
        let entries = self.entries.values().map(|slot| &slot.presence);
        entries.filter(|presence| presence.phase == EntryPhase::Serving)
    }

    /// Marks what was not heard of as silent, and forgets what has long gone.
    pub fn expire(&mut self, now: MonotonicTime) {
        let epoch = self.epoch;
        let holders = &self.holders;
        let orphaned = |holder: u64, heard: MonotonicTime| {
            let seen = holders.get(&holder).copied().unwrap_or(heard);
            now.since(seen.max(heard)) >= HOLDER_SILENT_SPAN
        };
        for slot in self.replicas.values_mut() {
            let record = &mut slot.record;
            let silent = if record.holder == epoch {
                now.since(slot.heard) >= self.silent_span
            } else {
                orphaned(record.holder, slot.heard + self.silent_span)
            };
            if silent && record.phase == ReplicaPhase::Ready {
                record.phase = ReplicaPhase::Silent;
                self.mark += 1;
                slot.mark = self.mark;
            }
        }
        for slot in self.entries.values_mut() {
            let presence = &mut slot.presence;
            let silent = if presence.holder == epoch {
                now.since(slot.heard) >= ENTRY_SILENT_SPAN
            } else {
                orphaned(presence.holder, slot.heard)
            };
            if silent && presence.phase != EntryPhase::Lost {
                presence.phase = EntryPhase::Lost;
                self.mark += 1;
                slot.mark = self.mark;
            }
        }
        let kept = |heard: MonotonicTime| now.since(heard) < GONE_KEPT_SPAN;
        self.replicas
            .retain(|_, slot| slot.record.phase == ReplicaPhase::Ready || kept(slot.heard));
        self.entries
            .retain(|_, slot| slot.presence.phase != EntryPhase::Lost || kept(slot.heard));
        self.holders.retain(|_, heard| kept(*heard));
    }
}

/// Whether `next`, which came from the replica itself, is later than `held`.
fn is_newer(held: &ReplicaRecord, next: &ReplicaRecord) -> bool {
    let Some(born) = held.born_ms else {
        // Only a departure is known: heartbeats may be of the start that it ended.
        return next.sequence <= FRESH_SEQUENCE_MAX;
    };
    if next.born_ms != Some(born) {
        return next.born_ms > Some(born);
    }
    held.phase != ReplicaPhase::Left && next.sequence > held.sequence
}

/// Whether `next`, told by another process, replaces `held`.
pub fn supersedes(held: &ReplicaRecord, next: &ReplicaRecord) -> bool {
    if held.born_ms != next.born_ms {
        return held.born_ms.is_some() && next.born_ms > held.born_ms;
    }
    let left = |record: &ReplicaRecord| record.phase == ReplicaPhase::Left;
    (left(held), held.sequence, held.phase, held.holder)
        < (left(next), next.sequence, next.phase, next.holder)
}

/// Whether a later heartbeat says more than that the replica is there.
fn is_altered(held: &ReplicaRecord, next: &ReplicaRecord) -> bool {
    held.phase != next.phase
        || held.address != next.address
        || held.service != next.service
        || held.slots != next.slots
        || held.born_ms != next.born_ms
        || held.holder != next.holder
        || held.data_centre != next.data_centre
}

/// Whether two ends of a cold time differ by more than heartbeats are late.
fn differ(held: MonotonicTime, next: MonotonicTime) -> bool {
    const SLACK: Duration = Duration::from_millis(1_500);
    held.since(next) > SLACK || next.since(held) > SLACK
}

fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
