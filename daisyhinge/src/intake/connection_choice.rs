//! Chooses the connection that is cut off when there is no room for another client.
//!
//! A connection waits for its client while no request runs on it, while the body of a request
//! arrives, and while the client does not read an answer. The one that has waited longest gives way:
//! an ordinary client sends what it has begun and reads its answer at once. A connection whose
//! request runs is never cut off.

use std::time::Duration;

use crate::prelude::*;

/// Time without movement after which a connection gives way to another client's need of memory. New
/// bodies that arrive at the same time must not cut one another off.
const STALL_MIN: Duration = Duration::from_millis(250);

/// What there is no room for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoomNeed {
    /// Another connection.
    Connection,
    /// Memory for a body or an answer.
    Memory,
}

/// What a connection does, as far as it matters for the choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionActivity {
    /// Whether the connection waits for its client.
    pub waits: bool,
    /// When the client last sent or read something that counts.
    pub moved_at: MonotonicTime,
    /// Memory of bodies and answers that would be released, in bytes.
    pub held_bytes: usize,
}

impl ConnectionActivity {
    fn may_give_way(&self, now: MonotonicTime, need: RoomNeed) -> bool {
        self.waits
            && match need {
                RoomNeed::Connection => true,
                RoomNeed::Memory => self.held_bytes > 0 && now.since(self.moved_at) >= STALL_MIN,
            }
    }
}

/// Returns the connection that gives way, or `None` if the new client has to.
pub fn find_longest_waiting<T>(
    now: MonotonicTime,
    need: RoomNeed,
    connections: impl Iterator<Item = (T, ConnectionActivity)>,
) -> Option<T> {
    connections
        .filter(|(_, activity)| activity.may_give_way(now, need))
        .min_by_key(|(_, activity)| activity.moved_at)
        .map(|(connection, _)| connection)
}
