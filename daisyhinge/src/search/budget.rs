//! Retry budget of one service at one entry, shared by hedges and retries.

use crate::prelude::*;
use crate::vocabulary::environment::PPM_SCALE;

/// Maximum number of extra sub-requests that can accumulate.
pub const BURST_MAX: u64 = 100;

/// Extra sub-requests available to an entry without traffic, so that a single request can retry.
pub const RESERVE: u64 = 10;

/// Extra sub-requests refilled each second while fewer than [`RESERVE`] are left.
pub const RESERVE_PER_SECOND: u64 = 1;

const CREDIT_PER_EXTRA: u64 = PPM_SCALE as u64;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Credit for extra sub-requests. Every primary sub-request deposits the service's share of one.
///
/// In any interval an entry sends at most `primaries * share + RESERVE + BURST_MAX` extra
/// sub-requests, plus one per second. The sum of the first term over all entries depends on the
/// traffic alone; the other terms are multiplied by the number of entries.
#[derive(Clone, Copy, Debug)]
pub struct ExtraBudget {
    credit: u64,
    refilled_at: MonotonicTime,
}

impl Default for ExtraBudget {
    fn default() -> Self {
        Self {
            credit: RESERVE * CREDIT_PER_EXTRA,
            refilled_at: MonotonicTime(0),
        }
    }
}

impl ExtraBudget {
    /// Deposits the credit for one primary sub-request.
    pub fn deposit(&mut self, extra_work_ppm: u32) {
        let credit = self.credit + u64::from(extra_work_ppm);
        self.credit = credit.min(BURST_MAX * CREDIT_PER_EXTRA);
    }

    /// Withdraws one extra sub-request; returns `false` if the budget is exhausted. A share of 0
    /// forbids all extra work.
    pub fn withdraw(&mut self, now: MonotonicTime, extra_work_ppm: u32) -> bool {
        self.refill(now);
        if extra_work_ppm == 0 || self.credit < CREDIT_PER_EXTRA {
            return false;
        }
        self.credit -= CREDIT_PER_EXTRA;
        true
    }

    fn refill(&mut self, now: MonotonicTime) {
        let micros = now.0.saturating_sub(self.refilled_at.0);
        self.refilled_at = self.refilled_at.max(now);
        let floor = RESERVE * CREDIT_PER_EXTRA;
        if self.credit < floor {
            let refill =
                micros.saturating_mul(RESERVE_PER_SECOND * CREDIT_PER_EXTRA) / MICROS_PER_SECOND;
            self.credit = self.credit.saturating_add(refill).min(floor);
        }
    }
}
