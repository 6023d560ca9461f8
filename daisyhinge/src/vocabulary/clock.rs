//! Time as the decision modules see it.

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
    /// Time from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// `self` moved back by `span`, at least zero.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span_to_micros(span)))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(span_to_micros(rhs)))
    }
}

/// Whole microseconds in `span`, saturating.
pub fn span_to_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Whole milliseconds in `span`, rounded up, saturating.
pub fn span_to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
