//! Outcomes of rollouts that entries reported. They stay when the entry that reported them ends.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::rollout::{RolloutReport, RouteCounts};

/// Maximum number of processes whose reports are kept; the oldest report is dropped first.
const REPORTS_MAX: usize = 4_096;
/// Time for which a report is kept after the last one of its process. It is longer than a rollout
/// usually takes; a longer one loses the outcomes of entries that ended this long ago.
const REPORT_RETENTION: Duration = Duration::from_mins(10);

#[derive(Clone, Debug)]
struct TrackedReport {
    report: RolloutReport,
    mark: u64,
    received_at: MonotonicTime,
}

/// Latest report of each entry process.
#[derive(Clone, Debug, Default)]
pub(super) struct RolloutBoard {
    reports: BTreeMap<(VmName, u64), TrackedReport>,
    mark: u64,
}

impl RolloutBoard {
    /// Returns the number of the latest report; 0 if there was none.
    pub(super) fn mark(&self) -> u64 {
        self.mark
    }

    /// Records a report. Returns whether it is later than the known one.
    pub(super) fn record(&mut self, now: MonotonicTime, report: RolloutReport) -> bool {
        let key = (report.vm.clone(), report.incarnation);
        let known = self.reports.get(&key);
        if known.is_some_and(|known| known.report.revision >= report.revision) {
            return false;
        }
        if known.is_none() && self.reports.len() >= REPORTS_MAX {
            self.drop_oldest();
        }
        self.mark += 1;
        let tracked = TrackedReport {
            report,
            mark: self.mark,
            received_at: now,
        };
        self.reports.insert(key, tracked);
        true
    }

    /// Returns the reports that were recorded under a later mark.
    pub(super) fn list_after(&self, mark: u64) -> Vec<RolloutReport> {
        let changed = self.reports.values().filter(|tracked| tracked.mark > mark);
        changed.map(|tracked| tracked.report.clone()).collect()
    }

    /// Adds up the outcomes of a rollout over all entry processes, by route and version.
    pub(super) fn total(&self, number: u64) -> Vec<RouteCounts> {
        let mut totals: Vec<RouteCounts> = Vec::new();
        let reports = self
            .reports
            .values()
            .flat_map(|tracked| &tracked.report.services);
        let counted = reports.filter(|service| service.number == number);
        for counts in counted.flat_map(|service| &service.routes) {
            let known = totals
                .iter_mut()
                .find(|total| total.route == counts.route && total.version == counts.version);
            match known {
                Some(total) => {
                    total.sent += counts.sent;
                    total.answered += counts.answered;
                    total.failed += counts.failed;
                    total.latency.add(&counts.latency);
                }
                None => totals.push(counts.clone()),
            }
        }
        totals
    }

    pub(super) fn expire(&mut self, now: MonotonicTime) {
        self.reports
            .retain(|_, tracked| now.since(tracked.received_at) < REPORT_RETENTION);
    }

    fn drop_oldest(&mut self) {
        let reports = self.reports.iter();
        let oldest = reports.min_by_key(|(_, tracked)| tracked.received_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.reports.remove(&key);
        }
    }
}
