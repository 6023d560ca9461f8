//! Crash records that entries reported. They stay when the entry that reported them ends.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::crash::CRASH_RETENTION;
use crate::prelude::*;
use crate::vocabulary::clock::duration_to_millis;
use crate::vocabulary::registration::CrashReport;

/// Maximum number of processes whose reports are kept; the oldest report is dropped first.
const REPORTS_MAX: usize = 4_096;

#[derive(Clone, Debug)]
struct TrackedReport {
    report: CrashReport,
    mark: u64,
    received_at: MonotonicTime,
}

impl TrackedReport {
    /// Returns whether all records are older than they are kept.
    fn is_expired(&self, now: MonotonicTime) -> bool {
        // Without records, the report is kept as long as others may still have its predecessor.
        let youngest = self.report.records.iter().map(|record| record.age_ms).min();
        let age = Duration::from_millis(youngest.unwrap_or(0));
        age + now.since(self.received_at) >= CRASH_RETENTION
    }
}

/// Latest report of each entry process.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashBoard {
    reports: BTreeMap<(VmName, u64), TrackedReport>,
}

impl CrashBoard {
    /// Records a report under `mark`. Returns whether it is later than the known one.
    pub(super) fn record(&mut self, now: MonotonicTime, mark: u64, report: CrashReport) -> bool {
        let key = (report.vm.clone(), report.incarnation);
        let known = self.reports.get(&key);
        if known.is_some_and(|known| known.report.revision >= report.revision) {
            return false;
        }
        if known.is_none() && self.reports.len() >= REPORTS_MAX {
            self.drop_oldest();
        }
        let tracked = TrackedReport {
            report,
            mark,
            received_at: now,
        };
        self.reports.insert(key, tracked);
        true
    }

    /// Returns the reports that were recorded under a later mark, with their ages as of `now`.
    pub(super) fn list_after(&self, now: MonotonicTime, mark: u64) -> Vec<CrashReport> {
        let changed = self.reports.values().filter(|tracked| tracked.mark > mark);
        changed.map(|tracked| to_current(now, tracked)).collect()
    }

    pub(super) fn expire(&mut self, now: MonotonicTime) {
        self.reports.retain(|_, tracked| !tracked.is_expired(now));
    }

    fn drop_oldest(&mut self) {
        let reports = self.reports.iter();
        let oldest = reports.min_by_key(|(_, tracked)| tracked.received_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.reports.remove(&key);
        }
    }
}

fn to_current(now: MonotonicTime, tracked: &TrackedReport) -> CrashReport {
    let elapsed_ms = duration_to_millis(now.since(tracked.received_at));
    let mut report = tracked.report.clone();
    for record in &mut report.records {
        record.age_ms += elapsed_ms;
    }
    report
}
