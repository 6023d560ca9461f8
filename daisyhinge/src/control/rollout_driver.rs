//! Advances rollouts: passes what control knows about each rollout in progress to a judge, and
//! returns the steps to record in the log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::prelude::*;
use crate::registry::ServerRegistry;
use crate::rollout::{RolloutAdvance, RolloutObservation};
use crate::vocabulary::rollout::{
    LatencyHistogram, RolloutPhase, RolloutReason, RolloutRecord, RolloutStep, RouteCounts,
};
use crate::vocabulary::site::SiteState;

/// Time after which the log clock is recorded although nothing changed, in milliseconds. A new
/// leader continues the clock from the last command, so without a record the time before the change
/// of leaders would not count towards the duration of a rollout.
const CHECKPOINT_MS: u64 = 1_000;

/// Buckets by which a slow answer's latency exceeds the median of the stable version: a factor of 2 to
/// 2.4, as in the verdict.
const SLOW_BUCKETS: usize = 4;

/// Evaluates what is known about one rollout.
pub type JudgeStep = Box<dyn FnMut(&RolloutObservation) -> JudgeResult + Send>;

/// Result of an evaluation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JudgeResult {
    /// Change to make, if any.
    pub advance: Option<RolloutAdvance>,
    /// Evidence against the target version, the logarithm of a likelihood ratio.
    pub score: f64,
}

/// What the leader knows at one moment.
#[derive(Clone, Copy, Debug)]
pub struct RolloutInputs<'inputs> {
    /// Current time.
    pub now: MonotonicTime,
    /// Time of the log clock, in milliseconds.
    pub clock_ms: u64,
    /// State of the deployment, confirmed by a quorum.
    pub site: &'inputs SiteState,
    /// Services of the configuration in force; `None` if it cannot be decoded.
    pub services: Option<&'inputs BTreeSet<ServiceName>>,
    /// Replicas, and the outcomes that entries reported.
    pub registry: &'inputs ServerRegistry,
}

/// A step to record in the log, and the outcomes that it is based on.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutDecision {
    /// Step to record.
    pub step: RolloutStep,
    /// Whether the step changes the phase or the share; otherwise it only records the log clock.
    pub changes: bool,
    /// Requests sent to the target version.
    pub requests: u64,
    /// Failures of the target version.
    pub failures: u64,
    /// Answers of the target version that took at least twice as long as the stable version's median
    /// on the same route.
    pub slow: u64,
    /// Evidence against the target version; 0 if it was not evaluated.
    pub score: f64,
}

/// Judge of one rollout, and its change that is not known to be recorded.
struct TrackedRollout {
    judge: JudgeStep,
    pending: Option<RolloutAdvance>,
    score: f64,
}

/// State of the leader for all rollouts in progress.
pub struct RolloutDriver {
    open_judge: Box<dyn Fn() -> JudgeStep + Send>,
    tracked: BTreeMap<u64, TrackedRollout>,
    checkpoint_ms: u64,
}

impl RolloutDriver {
    /// Creates a driver that opens a judge for each rollout.
    pub fn open(open_judge: Box<dyn Fn() -> JudgeStep + Send>) -> Self {
        Self {
            open_judge,
            tracked: BTreeMap::new(),
            checkpoint_ms: 0,
        }
    }

    /// Drops all judges, since this process does not lead. If it leads again, new judges begin with
    /// the totals at that time.
    pub fn reset(&mut self) {
        self.tracked.clear();
        self.checkpoint_ms = 0;
    }

    /// Evaluates the rollouts in progress. Returns the steps to record. A step whose record is not
    /// yet part of the state is returned again.
    pub fn step(&mut self, inputs: &RolloutInputs<'_>) -> Vec<RolloutDecision> {
        let records = inputs.site.rollouts.values();
        let records: Vec<&RolloutRecord> =
            records.filter(|record| record.is_in_progress()).collect();
        self.tracked
            .retain(|number, _| records.iter().any(|record| record.number == *number));
        let decisions = records.iter();
        let mut decisions: Vec<RolloutDecision> = decisions
            .filter_map(|record| self.decide(inputs, record))
            .collect();
        if !decisions.is_empty() {
            self.checkpoint_ms = inputs.clock_ms;
        } else if inputs.clock_ms >= self.checkpoint_ms + CHECKPOINT_MS {
            self.checkpoint_ms = inputs.clock_ms;
            decisions.extend(records.first().map(|record| make_checkpoint(record)));
        }
        decisions
    }

    fn decide(
        &mut self,
        inputs: &RolloutInputs<'_>,
        record: &RolloutRecord,
    ) -> Option<RolloutDecision> {
        let counts = inputs.registry.rollout_totals(record.number);
        let (requests, failures) = add_target(&counts, &record.order.target);
        let slow = count_slow(&counts, &record.order.target);
        let advance = if is_removed(inputs, record) {
            Some(roll_back(RolloutReason::ServiceRemoved))
        } else {
            self.judge(record, &observe(inputs, record, counts))
        };
        let advance = advance.filter(|advance| advance.phase != record.phase)?;
        Some(RolloutDecision {
            step: RolloutStep {
                service: record.order.service.clone(),
                number: record.number,
                phase: advance.phase,
                reason: advance.reason,
            },
            changes: true,
            requests,
            failures,
            slow,
            score: self
                .tracked
                .get(&record.number)
                .map_or(0.0, |tracked| tracked.score),
        })
    }

    fn judge(
        &mut self,
        record: &RolloutRecord,
        observation: &RolloutObservation,
    ) -> Option<RolloutAdvance> {
        let tracked = self
            .tracked
            .entry(record.number)
            .or_insert_with(|| TrackedRollout {
                judge: (self.open_judge)(),
                pending: None,
                score: 0.0,
            });
        let recorded = |pending: &RolloutAdvance| pending.phase == record.phase;
        tracked.pending = tracked.pending.filter(|pending| !recorded(pending));
        let result = (tracked.judge)(observation);
        tracked.score = result.score;
        let advance = result.advance.or(tracked.pending);
        // A judge that has decided nothing by the deadline must not leave the rollout open.
        let is_late = observation.elapsed >= observation.duration;
        let undecided = is_late.then(|| roll_back(RolloutReason::Undecided));
        let is_final =
            |advance: &RolloutAdvance| !matches!(advance.phase, RolloutPhase::InProgress(_));
        tracked.pending = advance.filter(is_final).or(undecided).or(advance);
        tracked.pending
    }
}

impl std::fmt::Debug for RolloutDriver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RolloutDriver")
            .field("rollouts", &self.tracked.keys())
            .finish_non_exhaustive()
    }
}

/// Returns whether the configuration no longer has the service.
fn is_removed(inputs: &RolloutInputs<'_>, record: &RolloutRecord) -> bool {
    let services = inputs.services;
    services.is_some_and(|services| !services.contains(&record.order.service))
}

fn roll_back(reason: RolloutReason) -> RolloutAdvance {
    RolloutAdvance {
        phase: RolloutPhase::RolledBack,
        reason: Some(reason),
    }
}

fn observe(
    inputs: &RolloutInputs<'_>,
    record: &RolloutRecord,
    counts: Vec<RouteCounts>,
) -> RolloutObservation {
    let order = &record.order;
    let slots = inputs.registry.rollout_slots(
        inputs.now,
        &order.service,
        &order.target,
        &inputs.site.evacuated,
    );
    let since = |then_ms| Duration::from_millis(inputs.clock_ms.saturating_sub(then_ms));
    RolloutObservation {
        elapsed: since(record.ordered_ms),
        duration: Duration::from_millis(order.duration_ms),
        since_advance: since(record.advanced_ms),
        phase: record.phase,
        target: order.target.clone(),
        counts,
        stable_slots: slots.stable,
        target_slots: slots.target,
    }
}

/// Adds up the requests to and the failures of the target version.
fn add_target(counts: &[RouteCounts], target: &VersionName) -> (u64, u64) {
    let counts = counts.iter().filter(|count| count.version == *target);
    counts.fold((0, 0), |(requests, failures), count| {
        (requests + count.sent, failures + count.failed)
    })
}

/// Counts the answers of the target version that are slow compared with the other versions, by route.
/// A route without answers of the other versions has none.
fn count_slow(counts: &[RouteCounts], target: &VersionName) -> u64 {
    let of_target = counts.iter().filter(|count| count.version == *target);
    let slow = of_target.map(|count| {
        let mut stable = LatencyHistogram::empty();
        let others = counts.iter().filter(|other| other.version != *target);
        for other in others.filter(|other| other.route == count.route) {
            stable.add(&other.latency);
        }
        let first = stable.median_bucket().map(|bucket| bucket + SLOW_BUCKETS);
        first.map_or(0, |first| {
            let slow = count.latency.counts.iter().skip(first);
            slow.copied().map(u64::from).sum()
        })
    });
    slow.sum()
}

fn make_checkpoint(record: &RolloutRecord) -> RolloutDecision {
    RolloutDecision {
        step: RolloutStep {
            service: record.order.service.clone(),
            number: record.number,
            phase: record.phase,
            reason: None,
        },
        changes: false,
        requests: 0,
        failures: 0,
        slow: 0,
        score: 0.0,
    }
}
