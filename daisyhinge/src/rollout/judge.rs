//! Stages of a rollout and the verdict.

use std::time::Duration;

use super::pace::{
    DECISION_MARGIN, LOAD_TIME, PROBE_REPORT_TIME, PROBE_TIME, RequestPace, SHARE_FIRST,
    SHARE_LEAST, SHARE_LOAD, SHARE_TIME, WHOLE_TIME, WHOLE_TIME_MIN,
};
use super::scores::{
    ROUTE_SCORE_SUSPECT, RolloutEvidence, SLOWNESS_SCORE_PROBE, SLOWNESS_SCORE_SUSPECT,
};
use super::{RolloutAdvance, RolloutLimits, RolloutObservation};
use crate::vocabulary::rollout::{RolloutPhase, RolloutReason, SHARE_WHOLE};

/// Weight of the evidence for a good version that completes a rollout: the logarithm of 1,000.
const GOOD_WEIGHT_COMPLETE: f64 = 6.9;

/// Weight that the whole share requires: 50 outcomes with one failure.
const GOOD_WEIGHT_WHOLE: f64 = 2.0;

/// Weight that the whole share requires after a probe.
const GOOD_WEIGHT_PROBED: f64 = 5.0;

/// The same if the exposure limits allow for a late verdict, as at low rates.
const GOOD_WEIGHT_AFFORDABLE: f64 = 0.5;

/// Weight that the load stage requires: 20 outcomes with one failure.
const GOOD_WEIGHT_LOAD: f64 = -1.0;

/// Weight below which the whole share is left again.
const GOOD_WEIGHT_LEAVE: f64 = -2.0;

/// Outcomes of the target version that the load stage requires.
const LOAD_SAMPLES_MIN: u64 = 5;

/// Time for which both versions are compared after a bad score at the whole share.
const RECHECK_TIME: Duration = Duration::from_millis(1_250);

/// Steps of the rates that are compared: the time of the recheck, since the trouble may end in it.
const RECHECK_STEPS: usize = 5;

/// Factor by which the stable version's rate of failures may be lower, as it has had the trouble
/// for a part of the time only.
const RECHECK_FAILURE_FACTOR: f64 = 4.0;

/// The same for the share of slow answers, of which there are some in normal operation.
const RECHECK_SLOWNESS_FACTOR: f64 = 2.0;

const COMPLETED: RolloutAdvance = RolloutAdvance {
    phase: RolloutPhase::Completed,
    reason: None,
};

/// State of the decision on one rollout.
#[derive(Clone, Debug)]
pub struct RolloutJudge {
    limits: RolloutLimits,
    evidence: RolloutEvidence,
    stage: RolloutStage,
    /// Suspicion from the load stage that is checked against the stable version.
    recheck: Option<LoadRecheck>,
    /// Whether the load stage was repeated, which happens once, since each time counts as exposure.
    is_repeated: bool,
    /// Whether the probe was repeated, which happens once.
    is_probe_repeated: bool,
}

/// Stages of a rollout that is in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RolloutStage {
    /// Few requests, until the load stage is due.
    Canary,
    /// The first share of the load stage.
    Load,
    /// A short time at the whole share, which bounds the requests of a version that is bad under
    /// load only.
    Probe,
    /// The outcomes of the probe are awaited at the first share.
    Report,
    /// The whole share, until the rollout is completed.
    Whole,
    /// Both versions are in the same trouble after the probe was good, and there is no time for
    /// another load stage.
    Masked,
}

/// A bad score at the whole share, where the stable version has no requests to compare with.
#[derive(Clone, Copy, Debug)]
struct LoadRecheck {
    since: Duration,
    reason: RolloutReason,
    /// Rate of failures or of slow answers of the target version when it was found.
    rate: f64,
}

impl RolloutStage {
    /// Returns the share of the stage, which is not in force until the log has recorded it; `None` if
    /// it varies.
    fn share(self) -> Option<u16> {
        match self {
            Self::Canary => None,
            Self::Load => Some(SHARE_LOAD),
            Self::Report | Self::Masked => Some(SHARE_FIRST),
            Self::Probe | Self::Whole => Some(SHARE_WHOLE),
        }
    }
}

impl RolloutJudge {
    /// Starts to judge a rollout.
    pub fn open(limits: RolloutLimits) -> Self {
        Self {
            limits,
            evidence: RolloutEvidence::default(),
            stage: RolloutStage::Canary,
            recheck: None,
            is_repeated: false,
            is_probe_repeated: false,
        }
    }

    /// Returns the limits on an unproven version.
    pub fn limits(&self) -> RolloutLimits {
        self.limits
    }

    /// Returns the highest score over all routes and kinds: the logarithm of a likelihood ratio, 0
    /// if the target version is no worse than the stable one.
    pub fn score(&self) -> f64 {
        self.evidence.scores().worst()
    }

    /// Evaluates the newest totals. Returns the change to make, if any.
    pub fn step(&mut self, observation: &RolloutObservation) -> Option<RolloutAdvance> {
        let RolloutPhase::InProgress(share) = observation.phase else {
            return None;
        };
        self.evidence.record(observation);
        if let Some(reason) = self.evidence.find_fault() {
            if self.stage == RolloutStage::Report && reason == RolloutReason::Slowness {
                return self.step_report(observation);
            }
            if share == SHARE_WHOLE && self.can_recheck(observation) {
                return self.start_recheck(observation, reason);
            }
            if self.recheck.is_none() {
                return Some(roll_back(reason));
            }
        }
        if observation.elapsed + DECISION_MARGIN >= observation.duration {
            return Some(self.conclude(observation, share));
        }
        if self.recheck.is_some() {
            return self.step_recheck(observation, share);
        }
        self.step_stage(observation, share)
    }

    /// Decides on the stage that follows the present one.
    fn step_stage(
        &mut self,
        observation: &RolloutObservation,
        share: u16,
    ) -> Option<RolloutAdvance> {
        let pace = self.pace(observation);
        let since = observation.since_advance;
        if let Some(expected) = self.stage.share()
            && expected != share
        {
            return change_share(share, expected);
        }
        let next = match (self.stage, share) {
            (RolloutStage::Canary, SHARE_WHOLE) => SHARE_FIRST,
            (RolloutStage::Canary, _) if self.is_load_due(observation, &pace) => {
                self.stage = RolloutStage::Load;
                SHARE_LOAD
            }
            (RolloutStage::Canary, _) => {
                let next = pace.canary_share(self.limits);
                let is_early = share != SHARE_FIRST && since < SHARE_TIME;
                if is_early || (share, next) == (SHARE_LEAST, SHARE_FIRST) {
                    return None;
                }
                next
            }
            (RolloutStage::Load, _) => {
                let is_affordable = pace.is_affordable(self.limits);
                let required = if is_affordable {
                    GOOD_WEIGHT_AFFORDABLE
                } else {
                    GOOD_WEIGHT_WHOLE
                };
                if since < LOAD_TIME
                    || self.evidence.good_weight() < required
                    || self.evidence.is_suspect()
                {
                    return None;
                }
                self.stage = if is_affordable {
                    RolloutStage::Whole
                } else {
                    RolloutStage::Probe
                };
                SHARE_WHOLE
            }
            (RolloutStage::Probe, _) if since < PROBE_TIME => return None,
            (RolloutStage::Probe, _) => {
                self.stage = RolloutStage::Report;
                SHARE_FIRST
            }
            (RolloutStage::Report, _) => return self.step_report(observation),
            (RolloutStage::Masked, _) => return None,
            (RolloutStage::Whole, _) if self.evidence.good_weight() < GOOD_WEIGHT_LEAVE => {
                self.stage = RolloutStage::Canary;
                SHARE_FIRST
            }
            (RolloutStage::Whole, _) => {
                return (since >= WHOLE_TIME && self.is_proven()).then_some(COMPLETED);
            }
        };
        change_share(share, next)
    }

    /// Decides on the outcomes of the probe. A slow one is repeated, since a pause of the replicas may
    /// have covered it.
    fn step_report(&mut self, observation: &RolloutObservation) -> Option<RolloutAdvance> {
        if observation.since_advance < PROBE_REPORT_TIME {
            return None;
        }
        let is_slow = self.evidence.scores().slowness >= SLOWNESS_SCORE_PROBE;
        if is_slow && self.can_repeat_probe(observation) {
            self.is_probe_repeated = true;
            self.stage = RolloutStage::Probe;
            self.evidence.forget();
        } else if self.evidence.scores().slowness >= SLOWNESS_SCORE_SUSPECT {
            return Some(roll_back(RolloutReason::Slowness));
        } else if self.evidence.good_weight() < GOOD_WEIGHT_PROBED || self.evidence.is_suspect() {
            return None;
        } else {
            self.stage = RolloutStage::Whole;
        }
        change_share(SHARE_FIRST, SHARE_WHOLE)
    }

    fn is_load_due(&self, observation: &RolloutObservation, pace: &RequestPace) -> bool {
        let left = observation.duration.saturating_sub(observation.elapsed);
        let probe = if pace.is_affordable(self.limits) {
            Duration::ZERO
        } else {
            PROBE_TIME + PROBE_REPORT_TIME
        };
        observation.elapsed >= pace.load_start()
            && left >= LOAD_TIME + probe + WHOLE_TIME_MIN + DECISION_MARGIN
            && self.evidence.totals().target.outcomes() >= LOAD_SAMPLES_MIN
            && self.evidence.good_weight() >= GOOD_WEIGHT_LOAD
            && has_capacity(observation)
            && !self.evidence.is_suspect()
    }

    fn is_proven(&self) -> bool {
        self.evidence.good_weight() >= GOOD_WEIGHT_COMPLETE && !self.evidence.is_suspect()
    }

    fn pace(&self, observation: &RolloutObservation) -> RequestPace {
        let totals = self.evidence.totals();
        RequestPace {
            elapsed: observation.elapsed,
            duration: observation.duration,
            all: (totals.stable.sent + totals.target.sent) as f64,
            target: totals.target.sent as f64,
        }
    }

    fn can_recheck(&self, observation: &RolloutObservation) -> bool {
        let left = observation.duration.saturating_sub(observation.elapsed);
        !self.is_repeated && left >= RECHECK_TIME + DECISION_MARGIN
    }

    fn can_repeat_probe(&self, observation: &RolloutObservation) -> bool {
        let left = observation.duration.saturating_sub(observation.elapsed);
        let stages = PROBE_TIME + PROBE_REPORT_TIME + WHOLE_TIME_MIN + DECISION_MARGIN;
        let allows_probe = self.pace(observation).allows_probe(self.limits);
        !self.is_probe_repeated && left >= stages && allows_probe
    }

    /// Returns to the first share, at which both versions have requests.
    fn start_recheck(
        &mut self,
        observation: &RolloutObservation,
        reason: RolloutReason,
    ) -> Option<RolloutAdvance> {
        let rate = self.evidence.recent_rates(reason, RECHECK_STEPS).1;
        self.is_repeated = true;
        self.recheck = Some(LoadRecheck {
            since: observation.elapsed,
            reason,
            rate,
        });
        change_share(SHARE_WHOLE, SHARE_FIRST)
    }

    /// Rolls back unless the stable version is in the same trouble, after which the evidence is
    /// collected anew.
    fn step_recheck(
        &mut self,
        observation: &RolloutObservation,
        share: u16,
    ) -> Option<RolloutAdvance> {
        let recheck = self.recheck?;
        let waited = observation.elapsed.saturating_sub(recheck.since);
        if waited < RECHECK_TIME {
            return change_share(share, SHARE_FIRST);
        }
        let stable = self.evidence.recent_rates(recheck.reason, RECHECK_STEPS).0;
        let factor = if recheck.reason == RolloutReason::Failures {
            RECHECK_FAILURE_FACTOR
        } else {
            RECHECK_SLOWNESS_FACTOR
        };
        if stable * factor < recheck.rate {
            return Some(roll_back(recheck.reason));
        }
        let left = observation.duration.saturating_sub(observation.elapsed);
        let is_late =
            left < LOAD_TIME + PROBE_TIME + PROBE_REPORT_TIME + WHOLE_TIME + DECISION_MARGIN;
        self.stage = if is_late && self.stage == RolloutStage::Whole {
            RolloutStage::Masked
        } else {
            RolloutStage::Canary
        };
        self.recheck = None;
        self.evidence.restart();
        None
    }

    /// Decides at the end of the time.
    fn conclude(&self, observation: &RolloutObservation, share: u16) -> RolloutAdvance {
        let is_over = share == SHARE_WHOLE && observation.since_advance >= WHOLE_TIME_MIN;
        if is_over && self.is_proven() {
            return COMPLETED;
        }
        if self.stage == RolloutStage::Masked && !self.evidence.is_suspect() {
            return COMPLETED;
        }
        let is_failing = self.evidence.good_weight() <= -GOOD_WEIGHT_WHOLE;
        let reason = if is_failing || self.evidence.scores().route >= ROUTE_SCORE_SUSPECT {
            RolloutReason::Failures
        } else if self.evidence.scores().slowness >= SLOWNESS_SCORE_SUSPECT {
            RolloutReason::Slowness
        } else if has_capacity(observation) {
            RolloutReason::Undecided
        } else {
            RolloutReason::Capacity
        };
        roll_back(reason)
    }
}

/// Returns whether the target version could take all requests.
fn has_capacity(observation: &RolloutObservation) -> bool {
    let (target, stable) = (observation.target_slots, observation.stable_slots);
    target > 0 && u64::from(target) * 10 >= u64::from(stable) * 8
}

fn roll_back(reason: RolloutReason) -> RolloutAdvance {
    RolloutAdvance {
        phase: RolloutPhase::RolledBack,
        reason: Some(reason),
    }
}

fn change_share(share: u16, next: u16) -> Option<RolloutAdvance> {
    (share != next).then_some(RolloutAdvance {
        phase: RolloutPhase::InProgress(next),
        reason: None,
    })
}
