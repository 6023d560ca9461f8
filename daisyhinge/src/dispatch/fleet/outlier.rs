//! Outlier detection: ejects a replica that leaves consecutive requests unanswered.

use std::time::Duration;

use crate::prelude::*;

/// Consecutive unanswered requests before a replica is ejected; more than one, so that a single
/// pause does not divert requests to another region.
const EJECTION_THRESHOLD: u32 = 2;
/// Initial ejection time.
const EJECTION_FIRST: Duration = Duration::from_millis(500);
/// Factor by which the ejection time grows with each further unanswered request.
const EJECTION_GROWTH: u32 = 3;
/// Maximum ejection time.
const EJECTION_MAX: Duration = Duration::from_secs(4);

/// Unanswered requests and ejection state of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutlierDetector {
    /// Time of the last answer.
    answered: MonotonicTime,
    /// Consecutive unanswered requests.
    unanswered: u32,
    /// Time at which the last of them was given up.
    given_up: MonotonicTime,
    until: MonotonicTime,
}

impl OutlierDetector {
    /// Creates the state of a replica that has just answered.
    pub(super) fn new_answered(now: MonotonicTime) -> Self {
        Self {
            answered: now,
            ..Self::default()
        }
    }

    /// Whether the replica is ejected.
    pub(super) fn is_ejected(&self, now: MonotonicTime) -> bool {
        now < self.until
    }

    /// Whether the replica has left enough consecutive requests unanswered to be ejected.
    pub(super) fn is_silent(&self) -> bool {
        self.unanswered >= EJECTION_THRESHOLD
    }

    /// Notes that a request, sent at `since`, was given up when it was overdue.
    pub(super) fn record_unanswered(&mut self, now: MonotonicTime, since: MonotonicTime) {
        if since < self.answered || since < self.given_up {
            return;
        }
        self.unanswered = self.unanswered.saturating_add(1);
        self.given_up = now;
        if let Some(further) = self.unanswered.checked_sub(EJECTION_THRESHOLD) {
            let growth = EJECTION_GROWTH.saturating_pow(further);
            let span = EJECTION_FIRST.saturating_mul(growth).min(EJECTION_MAX);
            self.until = now + span;
        }
    }
}
