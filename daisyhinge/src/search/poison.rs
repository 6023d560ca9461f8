//! Tracks requests that crash the backend servers on which they run, as known to this entry.

use std::collections::HashMap;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::replica::CrashRecord;

/// Number of crashes at which a request is refused.
pub const CRASHES_MAX: u32 = 2;

/// Retention of the crash history of a request.
pub const CRASH_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of crash histories; the least recently updated one is evicted first.
const HISTORIES_MAX: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct CrashHistory {
    counts: Vec<KeeperCrashes>,
    /// End of the period in which this entry refuses the request on its own evidence.
    poisoned_until: MonotonicTime,
    /// Time of the last connection reset during the request at this entry, unset by an answer.
    reset_at: Option<MonotonicTime>,
    /// Time of the last answer; earlier crashes are not attributed to the request.
    answered_at: Option<MonotonicTime>,
    updated_at: MonotonicTime,
}

#[derive(Clone, Debug)]
struct KeeperCrashes {
    keeper: u32,
    table: u64,
    crashes: u32,
    last_crash_at: MonotonicTime,
}

/// Crash histories by request digest, from the records of all keepers and from the connection
/// resets seen by this entry.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    histories: HashMap<RequestDigest, CrashHistory>,
}

impl PoisonTable {
    /// Replaces the crash records of the keeper with index `keeper`. If a former record is missing
    /// from `records`, the keeper has withdrawn or cleared it, and this entry's own record of a
    /// connection reset is dropped as well. Records from before a restart of the keeper, under
    /// another `table`, are retained until they expire.
    pub fn replace(
        &mut self,
        now: MonotonicTime,
        keeper: u32,
        table: u64,
        records: &[CrashRecord],
    ) {
        let is_same_report = |count: &KeeperCrashes| count.keeper == keeper && count.table == table;
        for (digest, history) in &mut self.histories {
            if history.counts.iter().any(is_same_report)
                && !records.iter().any(|new| new.digest == *digest)
            {
                history.counts.retain(|count| !is_same_report(count));
                history.reset_at = None;
            }
        }
        for record in records {
            let last_crash_at = now.before(Duration::from_millis(record.age_ms));
            let history = self.history(now, record.digest);
            let Some(count) = history
                .counts
                .iter_mut()
                .find(|count| is_same_report(count))
            else {
                history.counts.push(KeeperCrashes {
                    keeper,
                    table,
                    crashes: record.crashes,
                    last_crash_at,
                });
                continue;
            };
            count.crashes = record.crashes;
            // Reports of one crash differ by their network delays; the earliest is the most
            // accurate.
            if last_crash_at.since(count.last_crash_at) > AGE_TOLERANCE {
                count.last_crash_at = last_crash_at;
            }
        }
    }

    /// Crashes attributed to the request. It must not run at [`CRASHES_MAX`] or more.
    pub fn crashes(&self, now: MonotonicTime, digest: RequestDigest) -> u32 {
        if self.histories.is_empty() {
            return 0;
        }
        let Some(history) = self.histories.get(&digest) else {
            return 0;
        };
        if now < history.poisoned_until {
            return CRASHES_MAX;
        }
        let is_recent = |at: &MonotonicTime| now.since(*at) < CRASH_RETENTION;
        let own_crashes = u32::from(history.reset_at.as_ref().is_some_and(is_recent));
        let reported = history
            .counts
            .iter()
            .filter(|count| is_recent(&count.last_crash_at))
            .filter(|count| {
                history
                    .answered_at
                    .is_none_or(|answered_at| answered_at < count.last_crash_at)
            })
            // The maximum and not the sum, since crashes seen by several keepers may be a single
            // loss, such as that of a rack.
            .map(|count| count.crashes)
            .max()
            .unwrap_or(0);
        reported.max(own_crashes)
    }

    /// Records a connection reset during the request.
    pub fn record_reset(&mut self, now: MonotonicTime, digest: RequestDigest) {
        self.history(now, digest).reset_at = Some(now);
    }

    /// Marks the request as poisoned after two backend servers, one after the other, reset their
    /// connections during it.
    pub fn mark_poisoned(&mut self, now: MonotonicTime, digest: RequestDigest) {
        self.history(now, digest).poisoned_until = now + CRASH_RETENTION;
    }

    /// Records that a backend server answered the request; earlier crashes are no longer attributed
    /// to it.
    pub fn record_answer(&mut self, now: MonotonicTime, digest: RequestDigest) {
        if let Some(history) = self.histories.get_mut(&digest) {
            history.answered_at = Some(now);
            history.reset_at = None;
            history.poisoned_until = MonotonicTime::default();
        }
    }

    fn history(&mut self, now: MonotonicTime, digest: RequestDigest) -> &mut CrashHistory {
        if self.histories.len() >= HISTORIES_MAX && !self.histories.contains_key(&digest) {
            self.histories
                .retain(|_, history| now.since(history.updated_at) < CRASH_RETENTION);
            let oldest = self
                .histories
                .iter()
                .min_by_key(|(_, history)| history.updated_at);
            let oldest = oldest.map(|(digest, _)| *digest);
            if let (Some(oldest), true) = (oldest, self.histories.len() >= HISTORIES_MAX) {
                self.histories.remove(&oldest);
            }
        }
        let history = self.histories.entry(digest).or_default();
        history.updated_at = now;
        history
    }
}

/// Maximum difference between the ages of one crash in two reports.
const AGE_TOLERANCE: Duration = Duration::from_secs(1);
