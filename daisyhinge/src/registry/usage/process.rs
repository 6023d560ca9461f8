//! Use at one entry process.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{REPORT_RETENTION, USE_RETENTION, UsageCounts};
use crate::prelude::*;
use crate::quota::isolation::{FIRST_PART, HEADROOM, LIMITED_SHARE};
use crate::quota::rate::{RECENT_MARGIN, RateEstimate, whole_events};

/// Averaging time of what a process admits.
const AVERAGING_TIME: Duration = Duration::from_secs(10);
/// Time since the last call of an entry, which calls each 0.5 s, after which it is taken to have lost
/// contact and to go on alone.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time since the last call after which it is taken to have ended.
const ISOLATION_MAX: Duration = Duration::from_secs(10);
/// Time after its last request at a process for which a customer is expected to send one there.
const FIRST_RETENTION: Duration = Duration::from_mins(1);
/// A customer was at its limit at a process that admitted less than this part of its requests.
const LIMITED_PART: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct TrackedUse {
    counts: UsageCounts,
    /// Mark of the report that changed the counts last.
    mark: u64,
    changed_at: MonotonicTime,
    admitted_rate: RateEstimate,
    offered_rate: RateEstimate,
    /// Part of a request that the process is expected to have admitted without contact.
    expected: f64,
}

impl TrackedUse {
    fn open(now: MonotonicTime) -> Self {
        Self {
            counts: UsageCounts::default(),
            mark: 0,
            changed_at: now,
            admitted_rate: RateEstimate::open(now, AVERAGING_TIME),
            offered_rate: RateEstimate::open(now, AVERAGING_TIME),
            expected: 0.0,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct TrackedProcess {
    customers: BTreeMap<CustomerName, TrackedUse>,
    reported_at: MonotonicTime,
    /// Time of the last call of the entry, if it follows this control process.
    contact_at: Option<MonotonicTime>,
    /// Time until which use without contact has been counted.
    extrapolated_to: MonotonicTime,
}

impl TrackedProcess {
    pub(super) fn open(now: MonotonicTime) -> Self {
        Self {
            customers: BTreeMap::new(),
            reported_at: now,
            contact_at: None,
            extrapolated_to: now,
        }
    }

    /// Records counts, and returns by how much they have grown; `None` if they have not. Of counts that
    /// were not known, only those of the last second, if stated, are taken for new use.
    pub(super) fn record(
        &mut self,
        now: MonotonicTime,
        customer: &CustomerName,
        (counts, recent): (UsageCounts, u64),
        mark: u64,
    ) -> Option<UsageCounts> {
        if !self.customers.contains_key(customer) {
            let mut tracked = TrackedUse::open(now);
            if recent > 0 {
                tracked.counts.admitted = counts.admitted.saturating_sub(recent);
                tracked.counts.offered = counts.offered.saturating_sub(recent);
            }
            self.customers.insert(customer.clone(), tracked);
        }
        let tracked = self.customers.get_mut(customer)?;
        if counts.offered <= tracked.counts.offered {
            return None;
        }
        let added = UsageCounts {
            admitted: counts.admitted.saturating_sub(tracked.counts.admitted),
            offered: counts.offered - tracked.counts.offered,
        };
        tracked.counts.admitted += added.admitted;
        tracked.counts.offered += added.offered;
        tracked.mark = mark;
        tracked.changed_at = now;
        tracked
            .admitted_rate
            .record_spread(now, added.admitted as f64);
        tracked
            .offered_rate
            .record_spread(now, added.offered as f64);
        Some(added)
    }

    /// Records that a report has arrived. A process whose later counts come from another control
    /// process follows that one.
    pub(super) fn note_report(&mut self, now: MonotonicTime, is_direct: bool, is_later: bool) {
        self.reported_at = now;
        if is_direct {
            self.note_contact(now);
        } else if is_later {
            self.contact_at = None;
        }
    }

    /// Records a call of the process.
    pub(super) fn note_contact(&mut self, now: MonotonicTime) {
        self.contact_at = Some(now);
        self.reported_at = now;
    }

    /// Records that the process has ended.
    pub(super) fn note_end(&mut self) {
        self.contact_at = None;
    }

    /// Counts what the process is expected to have admitted since it lost contact, and returns it by
    /// customer. The others would otherwise use the whole rate beside it.
    pub(super) fn extrapolate(
        &mut self,
        now: MonotonicTime,
        mark: u64,
    ) -> Vec<(CustomerName, UsageCounts)> {
        let Some(contact_at) = self.contact_at else {
            return Vec::new();
        };
        let silent = now.since(contact_at);
        if silent < CONTACT_TIMEOUT || silent >= ISOLATION_MAX {
            return Vec::new();
        }
        // Until the entry itself notices the loss, it goes on as before.
        let noticed_at = contact_at + CONTACT_TIMEOUT;
        let unnoticed = noticed_at
            .since(self.extrapolated_to.max(contact_at))
            .as_secs_f64();
        let noticed = now
            .since(self.extrapolated_to.max(noticed_at))
            .as_secs_f64();
        let is_first = self.extrapolated_to < contact_at;
        self.extrapolated_to = now;
        let mut added = Vec::new();
        for (customer, tracked) in &mut self.customers {
            let admitted = tracked.admitted_rate.per_second(contact_at);
            let is_limited = admitted < tracked.offered_rate.per_second(contact_at) * LIMITED_PART;
            let factor = if is_limited { LIMITED_SHARE } else { HEADROOM };
            let is_used = contact_at.since(tracked.changed_at) < FIRST_RETENTION;
            if is_first && is_used && !is_limited {
                tracked.expected = FIRST_PART;
            }
            tracked.expected += admitted * (unnoticed + factor * noticed);
            let whole = tracked.expected.floor();
            if whole >= 1.0 {
                tracked.expected -= whole;
                let counts = UsageCounts {
                    admitted: whole_events(whole),
                    offered: whole_events(whole),
                };
                tracked.counts.admitted += counts.admitted;
                tracked.counts.offered += counts.offered;
                tracked.mark = mark;
                added.push((customer.clone(), counts));
            }
        }
        added
    }

    pub(super) fn counts(&self, customer: &CustomerName) -> Option<UsageCounts> {
        self.customers.get(customer).map(|tracked| tracked.counts)
    }

    /// Whether the customer sent requests to the process lately.
    pub(super) fn has_used(&self, now: MonotonicTime, customer: &CustomerName) -> bool {
        let tracked = self.customers.get(customer);
        tracked.is_some_and(|tracked| now.since(tracked.changed_at) < USE_RETENTION)
    }

    pub(super) fn list_after(
        &self,
        now: MonotonicTime,
        mark: u64,
    ) -> impl Iterator<Item = (&CustomerName, UsageCounts, u64)> {
        let customers = self.customers.iter();
        customers
            .filter(move |(_, tracked)| tracked.mark > mark)
            .map(move |(customer, tracked)| {
                let recent = whole_events(tracked.offered_rate.per_second(now)) + RECENT_MARGIN;
                (customer, tracked.counts, recent)
            })
    }

    pub(super) fn is_kept(&self, now: MonotonicTime) -> bool {
        now.since(self.reported_at) < REPORT_RETENTION
    }
}
