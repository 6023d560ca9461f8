//! Latency statistics: quantiles of a service, which determine when attempts are hedged and when
//! shards count as late, and smoothed measurements of single replicas.

use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::clock::duration_to_micros;

/// Buckets for each doubling of the latency.
const STEPS_PER_DOUBLING: u32 = 8;

/// Binary logarithm of [`STEPS_PER_DOUBLING`].
const STEP_BITS: u32 = 3;

/// Number of buckets, which cover latencies below 2^32 microseconds.
const BUCKETS: usize = 32 * STEPS_PER_DOUBLING as usize;

/// All counts are halved when their sum reaches this value, so that old latencies lose weight.
const TOTAL_MAX: u32 = 2_048;

/// Quantiles are recomputed after this many recorded latencies.
const REFRESH_EVERY: u32 = 16;

/// Number of recorded latencies below which no quantiles are available.
const TOTAL_MIN: u32 = 16;

/// Latency quantile, in percent, that is the lower bound of the hedge delay.
const HEDGE_PERCENT: u32 = 93;

/// Log-scaled counts of recent latencies.
#[derive(Clone, Debug)]
pub struct LatencyEstimate {
    counts: Vec<u32>,
    total: u32,
    since_refresh: u32,
    median_us: u32,
    hedge_us: u32,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            total: 0,
            since_refresh: 0,
            median_us: 0,
            hedge_us: 0,
        }
    }
}

impl LatencyEstimate {
    /// Records one latency. For a cancelled attempt this is the time until its cancellation, a
    /// lower bound of its latency.
    pub fn record(&mut self, took: Duration) {
        self.counts[bucket_of(took)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= TOTAL_MAX {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
        if self.since_refresh >= REFRESH_EVERY || self.total == TOTAL_MIN {
            self.since_refresh = 0;
            self.median_us = self.quantile_us(50);
            self.hedge_us = self.quantile_us(HEDGE_PERCENT).max(self.median_us / 5 * 6);
        }
    }

    /// Median latency; `None` before enough latencies are recorded.
    pub fn median(&self) -> Option<Duration> {
        (self.total >= TOTAL_MIN).then(|| Duration::from_micros(self.median_us.into()))
    }

    /// Delay from an attempt to its first hedge; `None` before enough latencies are recorded. At
    /// least six fifths of the median, so that uniform latencies cause no hedges.
    pub fn hedge_delay(&self) -> Option<Duration> {
        (self.total >= TOTAL_MIN).then(|| Duration::from_micros(self.hedge_us.into()))
    }

    /// Delay from a hedge to the next one, 1.1 times the median. Shorter than the first delay,
    /// since the request is already waiting for one straggler.
    pub fn second_hedge_delay(&self) -> Option<Duration> {
        let median = self.median()?;
        Some(median + median / 10)
    }

    /// Latency quantile in percent; `None` before enough latencies are recorded.
    pub fn quantile(&self, percent: u32) -> Option<Duration> {
        (self.total >= TOTAL_MIN).then(|| Duration::from_micros(self.quantile_us(percent).into()))
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
    let micros = u32::try_from(duration_to_micros(took)).unwrap_or(u32::MAX);
    let micros = micros.max(STEPS_PER_DOUBLING);
    let doubling = micros.ilog2();
    let step = (micros >> (doubling - STEP_BITS)) % STEPS_PER_DOUBLING;
    (doubling * STEPS_PER_DOUBLING + step) as usize
}

/// Largest latency of a bucket, in microseconds.
fn bucket_top_us(index: usize) -> u32 {
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    let doubling = (index / STEPS_PER_DOUBLING).max(STEP_BITS);
    let step = u64::from(index % STEPS_PER_DOUBLING);
    let top = ((u64::from(STEPS_PER_DOUBLING) + step + 1) << (doubling - STEP_BITS)) - 1;
    u32::try_from(top).unwrap_or(u32::MAX)
}

/// Measurements of one replica by a root entry. Kept small and flat, since every selection reads
/// one per candidate replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RouteEstimate {
    /// Outstanding sub-requests of this root entry.
    pub in_flight: u32,
    /// `in_flight` at the time of the last load report.
    pub in_flight_at_load: u32,
    /// Smoothed latency of answers in microseconds; 0 if unknown.
    pub latency_us: u32,
    /// Time of the last update of `latency_us`.
    pub latency_at: MonotonicTime,
    /// Smoothed latency in excess of the expected time, in microseconds.
    pub excess_us: u32,
    /// Time of the last update of `excess_us`.
    pub excess_at: MonotonicTime,
    /// Consecutive failures; determines the next backoff.
    pub failures: u32,
    /// End of the backoff; until then the replica is selected only if no other one is left.
    pub backoff_until: MonotonicTime,
}

impl RouteEstimate {
    /// Adds the latency of one answer to the moving average.
    pub fn record_latency(&mut self, now: MonotonicTime, took: Duration) {
        let sample = u32::try_from(duration_to_micros(took))
            .unwrap_or(u32::MAX)
            .max(1);
        self.latency_us = match self.latency_us {
            0 => sample,
            old => smooth(old, sample),
        };
        self.latency_at = now;
    }

    /// Adds the excess of one attempt over its expected time to the moving average. The expected
    /// time includes the keeper's queue, so the excess is due to the replica or the network.
    pub fn record_excess(&mut self, now: MonotonicTime, took: Duration, expected_us: u64) {
        if expected_us > 0 {
            let excess = duration_to_micros(took).saturating_sub(expected_us);
            self.excess_us = smooth(self.excess_us, u32::try_from(excess).unwrap_or(u32::MAX));
            self.excess_at = now;
        }
    }
}

/// Exponential moving average with a weight of 1/8 for `sample`.
fn smooth(old: u32, sample: u32) -> u32 {
    if sample >= old {
        old + (sample - old) / 8
    } else {
        old - (old - sample) / 8
    }
}
