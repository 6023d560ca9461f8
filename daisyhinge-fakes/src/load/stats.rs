//! Aggregation of the outcomes of single requests.

use std::collections::HashSet;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::clock::duration_to_micros;
use daisyhinge::vocabulary::environment::PPM_SCALE;
use hdrhistogram::Histogram;

use crate::load::oracle::RunOracle;
use crate::load::outcome::{AnswerCheck, AnswerViolation, RequestEnd, RequestOutcome};
use crate::load::result::{LatencyResult, SecondResult, ServiceResult};
use crate::load::scenario::{LoadScenario, ServicePlan, convert_ppm};
use crate::server::FakeRecord;

/// Largest latency that the histogram distinguishes, in microseconds.
const LATENCY_MAX_US: u64 = 300_000_000;
/// Significant decimal digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;
/// Time within which a refusal is expected.
const REFUSAL_LIMIT: Duration = Duration::from_millis(5);

/// A histogram of latencies.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    ///
    /// # Panics
    ///
    /// Never panics: the bounds are valid constants.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS)
            .expect("the bounds are valid");
        Self { histogram }
    }

    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        self.histogram
            .saturating_record(duration_to_micros(latency).max(1));
    }

    /// Returns the quantiles of the recorded latencies.
    pub fn finish(&self) -> LatencyResult {
        LatencyResult {
            count: self.histogram.len(),
            p50_us: self.histogram.value_at_quantile(0.5),
            p99_us: self.histogram.value_at_quantile(0.99),
            p999_us: self.histogram.value_at_quantile(0.999),
            max_us: self.histogram.max(),
        }
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self::new()
    }
}

/// Statistics of one service, accumulated over its requests.
#[derive(Debug)]
struct ServiceStats<'a> {
    plan: &'a ServicePlan,
    result: ServiceResult,
    coverage_sum_ppm: u64,
    answers: LatencyHistogram,
    refusals: LatencyHistogram,
    seconds: Vec<LatencyHistogram>,
}

/// Aggregates the outcomes of the service at index `service` of the scenario. `records` are those
/// of its servers.
pub fn summarize_service(
    scenario: &LoadScenario,
    service: usize,
    outcomes: &[RequestOutcome],
    records: &[&FakeRecord],
) -> ServiceResult {
    let plan = &scenario.services[service];
    let oracle = RunOracle::from_records(records.iter().copied());
    let mut stats = ServiceStats::new(plan, scenario);
    let warmup = Duration::from_millis(scenario.warmup_ms);
    for outcome in outcomes.iter().filter(|outcome| outcome.service == service) {
        stats.add_second(outcome);
        stats.result.false_not_run += u64::from(oracle.is_false_not_run(outcome));
        if outcome.at >= warmup {
            stats.add(outcome);
        }
    }
    let mut result = stats.finish();
    result.doubled = oracle.count_doubled();
    count_extra_load(&mut result, records);
    result
}

fn count_extra_load(result: &mut ServiceResult, records: &[&FakeRecord]) {
    let pairs = records
        .iter()
        .flat_map(|record| &record.log)
        .map(|sub| (&sub.request, sub.shard))
        .collect::<HashSet<_>>();
    result.sub_requests = records.iter().map(|record| record.log.len() as u64).sum();
    result.primary = pairs.len() as u64;
    let extra = result.sub_requests - result.primary;
    result.extra_load_ppm = extra * u64::from(PPM_SCALE) / result.primary.max(1);
}

impl<'a> ServiceStats<'a> {
    fn new(plan: &'a ServicePlan, scenario: &LoadScenario) -> Self {
        let seconds = usize::try_from(scenario.duration_ms.div_ceil(1_000)).unwrap_or(0);
        Self {
            plan,
            result: ServiceResult {
                service: plan.name.to_string(),
                coverage_least_ppm: PPM_SCALE.into(),
                seconds: vec![SecondResult::default(); seconds],
                ..ServiceResult::default()
            },
            coverage_sum_ppm: 0,
            answers: LatencyHistogram::new(),
            refusals: LatencyHistogram::new(),
            seconds: vec![LatencyHistogram::new(); seconds],
        }
    }

    fn add_second(&mut self, outcome: &RequestOutcome) {
        let index = usize::try_from(outcome.at.as_secs()).unwrap_or(usize::MAX);
        let Some(second) = self.result.seconds.get_mut(index) else {
            return;
        };
        second.offered += 1;
        match &outcome.end {
            RequestEnd::Answered(check) => {
                let whole = check.coverage >= 1.0;
                second.whole += u64::from(whole);
                second.partial += u64::from(!whole);
                self.seconds[index].record(outcome.latency);
            }
            RequestEnd::Refused { .. } => second.refused += 1,
            RequestEnd::Lost | RequestEnd::Garbled => second.lost += 1,
        }
    }

    fn add(&mut self, outcome: &RequestOutcome) {
        self.result.offered += 1;
        self.result.resends += u64::from(outcome.resends);
        match &outcome.end {
            RequestEnd::Answered(check) => self.add_answer(outcome, check),
            RequestEnd::Refused { code, run } => self.add_refusal(outcome, *code, *run),
            RequestEnd::Lost => self.result.lost += 1,
            RequestEnd::Garbled => self.result.garbled += 1,
        }
    }

    fn add_answer(&mut self, outcome: &RequestOutcome, check: &AnswerCheck) {
        let result = &mut self.result;
        result.answered += 1;
        result.whole += u64::from(check.coverage >= 1.0);
        let coverage_ppm = u64::from(convert_ppm(check.coverage));
        result.coverage_least_ppm = result.coverage_least_ppm.min(coverage_ppm);
        let count = |violation| u64::from(check.violations.contains(&violation));
        result.mixed += count(AnswerViolation::Mixed);
        result.wrong += count(AnswerViolation::Wrong);
        result.coverage_false += count(AnswerViolation::CoverageFalse);
        result.resent_answers += u64::from(check.resent);
        let deadline = Duration::from_millis(self.plan.deadline_ms);
        result.late += u64::from(outcome.exchange > deadline);
        self.coverage_sum_ppm += coverage_ppm;
        self.answers.record(outcome.latency);
    }

    fn add_refusal(&mut self, outcome: &RequestOutcome, code: ResultCode, run: RunState) {
        *self.result.refused.entry(code.number()).or_default() += 1;
        let run = serde_json::to_value(run)
            .ok()
            .and_then(|run| run.as_str().map(str::to_owned));
        *self
            .result
            .refused_run
            .entry(run.unwrap_or_default())
            .or_default() += 1;
        self.result.refused_within_5ms += u64::from(outcome.exchange <= REFUSAL_LIMIT);
        self.refusals.record(outcome.exchange);
    }

    fn finish(mut self) -> ServiceResult {
        self.result.coverage_mean_ppm = self.coverage_sum_ppm / self.result.answered.max(1);
        self.result.latency = self.answers.finish();
        self.result.refusal_latency = self.refusals.finish();
        for (second, histogram) in self.result.seconds.iter_mut().zip(&self.seconds) {
            second.p99_us = histogram.finish().p99_us;
        }
        self.result
    }
}
