//! What the followed control process and the entry know of one another's counts of quotas.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::vocabulary::quota::{CustomerUsage, UsageReply, UsageReport, UsageRequest};

#[derive(Debug, Default)]
pub(super) struct ReportedUsage {
    /// Requests by customer that the followed process knows of.
    offered: BTreeMap<CustomerName, u64>,
    /// Mark of the latest report of another entry that the process has passed on.
    mark: u64,
}

impl ReportedUsage {
    /// Forgets what a former process knew.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Builds a request with the part of the entry's report that the process does not have.
    pub(super) fn build_request(&self, report: &UsageReport) -> UsageRequest {
        let is_new =
            |usage: &&CustomerUsage| self.offered.get(&usage.customer) != Some(&usage.offered);
        // The rate matters only for counts that the process does not know yet.
        let to_change = |usage: &CustomerUsage| CustomerUsage {
            recent: if self.offered.contains_key(&usage.customer) {
                0
            } else {
                usage.recent
            },
            ..usage.clone()
        };
        let changed = report.customers.iter().filter(is_new);
        let customers: Vec<CustomerUsage> = changed.map(to_change).collect();
        UsageRequest {
            report: (!customers.is_empty()).then(|| UsageReport {
                vm: report.vm.clone(),
                incarnation: report.incarnation,
                customers,
            }),
            mark: self.mark,
            incarnation: report.incarnation,
        }
    }

    /// Records that the process has received a report.
    pub(super) fn note_sent(&mut self, report: Option<UsageReport>) {
        let customers = report.into_iter().flat_map(|report| report.customers);
        let offered = customers.map(|usage| (usage.customer, usage.offered));
        self.offered.extend(offered);
    }

    /// Records a reply of the process.
    pub(super) fn note_reply(&mut self, reply: &UsageReply) {
        self.mark = reply.mark;
    }
}
