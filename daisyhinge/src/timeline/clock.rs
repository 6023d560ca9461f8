//! A hybrid logical clock: wall time that never runs backwards and follows stamps seen.

use crate::vocabulary::event::HybridTimestamp;

/// Furthest that a stamp from another process may be ahead of the own wall clock and still be
/// followed, in microseconds. One VM with a wrong clock then cannot drag all others along.
pub const AHEAD_MAX_US: u64 = 60_000_000;

/// Gives stamps that only grow.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// The next stamp, given the wall clock in microseconds since 1970.
    pub fn next(&mut self, wall_us: u64) -> HybridTimestamp {
        self.last = if wall_us > self.last.wall_us {
            HybridTimestamp { wall_us, count: 0 }
        } else {
            follow_stamp(self.last)
        };
        self.last
    }

    /// Makes every later stamp larger than `stamp`, unless it is further ahead than
    /// [`AHEAD_MAX_US`]. Returns whether it was taken.
    pub fn observe(&mut self, stamp: HybridTimestamp, wall_us: u64) -> bool {
        if stamp.wall_us > wall_us.saturating_add(AHEAD_MAX_US) {
            return false;
        }
        self.last = self.last.max(stamp);
        true
    }
}

/// The smallest stamp above `stamp`.
fn follow_stamp(stamp: HybridTimestamp) -> HybridTimestamp {
    match stamp.count.checked_add(1) {
        Some(count) => HybridTimestamp { count, ..stamp },
        None => HybridTimestamp {
            wall_us: stamp.wall_us.saturating_add(1),
            count: 0,
        },
    }
}
