//! An entry's share of the extra requests that a service bears, for hedges and retries.
//!
//! All entries together may send a service, in any window, extra requests up to a ratio of its
//! first ones and a slack. Each entry earns the ratio on its own first requests. Its share of the
//! slack is in part saved up, for sudden trouble, and in part comes back over the window, for
//! trouble that lasts; so the sum holds without a word between entries.

use std::time::Duration;

use crate::prelude::*;

/// Share of the allowed ratio that is used, so that late arrivals stay within it.
const RATIO_USED: f64 = 0.95;
/// Share of the allowed slack that is handed out to entries.
const SLACK_USED: f64 = 0.9;
/// Share of an entry's slack that it saves up; the rest comes back over the window.
const SAVED_SHARE: f64 = 0.5;
/// Least that an entry may save up.
const SAVED_MIN: f64 = 1.0;

/// Share of what may be saved up that is kept for retries.
const RETRY_SHARE: f64 = 0.1;
/// Most that is kept for retries.
const RETRY_KEPT_MAX: f64 = 1.0;

/// What all entries together may send in extra requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Extra requests for each first request.
    pub ratio: f64,
    /// Extra requests in a window besides.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// An entry's share of the slack.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlackShare {
    /// It is one of so many entries that share it.
    OneOf(usize),
    /// It has none: callers are not sent to it.
    None,
}

/// The budget of one service at one entry.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBudget {
    limits: BudgetLimits,
    saved_max: f64,
    saved: f64,
    /// What comes back in a second.
    refill: f64,
    refilled: Option<MonotonicTime>,
}

impl RepeatBudget {
    /// A budget that has saved up nothing.
    pub fn open(limits: BudgetLimits) -> Self {
        Self {
            limits,
            saved_max: SAVED_MIN,
            saved: 0.0,
            refill: 0.0,
            refilled: None,
        }
    }

    /// A first request is sent.
    pub fn earn(&mut self, now: MonotonicTime, share: SlackShare) {
        self.take_share(share);
        if self.refilled.is_none() && share != SlackShare::None {
            // Not all of it: the process before may have used its share just now.
            self.saved = (self.saved_max / 2.0).max(SAVED_MIN);
        }
        self.fill(now);
        let earned = self.saved + self.limits.ratio * RATIO_USED;
        self.saved = earned.min(self.saved_max);
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "entries are far fewer than 2^52"
    )]
    fn take_share(&mut self, share: SlackShare) {
        let share = match share {
            SlackShare::OneOf(entries) => self.limits.slack * SLACK_USED / entries.max(1) as f64,
            SlackShare::None => 0.0,
        };
        self.saved_max = (share * SAVED_SHARE).max(SAVED_MIN);
        let window = self.limits.window.as_secs_f64().max(1.0);
        self.refill = (share - self.saved_max).max(0.0) / window;
    }

    fn fill(&mut self, now: MonotonicTime) {
        let since = self.refilled.map_or(Duration::ZERO, |then| now.since(then));
        let saved = self.saved + self.refill * since.as_secs_f64();
        self.saved = saved.min(self.saved_max);
        self.refilled = Some(now);
    }

    /// Takes one extra request out to retry what failed; `false` if none is left.
    pub fn take(&mut self, now: MonotonicTime) -> bool {
        self.take_above(now, 1.0)
    }

    /// Takes one extra request out to hedge what is late; `false` if only what retries may need
    /// is left.
    pub fn take_hedge(&mut self, now: MonotonicTime) -> bool {
        let kept = (self.saved_max * RETRY_SHARE).min(RETRY_KEPT_MAX);
        self.take_above(now, 1.0 + kept)
    }

    fn take_above(&mut self, now: MonotonicTime, needed: f64) -> bool {
        self.fill(now);
        if self.saved < needed.min(self.saved_max) {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Extra requests that are left.
    pub fn left(&self) -> f64 {
        self.saved
    }
}
