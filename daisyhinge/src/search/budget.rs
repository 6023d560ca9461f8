//! The budget of extra work of one service at one entry, shared by hedges and retries.

use crate::prelude::*;
use crate::vocabulary::environment::WHOLE_PPM;

/// Extra sub-requests that can be saved up at most.
pub const BURST_MAX: u64 = 100;

/// Extra sub-requests that an entry without traffic has, so that a lone request can retry.
pub const FLOOR: u64 = 10;

/// Extra sub-requests that come back each second while fewer than [`FLOOR`] are left.
pub const FLOOR_PER_SECOND: u64 = 1;

const CREDIT_PER_EXTRA: u64 = WHOLE_PPM as u64;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Credit for extra sub-requests. Every primary sub-request earns the service's share of one.
///
/// Over any span an entry sends at most `primaries * share + FLOOR + BURST_MAX` and one a second
/// in extra sub-requests. Only the last terms grow with the number of entries.
#[derive(Clone, Copy, Debug)]
pub struct ExtraBudget {
    credit: u64,
    refilled: MonotonicTime,
}

impl Default for ExtraBudget {
    fn default() -> Self {
        Self {
            credit: FLOOR * CREDIT_PER_EXTRA,
            refilled: MonotonicTime(0),
        }
    }
}

impl ExtraBudget {
    /// A primary sub-request was sent.
    pub fn earn(&mut self, extra_work_ppm: u32) {
        let credit = self.credit + u64::from(extra_work_ppm);
        self.credit = credit.min(BURST_MAX * CREDIT_PER_EXTRA);
    }

    /// Takes one extra sub-request out; `false` if the budget is spent. A share of 0 forbids all
    /// extra work.
    pub fn take(&mut self, now: MonotonicTime, extra_work_ppm: u32) -> bool {
        self.refill(now);
        if extra_work_ppm == 0 || self.credit < CREDIT_PER_EXTRA {
            return false;
        }
        self.credit -= CREDIT_PER_EXTRA;
        true
    }

    fn refill(&mut self, now: MonotonicTime) {
        let micros = now.0.saturating_sub(self.refilled.0);
        self.refilled = self.refilled.max(now);
        let floor = FLOOR * CREDIT_PER_EXTRA;
        if self.credit < floor {
            let refill =
                micros.saturating_mul(FLOOR_PER_SECOND * CREDIT_PER_EXTRA) / MICROS_PER_SECOND;
            self.credit = self.credit.saturating_add(refill).min(floor);
        }
    }
}
