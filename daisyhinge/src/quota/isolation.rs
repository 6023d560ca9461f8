//! What an entry without contact to control admits of one customer.

use std::time::Duration;

use super::QuotaLimit;
use crate::prelude::*;

/// Part of its share of the rate that an entry admits if the customer was at its limit before. The
/// others use the whole rate meanwhile.
pub(crate) const LIMITED_SHARE: f64 = 0.1;
/// Requests that an entry admits of a customer that was below its limit, relative to what the entry
/// was offered before.
pub(crate) const HEADROOM: f64 = 1.25;
/// Tokens that an entry without contact has at first beyond its rate and its share of the bucket. Most
/// entries get less than one request of a customer before they have contact again.
pub(crate) const FIRST_PART: f64 = 0.5;
/// Part of its share of the tokens in the customer's bucket that an entry uses meanwhile.
const LEVEL_PART: f64 = 0.5;
/// Time over which an entry may save up what it admits.
const SAVED: Duration = Duration::from_secs(2);

/// What an entry knew of a customer when it lost contact.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastKnown {
    /// Requests per second that arrived at this entry and at all entries, over a long time.
    pub own_usual: f64,
    pub total_usual: f64,
    /// Requests per second that arrived at all entries lately.
    pub total: f64,
    /// Tokens in the customer's bucket.
    pub level: f64,
    /// Fraction of a request that the entry had saved up.
    pub phase: f64,
}

/// Requests that an entry admits until it is in contact again.
#[derive(Clone, Copy, Debug)]
pub(super) struct IsolatedBudget {
    pub per_second: f64,
    tokens: f64,
    tokens_max: f64,
    refilled_at: MonotonicTime,
}

impl IsolatedBudget {
    pub(super) fn open(now: MonotonicTime, limit: QuotaLimit, known: LastKnown) -> Self {
        let own_part = known.own_usual / known.total_usual.max(f64::MIN_POSITIVE);
        let is_limited = known.total > limit.per_second;
        let (per_second, saved) = if is_limited {
            (limit.per_second * LIMITED_SHARE * own_part, 0.0)
        } else {
            let saved = known.level.max(0.0) * own_part * LEVEL_PART;
            (known.own_usual * HEADROOM, saved + FIRST_PART)
        };
        let per_second = per_second.min(limit.per_second);
        let tokens = known.phase + saved;
        Self {
            per_second,
            tokens,
            tokens_max: tokens.max(per_second * SAVED.as_secs_f64()).max(1.0),
            refilled_at: now,
        }
    }

    /// Takes a token if there is one.
    pub(super) fn admit(&mut self, now: MonotonicTime) -> bool {
        let earned = self.per_second * now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + earned).min(self.tokens_max);
        let admits = self.tokens >= 1.0;
        self.tokens -= if admits { 1.0 } else { 0.0 };
        admits
    }
}
