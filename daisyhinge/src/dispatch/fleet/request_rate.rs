//! The rate of requests that a replica takes, as it states in its answers.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

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

#[derive(Clone, Copy, Debug)]
struct StatedRate {
    rate: RequestRate,
    stated_at: MonotonicTime,
    /// Requests that this entry has sent since then.
    sent: u64,
}

/// The rate that a replica takes, and what this entry has sent since it was stated.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateLimiter {
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
        self.stated = after.map(|rate| StatedRate {
            rate,
            stated_at: now,
            sent: 0,
        });
        Some(RateChange {
            before: before.map(|stated| stated.rate),
            after,
            held: before.map_or(Duration::ZERO, |stated| now.since(stated.stated_at)),
            sent: before.map_or(0, |stated| stated.sent),
        })
    }

    /// Records that a request is sent.
    pub(super) fn begin(&mut self) {
        if let Some(stated) = &mut self.stated {
            stated.sent += 1;
        }
    }
}
