//! Retry budget: an entry's share of the extra requests (hedges and retries) of a service.
//!
//! In any window, all entries together may send a service extra requests up to a ratio of its
//! first attempts plus a fixed slack. Each entry has a token bucket: a first attempt deposits the
//! ratio. Part of the entry's share of the slack is burst capacity, for sudden failures; the rest
//! is refilled over the window, for lasting ones. The global limit thus holds without any
//! communication between entries.

use std::time::Duration;

use crate::prelude::*;

/// Fraction of the allowed ratio that a first attempt deposits, so that late arrivals stay within
/// the limit.
const DEPOSITED_RATIO_FRACTION: f64 = 0.95;
/// Fraction of the allowed slack that is divided among the active entries.
const ALLOCATED_SLACK_FRACTION: f64 = 0.9;
/// Fraction of an entry's slack that is burst capacity; the rest is refilled over the window.
const BURST_SHARE: f64 = 0.5;
/// Minimum burst capacity of an entry.
const BURST_MIN: f64 = 1.0;

/// Fraction of the burst capacity that is reserved for retries.
const RETRY_RESERVE_SHARE: f64 = 0.1;
/// Upper bound of the reserve for retries.
const RETRY_RESERVE_MAX: f64 = 1.0;

/// Limits on the extra requests of all entries together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Extra requests per first attempt.
    pub ratio: f64,
    /// Extra requests per window in addition to the ratio.
    pub slack: f64,
    /// Window over which the limits apply.
    pub window: Duration,
}

/// An entry's share of the slack.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlackShare {
    /// An equal share among this many active entries.
    OneOf(usize),
    /// No share, since callers are not sent to this entry.
    None,
}

/// Token bucket for the extra requests of one service at one entry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    burst: f64,
    tokens: f64,
    /// Tokens refilled per second.
    refill_per_second: f64,
    refilled_at: Option<MonotonicTime>,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn open(limits: BudgetLimits) -> Self {
        Self {
            limits,
            burst: BURST_MIN,
            tokens: 0.0,
            refill_per_second: 0.0,
            refilled_at: None,
        }
    }

    /// Deposits the ratio of one first attempt.
    pub fn deposit(&mut self, now: MonotonicTime, share: SlackShare) {
        self.set_share(share);
        if self.refilled_at.is_none() && share != SlackShare::None {
            // Starts half full: a previous process may have used up its share just before.
            self.tokens = (self.burst / 2.0).max(BURST_MIN);
        }
        self.refill(now);
        let earned = self.tokens + self.limits.ratio * DEPOSITED_RATIO_FRACTION;
        self.tokens = earned.min(self.burst);
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "entries are far fewer than 2^52"
    )]
    fn set_share(&mut self, share: SlackShare) {
        let share = match share {
            SlackShare::OneOf(entries) => {
                self.limits.slack * ALLOCATED_SLACK_FRACTION / entries.max(1) as f64
            }
            SlackShare::None => 0.0,
        };
        self.burst = (share * BURST_SHARE).max(BURST_MIN);
        let window = self.limits.window.as_secs_f64().max(1.0);
        self.refill_per_second = (share - self.burst).max(0.0) / window;
    }

    fn refill(&mut self, now: MonotonicTime) {
        let since = self
            .refilled_at
            .map_or(Duration::ZERO, |then| now.since(then));
        let tokens = self.tokens + self.refill_per_second * since.as_secs_f64();
        self.tokens = tokens.min(self.burst);
        self.refilled_at = Some(now);
    }

    /// Withdraws a token for a retry; `false` if there is none.
    pub fn withdraw_retry(&mut self, now: MonotonicTime) -> bool {
        self.withdraw(now, 1.0)
    }

    /// Withdraws a token for a hedge; `false` if only the reserve for retries remains.
    pub fn withdraw_hedge(&mut self, now: MonotonicTime) -> bool {
        let reserve = (self.burst * RETRY_RESERVE_SHARE).min(RETRY_RESERVE_MAX);
        self.withdraw(now, 1.0 + reserve)
    }

    fn withdraw(&mut self, now: MonotonicTime, needed: f64) -> bool {
        self.refill(now);
        if self.tokens < needed.min(self.burst) {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the number of extra requests that the budget permits now.
    pub fn available(&self) -> f64 {
        self.tokens
    }
}
