//! Decides which requests an entry still accepts during a planned stop.

use std::time::Duration;

use crate::prelude::*;

/// Time before the end of the grace at which every request is answered. It has to suffice for
/// writing the answers and for the exit of the process.
const ANSWER_MARGIN: Duration = Duration::from_millis(800);
/// Time that must be left beside the usual duration of a request, for the ways to and from the
/// replica.
const USUAL_MARGIN: Duration = Duration::from_millis(100);

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedStop {
    answer_by: MonotonicTime,
}

impl PlannedStop {
    /// Creates the stop of an entry that was told to stop at `now` and is killed after `grace`.
    pub fn open(now: MonotonicTime, grace: Duration) -> Self {
        let margin = ANSWER_MARGIN.min(grace / 2);
        Self {
            answer_by: now + grace.saturating_sub(margin),
        }
    }

    /// Returns the time at which every request gets its final answer.
    pub fn answer_by(&self) -> MonotonicTime {
        self.answer_by
    }

    /// Returns whether a request can be expected to end in time: by its own deadline, or after the
    /// `usual` duration of requests like it.
    pub fn accepts(&self, now: MonotonicTime, usual: Duration, deadline: MonotonicTime) -> bool {
        deadline <= self.answer_by || now + usual + USUAL_MARGIN <= self.answer_by
    }
}
