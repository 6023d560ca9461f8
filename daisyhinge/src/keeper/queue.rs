//! Queue of sub-requests that wait for a slot, limited to those that can still meet their deadline.

use std::collections::VecDeque;
use std::time::Duration;

use crate::keeper::sub_request::SubRequestInfo;
use crate::prelude::*;

/// Maximum number of queued sub-requests per sub-request that may run.
pub const QUEUE_PER_SLOT: u32 = 8;

/// A sub-request that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedSubRequest {
    /// Sub-request to dispatch once a slot is free.
    pub info: SubRequestInfo,
    /// Whether the sub-request must run in isolation.
    pub isolated: bool,
}

/// First-in, first-out queue of one replica. Hedges are never queued.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    waiting: VecDeque<QueuedSubRequest>,
}

impl AdmissionQueue {
    /// Returns the number of queued sub-requests.
    pub fn len(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether `attempt` is queued.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.waiting
            .iter()
            .any(|queued| queued.info.attempt == attempt)
    }

    /// Returns the estimated wait of one more sub-request if `limit` run at a time and each takes
    /// `service_time`.
    pub fn wait_estimate(&self, limit: u32, service_time: Duration) -> Duration {
        service_time.saturating_mul(self.len() + 1) / limit.max(1)
    }

    /// Returns whether one more sub-request can be queued and still be answered before it expires.
    pub fn has_room(
        &self,
        now: MonotonicTime,
        expires: MonotonicTime,
        limit: u32,
        service_time: Duration,
    ) -> bool {
        self.len() < limit.saturating_mul(QUEUE_PER_SLOT)
            && now + self.wait_estimate(limit, service_time) + service_time <= expires
    }

    /// Appends a sub-request.
    ///
    /// # Panics
    ///
    /// Panics on a hedge, which is a bug in this program.
    pub fn push(&mut self, queued: QueuedSubRequest) {
        assert!(!queued.info.hedge, "hedges must not be queued");
        self.waiting.push_back(queued);
    }

    /// Returns the next sub-request.
    pub fn front(&self) -> Option<&QueuedSubRequest> {
        self.waiting.front()
    }

    /// Removes and returns the next sub-request.
    pub fn pop(&mut self) -> Option<QueuedSubRequest> {
        self.waiting.pop_front()
    }

    /// Removes and returns `attempt`.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedSubRequest> {
        let index = self
            .waiting
            .iter()
            .position(|queued| queued.info.attempt == attempt)?;
        self.waiting.remove(index)
    }

    /// Removes and returns one expired sub-request.
    pub fn pop_expired(&mut self, now: MonotonicTime) -> Option<QueuedSubRequest> {
        let index = self
            .waiting
            .iter()
            .position(|queued| now >= queued.info.expires)?;
        self.waiting.remove(index)
    }

    /// Returns the earliest expiry in the queue.
    pub fn next_expiry(&self) -> Option<MonotonicTime> {
        self.waiting.iter().map(|queued| queued.info.expires).min()
    }
}
