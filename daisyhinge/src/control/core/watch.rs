//! The leader's entry watch: detects silent and departed entries and delays entries that join too
//! often.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control::state_machine::{CommandKind, ReplicatedState};
use crate::prelude::*;
use crate::vocabulary::clock::duration_to_millis;
use crate::vocabulary::freshness::{FreshnessRequest, LEASE_EXPIRY_WAIT};
use crate::vocabulary::view::{EntryRecord, EntryState};

/// Time without a request after which an entry is removed.
pub const ENTRY_LOST_TIMEOUT: Duration = Duration::from_secs(3);
/// Retention of a departed entry's record; longer than any lease that the entry may own.
pub const DEPARTED_RETENTION: Duration = Duration::from_secs(20);
/// Window over which the joins of a VM are counted.
pub const FLAP_WINDOW: Duration = Duration::from_mins(1);
/// Number of joins of a VM within [`FLAP_WINDOW`] that are not delayed.
pub const FLAP_FREE_JOINS: u32 = 3;
/// Maximum delay of a join.
pub const FLAP_DELAY_MAX: Duration = Duration::from_secs(30);
/// Pause between ticks that shows that this process was frozen, so that entries must not be
/// considered silent.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);
/// Interval after which an unapplied membership command is proposed again.
const REPROPOSE_INTERVAL: Duration = Duration::from_secs(1);

const _: () = assert!(
    DEPARTED_RETENTION.as_millis() > 2 * LEASE_EXPIRY_WAIT.as_millis(),
    "a departed entry stays listed until its lease has expired"
);

/// The leader's record of a member entry. It is not replicated.
#[derive(Clone, Copy, Debug)]
pub struct WatchRecord {
    /// Incarnation that sent the last request.
    pub incarnation: IncarnationNumber,
    /// Time of the entry's last request.
    pub last_request: MonotonicTime,
    /// Version that the entry reported in its last request.
    pub holds: Option<VersionNumber>,
    /// Whether the entry completed its shutdown: it has released all its replicas, and none of the
    /// requests that it dispatched is running.
    pub released: bool,
    /// Time at which the removal of the entry was last proposed.
    removal_proposed: Option<MonotonicTime>,
}

#[derive(Clone, Copy, Debug)]
struct JoinRecord {
    count: u32,
    last: MonotonicTime,
}

/// Tracks the requests and joins of entries while this VM leads.
#[derive(Clone, Debug, Default)]
pub struct EntryWatch {
    records: BTreeMap<VmName, WatchRecord>,
    joins: BTreeMap<VmName, JoinRecord>,
    last_tick: MonotonicTime,
    forget_proposed: Option<MonotonicTime>,
}

impl EntryWatch {
    /// Resets the watch; every entry is treated as seen at `now`.
    pub fn restart(&mut self, now: MonotonicTime) {
        self.records.clear();
        self.last_tick = now;
        self.forget_proposed = None;
    }

    /// Returns the record of an entry, if the entry is tracked.
    pub fn find_record(&self, vm: &VmName) -> Option<&WatchRecord> {
        self.records.get(vm)
    }

    /// Returns whether the removal of this incarnation was proposed. Until the removal is decided,
    /// the entry gets no proof, because the proposal states the time since its last one.
    pub fn is_removal_proposed(&self, entry: &EntryRecord) -> bool {
        let record = self.records.get(&entry.vm);
        record.is_some_and(|record| {
            record.incarnation == entry.incarnation
                && !record.released
                && record.removal_proposed.is_some()
        })
    }

    /// Records a freshness request.
    pub fn record_request(&mut self, now: MonotonicTime, request: &FreshnessRequest) {
        let entry = &request.entry;
        let former = self.records.get(&entry.vm);
        let former = former.filter(|record| record.incarnation == entry.incarnation);
        // The entry reports a release only once none of its dispatched requests is running.
        let released = entry.state == EntryState::Leaving
            && (request.released || former.is_some_and(|record| record.released));
        let removal_proposed = former.and_then(|record| record.removal_proposed);
        self.records.insert(
            entry.vm.clone(),
            WatchRecord {
                incarnation: entry.incarnation,
                last_request: now,
                holds: Some(request.holds),
                released,
                removal_proposed: removal_proposed.filter(|_| released),
            },
        );
    }

    /// Returns whether the entry may join now. Repeated joins are delayed progressively longer.
    pub fn may_join(&self, now: MonotonicTime, entry: &EntryRecord) -> bool {
        let Some(joins) = self.joins.get(&entry.vm) else {
            return true;
        };
        entry.state == EntryState::Leaving || now.since(joins.last) >= join_delay(joins.count)
    }

    /// Records that an entry joined.
    pub fn record_join(&mut self, now: MonotonicTime, vm: &VmName) {
        self.joins
            .retain(|_, joins| now.since(joins.last) < FLAP_WINDOW);
        let joins = self.joins.entry(vm.clone()).or_insert(JoinRecord {
            count: 0,
            last: now,
        });
        joins.count += 1;
        joins.last = now;
    }

    /// Returns the membership commands to propose now.
    pub fn find_changes(
        &mut self,
        now: MonotonicTime,
        clock_ms: u64,
        state: &ReplicatedState,
    ) -> Vec<CommandKind> {
        let frozen = now.since(self.last_tick) >= FREEZE_THRESHOLD;
        self.last_tick = now;
        if frozen {
            self.records
                .values_mut()
                .for_each(|record| record.last_request = now);
        }
        self.records
            .retain(|vm, _| state.entries.live.contains_key(vm));
        let mut changes = Vec::new();
        for (vm, entry) in &state.entries.live {
            changes.extend(self.find_removal(now, vm, entry.incarnation));
        }
        changes.extend(self.find_expired(now, clock_ms, state));
        changes
    }

    fn find_removal(
        &mut self,
        now: MonotonicTime,
        vm: &VmName,
        incarnation: IncarnationNumber,
    ) -> Option<CommandKind> {
        let initial = WatchRecord {
            incarnation,
            last_request: now,
            holds: None,
            released: false,
            removal_proposed: None,
        };
        let record = self.records.entry(vm.clone()).or_insert(initial);
        if record.incarnation != incarnation {
            // A newer process of the same VM is waiting to join; the listed process has ended.
            return None;
        }
        let departed_or_silent =
            record.released || now.since(record.last_request) >= ENTRY_LOST_TIMEOUT;
        let proposed = record
            .removal_proposed
            .is_some_and(|at| now.since(at) < REPROPOSE_INTERVAL);
        if !departed_or_silent || proposed {
            return None;
        }
        record.removal_proposed = Some(now);
        Some(CommandKind::Lose {
            vm: vm.clone(),
            incarnation,
            released: record.released,
            silent_ms: floor_millis(now.since(record.last_request)),
        })
    }

    fn find_expired(
        &mut self,
        now: MonotonicTime,
        clock_ms: u64,
        state: &ReplicatedState,
    ) -> Option<CommandKind> {
        let before_ms = clock_ms.checked_sub(duration_to_millis(DEPARTED_RETENTION))?;
        let has_expired = state
            .entries
            .departed
            .iter()
            .any(|record| record.at_ms <= before_ms);
        if !has_expired
            || self
                .forget_proposed
                .is_some_and(|at| now.since(at) < REPROPOSE_INTERVAL)
        {
            return None;
        }
        self.forget_proposed = Some(now);
        Some(CommandKind::Forget { before_ms })
    }
}

/// Converts to milliseconds, rounding down so that the reported time has certainly passed.
fn floor_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the minimum delay between the last join and the next one.
fn join_delay(count: u32) -> Duration {
    let Some(delayed_joins) = count.checked_sub(FLAP_FREE_JOINS) else {
        return Duration::ZERO;
    };
    Duration::from_secs(1 << delayed_joins.min(10)).min(FLAP_DELAY_MAX)
}
