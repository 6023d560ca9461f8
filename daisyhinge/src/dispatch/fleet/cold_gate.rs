//! When an entry may send to the cold replicas that are its own.
//!
//! Of all entries that know the same entries, one sends to a cold replica, so its rate holds without
//! coordination. While entries come, leave or are cut off, some know others than the rest do.

use std::time::Duration;

use crate::prelude::*;

/// Time after a request that control has answered during which the entry relies on the entries that
/// it knows. Shorter than the time after which control reports a silent entry as lost.
const CONTACT_MAX: Duration = Duration::from_secs(3);
/// Time after a change during which another entry may still act on the former state.
const SETTLING_TIME: Duration = Duration::from_millis(3_250);

/// Tracks contact with control and changes of the active entries.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ColdGate {
    /// Whether entries have changed since the last contact was recorded.
    changed: bool,
    settled_at: Option<MonotonicTime>,
    contact_until: MonotonicTime,
}

impl ColdGate {
    /// Notes that the active entries have changed, or this entry's place among them.
    pub(super) fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Records that control has answered a request that was sent at `sent_at`.
    pub(super) fn record_contact(&mut self, now: MonotonicTime, sent_at: MonotonicTime) {
        if self.changed {
            self.changed = false;
            self.settled_at = Some(now + SETTLING_TIME);
        }
        self.contact_until = self.contact_until.max(sent_at + CONTACT_MAX);
    }

    /// Whether no other entry considers itself the sender to this entry's cold replicas.
    pub(super) fn is_open(&self, now: MonotonicTime) -> bool {
        let is_settled = self.settled_at.is_some_and(|at| now >= at);
        !self.changed && is_settled && now < self.contact_until
    }
}
