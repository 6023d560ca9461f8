//! The process's clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::prelude::*;
use crate::vocabulary::clock::span_to_micros;

/// Reads the monotonic clock as decision modules want it.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

/// Readings begin here, so that "long ago" can be expressed right after the start.
const START_OFFSET: Duration = Duration::from_hours(1);

impl ProcessClock {
    /// Starts at the current moment.
    pub fn open() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The current reading.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(span_to_micros(START_OFFSET + self.start.elapsed()))
    }

    /// The moment of a reading, for timers.
    pub fn instant(&self, time: MonotonicTime) -> Instant {
        self.start + time.since(MonotonicTime(span_to_micros(START_OFFSET)))
    }
}

/// Microseconds since 1970.
pub fn wall_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, span_to_micros)
}
