//! Likelihood ratios that compare the target version with the stable one.
//!
//! A CUSUM needs a known baseline. The stable version's rate is only known from samples, and few of
//! them at low request rates, so the score is the window-limited form of the CUSUM for unknown rates:
//! the maximum over windows that end now of the generalised likelihood ratio of two rates against one.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::history::{OutcomeTotals, PairTotals, TotalsHistory};
use crate::vocabulary::rollout::LATENCY_BUCKETS;

/// Lengths of the windows in steps with news; the last one covers the whole rollout.
const FAILURE_WINDOWS: [usize; 7] = [1, 2, 4, 8, 16, 32, usize::MAX - 1];

/// Lengths for slowness. The shortest window is 1 s, since a pause of 300 ms makes most answers of
/// a shorter one slow.
const SLOWNESS_WINDOWS: [usize; 6] = [4, 6, 8, 16, 32, usize::MAX - 1];

/// Samples that the baseline of failures has at least; missing ones are assumed to fail at
/// [`FAILURE_RATE_ASSUMED`].
const BASELINE_SAMPLES_MIN: f64 = 10.0;

/// Rate of failures of a service about which nothing is known.
const FAILURE_RATE_ASSUMED: f64 = 0.005;

/// Steps of the baseline of the evidence: 1 s.
const BASELINE_STEPS: usize = 4;

/// Samples of the stable version that a latency threshold requires.
const LATENCY_SAMPLES_MIN: u64 = 10;

/// Distance from the bucket of the stable version's median to the first slow one: 2 to 2.4 times
/// the median.
const SLOW_BUCKETS: usize = 4;

/// Share of slow answers that the target version may have above the stable version's share. Answers
/// that are 3 times slower exceed it; pauses and a warm-up at less than twice the latency do not.
const SLOW_SHARE_ALLOWED: f64 = 0.3;

/// Increase of the rate of failures that the evidence for a good version excludes.
const FAILURE_RATE_EXCLUDED: f64 = 0.1;

/// Positive outcomes among samples.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SampleRate {
    hits: f64,
    samples: f64,
}

/// Rates of both versions over one window.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PairRates {
    target: SampleRate,
    stable: SampleRate,
}

impl PairRates {
    fn score_slowness(self) -> f64 {
        let allowed = self.stable.hits + SLOW_SHARE_ALLOWED * self.stable.samples;
        let base = SampleRate {
            hits: allowed.min(self.stable.samples),
            samples: self.stable.samples,
        };
        compare(self.target, base)
    }
}

impl SampleRate {
    fn new(hits: u64, samples: u64) -> Self {
        Self {
            hits: hits as f64,
            samples: samples as f64,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            hits: self.hits + other.hits,
            samples: self.samples + other.samples,
        }
    }

    fn ratio(self) -> f64 {
        if self.samples > 0.0 {
            self.hits / self.samples
        } else {
            0.0
        }
    }

    /// Logarithm of the likelihood of the samples at `rate`.
    fn log_likelihood(self, rate: f64) -> f64 {
        log_term(self.hits, rate) + log_term(self.samples - self.hits, 1.0 - rate)
    }
}

/// Returns the highest score of failures over all windows: the logarithm of a likelihood ratio, 0 if
/// the target version is no worse.
pub(super) fn score_failures(history: &TotalsHistory) -> f64 {
    let scores = FAILURE_WINDOWS.map(|steps| score_failure_window(history, steps));
    scores.into_iter().fold(0.0, f64::max)
}

/// Returns the highest score of slowness of each route and of all routes together, each answer
/// measured by the threshold of its own route.
pub(super) fn score_slowness(routes: &BTreeMap<Arc<str>, TotalsHistory>) -> f64 {
    let windows = SLOWNESS_WINDOWS.map(|steps| {
        let rates: Vec<_> = routes
            .values()
            .filter_map(|history| slow_rates(history, steps))
            .collect();
        let sum = rates.iter().copied().reduce(|sum, rates| PairRates {
            target: sum.target.plus(rates.target),
            stable: sum.stable.plus(rates.stable),
        });
        let scores = rates.into_iter().chain(sum).map(PairRates::score_slowness);
        scores.fold(0.0, f64::max)
    });
    windows.into_iter().fold(0.0, f64::max)
}

/// Returns the evidence of the newest step for a good version: the logarithm of the odds that the
/// target version fails as often as the stable one did in the last steps, rather than more often by
/// [`FAILURE_RATE_EXCLUDED`].
pub(super) fn weigh_step(history: &TotalsHistory) -> f64 {
    let newest = history.newest();
    let stable = failures_between(&history.before(BASELINE_STEPS).stable, &newest.stable);
    let base = pad_baseline(stable).ratio();
    let base = base.clamp(FAILURE_RATE_ASSUMED, 0.8);
    let target = failures_between(&history.before(1).target, &newest.target);
    target.log_likelihood(base) - target.log_likelihood(base + FAILURE_RATE_EXCLUDED)
}

/// Returns the rates of failures of the stable and the target version over the latest `steps`.
pub(super) fn recent_failures(history: &TotalsHistory, steps: usize) -> (f64, f64) {
    let (newest, start) = (history.newest(), history.before(steps));
    (
        failures_between(&start.stable, &newest.stable).ratio(),
        failures_between(&start.target, &newest.target).ratio(),
    )
}

/// Returns the shares of slow answers of the stable and the target version over the latest `steps`,
/// by the thresholds of the whole rollout.
pub(super) fn recent_slowness(
    routes: &BTreeMap<Arc<str>, TotalsHistory>,
    steps: usize,
) -> (f64, f64) {
    let none = SampleRate::new(0, 0);
    let sum = routes.values().fold((none, none), |sum, history| {
        let (newest, start) = (history.newest(), history.before(steps));
        find_slow_bucket(&history.first().stable, &newest.stable).map_or(sum, |bucket| {
            let stable = slow_between(&start.stable, &newest.stable, bucket);
            let target = slow_between(&start.target, &newest.target, bucket);
            (sum.0.plus(stable), sum.1.plus(target))
        })
    });
    (sum.0.ratio(), sum.1.ratio())
}

fn score_failure_window(history: &TotalsHistory, steps: usize) -> f64 {
    let (newest, start) = (history.newest(), history.before(steps));
    let target = failures_between(&start.target, &newest.target);
    if target.hits == 0.0 {
        return 0.0;
    }
    let base = failures_between(&baseline_start(history, start).stable, &newest.stable);
    compare(target, pad_baseline(base))
}

/// Returns the shares of slow answers of one route; `None` without a threshold.
fn slow_rates(history: &TotalsHistory, steps: usize) -> Option<PairRates> {
    let (newest, start) = (history.newest(), history.before(steps));
    let from = baseline_start(history, start);
    let bucket = find_slow_bucket(&from.stable, &newest.stable)?;
    Some(PairRates {
        target: slow_between(&start.target, &newest.target, bucket),
        stable: slow_between(&from.stable, &newest.stable, bucket),
    })
}

/// Returns the start of the baseline: that of the window, or of the rollout if the window has more
/// samples of the target version than of the stable one, as in the load stage.
fn baseline_start<'a>(history: &'a TotalsHistory, start: &'a PairTotals) -> &'a PairTotals {
    let newest = history.newest();
    let stable = newest.stable.outcomes() - start.stable.outcomes();
    let target = newest.target.outcomes() - start.target.outcomes();
    if stable < target {
        history.first()
    } else {
        start
    }
}

/// Returns half the deviance of two rates from a common one; 0 if the target's is not higher.
fn compare(target: SampleRate, base: SampleRate) -> f64 {
    if target.ratio() <= base.ratio() {
        return 0.0;
    }
    let pooled = SampleRate {
        hits: target.hits + base.hits,
        samples: target.samples + base.samples,
    };
    let apart = target.log_likelihood(target.ratio()) + base.log_likelihood(base.ratio());
    apart - pooled.log_likelihood(pooled.ratio())
}

fn pad_baseline(base: SampleRate) -> SampleRate {
    let missing = (BASELINE_SAMPLES_MIN - base.samples).max(0.0);
    SampleRate {
        hits: base.hits + missing * FAILURE_RATE_ASSUMED,
        samples: base.samples + missing,
    }
}

fn failures_between(start: &OutcomeTotals, end: &OutcomeTotals) -> SampleRate {
    SampleRate::new(end.failed - start.failed, end.outcomes() - start.outcomes())
}

fn slow_between(start: &OutcomeTotals, end: &OutcomeTotals, bucket: usize) -> SampleRate {
    let above = |bucket: usize| end.at_least[bucket] - start.at_least[bucket];
    SampleRate::new(above(bucket), above(0))
}

/// Returns the first slow bucket, [`SLOW_BUCKETS`] above the median of the increments.
fn find_slow_bucket(start: &OutcomeTotals, end: &OutcomeTotals) -> Option<usize> {
    let above = |bucket: usize| end.at_least[bucket] - start.at_least[bucket];
    let samples = above(0);
    if samples < LATENCY_SAMPLES_MIN {
        return None;
    }
    let (mut median, mut beyond) = (0, LATENCY_BUCKETS);
    while beyond - median > 1 {
        let middle = usize::midpoint(median, beyond);
        if above(middle) * 2 >= samples {
            median = middle;
        } else {
            beyond = middle;
        }
    }
    let bucket = median + SLOW_BUCKETS;
    (bucket < LATENCY_BUCKETS).then_some(bucket)
}

fn log_term(count: f64, probability: f64) -> f64 {
    if count > 0.0 {
        count * probability.ln()
    } else {
        0.0
    }
}
