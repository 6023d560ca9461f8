//! Token bucket of one customer, as one entry sees it.

use std::time::Duration;

use super::isolation::{IsolatedBudget, LastKnown};
use super::rate::{RECENT_MARGIN, RateEstimate, whole_events};
use super::{Knowledge, QuotaDecision, QuotaLimit, UsageSource};
use crate::prelude::*;
use crate::vocabulary::quota::CustomerUsage;

/// Assumed time until this entry knows what another one has admitted.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// Age of the counts in a reply, most of which other control processes have passed on.
const REPORT_AGE: Duration = Duration::from_millis(150);
/// Level at which a bucket is held while the customer exceeds its rate: the tokens of [`KEPT_TIME`], at
/// most [`KEPT_PART`] of the burst. Levels vary around it, and each token below 0 is a request more
/// than the quota allows in a window.
const KEPT_TIME: Duration = Duration::from_millis(100);
const KEPT_PART: f64 = 0.25;
/// Time over which the entries repay what was admitted beyond the quota, by dividing less than the
/// rate. What is not repaid within a window of the quota adds to the next one.
const REPAYMENT_TIME: Duration = Duration::from_millis(500);
/// Maximum debt of a bucket, as the time in which the rate repays it. Withholding it for longer than a window
/// of the quota would not keep any window smaller.
const REPAYMENT_TIME_MAX: Duration = Duration::from_secs(5);
/// Tokens in a customer's bucket after a start of all processes: those of [`RESTART_LEVEL_TIME`], but
/// at least [`RESTART_LEVEL_MIN`].
const RESTART_LEVEL_TIME: Duration = Duration::from_millis(500);
const RESTART_LEVEL_MIN: f64 = 2.0;
/// Time for which the rate is withheld after a start of all processes from a customer that sent more than
/// its quota since: it may have been sending as much before, and used up the burst and more.
const RESTART_DEBT: Duration = Duration::from_secs(2);
/// Standard deviations by which it must have exceeded the quota, since the time is short.
const RESTART_DEVIATIONS: f64 = 2.0;
/// Averaging times of the rates that decide on the next request, and of those that are used while
/// there is no contact.
const RECENT: Duration = Duration::from_secs(1);
const USUAL: Duration = Duration::from_secs(10);
/// Bounds of an increase of counts that a control process reports before all entries have reported to
/// it, relative to what was expected and in requests.
const INCREASE_FACTOR: f64 = 1.5;
const INCREASE_MIN: f64 = 3.0;
/// Bounds of the time that a refused caller is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Counts of the other entries.
#[derive(Clone, Copy, Debug)]
struct OtherCounts {
    /// Control process that reported them.
    epoch: u64,
    admitted: u64,
    offered: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct CustomerBucket {
    /// Tokens left in the customer's bucket; negative if more was admitted than the quota allows.
    /// Unset until the first request at this entry.
    level: Option<f64>,
    /// Time from which requests are counted, if the bucket was opened while the entry was learning.
    learning_from: Option<MonotonicTime>,
    /// Tokens that did not fit into the bucket since the others were last heard of.
    spilled: f64,
    /// Part of a request that this entry may admit. Starts at random, so that the first requests of
    /// all entries together are admitted in the right proportion.
    phase: f64,
    refilled_at: MonotonicTime,
    /// Requests at this entry since it started.
    admitted: u64,
    offered: u64,
    own_rate: RateEstimate,
    own_usual: RateEstimate,
    others_rate: RateEstimate,
    others_usual: RateEstimate,
    others_admitted: RateEstimate,
    /// Counts of the other entries by their last report; unset until the first one.
    others: Option<OtherCounts>,
    others_at: MonotonicTime,
    /// Set while there is no contact.
    isolated: Option<IsolatedBudget>,
}

impl CustomerBucket {
    /// Creates the bucket of a customer that is not known yet. `phase` is between 0 and 1.
    pub(super) fn open(now: MonotonicTime, phase: f64, is_learning: bool) -> Self {
        let open_recent = if is_learning {
            RateEstimate::open_midway
        } else {
            RateEstimate::open
        };
        Self {
            level: None,
            learning_from: is_learning.then_some(now),
            spilled: 0.0,
            phase,
            refilled_at: now,
            admitted: 0,
            offered: 0,
            own_rate: open_recent(now, RECENT),
            own_usual: RateEstimate::open(now, USUAL),
            others_rate: open_recent(now, RECENT),
            others_usual: RateEstimate::open(now, USUAL),
            others_admitted: RateEstimate::open(now, RECENT),
            others: None,
            others_at: now,
            isolated: None,
        }
    }

    /// Counts a request.
    pub(super) fn count(&mut self, now: MonotonicTime) {
        self.offered += 1;
        self.own_rate.record(now);
        self.own_usual.record(now);
    }

    /// Decides on a request that was counted.
    pub(super) fn decide(
        &mut self,
        now: MonotonicTime,
        limit: QuotaLimit,
        knowledge: Knowledge,
    ) -> QuotaDecision {
        if knowledge == Knowledge::Learning {
            return QuotaDecision::Undecided;
        }
        self.refill(now, limit, knowledge);
        self.track_isolation(now, limit, knowledge);
        let (admits, per_second) = match (&mut self.isolated, knowledge) {
            (Some(budget), _) => (budget.admit(now), budget.per_second),
            (None, Knowledge::Current { as_of }) => {
                let as_of = as_of.max(self.others_at);
                if self.has_margin(now, as_of) {
                    (true, 0.0)
                } else {
                    self.admit_part(now, limit, as_of)
                }
            }
            (None, Knowledge::Learning | Knowledge::Lost) => (false, 0.0),
        };
        if admits {
            self.level = self.level.map(|level| level - 1.0);
            self.admitted += 1;
            return QuotaDecision::Admitted;
        }
        let missing = (1.0 - self.phase) / per_second.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(missing).unwrap_or(RETRY_AFTER_MAX);
        QuotaDecision::Refused {
            retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        }
    }

    /// Opens or drops the budget for the time without contact.
    fn track_isolation(&mut self, now: MonotonicTime, limit: QuotaLimit, knowledge: Knowledge) {
        if knowledge != Knowledge::Lost {
            self.isolated = None;
        } else if self.isolated.is_none() {
            let until = self.others_at;
            let own_usual = self.own_usual.per_second(now);
            let known = LastKnown {
                own_usual,
                total_usual: own_usual + self.others_usual.per_second(until),
                total: self.own_rate.per_second(now) + self.others_rate.per_second(until),
                level: self.level.unwrap_or(0.0),
                phase: self.phase,
            };
            self.isolated = Some(IsolatedBudget::open(now, limit, known));
        }
    }

    /// Estimates the level, with what the others have probably admitted since `as_of`.
    fn expected_level(&self, now: MonotonicTime, as_of: MonotonicTime) -> f64 {
        let unknown = (now.since(as_of) + REPORT_AGE).min(RECENT).as_secs_f64();
        self.level.unwrap_or(0.0) - self.others_admitted.per_second(as_of) * unknown
    }

    /// Whether the bucket holds enough for all that the others may admit before this entry knows
    /// of it.
    fn has_margin(&self, now: MonotonicTime, as_of: MonotonicTime) -> bool {
        let others = self.others_rate.per_second(now);
        self.expected_level(now, as_of) >= 1.0 + others * REPORT_LAG.as_secs_f64()
    }

    /// Admits this entry's part of the rate, in proportion to the requests that arrive at it. Returns
    /// whether the request is within it, and the part in requests per second.
    fn admit_part(
        &mut self,
        now: MonotonicTime,
        limit: QuotaLimit,
        as_of: MonotonicTime,
    ) -> (bool, f64) {
        let own = self.own_rate.per_second(now);
        let total = own + self.others_rate.per_second(now);
        let kept = limit.per_second * KEPT_TIME.as_secs_f64();
        let kept = kept.min(limit.burst.max(1.0) * KEPT_PART);
        let repaid = (self.expected_level(now, as_of) - kept) / REPAYMENT_TIME.as_secs_f64();
        let divided = (limit.per_second + repaid).max(0.0);
        let part = (divided / total).min(1.0);
        self.phase += part;
        let admits = self.phase >= 1.0;
        self.phase -= if admits { 1.0 } else { 0.0 };
        (admits, part * own)
    }

    fn refill(&mut self, now: MonotonicTime, limit: QuotaLimit, knowledge: Knowledge) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let capacity = limit.burst.max(1.0);
        let Some(level) = self.level else {
            self.level = Some(self.initial_level(now, limit, knowledge));
            return;
        };
        let lowest = -limit.per_second * REPAYMENT_TIME_MAX.as_secs_f64();
        let filled = level.max(lowest) + limit.per_second * elapsed;
        let level = filled.min(capacity);
        self.spilled += filled - level;
        self.level = Some(level);
    }

    /// Estimates the level at the first request from what is known of the others.
    fn initial_level(&self, now: MonotonicTime, limit: QuotaLimit, knowledge: Knowledge) -> f64 {
        if !matches!(knowledge, Knowledge::Current { .. }) {
            return 0.0;
        }
        let others = self.others_rate.per_second(now);
        if let Some(from) = self.learning_from {
            let counted = now.since(from).as_secs_f64();
            let expected = limit.per_second * counted + 1.0;
            let most = expected + RESTART_DEVIATIONS * expected.sqrt();
            let total = self.own_rate.per_second(now) + others;
            return if total * counted > most {
                -limit.per_second * RESTART_DEBT.as_secs_f64()
            } else {
                let level = limit.per_second * RESTART_LEVEL_TIME.as_secs_f64();
                level.max(RESTART_LEVEL_MIN).min(limit.burst.max(1.0))
            };
        }
        let admitted = self.others_admitted.per_second(now);
        if others > limit.per_second {
            return (limit.per_second - admitted).min(0.0) * RECENT.as_secs_f64();
        }
        (limit.burst.max(1.0) - admitted * RECENT.as_secs_f64()).max(0.0)
    }

    /// Applies the cumulative use at all other entries.
    pub(super) fn apply_others(
        &mut self,
        now: MonotonicTime,
        usage: &CustomerUsage,
        source: UsageSource,
    ) {
        let elapsed = now.since(self.others_at).as_secs_f64();
        let expected = |rate: &RateEstimate| {
            (rate.per_second(self.others_at) * elapsed * INCREASE_FACTOR).max(INCREASE_MIN)
        };
        let (used, arrived) = match self.others {
            Some(last) if last.epoch == source.epoch => {
                let used = to_count(usage.admitted.saturating_sub(last.admitted));
                let arrived = to_count(usage.offered.saturating_sub(last.offered));
                if source.is_settled || source.is_first {
                    (used, arrived)
                } else {
                    let used_max = expected(&self.others_admitted);
                    (used.min(used_max), arrived.min(expected(&self.others_rate)))
                }
            }
            Some(_) => {
                let used = self.others_admitted.per_second(self.others_at) * elapsed;
                (used, self.others_rate.per_second(self.others_at) * elapsed)
            }
            None => {
                let recent = to_count(usage.recent);
                self.others_rate.set(now, recent);
                self.others_usual.set(now, recent);
                (recent.min(to_count(usage.admitted)), 0.0)
            }
        };
        // The others used first what did not fit into this copy since the last report.
        let withdrawn = (used - self.spilled).max(0.0);
        self.level = self.level.map(|level| level - withdrawn);
        self.spilled = 0.0;
        if self.others.is_some() {
            self.others_rate.record_spread(now, arrived);
            self.others_usual.record_spread(now, arrived);
        }
        self.others_admitted.record_spread(now, used);
        self.others = Some(OtherCounts {
            epoch: source.epoch,
            admitted: usage.admitted,
            offered: usage.offered,
        });
        self.others_at = now;
    }

    /// Returns the use at this entry; `None` if there was none.
    pub(super) fn usage(
        &self,
        now: MonotonicTime,
        customer: &CustomerName,
    ) -> Option<CustomerUsage> {
        (self.offered > 0).then(|| CustomerUsage {
            customer: customer.clone(),
            admitted: self.admitted,
            offered: self.offered,
            recent: whole_events(self.own_rate.per_second(now)) + RECENT_MARGIN,
        })
    }
}

/// Counts are far below 2^52.
fn to_count(number: u64) -> f64 {
    number as f64
}
