//! Soft state shared by control processes: the replicas and entries that announced themselves.
//!
//! Every control process has a registry. Modifications are numbered in sequence, and the number of
//! a modification is called its mark. A client states the mark of the last modification that it
//! received, and gets all records modified later. Registries that exchange records converge: of two
//! records for the same incarnation, the later one wins.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::registration::{
    CrashReport, EntryPhase, EntryPresence, ReplicaPhase, ReplicaRecord,
};
use crate::vocabulary::rollout::{RolloutReport, RouteCounts};
use crashes::CrashBoard;
pub use level::LevelWatch;
pub use order::supersedes;
use order::{cold_end_differs, contradicts, is_modified, is_newer, saturating_millis};
pub use restored::RESTORED_HOLDER;
use restored::RestoredReplicas;
use rollouts::RolloutBoard;
use usage::UsageBoard;
pub use versions::RolloutSlots;

mod crashes;
mod entries;
mod incarnations;
mod level;
mod merge;
mod order;
mod restored;
mod rollouts;
mod usage;
mod versions;

/// Number of missed heartbeat intervals after which a replica counts as silent.
const SILENT_HEARTBEATS: u32 = 4;
/// Time without a sync request after which an entry counts as lost. It covers both a request that
/// stays open and the pause before the next one.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time without contact after which the records owned by another control process expire, too.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which removed records are retained, so that delayed heartbeats do not restore them.
const REMOVED_RETENTION: Duration = Duration::from_secs(90);

/// Effect of a heartbeat or a departure of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The record was modified.
    Changed,
    /// The record was confirmed without modification.
    Confirmed,
    /// The message is older than the record and was ignored.
    Stale,
    /// The message names a replica in use as one of another service and was ignored.
    Contradicts,
}

#[derive(Clone, Debug)]
struct TrackedReplica {
    record: ReplicaRecord,
    mark: u64,
    last_contact: MonotonicTime,
    cold_until: MonotonicTime,
}

#[derive(Clone, Debug)]
struct TrackedEntry {
    presence: EntryPresence,
    mark: u64,
    last_contact: MonotonicTime,
}

/// Replicas and entries known to a control process.
#[derive(Clone, Debug)]
pub struct ServerRegistry {
    /// Random number drawn when this process started.
    epoch: u64,
    mark: u64,
    silence_timeout: Duration,
    replicas: BTreeMap<ReplicaName, TrackedReplica>,
    entries: BTreeMap<VmName, TrackedEntry>,
    crashes: CrashBoard,
    rollouts: RolloutBoard,
    usage: UsageBoard,
    /// Time of the last contact with each of the other control processes, by epoch.
    holders: BTreeMap<u64, MonotonicTime>,
    /// What was stored before this process started.
    restored: Option<RestoredReplicas>,
}

impl ServerRegistry {
    /// Creates an empty registry for the process `epoch`. Replicas send a heartbeat every
    /// `heartbeat_interval`.
    pub fn open(epoch: u64, heartbeat_interval: Duration) -> Self {
        Self {
            epoch,
            mark: 0,
            silence_timeout: heartbeat_interval * SILENT_HEARTBEATS,
            replicas: BTreeMap::new(),
            entries: BTreeMap::new(),
            crashes: CrashBoard::default(),
            rollouts: RolloutBoard::default(),
            usage: UsageBoard::default(),
            holders: BTreeMap::new(),
            restored: None,
        }
    }

    /// Returns the epoch of this process.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of the latest modification of this registry; 0 if there was none.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Records a heartbeat that this process received from a replica.
    pub fn record_heartbeat(
        &mut self,
        now: MonotonicTime,
        mut record: ReplicaRecord,
    ) -> HeartbeatOutcome {
        record.holder = self.epoch;
        let cold_until = now + Duration::from_millis(record.cold_left_ms);
        let Some(tracked) = self.replicas.get_mut(&record.name) else {
            if self.is_superseded(&record) {
                return HeartbeatOutcome::Stale;
            }
            self.mark += 1;
            self.retire_predecessors(&record);
            let tracked = TrackedReplica {
                record,
                mark: self.mark,
                last_contact: now,
                cold_until,
            };
            self.replicas.insert(tracked.record.name.clone(), tracked);
            return HeartbeatOutcome::Changed;
        };
        if contradicts(&tracked.record, &record) {
            return HeartbeatOutcome::Contradicts;
        }
        if !is_newer(&tracked.record, &record) {
            return HeartbeatOutcome::Stale;
        }
        let changed = is_modified(&tracked.record, &record)
            || cold_end_differs(tracked.cold_until, cold_until);
        tracked.record = record;
        tracked.last_contact = now;
        tracked.cold_until = cold_until;
        if !changed {
            return HeartbeatOutcome::Confirmed;
        }
        self.mark += 1;
        tracked.mark = self.mark;
        let record = tracked.record.clone();
        self.retire_predecessors(&record);
        HeartbeatOutcome::Changed
    }

    /// Records the departure of a replica. An unknown replica is recorded as having left.
    pub fn record_departure(&mut self, now: MonotonicTime, name: &ReplicaName) -> HeartbeatOutcome {
        self.mark += 1;
        let mark = self.mark;
        if let Some(tracked) = self.replicas.get_mut(name) {
            if tracked.record.phase == ReplicaPhase::Left {
                return HeartbeatOutcome::Confirmed;
            }
            tracked.record.phase = ReplicaPhase::Left;
            tracked.record.holder = self.epoch;
            tracked.mark = mark;
            tracked.last_contact = now;
            return HeartbeatOutcome::Changed;
        }
        let record = ReplicaRecord {
            name: name.clone(),
            service: ServiceName::from(""),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            data_centre: CentreName::from(""),
            version: VersionName::from(""),
            slots: 0,
            phase: ReplicaPhase::Left,
            born_ms: None,
            sequence: 0,
            cold_left_ms: 0,
            holder: self.epoch,
        };
        let tracked = TrackedReplica {
            record,
            mark,
            last_contact: now,
            cold_until: now,
        };
        self.replicas.insert(name.clone(), tracked);
        HeartbeatOutcome::Changed
    }

    /// Merges a replica record received from another control process and returns whether it was
    /// accepted.
    pub fn merge_replica(&mut self, now: MonotonicTime, record: &ReplicaRecord) -> bool {
        let cold_until = now + Duration::from_millis(record.cold_left_ms);
        let known = self
            .replicas
            .get(&record.name)
            .map(|tracked| &tracked.record);
        // A known departure takes precedence over heartbeats that the sender received before it.
        let is_ignored = match known {
            Some(known) => !supersedes(known, record),
            None => self.is_superseded(record),
        };
        if is_ignored {
            self.complete_departure(now, record);
            return false;
        }
        self.mark += 1;
        let tracked = TrackedReplica {
            record: record.clone(),
            mark: self.mark,
            last_contact: now,
            cold_until,
        };
        self.replicas.insert(record.name.clone(), tracked);
        self.retire_predecessors(record);
        true
    }

    /// Records the crash records of an entry, received from itself or from another control process.
    /// Returns whether they are news.
    pub fn record_crashes(&mut self, now: MonotonicTime, report: CrashReport) -> bool {
        let is_news = self.crashes.record(now, self.mark + 1, report);
        self.mark += u64::from(is_news);
        is_news
    }

    /// Returns the crash records modified after `mark`, with their ages as of `now`.
    pub fn crashes_after(&self, now: MonotonicTime, mark: u64) -> Vec<CrashReport> {
        self.crashes.list_after(now, mark)
    }

    /// Records the outcomes of rollouts at an entry, received from itself or from another control
    /// process. Returns whether they are news. Reports have marks of their own, since entries need
    /// not be notified of them.
    pub fn record_rollouts(&mut self, now: MonotonicTime, report: RolloutReport) -> bool {
        self.rollouts.record(now, report)
    }

    /// Returns the number of the latest rollout report; 0 if there was none.
    pub fn report_mark(&self) -> u64 {
        self.rollouts.mark()
    }

    /// Returns the outcomes of rollouts reported after `report_mark`, by entry process.
    pub fn rollouts_after(&self, report_mark: u64) -> Vec<RolloutReport> {
        self.rollouts.list_after(report_mark)
    }

    /// Returns the outcomes of one rollout over all entries, by route and version.
    pub fn rollout_totals(&self, number: u64) -> Vec<RouteCounts> {
        self.rollouts.total(number)
    }

    /// Records a reply from another control process.
    pub fn record_contact(&mut self, now: MonotonicTime, epoch: u64) {
        self.holders.insert(epoch, now);
    }

    /// Returns the replicas modified after `mark`, with the remaining cold time as of `now`.
    pub fn replicas_after(&self, now: MonotonicTime, mark: u64) -> Vec<ReplicaRecord> {
        let changed = self.replicas.values().filter(|tracked| tracked.mark > mark);
        changed
            .map(|tracked| ReplicaRecord {
                cold_left_ms: saturating_millis(tracked.cold_until.since(now)),
                ..tracked.record.clone()
            })
            .collect()
    }

    /// Marks replicas and entries without recent contact as silent or lost, and removes records
    /// that were retained long enough.
    pub fn expire(&mut self, now: MonotonicTime) {
        let epoch = self.epoch;
        let holders = &self.holders;
        let is_orphaned = |holder: u64, last_contact: MonotonicTime| {
            let holder_contact = holders.get(&holder).copied().unwrap_or(last_contact);
            now.since(holder_contact.max(last_contact)) >= HOLDER_TIMEOUT
        };
        for tracked in self.replicas.values_mut() {
            let record = &mut tracked.record;
            let is_silent = if record.holder == epoch || record.holder == RESTORED_HOLDER {
                now.since(tracked.last_contact) >= self.silence_timeout
            } else {
                is_orphaned(record.holder, tracked.last_contact + self.silence_timeout)
            };
            if is_silent && record.phase == ReplicaPhase::Ready {
                record.phase = ReplicaPhase::Silent;
                self.mark += 1;
                tracked.mark = self.mark;
            }
        }
        for tracked in self.entries.values_mut() {
            let presence = &mut tracked.presence;
            let is_silent = if presence.holder == epoch {
                now.since(tracked.last_contact) >= ENTRY_TIMEOUT
            } else {
                is_orphaned(presence.holder, tracked.last_contact)
            };
            if is_silent && presence.phase != EntryPhase::Lost {
                presence.phase = EntryPhase::Lost;
                self.mark += 1;
                tracked.mark = self.mark;
            }
        }
        self.expire_restored(now);
        self.crashes.expire(now);
        self.rollouts.expire(now);
        self.usage.expire(now);
        let is_retained = |last_contact: MonotonicTime| now.since(last_contact) < REMOVED_RETENTION;
        self.replicas.retain(|_, tracked| {
            tracked.record.phase == ReplicaPhase::Ready || is_retained(tracked.last_contact)
        });
        self.entries.retain(|_, tracked| {
            tracked.presence.phase != EntryPhase::Lost || is_retained(tracked.last_contact)
        });
        self.holders
            .retain(|_, last_contact| is_retained(*last_contact));
    }
}
