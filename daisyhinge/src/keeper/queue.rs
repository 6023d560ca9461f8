//! Sub-requests that wait for a slot, no more than can still make their deadline.

use std::collections::VecDeque;
use std::time::Duration;

use crate::keeper::ticket::SubTicket;
use crate::prelude::*;

/// Waiting sub-requests for each one that may run, at most.
pub const QUEUE_PER_SLOT: u32 = 8;

/// A waiting sub-request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueRow {
    /// The sub-request.
    pub ticket: SubTicket,
    /// Whether nothing may run beside it.
    pub alone: bool,
}

/// The queue of one replica, first come first served. Hedges never wait.
#[derive(Clone, Debug, Default)]
pub struct TicketQueue {
    rows: VecDeque<QueueRow>,
}

impl TicketQueue {
    /// Sub-requests that wait.
    pub fn len(&self) -> u32 {
        u32::try_from(self.rows.len()).unwrap_or(u32::MAX)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether `attempt` waits.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.rows.iter().any(|row| row.ticket.attempt == attempt)
    }

    /// How long one more sub-request would wait, if `limit` run at a time and each takes `service`.
    pub fn wait_span(&self, limit: u32, service: Duration) -> Duration {
        service.saturating_mul(self.len() + 1) / limit.max(1)
    }

    /// Whether one more sub-request can wait and still be answered in time.
    pub fn has_room(
        &self,
        now: MonotonicTime,
        expires: MonotonicTime,
        limit: u32,
        service: Duration,
    ) -> bool {
        self.len() < limit.saturating_mul(QUEUE_PER_SLOT)
            && now + self.wait_span(limit, service) + service <= expires
    }

    /// Adds a sub-request at the end.
    ///
    /// # Panics
    ///
    /// Panics if it is a hedge: that is a fault of this program.
    pub fn push(&mut self, row: QueueRow) {
        assert!(!row.ticket.hedge, "a hedge waits in a queue");
        self.rows.push_back(row);
    }

    /// The sub-request that is next.
    pub fn front(&self) -> Option<&QueueRow> {
        self.rows.front()
    }

    /// Takes the sub-request that is next.
    pub fn pop(&mut self) -> Option<QueueRow> {
        self.rows.pop_front()
    }

    /// Takes `attempt` out.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueueRow> {
        let index = self
            .rows
            .iter()
            .position(|row| row.ticket.attempt == attempt)?;
        self.rows.remove(index)
    }

    /// Takes out one sub-request whose expiry has passed.
    pub fn pop_expired(&mut self, now: MonotonicTime) -> Option<QueueRow> {
        let index = self.rows.iter().position(|row| now >= row.ticket.expires)?;
        self.rows.remove(index)
    }

    /// When the next one expires.
    pub fn next_expiry(&self) -> Option<MonotonicTime> {
        self.rows.iter().map(|row| row.ticket.expires).min()
    }
}
