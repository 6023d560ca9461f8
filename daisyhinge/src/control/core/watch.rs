//! The leader's entry watch: detects silent and departed entries and delays entries that join too
//! often.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control::book::{BookKind, BookState};
use crate::prelude::*;
use crate::vocabulary::clock::span_to_millis;
use crate::vocabulary::freshness::{FreshAsk, LEASE_WAIT_SPAN};
use crate::vocabulary::view::{EntryRecord, EntryState};

/// Time without a request after which an entry is removed.
pub const ENTRY_LOST_SPAN: Duration = Duration::from_secs(3);
/// Retention of a departed entry's record; longer than any lease that the entry may own.
pub const DEPARTED_KEPT_SPAN: Duration = Duration::from_secs(20);
/// Window over which the joins of a VM are counted.
pub const FLAP_SPAN: Duration = Duration::from_mins(1);
/// Number of joins of a VM within [`FLAP_SPAN`] that are not delayed.
pub const FLAP_FREE_JOINS: u32 = 3;
/// Maximum delay of a join.
pub const FLAP_DELAY_MAX: Duration = Duration::from_secs(30);
/// Pause between ticks that shows that this process was frozen, so that entries must not be
/// considered silent.
const FROZEN_SPAN: Duration = Duration::from_secs(1);
/// Interval after which an unapplied membership command is proposed again.
const REPEAT_SPAN: Duration = Duration::from_secs(1);

const _: () = assert!(
    DEPARTED_KEPT_SPAN.as_millis() > 2 * LEASE_WAIT_SPAN.as_millis(),
    "a departed entry is listed for longer than its lease can run"
);

/// The leader's record of an entry.
#[derive(Clone, Copy, Debug)]
pub struct WatchRecord {
    /// Incarnation of the entry.
    pub incarnation: IncarnationNumber,
    /// Time of the entry's last request.
    pub asked: MonotonicTime,
    /// Version that the entry reported in its last request.
    pub holds: Option<VersionNumber>,
    /// Whether the entry left in order: it has no replicas and none of its dispatched requests is
    /// running.
    pub released: bool,
    /// Time at which the removal of the entry was last proposed.
    losing: Option<MonotonicTime>,
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
    ticked: MonotonicTime,
    forgetting: Option<MonotonicTime>,
}

impl EntryWatch {
    /// Resets the watch; every entry is treated as seen at `now`.
    pub fn restart(&mut self, now: MonotonicTime) {
        self.records.clear();
        self.ticked = now;
        self.forgetting = None;
    }

    /// The record of an entry, if the entry is tracked.
    pub fn find_record(&self, vm: &VmName) -> Option<&WatchRecord> {
        self.records.get(vm)
    }

    /// Whether the removal of this incarnation is proposed. Until that is decided the entry gets no
    /// proof, because the proposal states how long it has had none.
    pub fn is_losing(&self, entry: &EntryRecord) -> bool {
        let record = self.records.get(&entry.vm);
        record.is_some_and(|record| {
            record.incarnation == entry.incarnation && !record.released && record.losing.is_some()
        })
    }

    /// Records a freshness request.
    pub fn note_ask(&mut self, now: MonotonicTime, ask: &FreshAsk) {
        let entry = &ask.entry;
        let former = self.records.get(&entry.vm);
        let former = former.filter(|record| record.incarnation == entry.incarnation);
        // The entry reports a release only once none of its dispatched requests is running.
        let released = entry.state == EntryState::Leaving
            && (ask.released || former.is_some_and(|record| record.released));
        let losing = former.and_then(|record| record.losing);
        self.records.insert(
            entry.vm.clone(),
            WatchRecord {
                incarnation: entry.incarnation,
                asked: now,
                holds: Some(ask.holds),
                released,
                losing: losing.filter(|_| released),
            },
        );
    }

    /// Whether the entry may join now. Repeated joins are delayed progressively longer.
    pub fn may_join(&self, now: MonotonicTime, entry: &EntryRecord) -> bool {
        let Some(joins) = self.joins.get(&entry.vm) else {
            return true;
        };
        entry.state == EntryState::Leaving || now.since(joins.last) >= find_delay(joins.count)
    }

    /// Records that an entry joined.
    pub fn note_joined(&mut self, now: MonotonicTime, vm: &VmName) {
        self.joins
            .retain(|_, joins| now.since(joins.last) < FLAP_SPAN);
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
        state: &BookState,
    ) -> Vec<BookKind> {
        let frozen = now.since(self.ticked) >= FROZEN_SPAN;
        self.ticked = now;
        if frozen {
            self.records
                .values_mut()
                .for_each(|record| record.asked = now);
        }
        self.records
            .retain(|vm, _| state.entries.live.contains_key(vm));
        let mut changes = Vec::new();
        for (vm, entry) in &state.entries.live {
            changes.extend(self.find_loss(now, vm, entry.incarnation));
        }
        changes.extend(self.find_forgotten(now, clock_ms, state));
        changes
    }

    fn find_loss(
        &mut self,
        now: MonotonicTime,
        vm: &VmName,
        incarnation: IncarnationNumber,
    ) -> Option<BookKind> {
        let fresh = WatchRecord {
            incarnation,
            asked: now,
            holds: None,
            released: false,
            losing: None,
        };
        let record = self.records.entry(vm.clone()).or_insert(fresh);
        if record.incarnation != incarnation {
            // A newer process of the same VM is waiting to join; the listed process has ended.
            return None;
        }
        let gone = record.released || now.since(record.asked) >= ENTRY_LOST_SPAN;
        let proposed = record.losing.is_some_and(|at| now.since(at) < REPEAT_SPAN);
        if !gone || proposed {
            return None;
        }
        record.losing = Some(now);
        Some(BookKind::Lose {
            vm: vm.clone(),
            incarnation,
            released: record.released,
            silent_ms: whole_millis(now.since(record.asked)),
        })
    }

    fn find_forgotten(
        &mut self,
        now: MonotonicTime,
        clock_ms: u64,
        state: &BookState,
    ) -> Option<BookKind> {
        let before_ms = clock_ms.checked_sub(span_to_millis(DEPARTED_KEPT_SPAN))?;
        let due = state
            .entries
            .departed
            .iter()
            .any(|record| record.at_ms <= before_ms);
        if !due
            || self
                .forgetting
                .is_some_and(|at| now.since(at) < REPEAT_SPAN)
        {
            return None;
        }
        self.forgetting = Some(now);
        Some(BookKind::Forget { before_ms })
    }
}

/// Milliseconds in `span`, rounded down so that the reported time has really passed.
fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Minimum delay between the last join and the next one.
fn find_delay(count: u32) -> Duration {
    let Some(over) = count.checked_sub(FLAP_FREE_JOINS) else {
        return Duration::ZERO;
    };
    Duration::from_secs(1 << over.min(10)).min(FLAP_DELAY_MAX)
}
