//! Use by one customer over all processes.

use std::time::Duration;

use super::{ProcessKey, REPORT_RETENTION, USE_RETENTION, UsageCounts};
use crate::prelude::*;
use crate::quota::rate::{RateEstimate, whole_events};

/// Averaging time of the requests per second.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// An entry that does not use a customer is told of its counts when they have grown by at least this
/// many requests, and by at least what arrives in this time. It must know roughly how much of the quota is left when it
/// gets a request, but most entries get none.
const CHANGE_MIN: f64 = 4.0;
const CHANGE_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub(super) struct CustomerTotal {
    pub counts: UsageCounts,
    offered_rate: RateEstimate,
    /// Process that changed the counts last, with the mark.
    changed: (ProcessKey, u64),
    /// Mark of the last change by another process than that.
    changed_by_another: u64,
    changed_at: MonotonicTime,
    /// Mark and counts when the counts had last grown much.
    changed_much: u64,
    offered_then: u64,
}

impl CustomerTotal {
    /// `is_settled` states whether an earlier use would be known.
    pub(super) fn open(now: MonotonicTime, is_settled: bool) -> Self {
        let open_rate = if is_settled {
            RateEstimate::open
        } else {
            RateEstimate::open_midway
        };
        Self {
            counts: UsageCounts::default(),
            offered_rate: open_rate(now, AVERAGING_TIME),
            changed: ((VmName::from(""), 0), 0),
            changed_by_another: 0,
            changed_at: now,
            changed_much: 0,
            offered_then: 0,
        }
    }

    pub(super) fn record(
        &mut self,
        now: MonotonicTime,
        key: &ProcessKey,
        mark: u64,
        added: UsageCounts,
    ) {
        self.counts.admitted += added.admitted;
        self.counts.offered += added.offered;
        self.offered_rate.record_spread(now, added.offered as f64);
        if self.changed.0 != *key {
            self.changed_by_another = self.changed.1;
            self.changed.0 = key.clone();
        }
        self.changed.1 = mark;
        self.changed_at = now;
        let grown = (self.counts.offered - self.offered_then) as f64;
        let in_time = self.offered_rate.per_second(now) * CHANGE_TIME.as_secs_f64();
        if grown >= in_time.max(CHANGE_MIN) {
            self.changed_much = mark;
            self.offered_then = self.counts.offered;
        }
    }

    /// Returns the mark of the last change by another process.
    pub(super) fn changed_by_others(&self, key: &ProcessKey) -> u64 {
        if self.changed.0 == *key {
            self.changed_by_another
        } else {
            self.changed.1
        }
    }

    /// Returns the mark at which the counts had last grown much.
    pub(super) fn changed_much(&self) -> u64 {
        self.changed_much
    }

    /// Returns the requests per second that arrived lately.
    pub(super) fn per_second(&self, now: MonotonicTime) -> u64 {
        whole_events(self.offered_rate.per_second(now).round())
    }

    pub(super) fn is_used(&self, now: MonotonicTime) -> bool {
        now.since(self.changed_at) < USE_RETENTION
    }

    pub(super) fn is_kept(&self, now: MonotonicTime) -> bool {
        now.since(self.changed_at) < REPORT_RETENTION
    }
}
