//! When a quorum last confirmed the applied state.

use std::time::Duration;

use super::VoterMachine;
use crate::prelude::*;

/// Time without an event after which the process was stopped. Ticks come every 20 ms.
const PAUSE_MIN: Duration = Duration::from_millis(250);
/// Time after a pause in which messages may still arrive that waited in sockets meanwhile.
const PAUSE_SETTLE: Duration = Duration::from_millis(200);

/// Confirmations of the applied state. The state only grows, so a confirmation stays valid across
/// changes of the term and the role.
#[derive(Clone, Debug)]
pub(super) struct QuorumContact {
    /// Time of the last confirmation.
    confirmed: Option<MonotonicTime>,
    /// Time of the last event.
    last_step: MonotonicTime,
    /// End of the time after a pause in which messages confirm nothing.
    settled_at: MonotonicTime,
}

impl QuorumContact {
    pub(super) fn open(now: MonotonicTime) -> Self {
        Self {
            confirmed: None,
            last_step: now,
            settled_at: now,
        }
    }

    /// Records that an event is handled, and whether the process was stopped before.
    pub(super) fn record_step(&mut self, now: MonotonicTime) {
        if now.since(self.last_step) >= PAUSE_MIN {
            self.settled_at = now + PAUSE_SETTLE;
        }
        self.last_step = now;
    }

    /// Records that a quorum confirmed the applied state at `at`.
    pub(super) fn record_confirmed(&mut self, at: Option<MonotonicTime>) {
        self.confirmed = self.confirmed.max(at);
    }
}

impl VoterMachine {
    /// Returns the time at which a quorum last confirmed that the state of this voter is the newest:
    /// for a leader, the start of a round that a quorum answered; for a follower, the arrival of a
    /// message that shows that it has applied everything that the leader has committed.
    pub fn last_quorum_contact(&self) -> Option<MonotonicTime> {
        self.contact.confirmed.max(self.confirmed_at())
    }

    /// Records an accepted append of a leader that has committed the entries up to `leader_commit`.
    /// Until a leader commits an entry of its own term, it may not know what earlier leaders have
    /// committed.
    pub(super) fn confirm_applied(&mut self, now: MonotonicTime, leader_commit: u64) {
        let is_complete = self.commit >= leader_commit;
        let is_current = self.log.term_at(self.commit) == Some(self.hard.term);
        if is_complete && is_current && now >= self.contact.settled_at {
            self.contact.record_confirmed(Some(now));
        }
    }
}
