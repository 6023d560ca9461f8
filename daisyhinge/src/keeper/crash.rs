//! Requests that crashed backend servers, as keepers count them and roots look them up.

use std::collections::HashMap;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::clock::span_to_millis;
use crate::vocabulary::replica::CrashRecord;

/// Crashes after which a request is not run any more.
pub const POISON_CRASHES: u32 = 2;

/// How long crashes count, from the last one on.
pub const CRASH_KEEP_SPAN: Duration = Duration::from_mins(10);

/// Requests remembered at most.
pub const CRASH_ROWS_MAX: usize = 1_024;

/// Other keepers remembered for one request at most; two are enough to refuse it.
const SOURCES_MAX: usize = 8;

/// Silence after which a keeper's records are told by those that it told.
const KEEPER_SILENT_SPAN: Duration = Duration::from_secs(3);

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CrashVerdict {
    /// Nothing is known against it.
    Clear,
    /// A crash followed it or another that ran beside it: runs alone, and is not hedged.
    Suspect,
    /// It crashed backend servers: refused as [`ResultCode::RequestPoisoned`].
    Poisoned,
}

/// Crashes that one keeper counted for one request.
#[derive(Clone, Debug)]
struct SourceRow {
    /// The keeper; unset for this one.
    keeper: Option<VmName>,
    /// Its table, drawn at its start.
    table: u64,
    crashes: u32,
    last: MonotonicTime,
}

#[derive(Clone, Debug, Default)]
struct DigestRow {
    sources: Vec<SourceRow>,
    /// Crashes up to this moment are refuted by an answer.
    cleared: Option<MonotonicTime>,
}

impl DigestRow {
    fn counted(&self, now: MonotonicTime) -> u32 {
        let counts = self.sources.iter().filter(|row| {
            now.since(row.last) < CRASH_KEEP_SPAN && self.cleared.is_none_or(|at| row.last > at)
        });
        // Not the sum: crashes at several keepers may be one loss, such as of a rack. A probe's
        // crash carries the count of the one before it.
        counts.map(|row| row.crashes).max().unwrap_or(0)
    }

    fn last(&self) -> MonotonicTime {
        self.sources
            .iter()
            .map(|row| row.last)
            .max()
            .unwrap_or_default()
    }
}

/// Crash records of this keeper and of all others, merged by digest.
///
/// Memory is bounded by [`CRASH_ROWS_MAX`]; the request whose last crash is oldest goes first,
/// and one that is refused goes last.
#[derive(Clone, Debug, Default)]
pub struct CrashBook {
    rows: HashMap<RequestDigest, DigestRow>,
    /// The table that each keeper told last, and when.
    heard: HashMap<VmName, HeardTable>,
}

/// What a keeper told last.
#[derive(Clone, Copy, Debug)]
struct HeardTable {
    table: u64,
    at: MonotonicTime,
}

impl CrashBook {
    /// A book without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// What may be done with `digest`.
    pub fn verdict(&self, now: MonotonicTime, digest: RequestDigest) -> CrashVerdict {
        match self.rows.get(&digest).map_or(0, |row| row.counted(now)) {
            0 => CrashVerdict::Clear,
            count if count < POISON_CRASHES => CrashVerdict::Suspect,
            _ => CrashVerdict::Poisoned,
        }
    }

    /// Counts one crash of a backend server that ran `suspects`, and returns those whose count
    /// grew. A first crash counts one, however many servers fall at once: a rack that is lost
    /// takes servers from under innocent requests too. Only a `probe`, a request that was suspect
    /// before and ran alone, is convicted by the crash that follows it.
    pub fn note_crash(
        &mut self,
        now: MonotonicTime,
        suspects: &[RequestDigest],
        probe: bool,
    ) -> Vec<RequestDigest> {
        let count = if probe { POISON_CRASHES } else { 1 };
        let grows = |digest: &RequestDigest| self.own_count(now, *digest) < count;
        let blamed: Vec<_> = suspects.iter().copied().filter(grows).collect();
        for digest in &blamed {
            self.raise_own(now, *digest, count);
        }
        blamed
    }

    /// Takes one crash back, since the backend server turned out to be alive.
    pub fn withdraw(&mut self, digests: &[RequestDigest]) {
        for digest in digests {
            let Some(row) = self.rows.get_mut(digest) else {
                continue;
            };
            for source in row.sources.iter_mut().filter(|row| row.keeper.is_none()) {
                source.crashes = source.crashes.saturating_sub(1);
            }
            row.sources.retain(|source| source.crashes > 0);
            self.drop_if_empty(*digest);
        }
    }

    /// Takes in that `digest` was answered: it crashes every backend server that runs it or none,
    /// so the crashes up to now were not its doing. One that is refused already stays refused.
    pub fn note_answered(&mut self, now: MonotonicTime, digest: RequestDigest) {
        if self.verdict(now, digest) != CrashVerdict::Suspect {
            return;
        }
        if let Some(row) = self.rows.get_mut(&digest) {
            row.cleared = Some(now);
            row.sources.retain(|source| source.keeper.is_some());
            self.drop_if_empty(digest);
        }
    }

    /// Takes in all records that `keeper` has now, in place of those it had. `table` is drawn at
    /// its start: what it told before a restart stays until it is too old.
    pub fn merge(
        &mut self,
        now: MonotonicTime,
        keeper: &VmName,
        table: u64,
        records: &[CrashRecord],
    ) {
        let heard = HeardTable { table, at: now };
        self.heard.insert(keeper.clone(), heard);
        for row in self.rows.values_mut() {
            row.sources
                .retain(|source| source.keeper.as_ref() != Some(keeper) || source.table != table);
        }
        for record in records.iter().take(CRASH_ROWS_MAX) {
            let age = Duration::from_millis(record.age_ms);
            if record.crashes == 0 || age >= CRASH_KEEP_SPAN {
                continue;
            }
            let source = SourceRow {
                keeper: Some(keeper.clone()),
                table,
                crashes: record.crashes,
                last: now.before(age),
            };
            self.add_source(now, record.digest, source);
        }
        self.prune(now);
    }

    /// This keeper's own records, for [`crate::vocabulary::replica::TableDelta`], and those of
    /// keepers that are gone: an entry that starts later hears of them from nobody else.
    pub fn own_records(&self, now: MonotonicTime) -> Vec<CrashRecord> {
        let own = self.rows.iter().filter_map(|(digest, row)| {
            let told = row.sources.iter().filter(|source| self.is_own(now, source));
            let source = told.max_by_key(|source| (source.crashes, source.last))?;
            let age = now.since(source.last);
            (age < CRASH_KEEP_SPAN).then(|| CrashRecord {
                digest: *digest,
                crashes: source.crashes,
                age_ms: span_to_millis(age),
            })
        });
        own.collect()
    }

    /// Whether this keeper tells a record: its own, or one whose keeper ended or fell silent.
    fn is_own(&self, now: MonotonicTime, source: &SourceRow) -> bool {
        let Some(keeper) = &source.keeper else {
            return true;
        };
        self.heard.get(keeper).is_none_or(|heard| {
            heard.table != source.table || now.since(heard.at) >= KEEPER_SILENT_SPAN
        })
    }

    /// Forgets what is too old to count.
    pub fn prune(&mut self, now: MonotonicTime) {
        for row in self.rows.values_mut() {
            row.sources
                .retain(|source| now.since(source.last) < CRASH_KEEP_SPAN);
        }
        self.rows.retain(|_, row| !row.sources.is_empty());
        self.heard
            .retain(|_, heard| now.since(heard.at) < CRASH_KEEP_SPAN);
    }

    /// Requests remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn own_count(&self, now: MonotonicTime, digest: RequestDigest) -> u32 {
        let row = self.rows.get(&digest);
        let own = row.and_then(|row| row.sources.iter().find(|row| row.keeper.is_none()));
        own.filter(|row| now.since(row.last) < CRASH_KEEP_SPAN)
            .map_or(0, |row| row.crashes)
    }

    fn raise_own(&mut self, now: MonotonicTime, digest: RequestDigest, crashes: u32) {
        let own = self
            .rows
            .get_mut(&digest)
            .and_then(|row| row.sources.iter_mut().find(|row| row.keeper.is_none()));
        if let Some(source) = own {
            source.crashes = crashes;
            source.last = now;
            return;
        }
        let source = SourceRow {
            keeper: None,
            table: 0,
            crashes,
            last: now,
        };
        self.add_source(now, digest, source);
    }

    fn add_source(&mut self, now: MonotonicTime, digest: RequestDigest, source: SourceRow) {
        if !self.rows.contains_key(&digest) && self.rows.len() >= CRASH_ROWS_MAX {
            self.evict(now);
        }
        let row = self.rows.entry(digest).or_default();
        if row.sources.len() < SOURCES_MAX || source.keeper.is_none() {
            row.sources.push(source);
        }
        assert!(
            self.rows.len() <= CRASH_ROWS_MAX,
            "crash records grow without bound"
        );
    }

    fn evict(&mut self, now: MonotonicTime) {
        let rank = |digest: RequestDigest, row: &DigestRow| {
            let poisoned = row.counted(now) >= POISON_CRASHES;
            (poisoned, row.last(), digest)
        };
        let oldest = self
            .rows
            .iter()
            .map(|(digest, row)| rank(*digest, row))
            .min();
        if let Some((_, _, digest)) = oldest {
            self.rows.remove(&digest);
        }
    }

    fn drop_if_empty(&mut self, digest: RequestDigest) {
        if self
            .rows
            .get(&digest)
            .is_some_and(|row| row.sources.is_empty())
        {
            self.rows.remove(&digest);
        }
    }
}
