//! Shares and times of a rollout's stages.

use std::time::Duration;

use super::RolloutLimits;
use crate::vocabulary::rollout::SHARE_WHOLE;

/// Share at which a rollout starts, in thousandths.
pub(super) const SHARE_FIRST: u16 = 50;

/// Share while the target version has had its requests for the time being, in thousandths.
pub(super) const SHARE_LEAST: u16 = 20;

/// Maximum share before the load stage, for services with few requests, in thousandths.
pub(super) const SHARE_MOST: u16 = 500;

/// First share of the load stage, in thousandths.
pub(super) const SHARE_LOAD: u16 = 250;

/// Time at the load stage's first share. This time and those below are 50 ms below a multiple of the
/// 250 ms between steps, so that a step that comes early does not double them.
pub(super) const LOAD_TIME: Duration = Duration::from_millis(450);

/// Time of the probe at the whole share. It exceeds the difference in the times at which entries apply
/// a share, so that all of them take part.
pub(super) const PROBE_TIME: Duration = Duration::from_millis(450);

/// Minimum time between two changes of the share before the load stage.
pub(super) const SHARE_TIME: Duration = Duration::from_millis(950);

/// Time from the probe until its outcomes are known: changes of share, latencies and reports.
pub(super) const PROBE_REPORT_TIME: Duration = Duration::from_millis(950);

/// Time at the whole share. It exceeds the required 1.5 s by the time until entries apply a share.
pub(super) const WHOLE_TIME: Duration = Duration::from_millis(1_700);

/// Minimum time at the whole share of a rollout whose time is over.
pub(super) const WHOLE_TIME_MIN: Duration = Duration::from_millis(1_450);

/// Time from the decision to the deadline: 1 s, and one step of 250 ms.
pub(super) const DECISION_MARGIN: Duration = Duration::from_millis(1_250);

/// Time from the planned start of the load stage to the deadline: the stages with a repeated probe,
/// the margin and one step.
const LOAD_LEAD: Duration = Duration::from_millis(6_500);

/// The same without a repeated probe, for short rollouts.
const LOAD_LEAD_SHORT: Duration = Duration::from_millis(5_500);

/// Time before the request rate is known well enough to choose a share.
const RATE_TIME: Duration = Duration::from_millis(500);

/// Requests of the target version before the load stage, if the rate permits.
const CANARY_SAMPLES: f64 = 25.0;

/// Part of the exposure limit that is used while the evidence is not conclusive.
const SHARE_USED: f64 = 0.8;

/// Part of the exposure slack that is used while the evidence is not conclusive.
const SLACK_USED: f64 = 0.5;

/// Good answers that a verdict requires, and some more.
const VERDICT_SAMPLES: f64 = 75.0;

/// Maximum time by which the load stage starts earlier to collect [`VERDICT_SAMPLES`].
const EARLIER_MAX_S: f64 = 3.0;

/// Time in seconds from a fault at the whole share until requests stop: latency, report, decision
/// and change of share.
const REACTION_S: f64 = 1.5;

/// Requests that a probe exposes, in seconds of all requests, with the following wait.
const PROBE_EXPOSURE_S: f64 = 0.75;

/// Part of the exposure limit that the first stage may use, so that the rest is left for the load
/// stage, whose exposure until a verdict is about 0.75 s of all requests.
const CANARY_PART: f64 = 0.25;

/// Requests sent since the order, and the time since then.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestPace {
    pub elapsed: Duration,
    pub duration: Duration,
    /// Requests to both versions.
    pub all: f64,
    /// Requests to the target version.
    pub target: f64,
}

impl RequestPace {
    /// Returns the share in thousandths while the evidence is not conclusive.
    pub fn canary_share(&self, limits: RolloutLimits) -> u16 {
        let used = SHARE_USED * limits.exposure_share * self.all
            + SLACK_USED * f64::from(limits.exposure_slack);
        if self.target >= used {
            return SHARE_LEAST;
        }
        if self.elapsed < RATE_TIME || self.all < 1.0 {
            return SHARE_FIRST;
        }
        let stage = self.rate_per_s() * self.load_start().as_secs_f64().max(1.0);
        let whole = self.allowed(limits);
        let first = stage * f64::from(SHARE_FIRST) / f64::from(SHARE_WHOLE);
        if first < CANARY_SAMPLES {
            round_share(CANARY_SAMPLES / stage)
        } else if first > CANARY_PART * whole {
            SHARE_LEAST
        } else {
            SHARE_FIRST
        }
    }

    /// Returns the planned start of the load stage, from the order on.
    ///
    /// It is late, since a version that turns bad during the first stage costs least there, but
    /// leaves long rollouts the time to repeat the load stage. At low rates it is earlier.
    pub fn load_start(&self) -> Duration {
        let latest = self.duration.saturating_sub(LOAD_LEAD);
        let short = self.duration.saturating_sub(LOAD_LEAD_SHORT);
        let early = short.min(self.duration.mul_f64(0.375));
        let start = latest.min(self.duration.mul_f64(0.6)).max(early);
        let collecting_s = VERDICT_SAMPLES / self.rate_per_s().max(1.0);
        let earlier_s = (collecting_s - WHOLE_TIME.as_secs_f64()).clamp(0.0, EARLIER_MAX_S);
        start.saturating_sub(Duration::from_secs_f64(earlier_s))
    }

    /// Returns whether a version that is bad at the whole share only can be stopped there within the
    /// exposure limits. If not, a probe precedes the whole share.
    pub fn is_affordable(&self, limits: RolloutLimits) -> bool {
        self.target + REACTION_S * self.rate_per_s() <= self.allowed(limits)
    }

    /// Returns whether the exposure limits allow for a second probe.
    pub fn allows_probe(&self, limits: RolloutLimits) -> bool {
        self.target + PROBE_EXPOSURE_S * self.rate_per_s() <= self.allowed(limits)
    }

    fn rate_per_s(&self) -> f64 {
        self.all / self.elapsed.as_secs_f64().max(0.25)
    }

    /// Returns the requests that a bad version may receive until the deadline.
    fn allowed(&self, limits: RolloutLimits) -> f64 {
        let all = self.rate_per_s() * self.duration.as_secs_f64();
        limits.exposure_share * all + f64::from(limits.exposure_slack)
    }
}

/// Rounds to steps of 50, so that a share does not change with every step.
fn round_share(share: f64) -> u16 {
    [100, 150, 200, 350]
        .into_iter()
        .find(|step| share * f64::from(SHARE_WHOLE) <= f64::from(*step))
        .unwrap_or(SHARE_MOST)
}
