//! Tells a crash of a backend server from a connection that was merely lost.

use std::time::Duration;

use crate::prelude::*;

/// Announcements of the same incarnation this long after a reset show that it did not crash.
pub const ALIVE_SPAN: Duration = Duration::from_secs(1);

/// A reset that is not explained for this long counts as a crash.
pub const UNEXPLAINED_SPAN: Duration = Duration::from_secs(10);

/// What is learned about crashes of one replica's backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashNote {
    /// A connection was lost while these ran. Counts as a crash from now on.
    Suspected(Vec<RequestDigest>),
    /// The backend server is alive: what was suspected last was no crash.
    Withdrawn,
    /// The backend server did crash.
    Confirmed,
    /// A request that was or may have been suspect was answered.
    Answered(RequestDigest),
}

/// A crash that is suspected and neither confirmed nor withdrawn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashWatch {
    since: MonotonicTime,
}

impl CrashWatch {
    /// A watch after a connection was lost.
    pub fn new(now: MonotonicTime) -> Self {
        Self { since: now }
    }

    /// Whether a run that began at `began` and was answered shows that there was no crash.
    pub fn refuted_by_run(&self, began: MonotonicTime) -> bool {
        began > self.since
    }

    /// Whether an announcement of the same incarnation at `now` shows that there was no crash.
    /// A late one from before the reset must not.
    pub fn refuted_by_announcement(&self, now: MonotonicTime) -> bool {
        now.since(self.since) >= ALIVE_SPAN
    }

    /// When it counts as a crash for want of an explanation.
    pub fn ends(&self) -> MonotonicTime {
        self.since + UNEXPLAINED_SPAN
    }
}
