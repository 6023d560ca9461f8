//! Use of quotas by customers, as entries report it.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What a process sends about the use of quotas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct UsageRequest {
    /// Use at the entry, if it has changed.
    pub report: Option<UsageReport>,
    /// Mark of the latest report that the sender received, directly or in counts of others.
    pub mark: u64,
    /// Incarnation in the sender's reports, if it is an entry that keeps the mark and receives counts of
    /// others without a report; 0 otherwise.
    #[serde(skip_serializing_if = "is_zero")]
    pub incarnation: u64,
}

/// What a control process replies about the use of quotas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct UsageReply {
    /// To a control process: reports that changed after the mark.
    pub reports: Vec<UsageReport>,
    /// Mark of the latest report in this reply, to be sent with the next request.
    pub mark: u64,
    /// To an entry: use at all other entries, for the customers in its report and those for which it
    /// has changed.
    pub others: Vec<CustomerUsage>,
    /// To an entry: whether the replying process has run long enough for all entries to have reported
    /// to it. Unset by builds that don't send counts without a report.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub settled: bool,
}

/// Cumulative use by one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerUsage {
    /// Customer whose keys the requests carried.
    pub customer: CustomerName,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that arrived, admitted or not.
    pub offered: u64,
    /// Requests per second that arrived lately, if the receiver may not have followed the counts.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub recent: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "called by serde")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Use that one entry process has counted, for the customers for which it has changed. Counts of a
/// process never fall, so that late and repeated reports do no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// VM that runs the entry.
    pub vm: VmName,
    /// Random number drawn when the process started.
    pub incarnation: u64,
    /// Use by customer.
    pub customers: Vec<CustomerUsage>,
}

impl UsageReport {
    /// Creates the report of a process that has counted nothing yet.
    pub fn empty(vm: VmName, incarnation: u64) -> Self {
        Self {
            vm,
            incarnation,
            customers: Vec::new(),
        }
    }
}
