//! The process's event log: stamps, keeps and logs events.
//!
//! Its one lock guards the ring and is held neither across an await nor while a line is written.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use spdlog::{Level, Logger, log};

use crate::prelude::*;
use crate::timeline::{EventFilter, EventLine, EventPage, EventRing};
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::event::{EventDraft, EventKind, HybridTimestamp};

/// Handle on the process's events; clones share them.
#[derive(Clone, Debug)]
pub struct EventLog {
    shared: Arc<EventTable>,
}

#[derive(Debug)]
struct EventTable {
    ring: Mutex<EventRing>,
    logger: Arc<Logger>,
}

impl EventLog {
    /// Opens an empty log for `events_max` events, which writes its lines to the default logger
    /// of this moment; see [`open_log`](crate::shell::log::open_log).
    pub fn open(vm: VmName, events_max: u32) -> Self {
        Self {
            shared: Arc::new(EventTable {
                ring: Mutex::new(EventRing::new(vm, events_max)),
                logger: spdlog::default_logger(),
            }),
        }
    }

    /// Stamps, keeps and logs an event; returns its stamp.
    pub fn record(&self, draft: EventDraft) -> HybridTimestamp {
        let level = find_level(draft.kind);
        let record = self.shared.ring.lock().record(draft, read_wall_us());
        if self.shared.logger.should_log(level) {
            log!(logger: self.shared.logger, level, "{}", EventLine(&record));
        }
        record.stamp
    }

    /// Makes later events sort behind `stamp`, which came from another process.
    pub fn observe(&self, stamp: HybridTimestamp) -> bool {
        self.shared.ring.lock().observe(stamp, read_wall_us())
    }

    /// The events that pass `filter`.
    pub fn select(&self, filter: &EventFilter) -> EventPage {
        self.shared.ring.lock().select(filter)
    }
}

/// The wall clock, in microseconds since 1970; zero before.
pub fn read_wall_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, duration_to_micros)
}

/// Level at which an event is logged: those that come with every request are for debugging.
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
