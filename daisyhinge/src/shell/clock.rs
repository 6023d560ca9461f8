//! Monotonic clock and wall clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::prelude::*;
use crate::vocabulary::clock::duration_to_micros;

/// Monotonic clock whose readings are passed to the decision modules.
///
/// It includes the time during which the VM is suspended, so that leases expire and ages grow
/// across a suspension.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Duration,
}

/// First reading of the clock. Greater than zero, so that readings before the start of the process
/// can be represented.
const START_OFFSET: Duration = Duration::from_hours(1);

impl ProcessClock {
    /// Opens a clock that starts now.
    pub fn open() -> Self {
        Self {
            start: read_boot_time(),
        }
    }

    /// Returns the current reading.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(duration_to_micros(
            START_OFFSET + read_boot_time().saturating_sub(self.start),
        ))
    }

    /// Converts a reading to an [`Instant`] for timers; a reading in the past is converted to the
    /// current time.
    pub fn instant(&self, time: MonotonicTime) -> Instant {
        Instant::now() + time.since(self.now())
    }
}

/// Time since the VM booted, including suspensions.
fn read_boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Wall clock time in microseconds since 1970; 0 if the clock is set before 1970.
pub fn wall_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, duration_to_micros)
}
