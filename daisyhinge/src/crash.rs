//! Crash records by request: counted where requests are sent to backend servers, exchanged between
//! entries, and looked up before a request is sent.

use std::collections::HashMap;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::clock::duration_to_millis;
use crate::vocabulary::replica::CrashRecord;
use counts::{CrashCount, RequestCrashes};

mod counts;

/// Number of crashes at which a request is refused as poisoned.
pub const POISON_CRASHES: u32 = 2;

/// Time for which a crash counts, from the last crash of the request on.
pub const CRASH_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of requests with crash records.
pub const CRASH_RECORDS_MAX: usize = 1_024;

/// Time without a table from a keeper after which entries that received its records publish them in
/// its place.
const KEEPER_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum difference between the ages of one crash in two reports; the earliest is the most accurate.
const AGE_TOLERANCE: Duration = Duration::from_millis(250);

/// Poison status of a request; decides whether it is dispatched normally, in isolation or not at
/// all.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PoisonStatus {
    /// No crash is attributed to the request.
    Clear,
    /// A server crashed while it ran the request, perhaps beside others. A suspect runs in
    /// isolation and is not hedged.
    Suspect,
    /// The request crashed backend servers and is refused as [`ResultCode::RequestPoisoned`].
    Poisoned,
}

/// Crash records of this keeper and of all others, merged by request digest.
///
/// Memory is bounded by [`CRASH_RECORDS_MAX`]. The request with the oldest last crash is evicted
/// first; poisoned requests are evicted last.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    requests: HashMap<RequestDigest, RequestCrashes>,
    /// Latest table received from each other keeper.
    latest_tables: HashMap<VmName, LatestTable>,
}

/// Identity of a received table and its time of arrival.
#[derive(Clone, Copy, Debug)]
struct LatestTable {
    table: u64,
    received_at: MonotonicTime,
    /// Whether control lists the source, which then does not fall silent.
    listed: bool,
}

impl CrashTracker {
    /// Creates a tracker without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the poison status of the request `digest`.
    pub fn poison_status(&self, now: MonotonicTime, digest: RequestDigest) -> PoisonStatus {
        match self.crashes(now, digest) {
            0 => PoisonStatus::Clear,
            count if count < POISON_CRASHES => PoisonStatus::Suspect,
            _ => PoisonStatus::Poisoned,
        }
    }

    /// Counts one crash of a backend server that ran `suspects`; returns the requests whose count
    /// increased.
    ///
    /// A first crash counts as one however many servers crash at once, because the loss of a rack
    /// also takes down servers that ran innocent requests. Only the crash of a `probe`, a suspect
    /// that ran in isolation, poisons its request.
    pub fn record_crash(
        &mut self,
        now: MonotonicTime,
        suspects: &[RequestDigest],
        probe: bool,
    ) -> Vec<RequestDigest> {
        let count = if probe { POISON_CRASHES } else { 1 };
        let grows = |digest: &RequestDigest| self.own_crashes(now, *digest) < count;
        let attributed: Vec<_> = suspects.iter().copied().filter(grows).collect();
        for digest in &attributed {
            self.set_own_crashes(now, *digest, count, now);
        }
        attributed
    }

    /// Sets the crashes of `digest` that this entry counts; zero removes its record.
    pub fn set_own_crashes(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        crashes: u32,
        last_crash_at: MonotonicTime,
    ) {
        if let Some(request) = self.requests.get_mut(&digest) {
            request.sources.retain(|source| source.keeper.is_some());
        }
        if crashes > 0 {
            let source = CrashCount {
                keeper: None,
                table: 0,
                crashes,
                last_crash_at,
            };
            self.add_source(now, digest, source);
        } else {
            self.remove_if_empty(digest);
        }
    }

    /// Returns the crashes of `digest` on record.
    pub fn crashes(&self, now: MonotonicTime, digest: RequestDigest) -> u32 {
        let request = self.requests.get(&digest);
        request.map_or(0, |request| request.crash_count(now))
    }

    /// Returns the requests that `keeper` recorded in its table.
    pub fn list_received(&self, keeper: &VmName, table: u64) -> Vec<RequestDigest> {
        let is_from =
            |source: &CrashCount| source.keeper.as_ref() == Some(keeper) && source.table == table;
        let received = self.requests.iter();
        let received = received.filter(|(_, request)| request.sources.iter().any(is_from));
        received.map(|(digest, _)| *digest).collect()
    }

    /// Returns the crashes of `digest` that another entry counts.
    pub fn received_crashes(&self, now: MonotonicTime, digest: RequestDigest) -> u32 {
        let request = self.requests.get(&digest);
        request.map_or(0, |request| {
            let counted = request.counted_sources(now);
            let received = counted.filter(|source| source.keeper.is_some());
            received.map(|source| source.crashes).max().unwrap_or(0)
        })
    }

    /// Returns the time since the last crash of `digest`; zero if there is none on record.
    pub fn last_crash_age(&self, now: MonotonicTime, digest: RequestDigest) -> Duration {
        let request = self.requests.get(&digest);
        request.map_or(Duration::ZERO, |request| now.since(request.last_crash_at()))
    }

    /// Subtracts one crash from `digests` after the backend server turned out to be alive.
    pub fn withdraw(&mut self, digests: &[RequestDigest]) {
        for digest in digests {
            let Some(request) = self.requests.get_mut(digest) else {
                continue;
            };
            for source in request
                .sources
                .iter_mut()
                .filter(|source| source.keeper.is_none())
            {
                source.crashes = source.crashes.saturating_sub(1);
            }
            request.sources.retain(|source| source.crashes > 0);
            self.remove_if_empty(*digest);
        }
    }

    /// Clears `digest` after an answer: a request crashes either every backend server that runs it
    /// or none, so an answered request did not cause the crashes so far. A poisoned request stays
    /// poisoned.
    pub fn record_answered(&mut self, now: MonotonicTime, digest: RequestDigest) {
        if self.poison_status(now, digest) == PoisonStatus::Suspect {
            self.clear(now, digest);
        }
    }

    /// Clears `digest`: crashes up to now are not attributed to it any more.
    pub fn clear(&mut self, now: MonotonicTime, digest: RequestDigest) {
        if let Some(request) = self.requests.get_mut(&digest) {
            request.cleared = Some(now);
            request.sources.retain(|source| source.keeper.is_some());
            self.remove_if_empty(digest);
        }
    }

    /// Replaces the records of `keeper` by `records`.
    ///
    /// `table` is the identity that the keeper chose at its start. Records from before a restart of
    /// the keeper stay until they expire.
    pub fn merge(
        &mut self,
        now: MonotonicTime,
        keeper: &VmName,
        table: u64,
        records: &[CrashRecord],
    ) {
        let latest_table = LatestTable {
            table,
            received_at: now,
            listed: false,
        };
        self.latest_tables.insert(keeper.clone(), latest_table);
        let is_from =
            |source: &CrashCount| source.keeper.as_ref() == Some(keeper) && source.table == table;
        let mut former: HashMap<RequestDigest, CrashCount> = HashMap::new();
        for (digest, request) in &mut self.requests {
            for source in request.sources.extract_if(.., |source| is_from(source)) {
                former.insert(*digest, source);
            }
        }
        for record in records.iter().take(CRASH_RECORDS_MAX) {
            let age = Duration::from_millis(record.age_ms);
            if record.crashes == 0 || age >= CRASH_RETENTION {
                continue;
            }
            let reported_at = now.before(age);
            let same = former.remove(&record.digest).filter(|former| {
                former.crashes == record.crashes
                    && reported_at.since(former.last_crash_at) <= AGE_TOLERANCE
            });
            let source = CrashCount {
                keeper: Some(keeper.clone()),
                table,
                crashes: record.crashes,
                last_crash_at: same.map_or(reported_at, |former| former.last_crash_at),
            };
            self.add_source(now, record.digest, source);
        }
        self.prune(now);
    }

    /// Replaces the records of a source that control lists to all entries, as [`Self::merge`] does.
    /// The source does not fall silent as long as it is listed.
    pub fn merge_listed(
        &mut self,
        now: MonotonicTime,
        source: &VmName,
        table: u64,
        records: &[CrashRecord],
    ) {
        self.merge(now, source, table, records);
        if let Some(latest_table) = self.latest_tables.get_mut(source) {
            latest_table.listed = true;
        }
    }

    /// Lets all sources fall silent that control lists no longer.
    pub fn retain_listed(&mut self, now: MonotonicTime, listed: &[VmName]) {
        for (source, latest_table) in &mut self.latest_tables {
            if latest_table.listed && !listed.contains(source) {
                latest_table.listed = false;
                latest_table.received_at = now;
            }
        }
    }

    /// Returns the records to publish in a [`crate::vocabulary::replica::TableDelta`]: this
    /// keeper's own, and those received from keepers that have restarted or fallen silent since. An
    /// entry that starts later has no other source for the latter.
    pub fn own_records(&self, now: MonotonicTime) -> Vec<CrashRecord> {
        let records = self.requests.iter().filter_map(|(digest, request)| {
            let published = request
                .sources
                .iter()
                .filter(|source| self.is_published(now, source));
            let source = published.max_by_key(|source| (source.crashes, source.last_crash_at))?;
            let age = now.since(source.last_crash_at);
            (age < CRASH_RETENTION).then(|| CrashRecord {
                digest: *digest,
                crashes: source.crashes,
                age_ms: duration_to_millis(age),
            })
        });
        records.collect()
    }

    /// Returns whether this keeper publishes a record: its own, or one whose keeper has restarted
    /// or fallen silent.
    fn is_published(&self, now: MonotonicTime, source: &CrashCount) -> bool {
        let Some(keeper) = &source.keeper else {
            return true;
        };
        self.latest_tables.get(keeper).is_none_or(|latest_table| {
            latest_table.table != source.table
                || (!latest_table.listed
                    && now.since(latest_table.received_at) >= KEEPER_SILENCE_TIMEOUT)
        })
    }

    /// Removes expired records.
    pub fn prune(&mut self, now: MonotonicTime) {
        for request in self.requests.values_mut() {
            request
                .sources
                .retain(|source| now.since(source.last_crash_at) < CRASH_RETENTION);
        }
        self.requests
            .retain(|_, request| !request.sources.is_empty());
        self.latest_tables.retain(|_, latest_table| {
            latest_table.listed || now.since(latest_table.received_at) < CRASH_RETENTION
        });
    }

    /// Returns the number of requests with crash records.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether there are no crash records.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the crashes of `digest` that this entry counts.
    pub fn own_crashes(&self, now: MonotonicTime, digest: RequestDigest) -> u32 {
        let request = self.requests.get(&digest);
        let own_source = request.and_then(|request| {
            request
                .sources
                .iter()
                .find(|source| source.keeper.is_none())
        });
        own_source
            .filter(|source| now.since(source.last_crash_at) < CRASH_RETENTION)
            .map_or(0, |source| source.crashes)
    }

    fn add_source(&mut self, now: MonotonicTime, digest: RequestDigest, source: CrashCount) {
        if !self.requests.contains_key(&digest) && self.requests.len() >= CRASH_RECORDS_MAX {
            self.evict(now);
        }
        self.requests.entry(digest).or_default().add_source(source);
        assert!(
            self.requests.len() <= CRASH_RECORDS_MAX,
            "number of crash records exceeds its limit"
        );
    }

    fn evict(&mut self, now: MonotonicTime) {
        let eviction_rank = |digest: RequestDigest, request: &RequestCrashes| {
            let poisoned = request.crash_count(now) >= POISON_CRASHES;
            (poisoned, request.last_crash_at(), digest)
        };
        let oldest = self
            .requests
            .iter()
            .map(|(digest, request)| eviction_rank(*digest, request))
            .min();
        if let Some((_, _, digest)) = oldest {
            self.requests.remove(&digest);
        }
    }

    fn remove_if_empty(&mut self, digest: RequestDigest) {
        if self
            .requests
            .get(&digest)
            .is_some_and(|request| request.sources.is_empty())
        {
            self.requests.remove(&digest);
        }
    }
}
