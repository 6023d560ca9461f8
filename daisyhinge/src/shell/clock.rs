//! The process's clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::prelude::*;
use crate::vocabulary::clock::duration_to_micros;

/// Reads the monotonic clock as decision modules want it. Time in which the VM is suspended
/// counts, so that leases and ages do not outlast it.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Duration,
}

/// Readings begin here, so that "long ago" can be expressed right after the start.
const START_OFFSET: Duration = Duration::from_hours(1);

impl ProcessClock {
    /// Starts at the current moment.
    pub fn open() -> Self {
        Self {
            start: read_boot_time(),
        }
    }

    /// The current reading.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(duration_to_micros(
            START_OFFSET + read_boot_time().saturating_sub(self.start),
        ))
    }

    /// The moment of a reading, for timers; a reading in the past is the current moment.
    pub fn instant(&self, time: MonotonicTime) -> Instant {
        Instant::now() + time.since(self.now())
    }
}

/// Time since the VM was booted, suspensions included.
fn read_boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Microseconds since 1970.
pub fn wall_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, duration_to_micros)
}
