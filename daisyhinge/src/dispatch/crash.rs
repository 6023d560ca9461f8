//! Requests that crash the replicas that run them.
//!
//! A connection that ends before any part of an answer counts as a crash at once, because the next
//! try must not come before the record. Often it is none: answers get lost and connections get
//! reset. Such a record is withdrawn as soon as the same incarnation answers a request that was
//! sent later, too early for a restart. A request that is answered by any replica is no suspect.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use super::Dispatcher;
use super::fleet::{Fleet, ReplicaIndex};
use super::request::AttemptEnd;
use crate::crash::{CRASH_RETENTION, CrashTracker, POISON_CRASHES, PoisonStatus};
use crate::prelude::*;
use crate::vocabulary::registration::{CrashReport, ReplicaPhase, ReplicaRecord};
use crate::vocabulary::replica::CrashRecord;

/// Time after a reset in which an answer shows that the replica did not crash; a restart takes
/// longer.
const RESTART_TIME_MIN: Duration = Duration::from_secs(1);
/// Time after which a reset is decided. Heartbeats of a crashed replica have been missed by then.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which the caller of a refused request may retry while a reset is undecided.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of resets on record; the oldest is dropped first.
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
    /// Whether the request was a suspect when it was sent.
    probe: bool,
    /// Whether a request that was sent later was answered, after a restart was possible.
    answered_later: bool,
    /// Whether the incarnation is known to have ended.
    confirmed: bool,
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
    resets: VecDeque<ReplicaReset>,
    events: Vec<CrashEvent>,
}

impl CrashMonitor {
    /// Returns the poison status of a request.
    pub fn poison_status(&self, now: MonotonicTime, digest: RequestDigest) -> PoisonStatus {
        if self.tracker.is_empty() {
            return PoisonStatus::Clear;
        }
        self.tracker.poison_status(now, digest)
    }

    /// Returns when a refused caller may retry: soon while the crashes may still be withdrawn, else
    /// when the records expire.
    pub fn retry_after(&self, now: MonotonicTime, digest: RequestDigest) -> Duration {
        let age = self.tracker.last_crash_age(now, digest);
        if age < VERDICT_TIMEOUT {
            UNDECIDED_RETRY_AFTER
        } else {
            CRASH_RETENTION.saturating_sub(age)
        }
    }

    /// Records a reset while a replica ran a request. `probe` is set if the request was a suspect
    /// when it was sent.
    pub fn record_reset(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        record: &ReplicaRecord,
        probe: bool,
    ) {
        if self.resets.len() >= RESETS_MAX {
            self.resets.pop_front();
        }
        self.resets.push_back(ReplicaReset {
            digest,
            replica: record.name.clone(),
            born_ms: record.born_ms,
            at: now,
            probe,
            answered_later: false,
            confirmed: false,
        });
        self.recount(now, digest);
        self.push_event(now, digest, &record.name, CrashChange::Suspected, now);
    }

    /// Records that a replica answered a request, be it with an error of its own. `sent` is the
    /// time at which the request was sent.
    pub fn record_answer(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        replica: &ReplicaName,
        sent: MonotonicTime,
    ) {
        if self.poison_status(now, digest) == PoisonStatus::Suspect {
            self.tracker.record_answered(now, digest);
            self.resets.retain(|reset| reset.digest != digest);
            self.push_event(now, digest, replica, CrashChange::Cleared, now);
        }
        self.record_alive(now, replica, sent);
    }

    /// Records a sign of life of a replica in response to a request sent at `sent`.
    pub fn record_alive(&mut self, now: MonotonicTime, replica: &ReplicaName, sent: MonotonicTime) {
        let is_later = |reset: &ReplicaReset| {
            !reset.confirmed && reset.replica == *replica && reset.at <= sent
        };
        if !self.resets.iter().any(is_later) {
            return;
        }
        for reset in self.resets.iter_mut().filter(|reset| is_later(reset)) {
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
        if self.tracker.is_empty() && self.resets.is_empty() {
            return;
        }
        let current_phase = |reset: &ReplicaReset| {
            let record = fleet.find_record(&reset.replica);
            let same = record.filter(|record| record.born_ms == reset.born_ms);
            same.map(|record| record.phase)
        };
        self.confirm(now, |reset| current_phase(reset).is_none());
        let is_due =
            |reset: &ReplicaReset| !reset.confirmed && now.since(reset.at) >= VERDICT_TIMEOUT;
        self.withdraw(now, |reset| {
            let ready = current_phase(reset) == Some(ReplicaPhase::Ready);
            is_due(reset) && reset.answered_later && ready
        });
        // Without any sign of life the replica counts as crashed.
        self.confirm(now, is_due);
        self.resets
            .retain(|reset| now.since(reset.at) < CRASH_RETENTION);
        self.tracker.prune(now);
    }

    /// Replaces the records that another entry reported.
    pub fn merge(&mut self, now: MonotonicTime, report: &CrashReport) {
        let source = source_name(report);
        self.tracker
            .merge_listed(now, &source, report.incarnation, &report.records);
        let probes = self.resets.iter().filter(|reset| reset.probe);
        let digests: Vec<RequestDigest> = probes.map(|reset| reset.digest).collect();
        for digest in digests {
            self.recount(now, digest);
        }
    }

    /// Records which reports control has. Records from others that it had before are reported again
    /// by every entry that knows them.
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

    fn withdraw(&mut self, now: MonotonicTime, refuted: impl Fn(&ReplicaReset) -> bool) {
        let (gone, kept) = self.resets.drain(..).partition(refuted);
        self.resets = kept;
        for reset in Vec::from(gone) {
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
        let mut confirmed = Vec::new();
        for reset in &mut self.resets {
            if !reset.confirmed && ended(reset) {
                reset.confirmed = true;
                confirmed.push((reset.digest, reset.replica.clone(), reset.at));
            }
        }
        for (digest, replica, at) in confirmed {
            self.push_event(now, digest, &replica, CrashChange::Confirmed, at);
        }
    }

    /// Counts the crashes of a request from the resets on record. Resets under requests that were
    /// not suspects count as one, because an outage may take down several replicas at once. So does
    /// the reset of a probe if the crash before it has been withdrawn.
    fn recount(&mut self, now: MonotonicTime, digest: RequestDigest) {
        let resets = self.resets.iter().filter(|reset| reset.digest == digest);
        let last = resets.clone().map(|reset| reset.at).max();
        let probed = resets.clone().any(|reset| reset.probe);
        let is_second = resets.count() > 1 || self.tracker.has_received_crashes(now, digest);
        let crashes = if probed && is_second {
            POISON_CRASHES
        } else {
            u32::from(last.is_some())
        };
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

/// Returns the name of the process that a report comes from. A restarted entry is another source, so
/// that its former records stay.
fn source_name(report: &CrashReport) -> VmName {
    VmName::from(format!("{}#{:x}", report.vm, report.incarnation))
}

/// An attempt that has ended, as evidence for or against crashes.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    pub replica: ReplicaIndex,
    pub sent: MonotonicTime,
    pub end: AttemptEnd,
    /// Whether the request was a suspect when the attempt was sent.
    pub probe: bool,
    /// Whether a replica has answered the request already, so that it crashes none.
    pub answered_before: bool,
}

impl Dispatcher {
    /// Reviews the crash records, and takes what changed in them.
    pub fn review_crashes(&mut self, now: MonotonicTime) -> Vec<CrashEvent> {
        self.crashes.review(now, &self.fleet);
        self.crashes.take_events()
    }

    /// Updates the crash records after an attempt of the request `digest`.
    pub(super) fn record_crash_evidence(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        ended: EndedAttempt,
    ) {
        let Some(replica) = self.fleet.replica(ended.replica) else {
            return;
        };
        let record = &replica.record;
        let crashes = &mut self.crashes;
        match ended.end {
            AttemptEnd::Reset if !ended.answered_before => {
                crashes.record_reset(now, digest, record, ended.probe);
            }
            AttemptEnd::Answered | AttemptEnd::Failed => {
                crashes.record_answer(now, digest, &record.name, ended.sent);
            }
            AttemptEnd::NotRun => crashes.record_alive(now, &record.name, ended.sent),
            AttemptEnd::WrongServer => crashes.record_replaced(now, &record.name),
            AttemptEnd::Reset
            | AttemptEnd::NotSent
            | AttemptEnd::Withdrawn
            | AttemptEnd::Lost
            | AttemptEnd::PeerBusy => {}
        }
    }
}
