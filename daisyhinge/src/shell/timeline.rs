//! Event log of the process: timestamps, stores and logs events.
//!
//! Its only lock protects the ring buffer and is held neither across an await nor while a line is
//! written.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use spdlog::{Level, Logger, log};

use crate::prelude::*;
use crate::timeline::{EventFilter, EventLine, EventPage, EventRing};
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::event::{EventDraft, EventKind, HybridTimestamp};

/// Handle to the events of the process; clones share them.
#[derive(Clone, Debug)]
pub struct EventLog {
    shared: Arc<EventLogInner>,
}

#[derive(Debug)]
struct EventLogInner {
    ring: Mutex<EventRing>,
    logger: Arc<Logger>,
}

impl EventLog {
    /// Opens an empty log for up to `events_max` events. Lines are written to the logger that is
    /// the default one now; see [`open_log`](crate::shell::log::open_log).
    pub fn open(vm: VmName, events_max: u32) -> Self {
        Self {
            shared: Arc::new(EventLogInner {
                ring: Mutex::new(EventRing::new(vm, events_max)),
                logger: spdlog::default_logger(),
            }),
        }
    }

    /// Timestamps, stores and logs an event; returns its timestamp.
    pub fn record(&self, draft: EventDraft) -> HybridTimestamp {
        let level = find_level(draft.kind);
        let record = self.shared.ring.lock().record(draft, read_wall_us());
        if self.shared.logger.should_log(level) {
            log!(logger: self.shared.logger, level, "{}", EventLine(&record));
        }
        record.stamp
    }

    /// Advances the clock so that later events sort after `timestamp`, received from another
    /// process. Returns `false` for a timestamp that is too far ahead, which is ignored.
    pub fn observe(&self, timestamp: HybridTimestamp) -> bool {
        self.shared.ring.lock().observe(timestamp, read_wall_us())
    }

    /// Stored events that match `filter`.
    pub fn select(&self, filter: &EventFilter) -> EventPage {
        self.shared.ring.lock().select(filter)
    }
}

/// Wall clock time in microseconds since 1970; 0 if the clock is set before 1970.
pub fn read_wall_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, duration_to_micros)
}

/// Level at which an event is logged; events that occur for every request have level `debug`.
fn find_level(kind: EventKind) -> Level {
    match kind {
        EventKind::RequestArrived
        | EventKind::RequestAnswered
        | EventKind::RequestRefused
        | EventKind::SnapshotPinned
        | EventKind::ShardMissing
        | EventKind::SubDispatched
        | EventKind::SubHedged
        | EventKind::SubRetried
        | EventKind::BudgetSpent
        | EventKind::SubCancelled
        | EventKind::SubFailed
        | EventKind::ClaimWon
        | EventKind::ClaimLost
        | EventKind::QueueFull => Level::Debug,
        EventKind::CrashRecorded
        | EventKind::RequestPoisoned
        | EventKind::LeaseLost
        | EventKind::EntryLost
        | EventKind::LeaderLost
        | EventKind::PowerCapped => Level::Warn,
        _ => Level::Info,
    }
}
