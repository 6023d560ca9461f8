//! The freshness lease: an entry may act on a version only while a recent proof shows that this
//! version is the newest.

use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::freshness::{CLOCK_DRIFT_PPM, LEASE_DURATION};

/// What an entry does with requests while it cannot prove that its configuration is the newest.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LapsePolicy {
    /// Serves with the configuration that it has.
    #[default]
    Serve,
    /// Refuses as not run, with [`ResultCode::NoLease`].
    Refuse,
}

/// Freshness lease of an entry: the newest proved version, and the time until which the entry may
/// act on it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FreshnessLease {
    version: VersionNumber,
    expires_at: MonotonicTime,
}

impl FreshnessLease {
    /// Extends the lease with a proof of `version` and returns whether it was extended.
    ///
    /// `sent_at` is the time at which the request was sent, not when the reply arrived. The age in
    /// the reply is measured from a moment after `sent_at`, so the lease can only be too short. A
    /// proof of an older version is ignored.
    pub fn renew(&mut self, version: VersionNumber, sent_at: MonotonicTime, age: Duration) -> bool {
        // The age was measured with other VMs' clocks, which may run slower than the local clock.
        let age = age.saturating_add(age.saturating_mul(CLOCK_DRIFT_PPM * 2) / 1_000_000);
        let expires_at = sent_at.before(age) + LEASE_DURATION;
        if version < self.version || (version == self.version && expires_at <= self.expires_at) {
            return false;
        }
        self.version = version;
        self.expires_at = expires_at.max(self.expires_at);
        true
    }

    /// Returns whether the lease is valid at `now`, so that work may be dispatched.
    pub fn holds(&self, now: MonotonicTime) -> bool {
        now < self.expires_at
    }

    /// Returns the time at which the lease expires unless it is renewed.
    pub fn expires_at(&self) -> MonotonicTime {
        self.expires_at
    }

    /// Returns the latest time at which the covered version is known to have been the newest; `None`
    /// without any proof.
    pub fn confirmed_at(&self) -> Option<MonotonicTime> {
        let proved = self.expires_at > MonotonicTime::default();
        proved.then(|| self.expires_at.before(LEASE_DURATION))
    }

    /// Returns the version that the lease covers.
    pub fn version(&self) -> VersionNumber {
        self.version
    }
}
