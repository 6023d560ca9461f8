//! Whether a replica has fallen silent, from the requests that it leaves unanswered.

use std::time::Duration;

use crate::prelude::*;

/// Requests that a replica leaves unanswered, one after the other, before it is passed over: a
/// pause is no reason to go to another region.
const SUSPECT_MIN: u32 = 2;
/// First time for which it is passed over.
const SUSPECT_FIRST: Duration = Duration::from_millis(500);
/// By how much this time grows with each further such request, as a factor.
const SUSPECT_GROWTH: u32 = 3;
/// Longest such time.
const SUSPECT_MAX: Duration = Duration::from_secs(4);

/// What is known of one replica's silence.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Suspicion {
    /// When it last answered anything.
    answered: MonotonicTime,
    /// Requests that it left unanswered, one after the other.
    unanswered: u32,
    /// When the last of them was given up.
    given_up: MonotonicTime,
    until: MonotonicTime,
}

impl Suspicion {
    /// That of a replica that has just answered.
    pub(super) fn cleared(now: MonotonicTime) -> Self {
        Self {
            answered: now,
            ..Self::default()
        }
    }

    /// Whether it is passed over.
    pub(super) fn holds(&self, now: MonotonicTime) -> bool {
        now < self.until
    }

    /// Whether it answered nothing for more than one request.
    pub(super) fn is_silent(&self) -> bool {
        self.unanswered >= SUSPECT_MIN
    }

    /// Notes that a request, sent at `since`, was given up when it was overdue.
    pub(super) fn note_unanswered(&mut self, now: MonotonicTime, since: MonotonicTime) {
        if since < self.answered || since < self.given_up {
            return;
        }
        self.unanswered = self.unanswered.saturating_add(1);
        self.given_up = now;
        if let Some(further) = self.unanswered.checked_sub(SUSPECT_MIN) {
            let growth = SUSPECT_GROWTH.saturating_pow(further);
            let span = SUSPECT_FIRST.saturating_mul(growth).min(SUSPECT_MAX);
            self.until = now + span;
        }
    }
}
