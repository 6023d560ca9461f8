//! Estimate of a rate from counted events.

use std::time::Duration;

use crate::prelude::*;

/// Minimum time over which events are spread.
const ELAPSED_MIN: Duration = Duration::from_millis(1);

/// Added to a rate that is reported as a whole number. The fraction is dropped, and the first requests
/// of a new customer must count in full.
pub(crate) const RECENT_MARGIN: u64 = 2;
/// Minimum time from which a rate is concluded.
const COUNTED_MIN: Duration = Duration::from_millis(200);

/// Events per second, averaged with exponentially decaying weights.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateEstimate {
    per_second: f64,
    /// Time constant of the decay, in seconds.
    decay: f64,
    updated_at: MonotonicTime,
    /// Time from which events are counted, if there may have been others before; they are taken to
    /// have occurred at the same rate.
    counted_from: Option<MonotonicTime>,
}

impl RateEstimate {
    pub(crate) fn open(now: MonotonicTime, decay_time: Duration) -> Self {
        Self {
            per_second: 0.0,
            decay: decay_time.as_secs_f64(),
            updated_at: now,
            counted_from: None,
        }
    }

    /// Creates an estimate of events that may have occurred before `now` too.
    pub(crate) fn open_midway(now: MonotonicTime, decay_time: Duration) -> Self {
        Self {
            counted_from: Some(now),
            ..Self::open(now, decay_time)
        }
    }

    /// Counts one event.
    pub(crate) fn record(&mut self, now: MonotonicTime) {
        self.per_second = self.decayed(now) + 1.0 / self.decay;
        self.updated_at = now;
    }

    /// Counts events that occurred evenly since the last update.
    pub(crate) fn record_spread(&mut self, now: MonotonicTime, events: f64) {
        let elapsed = now.since(self.updated_at).max(ELAPSED_MIN).as_secs_f64();
        let weight = 1.0 - (-elapsed / self.decay).exp();
        self.per_second = self.decayed(now) + events / elapsed * weight;
        self.updated_at = now;
    }

    /// Replaces the estimate.
    pub(crate) fn set(&mut self, now: MonotonicTime, per_second: f64) {
        self.per_second = per_second;
        self.updated_at = now;
        self.counted_from = None;
    }

    /// Returns the estimate at `now`.
    pub(crate) fn per_second(&self, now: MonotonicTime) -> f64 {
        let decayed = self.decayed(now);
        let Some(from) = self.counted_from else {
            return decayed;
        };
        let counted = now.since(from).max(COUNTED_MIN).as_secs_f64();
        decayed / (1.0 - (-counted / self.decay).exp())
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / self.decay).exp()
    }
}

/// Converts a number of events to an integer; the fraction is dropped.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast saturates, and events are not negative"
)]
pub(crate) fn whole_events(events: f64) -> u64 {
    events as u64
}
