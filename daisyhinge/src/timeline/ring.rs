//! The bounded ring buffer with the events of one process.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::timeline::clock::HybridClock;
use crate::timeline::filter::EventFilter;
use crate::vocabulary::event::{EventDraft, EventRecord, HybridTimestamp};

/// Events of one process that match a filter, in timestamp order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventPage {
    /// VM of the process that recorded the events.
    pub vm: VmName,
    /// Matching events; the newest ones if there were more than the limit.
    pub events: Vec<EventRecord>,
    /// Whether older matching events were left out because of the limit.
    pub truncated: bool,
    /// Number of events overwritten in the ring buffer since the process started.
    pub dropped: u64,
}

/// Ring buffer with the newest events of one process, and the clock that timestamps them.
#[derive(Clone, Debug)]
pub struct EventRing {
    vm: VmName,
    clock: HybridClock,
    events_max: usize,
    events: VecDeque<EventRecord>,
    dropped: u64,
}

impl EventRing {
    /// Creates an empty ring buffer with a capacity of `events_max`, but at least one.
    pub fn new(vm: VmName, events_max: u32) -> Self {
        let events_max = usize::try_from(events_max).unwrap_or(usize::MAX).max(1);
        Self {
            vm,
            clock: HybridClock::default(),
            events_max,
            events: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Timestamps and stores an event, overwriting the oldest event if the buffer is full. `wall_us`
    /// is the wall clock in microseconds since the Unix epoch.
    pub fn record(&mut self, draft: EventDraft, wall_us: u64) -> EventRecord {
        let record = EventRecord {
            stamp: self.clock.next(wall_us),
            vm: self.vm.clone(),
            event: draft,
        };
        if self.events.len() == self.events_max {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(record.clone());
        debug_assert!(self.events.len() <= self.events_max);
        record
    }

    /// Makes later events sort after `timestamp`, received from another process. Returns
    /// whether `timestamp` was accepted.
    pub fn observe(&mut self, timestamp: HybridTimestamp, wall_us: u64) -> bool {
        self.clock.observe(timestamp, wall_us)
    }

    /// Returns the newest events that match `filter`, at most `filter.limit`.
    pub fn select(&self, filter: &EventFilter) -> EventPage {
        let limit = usize::try_from(filter.limit).unwrap_or(usize::MAX);
        let mut matching = self
            .events
            .iter()
            .rev()
            .filter(|record| filter.matches(record));
        let mut events: Vec<_> = matching.by_ref().take(limit).cloned().collect();
        let truncated = matching.next().is_some();
        events.reverse();
        EventPage {
            vm: self.vm.clone(),
            events,
            truncated,
            dropped: self.dropped,
        }
    }
}
