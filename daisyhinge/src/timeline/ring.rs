//! The bounded ring of events that one process keeps.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::timeline::clock::HybridClock;
use crate::timeline::filter::EventFilter;
use crate::vocabulary::event::{EventDraft, EventRecord, HybridTimestamp};

/// Events of one process that passed a filter, in stamp order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventPage {
    /// VM of the process.
    pub vm: VmName,
    /// The events; the newest ones if there were more than asked for.
    pub events: Vec<EventRecord>,
    /// Whether older events that passed the filter were left out.
    pub truncated: bool,
    /// Events that the ring has overwritten since the process started.
    pub dropped: u64,
}

/// The newest events of one process.
#[derive(Clone, Debug)]
pub struct EventRing {
    vm: VmName,
    clock: HybridClock,
    events_max: usize,
    events: VecDeque<EventRecord>,
    dropped: u64,
}

impl EventRing {
    /// An empty ring for `events_max` events, at least one.
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

    /// Stamps and keeps an event; the oldest one gives way if the ring is full. `wall_us` is the
    /// wall clock in microseconds since 1970.
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

    /// Makes later events sort behind `stamp`, which came from another process.
    pub fn observe(&mut self, stamp: HybridTimestamp, wall_us: u64) -> bool {
        self.clock.observe(stamp, wall_us)
    }

    /// The newest events that pass `filter`, at most `filter.limit`.
    pub fn select(&self, filter: &EventFilter) -> EventPage {
        let limit = usize::try_from(filter.limit).unwrap_or(usize::MAX);
        let mut passed = self
            .events
            .iter()
            .rev()
            .filter(|record| filter.passes(record));
        let mut events: Vec<_> = passed.by_ref().take(limit).cloned().collect();
        let truncated = passed.next().is_some();
        events.reverse();
        EventPage {
            vm: self.vm.clone(),
            events,
            truncated,
            dropped: self.dropped,
        }
    }
}
