//! Which versions of a service may receive requests, given the state of its rollout.
//!
//! Each entry keeps the target's share on its own. Its credit grows by the share with each attempt
//! at the service, and an attempt at the target costs a whole request. The credit starts at a hash of
//! the entry and the rollout, so that the attempts of all entries add up to the share on average.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{Choice, ChoiceQuery, Fleet, ReplicaIndex};
use crate::dispatch::share::{hash_fraction, hash_pair};
use crate::prelude::*;
use crate::vocabulary::registration::ReplicaRecord;
use crate::vocabulary::rollout::{RolloutPhase, RolloutRecord, SHARE_WHOLE};

/// Time after which an entry without a further confirmed reply sends nothing more to the target of a
/// rollout in progress, counted from when the request for the last one was sent. The state in that
/// reply may be 1.5 s old itself, and a rollback must be in force everywhere within 5 s.
const CONTACT_MAX: Duration = Duration::from_millis(1_500);
/// Maximum credit, in thousandths of a request. It bounds the burst after no replica of the target
/// was usable for some time.
const CREDIT_MAX: i64 = 8_000;
/// Maximum number of versions of a service whose first start is remembered.
const VERSIONS_MAX: usize = 16;

#[derive(Clone, Debug)]
struct ServiceRollout {
    record: RolloutRecord,
    /// Attempts that may go to the target, in thousandths of a request.
    credit: i64,
}

impl ServiceRollout {
    /// Returns the target's share in thousandths, if the rollout is in progress.
    fn share(&self) -> Option<i64> {
        match self.record.phase {
            RolloutPhase::InProgress(share) => Some(share.min(SHARE_WHOLE).into()),
            RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        }
    }
}

/// A version of a service that is or was present.
#[derive(Clone, Debug)]
struct KnownVersion {
    version: VersionName,
    /// Start of its first known replica, in milliseconds since the Unix epoch. It is kept when that
    /// replica ends, since a restart of all replicas must not make a later version the first one.
    born_ms: u64,
    is_present: bool,
}

/// Versions that an attempt may go to, in order of preference.
#[derive(Clone, Copy, Debug, Default)]
struct VersionOrder<'gate> {
    first: Option<&'gate VersionName>,
    second: Option<&'gate VersionName>,
    /// Whether the second version is used only while no replica of the first one is usable, busy and
    /// tried ones included.
    is_fallback: bool,
}

/// Rollouts and versions of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct RolloutGate {
    rollouts: HashMap<ServiceName, ServiceRollout>,
    versions: HashMap<ServiceName, Vec<KnownVersion>>,
    contact_until: MonotonicTime,
}

impl RolloutGate {
    /// Updates the versions of a service from its replicas.
    fn update_versions<'record>(
        &mut self,
        service: &ServiceName,
        records: impl Iterator<Item = &'record ReplicaRecord>,
    ) {
        let known = self.versions.entry(service.clone()).or_default();
        for version in known.iter_mut() {
            version.is_present = false;
        }
        for record in records {
            let born_ms = record.born_ms.unwrap_or(u64::MAX);
            let mut versions = known.iter_mut();
            match versions.find(|known| known.version == record.version) {
                Some(known) => {
                    known.is_present = true;
                    known.born_ms = known.born_ms.min(born_ms);
                }
                None => known.push(KnownVersion {
                    version: record.version.clone(),
                    born_ms,
                    is_present: true,
                }),
            }
        }
        if known.len() > VERSIONS_MAX {
            known.retain(|known| known.is_present);
        }
    }

    /// Returns the present version, other than `excluded`, whose first replica started first.
    fn first_version(
        &self,
        service: &ServiceName,
        excluded: Option<&VersionName>,
    ) -> Option<&VersionName> {
        let known = self.versions.get(service)?.iter();
        let present = known.filter(|known| known.is_present && Some(&known.version) != excluded);
        let first = present.min_by_key(|known| (known.born_ms, &known.version));
        first.map(|known| &known.version)
    }

    /// Returns the version that serves beside the target: the stable one while it is present.
    fn base_version(&self, record: &RolloutRecord) -> Option<&VersionName> {
        let service = &record.order.service;
        let known = self.versions.get(service)?.iter();
        let mut present = known.filter(|known| known.is_present);
        let stable = present.find(|known| Some(&known.version) == record.stable.as_ref());
        match stable {
            Some(known) => Some(&known.version),
            None => self.first_version(service, Some(&record.order.target)),
        }
    }

    /// Returns the version that serves in place of a completed target without usable replicas. While
    /// any replica of the target is known, it is not a version that no order has named.
    fn fallback_version(&self, record: &RolloutRecord) -> Option<&VersionName> {
        let mut known = self.versions.get(&record.order.service)?.iter();
        let has_target =
            known.any(|known| known.is_present && known.version == record.order.target);
        let base = self.base_version(record);
        base.filter(|base| !has_target || Some(*base) == record.stable.as_ref())
    }

    fn has_contact(&self, now: MonotonicTime) -> bool {
        now < self.contact_until
    }

    /// Returns the versions that the next attempt may go to. A first attempt prefers the target, so
    /// that its share is reached; others prefer the version that is known to serve.
    fn version_order(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        is_first: bool,
    ) -> VersionOrder<'_> {
        let Some(rollout) = self.rollouts.get(service) else {
            return VersionOrder {
                first: self.first_version(service, None),
                ..VersionOrder::default()
            };
        };
        let base = self.base_version(&rollout.record);
        let target = Some(&rollout.record.order.target);
        match rollout.record.phase {
            RolloutPhase::InProgress(_) => {
                let share = rollout.share().unwrap_or(0);
                let is_due = share > 0 && rollout.credit + share >= SHARE_WHOLE.into();
                let target = target.filter(|_| is_due && self.has_contact(now));
                let (first, second) = if is_first && target.is_some() {
                    (target, base)
                } else {
                    (base, target)
                };
                VersionOrder {
                    first,
                    second,
                    is_fallback: false,
                }
            }
            RolloutPhase::Completed => VersionOrder {
                first: target,
                second: self.fallback_version(&rollout.record),
                is_fallback: true,
            },
            RolloutPhase::RolledBack => VersionOrder {
                first: base,
                ..VersionOrder::default()
            },
        }
    }

    /// Whether an attempt that was chosen before may still be sent to a replica.
    fn allows(&self, now: MonotonicTime, replica: &ReplicaRecord) -> bool {
        let version = Some(&replica.version);
        let Some(rollout) = self.rollouts.get(&replica.service) else {
            return self.first_version(&replica.service, None) == version;
        };
        let is_target = replica.version == rollout.record.order.target;
        match rollout.record.phase {
            RolloutPhase::InProgress(_) if is_target => self.has_contact(now),
            RolloutPhase::Completed if is_target => true,
            RolloutPhase::RolledBack if is_target => false,
            RolloutPhase::Completed => self.fallback_version(&rollout.record) == version,
            _ => self.base_version(&rollout.record) == version,
        }
    }

    /// Moves the credit for an attempt at a replica that begins.
    fn charge(&mut self, replica: &ReplicaRecord) {
        let Some(rollout) = self.rollouts.get_mut(&replica.service) else {
            return;
        };
        let Some(share) = rollout.share() else {
            return;
        };
        let is_target = replica.version == rollout.record.order.target;
        let cost = if is_target { SHARE_WHOLE.into() } else { 0 };
        rollout.credit = (rollout.credit + share - cost).min(CREDIT_MAX);
    }

    /// Takes back what the credit grew by for an attempt that did not reach its replica. An attempt
    /// at the target stays paid for, so that requests do not all try an unreachable target first.
    fn revert_growth(&mut self, replica: &ReplicaRecord) {
        if let Some(rollout) = self.rollouts.get_mut(&replica.service)
            && let Some(share) = rollout.share()
            && replica.version != rollout.record.order.target
        {
            rollout.credit -= share;
        }
    }
}

impl Fleet {
    /// Restricts requests to the versions that rollouts allow.
    pub fn enable_rollouts(&mut self) {
        self.rollouts = Some(RolloutGate::default());
        self.update_versions();
    }

    /// Returns whether requests are restricted to the versions that rollouts allow.
    pub fn has_rollouts(&self) -> bool {
        self.rollouts.is_some()
    }

    /// Replaces the rollouts of all services. Returns those whose phase or share has changed.
    pub fn set_rollouts(
        &mut self,
        records: &BTreeMap<ServiceName, RolloutRecord>,
    ) -> Vec<RolloutRecord> {
        let Some(gate) = &mut self.rollouts else {
            return Vec::new();
        };
        let mut changed = Vec::new();
        gate.rollouts
            .retain(|service, _| records.contains_key(service));
        for (service, record) in records {
            let known = gate.rollouts.get_mut(service);
            match known.filter(|known| known.record.number == record.number) {
                Some(known) if known.record == *record => continue,
                Some(known) => {
                    let share = known.share();
                    known.record = record.clone();
                    if known.share() < share {
                        // Retries and hedges at the higher share have left credit, which would send
                        // a burst to a version that may have just proved to be bad.
                        let first = first_credit(&self.location.vm, record);
                        known.credit = known.credit.min(first);
                    }
                }
                None => {
                    let credit = first_credit(&self.location.vm, record);
                    let record = record.clone();
                    let rollout = ServiceRollout { record, credit };
                    gate.rollouts.insert(service.clone(), rollout);
                }
            }
            changed.push(record.clone());
        }
        changed
    }

    /// Records that a quorum of control has confirmed the state in the reply to a request that was
    /// sent at `sent_at`.
    pub fn record_confirmed(&mut self, sent_at: MonotonicTime) {
        if let Some(gate) = &mut self.rollouts {
            gate.contact_until = gate.contact_until.max(sent_at + CONTACT_MAX);
        }
    }

    /// Iterates over the records of the rollouts in progress.
    pub fn rollouts_in_progress(&self) -> impl Iterator<Item = &RolloutRecord> {
        let rollouts = self.rollouts.iter().flat_map(|gate| gate.rollouts.values());
        let running = rollouts.filter(|rollout| rollout.share().is_some());
        running.map(|rollout| &rollout.record)
    }

    /// Returns the number of the rollout in progress of a service.
    pub(in crate::dispatch) fn rollout_number(&self, service: &ServiceName) -> Option<u64> {
        let rollout = self.rollouts.as_ref()?.rollouts.get(service)?;
        rollout.share().map(|_| rollout.record.number)
    }

    /// Whether contact with control is recent enough to send to the targets of rollouts in progress.
    pub fn has_rollout_contact(&self, now: MonotonicTime) -> bool {
        self.rollouts
            .as_ref()
            .is_none_or(|gate| gate.has_contact(now))
    }

    /// Whether rollouts allow that a request is still sent to a replica that was chosen before.
    pub fn allows_version(&self, now: MonotonicTime, index: ReplicaIndex) -> bool {
        let Some(gate) = &self.rollouts else {
            return true;
        };
        let known = self.replicas.get(&index);
        known.is_none_or(|replica| gate.allows(now, &replica.record))
    }

    /// Records that an attempt was sent, which moves the credit of its service.
    pub fn begin(&mut self, now: MonotonicTime, index: ReplicaIndex, attempt: u64) {
        if let Some(replica) = self.replicas.get_mut(&index) {
            replica.begin(now, attempt);
            if let Some(gate) = &mut self.rollouts {
                gate.charge(&replica.record);
            }
        }
    }

    /// Records that an attempt was sent on behalf of another entry, whose credit it has moved.
    pub fn begin_relayed(&mut self, now: MonotonicTime, index: ReplicaIndex, attempt: u64) {
        if let Some(replica) = self.replicas.get_mut(&index) {
            replica.begin(now, attempt);
        }
    }

    /// Records that an attempt of this entry did not reach its replica.
    pub(in crate::dispatch) fn record_unsent(&mut self, index: ReplicaIndex) {
        if let (Some(gate), Some(replica)) = (&mut self.rollouts, self.replicas.get(&index)) {
            gate.revert_growth(&replica.record);
        }
    }

    /// Updates the versions of all services after replicas have changed.
    pub(super) fn update_versions(&mut self) {
        let Some(gate) = &mut self.rollouts else {
            return;
        };
        for (service, state) in &self.services {
            let members = state.members.iter();
            let known = members.filter_map(|index| self.replicas.get(index));
            gate.update_versions(service, known.map(|replica| &replica.record));
        }
    }

    pub(super) fn choose_gated(
        &self,
        now: MonotonicTime,
        query: &ChoiceQuery<'_>,
        gate: &RolloutGate,
    ) -> Choice {
        let order = gate.version_order(now, query.service, query.tried.is_empty());
        let choose = |query: &ChoiceQuery<'_>, version: Option<&VersionName>| {
            version.map_or(Choice::Unavailable, |version| {
                self.choose_version(now, query, Some(version))
            })
        };
        let first = choose(query, order.first);
        let untried = ChoiceQuery {
            tried: &[],
            ..*query
        };
        let is_final = match first {
            Choice::Replica(_) => true,
            _ => order.is_fallback && choose(&untried, order.first) != Choice::Unavailable,
        };
        if is_final {
            return first;
        }
        match choose(query, order.second) {
            Choice::Unavailable => first,
            second => second,
        }
    }
}

/// Returns the credit with which an entry begins a rollout, below one request.
fn first_credit(vm: &VmName, record: &RolloutRecord) -> i64 {
    let order = format!("{}/{}", record.order.service, record.number);
    let fraction = hash_fraction(hash_pair(vm.as_str(), &order));
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the product is below 1,000"
    )]
    let credit = (fraction * f64::from(SHARE_WHOLE)) as i64;
    credit
}
