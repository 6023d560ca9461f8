//! An entry's share of the extra requests that a service bears, for hedges and retries.
//!
//! All entries together may send a service, in any window, extra requests up to a ratio of its
//! first ones and a slack. Each entry earns the ratio on its own first requests and saves up at
//! most its share of the slack, so that the sum holds without a word between entries.

/// Share of the allowed ratio that is used, so that late arrivals stay within it.
const RATIO_USED: f64 = 0.85;
/// Share of the allowed slack that is handed out to entries.
const SLACK_USED: f64 = 0.8;
/// Least that an entry may save up.
const SAVED_MIN: f64 = 1.0;

/// Share of what may be saved up that is kept for retries.
const RETRY_SHARE: f64 = 0.25;
/// Most that is kept for retries.
const RETRY_KEPT_MAX: f64 = 2.0;

/// What all entries together may send in extra requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Extra requests for each first request.
    pub ratio: f64,
    /// Extra requests in a window besides.
    pub slack: f64,
}

/// The budget of one service at one entry.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBudget {
    limits: BudgetLimits,
    saved_max: f64,
    saved: f64,
    begun: bool,
}

impl RepeatBudget {
    /// A budget that has saved up nothing but its least.
    pub fn open(limits: BudgetLimits) -> Self {
        Self {
            limits,
            saved_max: SAVED_MIN,
            saved: SAVED_MIN,
            begun: false,
        }
    }

    /// A first request is sent while `entries` entries serve.
    #[expect(
        clippy::cast_precision_loss,
        reason = "entries are far fewer than 2^52"
    )]
    pub fn earn(&mut self, entries: usize) {
        let share = self.limits.slack * SLACK_USED / entries.max(1) as f64;
        self.saved_max = share.max(SAVED_MIN);
        if !self.begun {
            self.begun = true;
            // Not all of it: the process before may have used its share just now.
            self.saved = (self.saved_max / 2.0).max(SAVED_MIN);
        }
        let earned = self.saved + self.limits.ratio * RATIO_USED;
        self.saved = earned.min(self.saved_max);
    }

    /// Takes one extra request out to retry what failed; `false` if none is left.
    pub fn take(&mut self) -> bool {
        self.take_above(1.0)
    }

    /// Takes one extra request out to hedge what is late; `false` if only what retries may need
    /// is left.
    pub fn take_hedge(&mut self) -> bool {
        self.take_above(1.0 + (self.saved_max * RETRY_SHARE).min(RETRY_KEPT_MAX))
    }

    fn take_above(&mut self, needed: f64) -> bool {
        if self.saved < needed {
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
