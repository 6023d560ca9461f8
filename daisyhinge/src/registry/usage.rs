//! Use of quotas that entries reported, and its sums over all entries.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ServerRegistry;
use crate::prelude::*;
use crate::vocabulary::quota::{CustomerUsage, UsageReply, UsageReport, UsageRequest};

mod process;
mod total;
use process::TrackedProcess;
use total::CustomerTotal;

/// Time for which the use at a process is kept after its last report. The report of a process that
/// returns later counts once more.
const REPORT_RETENTION: Duration = Duration::from_hours(1);
/// Time after its start from which a process is taken to know the reports of all entries.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Time after its last request at an entry for which the entry gets each change of a customer's
/// counts.
const USE_RETENTION: Duration = Duration::from_secs(10);

/// Entry process: VM and incarnation.
type ProcessKey = (VmName, u64);

/// Cumulative use.
#[derive(Clone, Copy, Debug, Default)]
struct UsageCounts {
    admitted: u64,
    offered: u64,
}

/// Use of quotas by entry process and customer.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageBoard {
    processes: BTreeMap<ProcessKey, TrackedProcess>,
    /// Use by customer over all processes. It never falls: entries take an increase for new use.
    totals: BTreeMap<CustomerName, CustomerTotal>,
    mark: u64,
    /// Time of the first call.
    opened_at: Option<MonotonicTime>,
}

impl UsageBoard {
    /// Returns the number of the latest report; 0 if there was none.
    pub(super) fn mark(&self) -> u64 {
        self.mark
    }

    /// Records a report, received from the entry itself or from another control process. Returns
    /// whether it has later counts than the known ones.
    pub(super) fn record(
        &mut self,
        now: MonotonicTime,
        report: UsageReport,
        is_direct: bool,
    ) -> bool {
        let opened_at = *self.opened_at.get_or_insert(now);
        let is_settled = now.since(opened_at) >= SETTLING_TIME;
        let key = (report.vm, report.incarnation);
        let tracked = self.processes.entry(key.clone());
        let tracked = tracked.or_insert_with(|| TrackedProcess::open(now));
        let mark = self.mark + 1;
        for usage in report.customers {
            let counts = UsageCounts {
                admitted: usage.admitted,
                offered: usage.offered,
            };
            let recent = usage.recent;
            let Some(added) = tracked.record(now, &usage.customer, (counts, recent), mark) else {
                continue;
            };
            let total = self.totals.entry(usage.customer);
            let total = total.or_insert_with(|| CustomerTotal::open(now, is_settled));
            total.record(now, &key, mark, added);
            self.mark = mark;
        }
        tracked.note_report(now, is_direct, self.mark == mark);
        if is_direct {
            self.end_predecessors(&key);
        }
        self.mark == mark
    }

    /// Returns what changed after `mark`, by entry process.
    pub(super) fn list_after(&self, now: MonotonicTime, mark: u64) -> Vec<UsageReport> {
        let reports = self.processes.iter().map(|((vm, incarnation), tracked)| {
            let changed = tracked.list_after(now, mark);
            UsageReport {
                vm: vm.clone(),
                incarnation: *incarnation,
                customers: changed
                    .map(|(customer, counts, recent)| {
                        to_usage(customer, counts, if mark == 0 { recent } else { 0 })
                    })
                    .collect(),
            }
        });
        reports
            .filter(|report| !report.customers.is_empty())
            .collect()
    }

    /// Answers an entry: the use at all other processes, for the customers in its report, those that it
    /// used lately and for which the use changed, and those for which it changed much.
    pub(super) fn answer(
        &mut self,
        now: MonotonicTime,
        vm: &VmName,
        request: &UsageRequest,
    ) -> UsageReply {
        let report = request.report.as_ref();
        let follows = request.incarnation != 0;
        let incarnation = report.map_or(request.incarnation, |report| report.incarnation);
        let key = (vm.clone(), incarnation);
        let opened_at = *self.opened_at.get_or_insert(now);
        if let Some(tracked) = self.processes.get_mut(&key) {
            tracked.note_contact(now);
        }
        self.end_predecessors(&key);
        let in_report = |customer: &CustomerName| {
            let mut customers = report.iter().flat_map(|report| &report.customers);
            customers.any(|usage| usage.customer == *customer)
        };
        let own = self.processes.get(&key);
        let totals = self.totals.iter().filter_map(|(customer, total)| {
            let is_due = follows && self.is_due(now, &key, request.mark, customer, total);
            if !is_due && !in_report(customer) {
                return None;
            }
            let own_counts = own.and_then(|own| own.counts(customer)).unwrap_or_default();
            let others = UsageCounts {
                admitted: total.counts.admitted.saturating_sub(own_counts.admitted),
                offered: total.counts.offered.saturating_sub(own_counts.offered),
            };
            let is_followed = own.is_some_and(|own| own.has_used(now, customer));
            let recent = if is_followed && request.mark > 0 {
                0
            } else {
                total.per_second(now)
            };
            Some(to_usage(customer, others, recent))
        });
        UsageReply {
            reports: Vec::new(),
            mark: if follows { self.mark } else { 0 },
            others: totals.collect(),
            settled: now.since(opened_at) >= SETTLING_TIME,
        }
    }

    /// Notes that the former processes of a VM have ended, so that they are not expected to go on.
    fn end_predecessors(&mut self, key: &ProcessKey) {
        let first = (key.0.clone(), 0);
        let same_vm = self.processes.range_mut(first..);
        let same_vm = same_vm.take_while(|(other, _)| other.0 == key.0);
        for (_, tracked) in same_vm.filter(|(other, _)| *other != key) {
            tracked.note_end();
        }
    }

    /// Whether there is something to tell an entry that has not sent a report.
    pub(super) fn has_news(
        &self,
        now: MonotonicTime,
        (vm, incarnation): (&VmName, u64),
        mark: u64,
    ) -> bool {
        let key = (vm.clone(), incarnation);
        let mut totals = self.totals.iter();
        totals.any(|(customer, total)| self.is_due(now, &key, mark, customer, total))
    }

    fn is_due(
        &self,
        now: MonotonicTime,
        key: &ProcessKey,
        mark: u64,
        customer: &CustomerName,
        total: &CustomerTotal,
    ) -> bool {
        let own = self.processes.get(key);
        if mark == 0 {
            total.is_used(now)
        } else if own.is_some_and(|own| own.has_used(now, customer)) {
            total.changed_by_others(key) > mark
        } else {
            total.changed_much() > mark
        }
    }

    /// Counts what processes that lost contact are expected to admit, and drops the use at those that
    /// ended long ago.
    pub(super) fn expire(&mut self, now: MonotonicTime) {
        let mark = self.mark + 1;
        for (key, tracked) in &mut self.processes {
            for (customer, added) in tracked.extrapolate(now, mark) {
                if let Some(total) = self.totals.get_mut(&customer) {
                    total.record(now, key, mark, added);
                    self.mark = mark;
                }
            }
        }
        self.processes.retain(|_, tracked| tracked.is_kept(now));
        let processes = &self.processes;
        self.totals.retain(|customer, total| {
            let mut tracked = processes.values();
            total.is_kept(now) || tracked.any(|tracked| tracked.counts(customer).is_some())
        });
    }
}

impl ServerRegistry {
    /// Records the use of quotas at an entry that follows this process. Returns whether it is news.
    pub fn record_usage(&mut self, now: MonotonicTime, report: UsageReport) -> bool {
        self.usage.record(now, report, true)
    }

    /// Records the use of quotas at an entry, received from another control process.
    pub fn merge_usage(&mut self, now: MonotonicTime, report: UsageReport) {
        self.usage.record(now, report, false);
    }

    /// Returns the number of the latest report on the use of quotas; 0 if there was none.
    pub fn usage_mark(&self) -> u64 {
        self.usage.mark()
    }

    /// Returns the use of quotas reported after `usage_mark`, by entry process.
    pub fn usage_after(&self, now: MonotonicTime, usage_mark: u64) -> UsageReply {
        UsageReply {
            reports: self.usage.list_after(now, usage_mark),
            mark: self.usage.mark(),
            ..UsageReply::default()
        }
    }

    /// Returns the use of quotas at all entries but the one on `vm` that asks.
    pub fn usage_of_others(
        &mut self,
        now: MonotonicTime,
        vm: &VmName,
        request: &UsageRequest,
    ) -> UsageReply {
        self.usage.answer(now, vm, request)
    }

    /// Whether use at other entries has changed for an entry that follows it.
    pub fn has_usage_news(&self, now: MonotonicTime, process: (&VmName, u64), mark: u64) -> bool {
        self.usage.has_news(now, process, mark)
    }
}

fn to_usage(customer: &CustomerName, counts: UsageCounts, recent: u64) -> CustomerUsage {
    CustomerUsage {
        customer: customer.clone(),
        admitted: counts.admitted,
        offered: counts.offered,
        recent,
    }
}
