//! The slots of one backend server, occupied as long as it may work on a sub-request.

use std::time::Duration;

use crate::keeper::ticket::{RunEnd, SubTicket};
use crate::prelude::*;
use crate::vocabulary::freshness::DRIFT_PPM;

/// Allowance for the way of a sub-request to the backend server, from the moment at which its
/// time left was worked out until the server read it. Covers one retransmission of TCP (200 ms),
/// the longest way between regions and some scheduling delay at either end.
pub const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(250);

/// A new incarnation is heard of this long after a crash at most.
pub const GIVEN_UP_SPAN: Duration = Duration::from_secs(5);

/// Sub-requests given up that are remembered for one backend server.
pub const GIVEN_UP_MAX: usize = 16;

/// State of a cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CancelState {
    /// Not wanted.
    Idle,
    /// Wanted as soon as a connection is free.
    Wanted,
    /// Under way, on a connection of its own.
    Sent,
    /// Replied to, without certainty that the work has stopped.
    Unsure,
}

/// One occupied slot.
#[derive(Clone, Debug)]
struct SlotRow {
    ticket: SubTicket,
    sent: MonotonicTime,
    frees: MonotonicTime,
    cancel: CancelState,
    /// The shell still holds a connection for it.
    connected: bool,
    /// Nothing else may run beside it.
    alone: bool,
    /// A crash was already laid to it.
    blamed: bool,
}

/// What is known of a slot when its dispatch ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedSlot {
    /// The sub-request.
    pub ticket: SubTicket,
    /// When it was sent.
    pub sent: MonotonicTime,
    /// Whether it ran with nothing beside it.
    pub alone: bool,
    /// Whether a crash was already laid to it.
    pub blamed: bool,
}

/// A run that a crash may be laid to.
#[derive(Clone, Copy, Debug)]
struct SuspectRun {
    digest: RequestDigest,
    alone: bool,
}

impl SuspectRun {
    fn new(ticket: &SubTicket, alone: bool) -> Self {
        Self {
            digest: ticket.digest,
            alone,
        }
    }
}

/// What a crash is laid to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlamedRuns {
    /// The requests.
    pub digests: Vec<RequestDigest>,
    /// Whether they were suspect before and ran alone.
    pub alone: bool,
}

/// A sub-request whose slot was freed by time alone.
#[derive(Clone, Copy, Debug)]
struct GivenUpRow {
    run: SuspectRun,
    until: MonotonicTime,
}

/// All occupied slots of one backend server.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    rows: Vec<SlotRow>,
    given_up: Vec<GivenUpRow>,
}

impl SlotTable {
    /// Slots that are occupied.
    pub fn occupied(&self) -> u32 {
        u32::try_from(self.rows.len()).unwrap_or(u32::MAX)
    }

    /// Connections in use, by sub-requests and by cancels.
    pub fn connections(&self) -> u32 {
        let used = self
            .rows
            .iter()
            .map(|row| u32::from(row.connected) + u32::from(row.cancel == CancelState::Sent));
        used.sum()
    }

    /// Whether something runs that nothing may run beside.
    pub fn runs_alone(&self) -> bool {
        self.rows.iter().any(|row| row.alone)
    }

    /// Whether `attempt` runs alone, since its request was suspect when it was sent.
    pub fn ran_alone(&self, attempt: AttemptId) -> bool {
        let mut rows = self.rows.iter();
        rows.any(|row| row.alone && row.ticket.attempt == attempt)
    }

    /// Whether no sub-request has a connection.
    pub fn is_cut_off(&self) -> bool {
        !self.rows.iter().any(|row| row.connected)
    }

    /// Whether `attempt` occupies a slot.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.rows.iter().any(|row| row.ticket.attempt == attempt)
    }

    /// Occupies a slot.
    ///
    /// # Panics
    ///
    /// Panics if the attempt was sent before, or is to run alone and does not: that is a fault of
    /// this program.
    pub fn occupy(&mut self, now: MonotonicTime, ticket: SubTicket, alone: bool) {
        assert!(!self.contains(ticket.attempt), "an attempt was sent twice");
        assert!(
            !alone || self.rows.is_empty(),
            "a suspect runs beside others"
        );
        self.rows.push(SlotRow {
            ticket,
            sent: now,
            frees: end_at_server(now, now, ticket.expires),
            cancel: CancelState::Idle,
            connected: true,
            alone,
            blamed: false,
        });
    }

    /// Takes in that the last byte of a sub-request was written at `now`: what had passed since
    /// its time left was worked out comes on top of the allowance.
    pub fn mark_written(&mut self, now: MonotonicTime, attempt: AttemptId) {
        if let Some(row) = self.find_mut(attempt) {
            row.frees = row
                .frees
                .max(end_at_server(row.sent, now, row.ticket.expires));
        }
    }

    /// Takes in how a dispatch ended. Frees the slot only if the backend server certainly stopped.
    pub fn end(&mut self, attempt: AttemptId, end: RunEnd) -> Option<EndedSlot> {
        let index = self
            .rows
            .iter()
            .position(|row| row.ticket.attempt == attempt)?;
        let row = &mut self.rows[index];
        if !row.connected {
            return None;
        }
        row.connected = false;
        let ended = EndedSlot {
            ticket: row.ticket,
            sent: row.sent,
            alone: row.alone,
            blamed: row.blamed,
        };
        if end.frees_slot() {
            self.rows.swap_remove(index);
        } else if row.cancel == CancelState::Idle {
            row.cancel = CancelState::Wanted;
        }
        Some(ended)
    }

    /// Wants `attempt` cancelled. Returns whether it occupies a slot.
    pub fn want_cancel(&mut self, attempt: AttemptId) -> bool {
        let Some(row) = self.find_mut(attempt) else {
            return false;
        };
        if row.cancel == CancelState::Idle {
            row.cancel = CancelState::Wanted;
        }
        true
    }

    /// Wants every cancel again that was not confirmed, since a new process answers there.
    pub fn renew_cancels(&mut self) {
        for row in &mut self.rows {
            if row.cancel == CancelState::Unsure {
                row.cancel = CancelState::Wanted;
            }
        }
    }

    /// Begins one wanted cancel, if a connection is free for it.
    pub fn start_cancel(&mut self, connections: u32) -> Option<AttemptId> {
        if self.connections() >= connections {
            return None;
        }
        let row = self
            .rows
            .iter_mut()
            .find(|row| row.cancel == CancelState::Wanted)?;
        row.cancel = CancelState::Sent;
        Some(row.ticket.attempt)
    }

    /// Takes in the reply to a cancel; frees the slot if the work has certainly stopped.
    pub fn end_cancel(&mut self, attempt: AttemptId, stopped: bool) {
        if stopped {
            self.rows.retain(|row| row.ticket.attempt != attempt);
        } else if let Some(row) = self.find_mut(attempt) {
            row.cancel = CancelState::Unsure;
        }
    }

    /// Frees the slots whose expiry has certainly passed at the backend server.
    pub fn free_expired(&mut self, now: MonotonicTime) {
        if self.rows.iter().any(|row| now >= row.frees) {
            self.remember(now);
            self.rows.retain(|row| now < row.frees);
        }
    }

    /// When the next slot is freed by time alone.
    pub fn next_free(&self) -> Option<MonotonicTime> {
        self.rows.iter().map(|row| row.frees).min()
    }

    /// Lays a crash to all that may have run and to `ended`, unless done before. Where `ended`
    /// is unset, after a restart, also to what was given up a short while ago: its connection was closed
    /// already, so the crash cut none. What ran alone is blamed alone.
    pub fn blame_all(&mut self, now: MonotonicTime, ended: Option<EndedSlot>) -> BlamedRuns {
        let mut suspects: Vec<SuspectRun> = Vec::new();
        for row in self.rows.iter_mut().filter(|row| !row.blamed) {
            row.blamed = true;
            suspects.push(SuspectRun::new(&row.ticket, row.alone));
        }
        let ended_run = ended.filter(|slot| !slot.blamed);
        suspects.extend(ended_run.map(|slot| SuspectRun::new(&slot.ticket, slot.alone)));
        if ended.is_none() {
            let given_up = self.given_up.drain(..).filter(|row| now < row.until);
            suspects.extend(given_up.map(|row| row.run));
        }
        let alone = suspects.iter().any(|run| run.alone);
        suspects.retain(|run| run.alone || !alone);
        let mut digests: Vec<_> = suspects.iter().map(|run| run.digest).collect();
        digests.sort_unstable();
        digests.dedup();
        BlamedRuns { digests, alone }
    }

    fn remember(&mut self, now: MonotonicTime) {
        let freed = self
            .rows
            .iter()
            .filter(|row| now >= row.frees && !row.blamed);
        let rows = freed.map(|row| GivenUpRow {
            run: SuspectRun::new(&row.ticket, row.alone),
            until: row.frees + GIVEN_UP_SPAN,
        });
        self.given_up.extend(rows);
        self.given_up.retain(|row| now < row.until);
        let surplus = self.given_up.len().saturating_sub(GIVEN_UP_MAX);
        self.given_up.drain(..surplus);
    }

    fn find_mut(&mut self, attempt: AttemptId) -> Option<&mut SlotRow> {
        self.rows
            .iter_mut()
            .find(|row| row.ticket.attempt == attempt)
    }
}

/// When a backend server has certainly stopped work that expires at `expires` here, if its time
/// left was worked out at `told` or later and written at `written`.
fn end_at_server(
    told: MonotonicTime,
    written: MonotonicTime,
    expires: MonotonicTime,
) -> MonotonicTime {
    let left = expires.since(told);
    expires + written.since(told) + TRANSIT_ALLOWANCE + left * DRIFT_PPM * 2 / 1_000_000
}
