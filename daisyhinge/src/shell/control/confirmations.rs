//! When a quorum last confirmed each of the latest states.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ControlShell;
use crate::prelude::*;

/// Maximum number of recorded states; more than are committed while one of them waits to be
/// published to entries.
const STATES_MAX: usize = 1_024;

/// Times of the last confirmation of the latest states, by revision. A state is sent to entries a
/// while after it was applied, when a later one may have been confirmed already.
#[derive(Debug, Default)]
pub struct StateConfirmations(BTreeMap<u64, MonotonicTime>);

impl StateConfirmations {
    /// Records that the state with this revision was the newest at `at`.
    pub(super) fn record(&mut self, revision: u64, at: MonotonicTime) {
        self.0.insert(revision, at);
        if self.0.len() > STATES_MAX {
            self.0.pop_first();
        }
    }

    /// Returns the last confirmation of any state.
    fn latest(&self) -> Option<MonotonicTime> {
        self.0.values().next_back().copied()
    }

    /// Returns the last time at which the state with this revision is known to have been the newest.
    fn of_state(&self, revision: u64) -> Option<MonotonicTime> {
        let confirmed = self.0.range(..=revision).next_back();
        confirmed.map(|(_, at)| *at)
    }
}

impl ControlShell {
    /// Time since a quorum last confirmed the state of this VM; `None` if it never did.
    pub fn quorum_age(&self) -> Option<Duration> {
        let confirmed = self.published_site.confirmations.lock().latest();
        confirmed.map(|at| self.clock.now().since(at))
    }

    /// Time since the state with this revision was last known to be the newest; `None` if it never
    /// was.
    pub fn state_age(&self, revision: u64) -> Option<Duration> {
        let confirmed = self.published_site.confirmations.lock().of_state(revision);
        confirmed.map(|at| self.clock.now().since(at))
    }
}
