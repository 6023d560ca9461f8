//! When a quorum last confirmed the applied state.

use std::collections::VecDeque;
use std::time::Duration;

use super::{ELECTION_TIMEOUT, VoterMachine};
use crate::prelude::*;

/// Time without an event after which the process was stopped. Ticks come every 20 ms.
const PAUSE_MIN: Duration = Duration::from_millis(250);
/// Running time after a pause in which messages may still arrive that waited in sockets meanwhile.
const PAUSE_SETTLE: Duration = Duration::from_millis(200);

/// Confirmations of the applied state. The state only grows, so a confirmation stays valid across
/// changes of the term and the role.
#[derive(Clone, Debug)]
pub(super) struct QuorumContact {
    /// Time of the last confirmation.
    confirmed: Option<MonotonicTime>,
    /// Time of the last event.
    last_step: MonotonicTime,
    /// Starts of recent pauses, oldest first, and the running time since the end of each.
    pauses: VecDeque<(MonotonicTime, Duration)>,
}

impl QuorumContact {
    pub(super) fn open(now: MonotonicTime) -> Self {
        Self {
            confirmed: None,
            last_step: now,
            pauses: VecDeque::new(),
        }
    }

    /// Records that an event is handled, and whether the process was stopped before.
    pub(super) fn record_step(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.last_step);
        if elapsed >= PAUSE_MIN {
            self.pauses.push_back((self.last_step, Duration::ZERO));
        } else {
            for (_, running) in &mut self.pauses {
                *running += elapsed;
            }
            self.pauses.retain(|(_, running)| *running < PAUSE_SETTLE);
        }
        self.last_step = now;
    }

    /// Records that a leader's message arrives at `now`, the one before it at `last`. After a gap it may
    /// have been sent before a partition, so the gap counts as a pause.
    pub(super) fn record_leader_message(
        &mut self,
        now: MonotonicTime,
        last: Option<MonotonicTime>,
    ) {
        if let Some(last) = last
            && now.since(last) >= ELECTION_TIMEOUT
            && self.pauses.front().is_none_or(|(start, _)| last < *start)
        {
            self.pauses.push_front((last, Duration::ZERO));
        }
    }

    /// Returns the earliest time at which a message that arrives at `now` may have been sent.
    fn sent_after(&self, now: MonotonicTime) -> MonotonicTime {
        self.pauses.front().map_or(now, |(start, _)| *start)
    }

    /// Records that a quorum confirmed the applied state at `at`.
    pub(super) fn record_confirmed(&mut self, at: Option<MonotonicTime>) {
        self.confirmed = self.confirmed.max(at);
    }
}

impl VoterMachine {
    /// Returns the time at which a quorum last confirmed that the state of this voter is the newest:
    /// for a leader, the start of a round that a quorum answered; for a follower, the arrival of a
    /// message that shows that it has applied everything that the leader has committed, or the start
    /// of a pause if the message may have been sent before.
    pub fn last_quorum_contact(&self) -> Option<MonotonicTime> {
        self.contact.confirmed.max(self.confirmed_at())
    }

    /// Records an accepted append of a leader that has committed the entries up to `leader_commit`.
    /// Until a leader commits an entry of its own term, it may not know what earlier leaders have
    /// committed.
    pub(super) fn confirm_applied(&mut self, now: MonotonicTime, leader_commit: u64) {
        let is_complete = self.commit >= leader_commit;
        let is_current = self.log.term_at(self.commit) == Some(self.hard.term);
        if is_complete && is_current {
            self.contact
                .record_confirmed(Some(self.contact.sent_after(now)));
        }
    }
}
