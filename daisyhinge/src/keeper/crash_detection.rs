//! Crash detection: distinguishes a crash of a backend server from the mere loss of a connection.

use std::time::Duration;

use crate::prelude::*;

/// Time after a reset from which announcements of the same incarnation show that the server did not
/// crash.
pub const ALIVE_PERIOD: Duration = Duration::from_secs(3);

/// Announcements needed as proof, because one may have been in transit since before the reset.
pub const ALIVE_ANNOUNCEMENTS: u32 = 4;

/// Time after which an unexplained reset counts as a crash.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(10);

/// Update of the crash records by one replica's keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashUpdate {
    /// A connection was lost while these requests ran. Counts as a crash at once, until it is
    /// withdrawn.
    Suspected {
        /// Digests of the requests that ran on the server.
        digests: Vec<RequestDigest>,
        /// Whether the run was a probe: a request that was a suspect before and ran in isolation.
        probe: bool,
    },
    /// The backend server appears to be alive; the last suspected crash is withdrawn.
    Withdrawn,
    /// The crash of the backend server is confirmed.
    Confirmed,
    /// A request was answered that had run in isolation or had a crash attributed to it.
    Answered(RequestDigest),
}

/// A suspected crash that is not confirmed yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingCrash {
    since: MonotonicTime,
    suspects: Vec<RequestDigest>,
    probe: bool,
    announcements: u32,
    refuted: bool,
}

impl PendingCrash {
    /// Creates a pending crash after a connection was lost while `suspects` ran.
    pub fn new(now: MonotonicTime, suspects: Vec<RequestDigest>, probe: bool) -> Self {
        Self {
            since: now,
            suspects,
            probe,
            announcements: 0,
            refuted: false,
        }
    }

    /// Records an announcement of the same incarnation at `now`.
    pub fn mark_alive(&mut self, now: MonotonicTime) -> Option<CrashUpdate> {
        self.announcements += 1;
        let alive =
            self.announcements >= ALIVE_ANNOUNCEMENTS && now.since(self.since) >= ALIVE_PERIOD;
        if !alive || self.refuted {
            return None;
        }
        self.refuted = true;
        Some(CrashUpdate::Withdrawn)
    }

    /// Confirms the crash. If it was withdrawn, it is reported again.
    pub fn confirm(self) -> Vec<CrashUpdate> {
        let renewed = self.refuted.then_some(CrashUpdate::Suspected {
            digests: self.suspects,
            probe: self.probe,
        });
        renewed
            .into_iter()
            .chain([CrashUpdate::Confirmed])
            .collect()
    }

    /// Returns the requests to which the crash is attributed.
    pub fn suspects(&self) -> &[RequestDigest] {
        &self.suspects
    }

    /// Returns whether announcements indicate that there was no crash.
    pub fn is_refuted(&self) -> bool {
        self.refuted
    }

    /// Returns the time at which the crash counts as confirmed unless it was refuted.
    pub fn confirm_at(&self) -> MonotonicTime {
        self.since + CONFIRM_TIMEOUT
    }
}
