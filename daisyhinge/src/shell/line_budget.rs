//! Limits on the log lines of a process, by class. No class can use up the limit of another.

use std::time::{Duration, Instant};

/// Interval to which the limits apply.
const BUDGET_INTERVAL: Duration = Duration::from_secs(1);

/// Class of a log line, each with a limit of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineClass {
    /// A request that was answered in time, completely and without a repeat.
    Ordinary,
    /// A request that was refused, late, partial or failed.
    Request,
    /// A change in what the process knows of replicas, links and crashes.
    State,
}

impl LineClass {
    /// Maximum number of lines per interval.
    const fn limit(self) -> u32 {
        match self {
            Self::Ordinary => 2,
            Self::Request | Self::State => 60,
        }
    }
}

/// Lines that were not written in one interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DroppedLines {
    /// Lines of ordinary requests.
    pub ordinary: u64,
    /// Lines of other requests.
    pub requests: u64,
    /// Lines about replicas, links and crashes.
    pub state: u64,
    /// Lines of any class that did not fit the queue.
    pub queued: u64,
}

impl DroppedLines {
    /// Returns the number of lines that were not about ordinary requests.
    pub fn notable(&self) -> u64 {
        self.requests + self.state + self.queued
    }

    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Lines written and dropped in the current interval.
#[derive(Clone, Copy, Debug)]
pub struct LineBudget {
    since: Instant,
    ordinary: u32,
    requests: u32,
    state: u32,
    dropped: DroppedLines,
}

impl LineBudget {
    /// Creates a budget whose first interval starts at `now`.
    pub fn open(now: Instant) -> Self {
        Self {
            since: now,
            ordinary: 0,
            requests: 0,
            state: 0,
            dropped: DroppedLines::default(),
        }
    }

    /// Starts a new interval if the current one is over. Returns what was dropped in it, if any.
    pub fn roll(&mut self, now: Instant) -> Option<DroppedLines> {
        if now.saturating_duration_since(self.since) < BUDGET_INTERVAL {
            return None;
        }
        let dropped = self.dropped;
        *self = Self::open(now);
        (!dropped.is_empty()).then_some(dropped)
    }

    /// Takes one line of a class; `false` if its limit is reached.
    pub fn take(&mut self, class: LineClass) -> bool {
        let (used, dropped) = match class {
            LineClass::Ordinary => (&mut self.ordinary, &mut self.dropped.ordinary),
            LineClass::Request => (&mut self.requests, &mut self.dropped.requests),
            LineClass::State => (&mut self.state, &mut self.dropped.state),
        };
        let fits = *used < class.limit();
        *used += u32::from(fits);
        *dropped += u64::from(!fits);
        fits
    }

    /// Counts a line that did not fit the queue.
    pub fn count_queued(&mut self) {
        self.dropped.queued += 1;
    }
}
