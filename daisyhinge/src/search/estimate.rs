//! Recent latencies of one service, and the quantiles that hedging and lateness are decided by.

use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::clock::span_to_micros;

/// Buckets for each doubling of the latency.
const STEPS_PER_DOUBLING: u32 = 8;

/// Binary logarithm of [`STEPS_PER_DOUBLING`].
const STEP_BITS: u32 = 3;

/// Buckets in all: latencies below 2^32 microseconds.
const BUCKETS: usize = 32 * STEPS_PER_DOUBLING as usize;

/// Counts are halved when they reach this sum, so that old latencies fade.
const TOTAL_MAX: u32 = 2_048;

/// Quantiles are worked out again after this many records.
const REFRESH_EVERY: u32 = 16;

/// Records before the quantiles are used.
const TOTAL_MIN: u32 = 16;

/// Share of latencies, in percent, that a hedge waits out at least.
const HEDGE_PERCENT: u32 = 93;

/// Log-scaled counts of recent latencies.
#[derive(Clone, Debug)]
pub struct LatencyEstimate {
    counts: Vec<u32>,
    total: u32,
    unseen: u32,
    median_us: u32,
    hedge_us: u32,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            total: 0,
            unseen: 0,
            median_us: 0,
            hedge_us: 0,
        }
    }
}

impl LatencyEstimate {
    /// Takes in one latency; of a cancelled attempt, the time that it had run at least.
    pub fn record(&mut self, took: Duration) {
        self.counts[bucket_of(took)] += 1;
        self.total += 1;
        self.unseen += 1;
        if self.total >= TOTAL_MAX {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
        if self.unseen >= REFRESH_EVERY || self.total == TOTAL_MIN {
            self.unseen = 0;
            self.median_us = self.quantile_us(50);
            self.hedge_us = self.quantile_us(HEDGE_PERCENT).max(self.median_us / 5 * 6);
        }
    }

    /// The median, once enough is known.
    pub fn median(&self) -> Option<Duration> {
        (self.total >= TOTAL_MIN).then(|| Duration::from_micros(self.median_us.into()))
    }

    /// How long an attempt runs before a hedge is worth its cost, once enough is known: the
    /// quantile, and six fifths of the median at least, so that even latencies bring no hedges.
    pub fn hedge_delay(&self) -> Option<Duration> {
        (self.total >= TOTAL_MIN).then(|| Duration::from_micros(self.hedge_us.into()))
    }

    /// How long a hedge runs before another is worth its cost: sooner than the first, since one
    /// straggler is there already and the request waits for it.
    pub fn second_delay(&self) -> Option<Duration> {
        let median = self.median()?;
        Some(median + median / 10)
    }

    fn quantile_us(&self, percent: u32) -> u32 {
        let rank = (self.total * percent).div_ceil(100).max(1);
        let mut seen = 0;
        let index = self.counts.iter().position(|count| {
            seen += count;
            seen >= rank
        });
        index.map_or(0, bucket_top_us)
    }
}

fn bucket_of(took: Duration) -> usize {
    let micros = u32::try_from(span_to_micros(took)).unwrap_or(u32::MAX);
    let micros = micros.max(STEPS_PER_DOUBLING);
    let doubling = micros.ilog2();
    let step = (micros >> (doubling - STEP_BITS)) % STEPS_PER_DOUBLING;
    (doubling * STEPS_PER_DOUBLING + step) as usize
}

/// Largest latency that falls into the bucket.
fn bucket_top_us(index: usize) -> u32 {
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    let doubling = (index / STEPS_PER_DOUBLING).max(STEP_BITS);
    let step = u64::from(index % STEPS_PER_DOUBLING);
    let top = ((u64::from(STEPS_PER_DOUBLING) + step + 1) << (doubling - STEP_BITS)) - 1;
    u32::try_from(top).unwrap_or(u32::MAX)
}

/// What a root entry saw of one replica. Small and flat: one per replica, read at each choice.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RouteEstimate {
    /// Sub-requests of this root entry that are under way.
    pub in_flight: u32,
    /// `in_flight` when the load was told.
    pub in_flight_at_load: u32,
    /// Smoothed latency of answers in microseconds, 0 if not known.
    pub latency_us: u32,
    /// When the latency was last measured.
    pub latency_at: MonotonicTime,
    /// Smoothed time beyond what was expected, in microseconds.
    pub excess_us: u32,
    /// When the excess was last measured.
    pub excess_at: MonotonicTime,
    /// Failures in a row.
    pub failures: u32,
    /// Chosen only if nothing else is left until then.
    pub backoff_until: MonotonicTime,
}

impl RouteEstimate {
    /// Smooths one latency in.
    pub fn record_latency(&mut self, now: MonotonicTime, took: Duration) {
        let sample = u32::try_from(span_to_micros(took))
            .unwrap_or(u32::MAX)
            .max(1);
        self.latency_us = match self.latency_us {
            0 => sample,
            old => smooth(old, sample),
        };
        self.latency_at = now;
    }

    /// Smooths in by how much an attempt took longer than expected. The expectation contains the
    /// keeper's queue, so what is left is the replica's or its way's own slowness.
    pub fn record_excess(&mut self, now: MonotonicTime, took: Duration, expected_us: u64) {
        if expected_us > 0 {
            let excess = span_to_micros(took).saturating_sub(expected_us);
            self.excess_us = smooth(self.excess_us, u32::try_from(excess).unwrap_or(u32::MAX));
            self.excess_at = now;
        }
    }
}

/// `old` moved towards `sample` by an eighth of the difference.
fn smooth(old: u32, sample: u32) -> u32 {
    if sample >= old {
        old + (sample - old) / 8
    } else {
        old - (old - sample) / 8
    }
}
