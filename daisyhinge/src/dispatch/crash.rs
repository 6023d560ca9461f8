//! Requests that crash the replicas that run them.
//!
//! A connection that ends before any part of an answer counts as a crash at once, because the next
//! try must not come before the record. Often it is none: answers get lost and connections get
//! reset. Such a record is withdrawn as soon as the same incarnation answers a request that was
//! sent later, too early for a restart. A request that is answered by any replica is no suspect.
//!
//! Other requests that ran beside a crashing one are lost with it, and may be so again when both
//! are retried at once. After a second consecutive crash a request is therefore held for some seconds
//! and then run once more; only a third one blocks it until the records expire.

use std::cmp::Reverse;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use super::fleet::Fleet;
use crate::crash::{CRASH_RETENTION, CrashTracker, PoisonStatus};
use crate::prelude::*;
use crate::vocabulary::registration::{CrashReport, ReplicaPhase, ReplicaRecord};
use crate::vocabulary::replica::CrashRecord;

mod evidence;
pub(super) use evidence::EndedAttempt;

/// Consecutive crashes after which a request is refused until its records expire.
const BLOCK_CRASHES: u32 = 3;
/// Consecutive crashes after which a request is refused for the hold time.
const HOLD_CRASHES: u32 = 2;
/// Minimum hold time; longer than the requests that ran beside it take.
const HOLD_TIME_MIN: Duration = Duration::from_secs(2);
/// Range of the hold times in milliseconds, which keeps apart requests that were lost together.
const HOLD_SPREAD_MS: u64 = 2_000;
/// Time after a reset in which an answer shows that the replica did not crash; a restart takes
/// longer.
const RESTART_TIME_MIN: Duration = Duration::from_secs(1);
/// Time after which a reset is decided. Heartbeats of a crashed replica have been missed by then.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which the caller of a refused request may retry while a reset is undecided.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of resets on record, of undecided and of confirmed ones each.
const RESETS_MAX: usize = 512;

/// Maximum number of requests that one entry reports.
const REPORTED_MAX: usize = 256;

/// A reset under a request, at one incarnation of a replica.
#[derive(Clone, Debug)]
struct ReplicaReset {
    digest: RequestDigest,
    replica: ReplicaName,
    born_ms: Option<u64>,
    at: MonotonicTime,
    /// Crashes of the request on record when it was sent, plus this one.
    crashes: u32,
    /// Whether a request that was sent later was answered, after a restart was possible.
    answered_later: bool,
}

/// What changed in the crash records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashChange {
    /// A connection was reset; it counts as a crash until it is withdrawn.
    Suspected,
    /// The replica proved to be alive; the reset no longer counts.
    Withdrawn,
    /// The incarnation of the replica has ended.
    Confirmed,
    /// The request was answered and is no suspect any more.
    Cleared,
}

/// Change of the crash records of one request, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashEvent {
    /// Request that was running.
    pub digest: RequestDigest,
    /// Replica that was involved.
    pub replica: ReplicaName,
    /// What changed.
    pub change: CrashChange,
    /// Time since the reset; zero if this event is the reset.
    pub age: Duration,
    /// Whether the request is refused from now on.
    pub poisoned: bool,
}

/// Crash records of an entry, and the resets that are not explained yet.
#[derive(Debug, Default)]
pub struct CrashMonitor {
    tracker: CrashTracker,
    /// Resets that may still be withdrawn.
    undecided: VecDeque<ReplicaReset>,
    /// Resets at incarnations that have ended.
    confirmed: VecDeque<ReplicaReset>,
    events: Vec<CrashEvent>,
}

impl CrashMonitor {
    /// Returns the poison status of a request.
    pub fn poison_status(&self, now: MonotonicTime, digest: RequestDigest) -> PoisonStatus {
        match self.crashes(now, digest) {
            0 => PoisonStatus::Clear,
            crashes if crashes >= BLOCK_CRASHES => PoisonStatus::Poisoned,
            crashes if crashes >= HOLD_CRASHES && self.is_held(now, digest) => {
                PoisonStatus::Poisoned
            }
            _ => PoisonStatus::Suspect,
        }
    }

    /// Returns the consecutive crashes of a request.
    pub fn crashes(&self, now: MonotonicTime, digest: RequestDigest) -> u32 {
        if self.tracker.is_empty() {
            return 0;
        }
        self.tracker.crashes(now, digest)
    }

    fn is_held(&self, now: MonotonicTime, digest: RequestDigest) -> bool {
        self.tracker.last_crash_age(now, digest) < hold_time(digest)
    }

    /// Returns when a refused caller may retry: when its request is no longer held, soon while the
    /// crashes may still be withdrawn, or when the records expire.
    pub fn retry_after(&self, now: MonotonicTime, digest: RequestDigest) -> Duration {
        let age = self.tracker.last_crash_age(now, digest);
        if self.crashes(now, digest) < BLOCK_CRASHES {
            hold_time(digest).saturating_sub(age)
        } else if age < VERDICT_TIMEOUT {
            UNDECIDED_RETRY_AFTER
        } else {
            CRASH_RETENTION.saturating_sub(age)
        }
    }

    /// Records a reset while a replica ran a request. `record` is unset if the replica is not known
    /// any more. `crashes_before` are the crashes of the request that were on record when it was
    /// sent.
    pub fn record_reset(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        record: Option<&ReplicaRecord>,
        crashes_before: u32,
    ) {
        let replica = record.map_or_else(unknown_replica, |record| record.name.clone());
        let resets = if record.is_some() {
            &mut self.undecided
        } else {
            &mut self.confirmed
        };
        if resets.len() >= RESETS_MAX {
            drop_least(resets, |digest| self.tracker.crashes(now, digest));
        }
        resets.push_back(ReplicaReset {
            digest,
            replica: replica.clone(),
            born_ms: record.and_then(|record| record.born_ms),
            at: now,
            crashes: crashes_before + 1,
            answered_later: false,
        });
        self.recount(now, digest);
        self.push_event(now, digest, &replica, CrashChange::Suspected, now);
    }

    /// Records that a replica answered a request, be it with an error of its own. `sent` is the
    /// time at which the request was sent; `replica` is unset if it is not known any more.
    pub fn record_answer(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        replica: Option<&ReplicaName>,
        sent: MonotonicTime,
    ) {
        if (1..BLOCK_CRASHES).contains(&self.crashes(now, digest)) {
            self.tracker.clear(now, digest);
            self.undecided.retain(|reset| reset.digest != digest);
            self.confirmed.retain(|reset| reset.digest != digest);
            let name = replica.cloned().unwrap_or_else(unknown_replica);
            self.push_event(now, digest, &name, CrashChange::Cleared, now);
        }
        if let Some(replica) = replica {
            self.record_alive(now, replica, sent);
        }
    }

    /// Records a sign of life of a replica in response to a request sent at `sent`.
    pub fn record_alive(&mut self, now: MonotonicTime, replica: &ReplicaName, sent: MonotonicTime) {
        let is_later = |reset: &ReplicaReset| reset.replica == *replica && reset.at <= sent;
        if !self.undecided.iter().any(is_later) {
            return;
        }
        for reset in self.undecided.iter_mut().filter(|reset| is_later(reset)) {
            reset.answered_later = true;
        }
        let refuted =
            |reset: &ReplicaReset| is_later(reset) && now.since(reset.at) < RESTART_TIME_MIN;
        self.withdraw(now, refuted);
    }

    /// Records that another server answers at the replica's address.
    pub fn record_replaced(&mut self, now: MonotonicTime, replica: &ReplicaName) {
        self.confirm(now, |reset| reset.replica == *replica);
    }

    /// Decides resets from what is known of the replicas, and drops expired records.
    pub fn review(&mut self, now: MonotonicTime, fleet: &Fleet) {
        if self.tracker.is_empty() && self.undecided.is_empty() {
            return;
        }
        let current_phase = |reset: &ReplicaReset| {
            let record = fleet.find_record(&reset.replica);
            let same = record.filter(|record| record.born_ms == reset.born_ms);
            same.map(|record| record.phase)
        };
        self.confirm(now, |reset| current_phase(reset).is_none());
        let is_due = |reset: &ReplicaReset| now.since(reset.at) >= VERDICT_TIMEOUT;
        self.withdraw(now, |reset| {
            let ready = current_phase(reset) == Some(ReplicaPhase::Ready);
            is_due(reset) && reset.answered_later && ready
        });
        // Without any sign of life the replica counts as crashed.
        self.confirm(now, is_due);
        self.confirmed
            .retain(|reset| now.since(reset.at) < CRASH_RETENTION);
        self.tracker.prune(now);
    }

    /// Replaces the records that another entry reported.
    pub fn merge(&mut self, now: MonotonicTime, report: &CrashReport) {
        let source = source_name(report);
        let mut changed = self.tracker.list_received(&source, report.incarnation);
        changed.extend(report.records.iter().map(|record| record.digest));
        let changed: HashSet<RequestDigest> = changed.into_iter().collect();
        self.tracker
            .merge_listed(now, &source, report.incarnation, &report.records);
        // Only consecutive crashes depend on what others count.
        let consecutive = self.resets().filter(|reset| reset.crashes > 1);
        let digests: HashSet<RequestDigest> = consecutive
            .map(|reset| reset.digest)
            .filter(|digest| changed.contains(digest))
            .collect();
        for digest in digests {
            self.recount(now, digest);
        }
    }

    /// Records which reports control has. Records that it had before and lost are reported again by
    /// every entry that knows them.
    pub fn retain_listed(&mut self, now: MonotonicTime, reports: &[CrashReport]) {
        let listed: Vec<VmName> = reports.iter().map(source_name).collect();
        self.tracker.retain_listed(now, &listed);
    }

    /// Returns the records to report to the other entries: the most important ones, with the
    /// requests that are refused first.
    pub fn list_records(&self, now: MonotonicTime) -> Vec<CrashRecord> {
        let mut records = self.tracker.own_records(now);
        records.sort_by_key(|record| (Reverse(record.crashes), record.age_ms, record.digest));
        records.truncate(REPORTED_MAX);
        records
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<CrashEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of requests with crash records.
    pub fn len(&self) -> usize {
        self.tracker.len()
    }

    /// Returns whether there are no crash records.
    pub fn is_empty(&self) -> bool {
        self.tracker.is_empty()
    }

    fn resets(&self) -> impl Iterator<Item = &ReplicaReset> + Clone {
        self.undecided.iter().chain(&self.confirmed)
    }

    fn withdraw(&mut self, now: MonotonicTime, refuted: impl Fn(&ReplicaReset) -> bool) {
        let (gone, kept): (VecDeque<_>, _) = self.undecided.drain(..).partition(refuted);
        self.undecided = kept;
        for reset in gone {
            self.recount(now, reset.digest);
            self.push_event(
                now,
                reset.digest,
                &reset.replica,
                CrashChange::Withdrawn,
                reset.at,
            );
        }
    }

    fn confirm(&mut self, now: MonotonicTime, ended: impl Fn(&ReplicaReset) -> bool) {
        let (confirmed, kept): (VecDeque<_>, _) = self.undecided.drain(..).partition(ended);
        self.undecided = kept;
        for reset in confirmed {
            self.push_event(
                now,
                reset.digest,
                &reset.replica,
                CrashChange::Confirmed,
                reset.at,
            );
            if self.confirmed.len() >= RESETS_MAX {
                drop_least(&mut self.confirmed, |digest| {
                    self.tracker.crashes(now, digest)
                });
            }
            self.confirmed.push_back(reset);
        }
    }

    /// Counts the consecutive crashes of a request from the resets on record. Resets under attempts that
    /// ran at the same time count as one, because an outage may take down several replicas at once.
    /// A crash does not count on those before it that have been withdrawn.
    fn recount(&mut self, now: MonotonicTime, digest: RequestDigest) {
        let resets = self.resets().filter(|reset| reset.digest == digest);
        let last = resets.clone().map(|reset| reset.at).max();
        let consecutive = resets.clone().map(|reset| reset.crashes).max();
        let own = u32::try_from(resets.count()).unwrap_or(u32::MAX);
        let known = own.saturating_add(self.tracker.received_crashes(now, digest));
        let crashes = consecutive.unwrap_or(0).min(known);
        self.tracker
            .set_own_crashes(now, digest, crashes, last.unwrap_or(now));
    }

    fn push_event(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        replica: &ReplicaName,
        change: CrashChange,
        reset_at: MonotonicTime,
    ) {
        self.events.push(CrashEvent {
            digest,
            replica: replica.clone(),
            change,
            age: now.since(reset_at),
            poisoned: self.poison_status(now, digest) == PoisonStatus::Poisoned,
        });
    }
}

/// Returns the name under which a replica is logged that is not known any more.
fn unknown_replica() -> ReplicaName {
    "gone".into()
}

/// Drops the oldest reset of the requests with the fewest crashes. Its request keeps its count.
fn drop_least(resets: &mut VecDeque<ReplicaReset>, crashes: impl Fn(RequestDigest) -> u32) {
    let ranked = resets.iter().enumerate();
    let least = ranked.min_by_key(|(_, reset)| (crashes(reset.digest), reset.at));
    if let Some(index) = least.map(|(index, _)| index) {
        resets.remove(index);
    }
}

/// Returns how long a request is refused after its second crash.
fn hold_time(digest: RequestDigest) -> Duration {
    HOLD_TIME_MIN + Duration::from_millis(digest.0 % HOLD_SPREAD_MS)
}

/// Returns the name of the process that a report comes from. A restarted entry is another source, so
/// that its former records stay.
fn source_name(report: &CrashReport) -> VmName {
    VmName::from(format!("{}#{:x}", report.vm, report.incarnation))
}
