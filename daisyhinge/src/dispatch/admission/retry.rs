//! Times at which refused callers were told to return.

use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::time::Duration;

use foldhash::fast::FixedState;

use crate::dispatch::share::hash_fraction;
use crate::prelude::*;

/// Maximum number of times that are remembered.
const TIMES_MAX: usize = 1_024;
/// Time after its stated return for which a caller is recognised.
const RETURN_TOLERANCE: Duration = Duration::from_millis(500);
/// Time before its stated return from which a caller is recognised: stated times are rounded.
const EARLY_TOLERANCE: Duration = Duration::from_millis(2);
/// Shortest time that is stated. A caller needs about as long to come back anyway.
const RETRY_MIN: Duration = Duration::from_millis(10);
/// Longest time that is stated. Estimates further ahead say little.
const RETRY_MAX: Duration = Duration::from_secs(2);
/// Percentage of the caller's remaining time after which it is told to return at the latest.
const REMAINING_PERCENT: u32 = 75;
/// Seed of the jitter.
const JITTER_SEED: u64 = 0x7265_7475_726e_0001;

/// Callers that were refused, recognised by the digests of their requests.
#[derive(Debug, Default)]
pub(super) struct RetryTable {
    times: VecDeque<(RequestDigest, MonotonicTime)>,
}

/// What determines the time that a caller is told.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryQuery {
    pub digest: RequestDigest,
    /// Time at which the request ends for its caller.
    pub deadline: MonotonicTime,
    /// Earliest time at which capacity is expected for the request.
    pub earliest: MonotonicTime,
    /// Expected time between two slots for such requests.
    pub gap: Duration,
}

impl RetryTable {
    /// Returns the time at which a refused caller should return. It is at a random point of its slot,
    /// so that callers with the same slot at different entries or services don't return together.
    pub(super) fn assign(&mut self, now: MonotonicTime, query: &RetryQuery) -> MonotonicTime {
        let hash = FixedState::with_seed(JITTER_SEED).hash_one((query.digest.0, now.0));
        let jitter = hash_fraction(hash);
        let latest = query.deadline.since(now) * REMAINING_PERCENT / 100;
        let latest = latest.min(RETRY_MAX);
        let delay = (query.earliest.since(now) + query.gap.mul_f64(jitter)).max(RETRY_MIN);
        let delay = if delay > latest {
            latest.mul_f64(1.0 - jitter / 2.0)
        } else {
            delay
        };
        let at = now + delay;
        while self.times.len() >= TIMES_MAX {
            self.times.pop_front();
        }
        self.times.push_back((query.digest, at));
        at
    }

    /// Returns whether a caller comes back at the time that it was told, which is then forgotten.
    pub(super) fn take(&mut self, now: MonotonicTime, digest: RequestDigest) -> bool {
        self.times.retain(|(_, at)| now <= *at + RETURN_TOLERANCE);
        let mut times = self.times.iter();
        let found = times.position(|(other, at)| *other == digest && *at <= now + EARLY_TOLERANCE);
        found.is_some_and(|index| self.times.remove(index).is_some())
    }
}
