//! Monotonic time for the decision modules.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A reading of the process's monotonic clock, in microseconds since an arbitrary start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `duration` before `self`, saturating at zero.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration_to_micros(duration)))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(duration_to_micros(rhs)))
    }
}

/// Converts to whole microseconds, rounding down and saturating.
pub fn duration_to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Converts to whole milliseconds, rounding up and saturating.
pub fn duration_to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
