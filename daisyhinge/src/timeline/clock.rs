//! A hybrid logical clock: wall time that never runs backwards and advances past the timestamps
//! received from other processes.

use crate::vocabulary::event::HybridTimestamp;

/// Maximum time by which a timestamp from another process may be ahead of the local wall clock, in
/// microseconds. Timestamps further ahead are ignored, so that one VM with a wrong clock cannot
/// advance the clocks of all others.
pub const MAX_AHEAD_US: u64 = 60_000_000;

/// Generates strictly increasing timestamps.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// Returns the next timestamp. `wall_us` is the wall clock in microseconds since the Unix epoch.
    pub fn next(&mut self, wall_us: u64) -> HybridTimestamp {
        self.last = if wall_us > self.last.wall_us {
            HybridTimestamp { wall_us, count: 0 }
        } else {
            next_above(self.last)
        };
        self.last
    }

    /// Makes every later timestamp larger than `timestamp`, unless `timestamp` is further ahead of
    /// `wall_us` than [`MAX_AHEAD_US`]. Returns whether `timestamp` was accepted.
    pub fn observe(&mut self, timestamp: HybridTimestamp, wall_us: u64) -> bool {
        if timestamp.wall_us > wall_us.saturating_add(MAX_AHEAD_US) {
            return false;
        }
        self.last = self.last.max(timestamp);
        true
    }
}

/// Returns the smallest timestamp above `timestamp`.
fn next_above(timestamp: HybridTimestamp) -> HybridTimestamp {
    match timestamp.count.checked_add(1) {
        Some(count) => HybridTimestamp { count, ..timestamp },
        None => HybridTimestamp {
            wall_us: timestamp.wall_us.saturating_add(1),
            count: 0,
        },
    }
}
