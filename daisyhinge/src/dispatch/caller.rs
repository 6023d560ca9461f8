//! What callers' deadlines tell of the time that they have spent before a request came in, and
//! how long an answer takes on its way back.
//!
//! A caller counts the objective from its first step: it may have asked for an address, opened a
//! connection or been refused elsewhere. Its deadline, which says what is left, is then shorter
//! than that of a caller that had spent nothing.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::vocabulary::site::SiteRoute;

/// Time to a caller and back that is assumed before one opened a connection.
const ROUND_TRIP_DEFAULT: Duration = Duration::from_millis(6);
/// Longest time to a caller and back that is allowed for.
const ROUND_TRIP_MAX: Duration = Duration::from_millis(30);
/// Weight of a new sample that is above the round trip: most callers do more than connect.
const RISE_WEIGHT: f64 = 0.03;
/// Time for merging and writing an answer.
const WRITE_SPAN: Duration = Duration::from_millis(3);
/// Weight of a new sample of how late this process acts.
const LAG_WEIGHT: f64 = 0.1;
/// Longest such sample.
const LAG_MAX: Duration = Duration::from_millis(20);
/// Deadlines out of range in a row after which the longest of them counts.
const ODD_MAX: u32 = 16;

/// Deadlines of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteDeadlines {
    /// Of a caller that had spent nothing: the longest on a connection that was open before.
    longest: Option<Duration>,
    odd: u32,
    odd_longest: Duration,
}

/// What is known of callers.
#[derive(Clone, Debug)]
pub struct CallerEstimate {
    deadlines: HashMap<Arc<str>, RouteDeadlines>,
    round_trip: Duration,
    lag: Duration,
}

impl Default for CallerEstimate {
    fn default() -> Self {
        Self {
            deadlines: HashMap::new(),
            round_trip: ROUND_TRIP_DEFAULT,
            lag: Duration::ZERO,
        }
    }
}

impl CallerEstimate {
    /// Forgets routes that are not `known`.
    pub(super) fn retain(&mut self, known: impl Fn(&Arc<str>) -> bool) {
        self.deadlines.retain(|name, _| known(name));
    }

    /// Takes the deadline of a request. Returns the time that its caller had spent before, zero if
    /// that is not known; `opened` if it opened a connection for the request.
    pub fn take_deadline(
        &mut self,
        route: &SiteRoute,
        deadline: Duration,
        opened: bool,
    ) -> Duration {
        let held = self.deadlines.entry(Arc::clone(&route.name)).or_default();
        if !opened && held.longest.is_none_or(|longest| deadline > longest) {
            held.longest = Some(deadline);
        }
        let Some(longest) = held.longest else {
            return Duration::ZERO;
        };
        let spent = longest.saturating_sub(deadline);
        if spent > route.objective {
            // Callers of another kind, or one that came back late.
            held.odd += 1;
            held.odd_longest = held.odd_longest.max(deadline);
            if held.odd >= ODD_MAX {
                held.longest = Some(held.odd_longest);
                held.odd = 0;
                held.odd_longest = Duration::ZERO;
            }
            return Duration::ZERO;
        }
        held.odd = 0;
        if opened && !spent.is_zero() {
            self.take_round_trip(spent);
        }
        spent
    }

    /// Opening a connection takes one round trip; the shortest times are no more than that.
    fn take_round_trip(&mut self, spent: Duration) {
        if spent <= self.round_trip {
            self.round_trip = spent;
        } else {
            let rise = spent.saturating_sub(self.round_trip).mul_f64(RISE_WEIGHT);
            self.round_trip = (self.round_trip + rise).min(ROUND_TRIP_MAX);
        }
    }

    /// Takes how late an answer was given that was due at a time.
    pub(super) fn note_lag(&mut self, late: Duration) {
        let late = late.min(LAG_MAX);
        self.lag = self.lag.mul_f64(1.0 - LAG_WEIGHT) + late.mul_f64(LAG_WEIGHT);
    }

    /// Time between when an answer is due here and when the caller has it, with its way here.
    pub fn margin(&self) -> Duration {
        self.round_trip + WRITE_SPAN + self.lag
    }
}
