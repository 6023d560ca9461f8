//! The freshness lease: an entry acts on a version only while a recent proof says it is newest.

use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::freshness::{DRIFT_PPM, LEASE_SPAN};

/// The lease of one entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FreshnessLease {
    version: VersionNumber,
    ends: MonotonicTime,
}

impl FreshnessLease {
    /// Takes in a proof of `version`.
    ///
    /// `asked` is when the question left, not when the answer came: the age in the answer counts
    /// from some moment after `asked`, so the lease can only come out too short. A proof of an
    /// older version is ignored. Returns whether the lease was extended.
    pub fn renew(&mut self, version: VersionNumber, asked: MonotonicTime, age: Duration) -> bool {
        // The age was counted on other VMs' clocks, which may run slower than this one.
        let age = age.saturating_add(age.saturating_mul(DRIFT_PPM * 2) / 1_000_000);
        let ends = asked.before(age) + LEASE_SPAN;
        if version < self.version || (version == self.version && ends <= self.ends) {
            return false;
        }
        self.version = version;
        self.ends = ends.max(self.ends);
        true
    }

    /// Whether work may be dispatched at `now`.
    pub fn holds(&self, now: MonotonicTime) -> bool {
        now < self.ends
    }

    /// When the lease ends unless it is renewed.
    pub fn ends(&self) -> MonotonicTime {
        self.ends
    }

    /// The version that it is for.
    pub fn version(&self) -> VersionNumber {
        self.version
    }
}
