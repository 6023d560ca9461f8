//! The rate of requests that a replica takes from all entries together, as it states in its answers.
//!
//! Each entry sends at its share of the rate, which follows from the active entries, so that they
//! need not coordinate. A permit for one request is issued at regular intervals and is valid for a
//! short time, so that entries that were idle cannot all send at once what they have saved up. The
//! entries issue their permits at different times, which matters if the interval is long.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Percentage of a stated rate that is divided among the entries; they may disagree on who is active.
const ALLOCATED_PERCENT: f64 = 90.0;
/// Time for which a permit is valid.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Rate that is used if a replica states a lower one: only answers tell that a limit was lifted.
const RATE_MIN: RequestRate = RequestRate(500);
/// Maximum interval between the permits of an entry.
const INTERVAL_MAX: Duration = Duration::from_hours(1);

/// Requests that a replica takes from all entries together, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(pub u64);

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// What an answer states about the rate that its replica takes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum RateNotice {
    /// Nothing: the last statement holds.
    #[default]
    Unstated,
    /// The replica takes any rate.
    Unlimited,
    /// The replica takes at most this rate.
    Limited(RequestRate),
}

/// A change of the rate that a replica takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateChange {
    /// Rate before the change; `None` if there was no limit.
    pub before: Option<RequestRate>,
    /// Rate from now on; `None` if there is no limit.
    pub after: Option<RequestRate>,
    /// Time for which the former rate was in force.
    pub held: Duration,
    /// Requests that this entry sent in that time.
    pub sent: u64,
}

/// An entry's part of the rates that a replica may state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RateShare {
    /// Part of the rate, from 0 to 1.
    pub fraction: f64,
    /// Time of the first permit after a statement, as a fraction of the interval between permits.
    pub offset: f64,
}

impl Default for RateShare {
    fn default() -> Self {
        Self {
            fraction: 1.0,
            offset: 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct StatedRate {
    rate: RequestRate,
    stated_at: MonotonicTime,
    /// Time from which the oldest unused permit is valid.
    permit_at: MonotonicTime,
    /// Requests that this entry has sent since then.
    sent: u64,
}

/// Limits the requests of this entry to its share of the rate that a replica takes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateLimiter {
    pub share: RateShare,
    stated: Option<StatedRate>,
}

impl RateLimiter {
    /// Returns the rate in force.
    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.stated.map(|stated| stated.rate)
    }

    /// Records what an answer stated, and returns the change.
    pub(super) fn record(&mut self, now: MonotonicTime, notice: RateNotice) -> Option<RateChange> {
        let after = match notice {
            RateNotice::Unstated => return None,
            RateNotice::Unlimited => None,
            RateNotice::Limited(rate) => Some(rate),
        };
        if after == self.rate() {
            return None;
        }
        let before = self.stated;
        self.stated = after.map(|rate| {
            let interval = self.interval(rate);
            let permit_at = match before {
                Some(stated) => stated.permit_at.min(now + interval),
                None => now + interval.mul_f64(self.share.offset),
            };
            StatedRate {
                rate,
                stated_at: now,
                permit_at,
                sent: 0,
            }
        });
        Some(RateChange {
            before: before.map(|stated| stated.rate),
            after,
            held: before.map_or(Duration::ZERO, |stated| now.since(stated.stated_at)),
            sent: before.map_or(0, |stated| stated.sent),
        })
    }

    /// Returns when the next request may be sent if that is not now.
    pub(super) fn blocked_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let permit_at = self.next_permit(now, self.stated?);
        (now < permit_at).then_some(permit_at)
    }

    /// Records that a request is sent, which uses up a permit.
    pub(super) fn begin(&mut self, now: MonotonicTime) {
        let Some(mut stated) = self.stated else {
            return;
        };
        stated.sent += 1;
        stated.permit_at = self.next_permit(now, stated) + self.interval(stated.rate);
        self.stated = Some(stated);
    }

    /// Returns the time from which the oldest permit that has not expired is valid.
    fn next_permit(&self, now: MonotonicTime, stated: StatedRate) -> MonotonicTime {
        let unused = now.since(stated.permit_at);
        let Some(expired) = unused.checked_sub(PERMIT_LIFETIME) else {
            return stated.permit_at;
        };
        let interval = self.interval(stated.rate);
        let count = (expired.as_secs_f64() / interval.as_secs_f64()).ceil();
        stated.permit_at + interval.mul_f64(count)
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "rates are far below 2^52 thousandths"
    )]
    fn interval(&self, rate: RequestRate) -> Duration {
        let per_second = rate.max(RATE_MIN).0 as f64 / 1_000.0;
        let own = per_second * self.share.fraction * ALLOCATED_PERCENT / 100.0;
        let interval = Duration::try_from_secs_f64(1.0 / own).unwrap_or(INTERVAL_MAX);
        interval.clamp(Duration::from_micros(1), INTERVAL_MAX)
    }
}
