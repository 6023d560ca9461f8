//! Estimates, from callers' deadlines, of the time spent before a request arrived and of the round
//! trip to the caller.
//!
//! A caller measures the objective from its first step: it may have looked up an address, opened a
//! connection or been refused elsewhere. Its deadline is the remaining time, and so shorter than
//! the deadline of a caller that had not spent any time yet.

use std::collections::HashMap;
use std::time::Duration;

use crate::vocabulary::site::{RoutePlace, SiteRoute};

/// Round trip to callers that is assumed before any of them has opened a connection.
const ROUND_TRIP_DEFAULT: Duration = Duration::from_millis(6);
/// Upper bound of the estimated round trip.
const ROUND_TRIP_MAX: Duration = Duration::from_millis(30);
/// Weight of a sample above the estimate; low, since most callers do more than connect.
const INCREASE_WEIGHT: f64 = 0.03;
/// Time reserved for merging and writing an answer.
const WRITE_TIME: Duration = Duration::from_millis(3);
/// Weight of a new sample in the mean of this process's lag.
const LAG_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the mean deviation of the lag.
const LAG_DEVIATION_WEIGHT: f64 = 0.1;
/// Multiple of the mean deviation that is reserved beyond the mean, as in the retransmission
/// timeout of TCP.
const LAG_DEVIATIONS: f64 = 2.0;
/// Upper bound of a lag sample.
const LAG_MAX: Duration = Duration::from_millis(20);
/// Consecutive outliers after which the longest of them becomes the reference deadline.
const OUTLIERS_MAX: u32 = 16;

/// Deadlines received on one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteDeadlines {
    /// Deadline of a caller that had spent no time: the longest received on a reused connection.
    longest: Option<Duration>,
    outliers: u32,
    longest_outlier: Duration,
}

/// Estimates of the callers' round trip and of the time they spend before a request arrives.
#[derive(Clone, Debug)]
pub struct CallerEstimate {
    deadlines: HashMap<RoutePlace, RouteDeadlines>,
    round_trip: Duration,
    /// Mean lag; unset before the first sample.
    lag: Option<Duration>,
    /// Mean deviation of the lag from its mean.
    lag_deviation: Duration,
}

impl Default for CallerEstimate {
    fn default() -> Self {
        Self {
            deadlines: HashMap::new(),
            round_trip: ROUND_TRIP_DEFAULT,
            lag: None,
            lag_deviation: Duration::ZERO,
        }
    }
}

impl CallerEstimate {
    /// Drops the routes for which `known` returns `false`.
    pub(super) fn retain(&mut self, known: impl Fn(&RoutePlace) -> bool) {
        self.deadlines.retain(|place, _| known(place));
    }

    /// Records the deadline of a request and returns the time that its caller had already spent,
    /// zero if unknown. `is_new_connection` says whether the caller opened a connection for the
    /// request.
    pub fn record_deadline(
        &mut self,
        route: &SiteRoute,
        deadline: Duration,
        is_new_connection: bool,
    ) -> Duration {
        let observed = self.deadlines.entry(route.place()).or_default();
        if !is_new_connection && observed.longest.is_none_or(|longest| deadline > longest) {
            observed.longest = Some(deadline);
        }
        let Some(longest) = observed.longest else {
            return Duration::ZERO;
        };
        let spent = longest.saturating_sub(deadline);
        if spent > route.objective {
            // Either callers with shorter deadlines, or one that retried late.
            observed.outliers += 1;
            observed.longest_outlier = observed.longest_outlier.max(deadline);
            if observed.outliers >= OUTLIERS_MAX {
                observed.longest = Some(observed.longest_outlier);
                observed.outliers = 0;
                observed.longest_outlier = Duration::ZERO;
            }
            return Duration::ZERO;
        }
        observed.outliers = 0;
        if is_new_connection && !spent.is_zero() {
            self.record_round_trip(spent);
        }
        spent
    }

    /// Updates the round trip. Opening a connection takes one, and the shortest samples contain
    /// nothing else.
    fn record_round_trip(&mut self, spent: Duration) {
        if spent <= self.round_trip {
            self.round_trip = spent;
        } else {
            let increase = spent
                .saturating_sub(self.round_trip)
                .mul_f64(INCREASE_WEIGHT);
            self.round_trip = (self.round_trip + increase).min(ROUND_TRIP_MAX);
        }
    }

    /// Records the delay of an answer beyond its scheduled time.
    pub fn record_lag(&mut self, late: Duration) {
        let late = late.min(LAG_MAX);
        let Some(lag) = self.lag else {
            self.lag = Some(late);
            self.lag_deviation = late / 2;
            return;
        };
        let deviation = late.abs_diff(lag);
        self.lag_deviation = self.lag_deviation.mul_f64(1.0 - LAG_DEVIATION_WEIGHT)
            + deviation.mul_f64(LAG_DEVIATION_WEIGHT);
        self.lag = Some(lag.mul_f64(1.0 - LAG_WEIGHT) + late.mul_f64(LAG_WEIGHT));
    }

    /// Returns the time to reserve between answering at this entry and the objective as the caller
    /// measures it: the round trip, which includes the request's way to this entry, the time to
    /// write the answer and most of the scheduling lag.
    pub fn margin(&self) -> Duration {
        let lag = self.lag.unwrap_or_default() + self.lag_deviation.mul_f64(LAG_DEVIATIONS);
        self.round_trip + WRITE_TIME + lag
    }
}
