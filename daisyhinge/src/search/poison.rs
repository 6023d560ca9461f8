//! Requests that crash the backend servers that run them, as far as this entry knows.

use std::collections::HashMap;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::replica::CrashRecord;

/// Crashes after which a request is not run any more.
pub const CRASHES_MAX: u32 = 2;

/// How long a request that crashed servers is remembered.
pub const CRASH_KEEP: Duration = Duration::from_mins(10);

/// Requests remembered at most; the oldest is forgotten first.
const DIGESTS_MAX: usize = 4_096;

/// What is known against one request.
#[derive(Clone, Debug, Default)]
struct DigestRow {
    /// What each keeper counted.
    counts: Vec<KeeperCount>,
    /// Until then this entry refuses it on its own evidence.
    condemned_until: MonotonicTime,
    /// A connection was reset under it at this entry, and it was not answered since.
    suspected: Option<MonotonicTime>,
    /// It was answered then, so earlier crashes were not its doing.
    absolved: Option<MonotonicTime>,
    /// Last news.
    heard: MonotonicTime,
}

#[derive(Clone, Debug)]
struct KeeperCount {
    keeper: u32,
    table: u64,
    crashes: u32,
    last: MonotonicTime,
}

/// Crash records of all keepers and this entry's own evidence, by digest.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    rows: HashMap<RequestDigest, DigestRow>,
}

impl PoisonTable {
    /// Takes in all records that a keeper, known by its index, has now, in place of those it had:
    /// one that is no longer there was no crash. What it told before a restart, under another
    /// `table`, stays until it is too old.
    pub fn replace(
        &mut self,
        now: MonotonicTime,
        keeper: u32,
        table: u64,
        records: &[CrashRecord],
    ) {
        let is_old = |count: &KeeperCount| count.keeper == keeper && count.table == table;
        for (digest, row) in &mut self.rows {
            if row.counts.iter().any(is_old) && !records.iter().any(|new| new.digest == *digest) {
                row.counts.retain(|count| !is_old(count));
                row.suspected = None;
            }
        }
        for record in records {
            let last = now.before(Duration::from_millis(record.age_ms));
            let row = self.row(now, record.digest);
            let Some(count) = row.counts.iter_mut().find(|count| is_old(count)) else {
                row.counts.push(KeeperCount {
                    keeper,
                    table,
                    crashes: record.crashes,
                    last,
                });
                continue;
            };
            count.crashes = record.crashes;
            // Reports of one crash differ by their travelling times: the earliest is nearest.
            if last.since(count.last) > AGE_TOLERANCE {
                count.last = last;
            }
        }
    }

    /// Crashes that count against the request. [`CRASHES_MAX`] or more: it must not run.
    pub fn crashes(&self, now: MonotonicTime, digest: RequestDigest) -> u32 {
        if self.rows.is_empty() {
            return 0;
        }
        let Some(row) = self.rows.get(&digest) else {
            return 0;
        };
        if now < row.condemned_until {
            return CRASHES_MAX;
        }
        let is_recent = |at: &MonotonicTime| now.since(*at) < CRASH_KEEP;
        let own = u32::from(row.suspected.as_ref().is_some_and(is_recent));
        let told = row
            .counts
            .iter()
            .filter(|count| is_recent(&count.last))
            .filter(|count| row.absolved.is_none_or(|absolved| absolved < count.last))
            // Not the sum: crashes at several keepers may be one loss, such as of a rack.
            .map(|count| count.crashes)
            .max()
            .unwrap_or(0);
        told.max(own)
    }

    /// A connection was reset under the request.
    pub fn suspect(&mut self, now: MonotonicTime, digest: RequestDigest) {
        self.row(now, digest).suspected = Some(now);
    }

    /// Two backend servers, one after the other, reset their connections under the request.
    pub fn condemn(&mut self, now: MonotonicTime, digest: RequestDigest) {
        self.row(now, digest).condemned_until = now + CRASH_KEEP;
    }

    /// The request was answered by a backend server: what crashed before was not its doing.
    pub fn absolve(&mut self, now: MonotonicTime, digest: RequestDigest) {
        if let Some(row) = self.rows.get_mut(&digest) {
            row.absolved = Some(now);
            row.suspected = None;
            row.condemned_until = MonotonicTime::default();
        }
    }

    fn row(&mut self, now: MonotonicTime, digest: RequestDigest) -> &mut DigestRow {
        if self.rows.len() >= DIGESTS_MAX && !self.rows.contains_key(&digest) {
            self.rows.retain(|_, row| now.since(row.heard) < CRASH_KEEP);
            let oldest = self.rows.iter().min_by_key(|(_, row)| row.heard);
            let oldest = oldest.map(|(digest, _)| *digest);
            if let (Some(oldest), true) = (oldest, self.rows.len() >= DIGESTS_MAX) {
                self.rows.remove(&oldest);
            }
        }
        let row = self.rows.entry(digest).or_default();
        row.heard = now;
        row
    }
}

/// Ages of the same crash in two reports differ by less.
const AGE_TOLERANCE: Duration = Duration::from_secs(1);
