//! Tells a crash of a backend server from a connection that was merely lost.

use std::time::Duration;

use crate::prelude::*;

/// Announcements of the same incarnation up to this long after a reset show that it did not crash.
pub const ALIVE_SPAN: Duration = Duration::from_secs(3);

/// So many of them are needed, since single ones may have been under way from before the reset.
pub const ALIVE_ANNOUNCEMENTS: u32 = 4;

/// A reset that is not explained for this long counts as a crash.
pub const UNEXPLAINED_SPAN: Duration = Duration::from_secs(10);

/// What is learned about crashes of one replica's backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashNote {
    /// A connection was lost while these ran. Counts as a crash from now on.
    Suspected {
        /// The requests.
        digests: Vec<RequestDigest>,
        /// Whether the one that ran was a probe: a request that was suspect before.
        probe: bool,
    },
    /// The backend server seems alive: what was suspected last was no crash.
    Withdrawn,
    /// The backend server did crash.
    Confirmed,
    /// A request that was or may have been suspect was answered.
    Answered(RequestDigest),
}

/// A crash that is suspected and not confirmed yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashWatch {
    since: MonotonicTime,
    suspects: Vec<RequestDigest>,
    probe: bool,
    heard: u32,
    refuted: bool,
}

impl CrashWatch {
    /// A watch after a connection was lost while `suspects` ran.
    pub fn new(now: MonotonicTime, suspects: Vec<RequestDigest>, probe: bool) -> Self {
        Self {
            since: now,
            suspects,
            probe,
            heard: 0,
            refuted: false,
        }
    }

    /// Takes in an announcement of the same incarnation at `now`.
    pub fn take_announcement(&mut self, now: MonotonicTime) -> Option<CrashNote> {
        self.heard += 1;
        let alive = self.heard >= ALIVE_ANNOUNCEMENTS && now.since(self.since) >= ALIVE_SPAN;
        if !alive || self.refuted {
            return None;
        }
        self.refuted = true;
        Some(CrashNote::Withdrawn)
    }

    /// Ends the watch, since there was a crash: what was withdrawn counts again.
    pub fn confirm(self) -> Vec<CrashNote> {
        let again = self.refuted.then_some(CrashNote::Suspected {
            digests: self.suspects,
            probe: self.probe,
        });
        again.into_iter().chain([CrashNote::Confirmed]).collect()
    }

    /// What the crash is laid to.
    pub fn suspects(&self) -> &[RequestDigest] {
        &self.suspects
    }

    /// Whether it seems that there was no crash.
    pub fn is_refuted(&self) -> bool {
        self.refuted
    }

    /// When what is known by then counts.
    pub fn ends(&self) -> MonotonicTime {
        self.since + UNEXPLAINED_SPAN
    }
}
