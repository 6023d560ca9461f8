//! Tracks requests that crash the backend servers on which they run, as known to this entry.

use crate::crash::{CrashTracker, POISON_CRASHES};
use crate::prelude::*;
use crate::vocabulary::replica::CrashRecord;

/// Number of crashes at which a request is refused.
pub const CRASHES_MAX: u32 = POISON_CRASHES;

/// Crash records by request digest, from all keepers and from the connection resets seen by this
/// entry.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    tracker: CrashTracker,
}

impl PoisonTable {
    /// Replaces the crash records of `keeper`. If a former record is missing from `records`, the
    /// keeper has withdrawn or cleared it, and this entry's own record of a connection reset is
    /// dropped as well. Records from before a restart of the keeper, under another `table`, are
    /// retained until they expire.
    pub fn replace(
        &mut self,
        now: MonotonicTime,
        keeper: &VmName,
        table: u64,
        records: &[CrashRecord],
    ) {
        let mut withdrawn = self.tracker.list_received(keeper, table);
        withdrawn.retain(|digest| !records.iter().any(|record| record.digest == *digest));
        self.tracker.merge(now, keeper, table, records);
        for digest in withdrawn {
            if self.tracker.own_crashes(now, digest) < CRASHES_MAX {
                self.tracker.set_own_crashes(now, digest, 0, now);
            }
        }
    }

    /// Crashes attributed to the request. It must not run at [`CRASHES_MAX`] or more.
    pub fn crashes(&self, now: MonotonicTime, digest: RequestDigest) -> u32 {
        if self.tracker.is_empty() {
            return 0;
        }
        self.tracker.crashes(now, digest)
    }

    /// Records a connection reset during the request.
    pub fn record_reset(&mut self, now: MonotonicTime, digest: RequestDigest) {
        let crashes = self.tracker.own_crashes(now, digest).max(1);
        self.tracker.set_own_crashes(now, digest, crashes, now);
    }

    /// Marks the request as poisoned after two backend servers, one after the other, reset their
    /// connections during it.
    pub fn mark_poisoned(&mut self, now: MonotonicTime, digest: RequestDigest) {
        self.tracker.set_own_crashes(now, digest, CRASHES_MAX, now);
    }

    /// Records that a backend server answered the request; earlier crashes are no longer attributed
    /// to it.
    pub fn record_answer(&mut self, now: MonotonicTime, digest: RequestDigest) {
        self.tracker.clear(now, digest);
    }
}
