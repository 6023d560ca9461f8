//! Evidence on a rollout: the histories of its routes, and what they say of the target version.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::RolloutObservation;
use super::history::{PairTotals, TotalsHistory};
use super::sequential::{
    recent_failures, recent_slowness, score_failures, score_slowness, weigh_step,
};
use crate::vocabulary::rollout::RolloutReason;

/// Score of failures at which a version is rolled back.
const FAILURE_SCORE_BAD: f64 = 8.0;

/// Score of the failures of one route above which the share does not increase.
pub(super) const ROUTE_SCORE_SUSPECT: f64 = 5.0;

/// Score of slowness at which a version is rolled back.
const SLOWNESS_SCORE_BAD: f64 = 8.0;

/// Score of slowness above which the share does not increase.
pub(super) const SLOWNESS_SCORE_SUSPECT: f64 = 3.0;

/// Score of slowness above which a probe is repeated.
pub(super) const SLOWNESS_SCORE_PROBE: f64 = 1.0;

/// Maximum of that weight, so that a long good stretch does not outweigh later failures.
const GOOD_WEIGHT_MAX: f64 = 13.0;

/// Scores of the target version: logarithms of likelihood ratios, 0 if it is no worse.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct VersionScores {
    /// Failures over all routes.
    pub overall: f64,
    /// Failures of the worst route.
    pub route: f64,
    pub slowness: f64,
}

/// Outcomes of a rollout and their scores.
#[derive(Clone, Debug)]
pub(super) struct RolloutEvidence {
    /// Outcomes over all routes.
    overall: TotalsHistory,
    /// Outcomes by route.
    routes: BTreeMap<Arc<str>, TotalsHistory>,
    /// Scores of the newest totals.
    scores: VersionScores,
    /// Evidence for a good version, a sum of logarithms of odds up to [`GOOD_WEIGHT_MAX`].
    good_weight: f64,
}

impl VersionScores {
    /// Returns the score of failures.
    pub fn failures(self) -> f64 {
        self.overall.max(self.route)
    }

    /// Returns the highest score.
    pub fn worst(self) -> f64 {
        self.failures().max(self.slowness)
    }
}

impl Default for RolloutEvidence {
    fn default() -> Self {
        Self {
            overall: TotalsHistory::open(),
            routes: BTreeMap::new(),
            scores: VersionScores::default(),
            good_weight: 0.0,
        }
    }
}

impl RolloutEvidence {
    /// Adds the newest totals.
    pub fn record(&mut self, observation: &RolloutObservation) {
        let mut overall = PairTotals::default();
        let mut routes = BTreeMap::<_, PairTotals>::new();
        for counts in &observation.counts {
            let route = routes.entry(Arc::clone(&counts.route)).or_default();
            if counts.version == observation.target {
                route.target.add(counts);
                overall.target.add(counts);
            } else {
                route.stable.add(counts);
                overall.stable.add(counts);
            }
        }
        if !self.overall.push(overall) {
            return;
        }
        let weight = self.good_weight + weigh_step(&self.overall);
        self.good_weight = weight.clamp(-GOOD_WEIGHT_MAX, GOOD_WEIGHT_MAX);
        for (route, totals) in routes {
            let history = self.routes.entry(route).or_insert_with(TotalsHistory::open);
            history.push(totals);
        }
        let failures = self.routes.values().map(score_failures);
        self.scores = VersionScores {
            overall: score_failures(&self.overall),
            route: failures.fold(0.0, f64::max),
            slowness: score_slowness(&self.routes),
        };
    }

    /// Returns the scores of the newest totals.
    pub fn scores(&self) -> VersionScores {
        self.scores
    }

    /// Returns the evidence for a good version.
    pub fn good_weight(&self) -> f64 {
        self.good_weight
    }

    /// Returns the newest totals over all routes.
    pub fn totals(&self) -> &PairTotals {
        self.overall.newest()
    }

    /// Returns why the target version is bad, if it is.
    pub fn find_fault(&self) -> Option<RolloutReason> {
        if self.scores.failures() >= FAILURE_SCORE_BAD {
            Some(RolloutReason::Failures)
        } else if self.scores.slowness >= SLOWNESS_SCORE_BAD {
            Some(RolloutReason::Slowness)
        } else {
            None
        }
    }

    /// Returns whether the target version may be bad, so that its share must not increase.
    pub fn is_suspect(&self) -> bool {
        self.scores.route >= ROUTE_SCORE_SUSPECT || self.scores.slowness >= SLOWNESS_SCORE_SUSPECT
    }

    /// Returns the rates of bad responses of the stable and the target version over the last steps.
    pub fn recent_rates(&self, reason: RolloutReason, steps: usize) -> (f64, f64) {
        if reason == RolloutReason::Slowness {
            recent_slowness(&self.routes, steps)
        } else {
            recent_failures(&self.overall, steps)
        }
    }

    /// Forgets the outcomes so far, but keeps the evidence for a good version.
    pub fn forget(&mut self) {
        self.scores = VersionScores::default();
        self.overall.restart();
        self.routes.values_mut().for_each(TotalsHistory::restart);
    }

    /// Forgets the outcomes and the evidence so far.
    pub fn restart(&mut self) {
        self.good_weight = 0.0;
        self.forget();
    }
}
