//! The replicas known to an entry, and load balancing among them.
//!
//! Replicas are scored by expected latency and load, so that stragglers and paused replicas are
//! avoided: one whose oldest request is overdue is penalised before any latency sample arrives,
//! one that sheds or fails requests counts as slower than it is, and one that can't be reached is
//! backed off for a short, growing time. Ejecting a replica only lowers its rank: if all replicas
//! are ejected, the best of them is used.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::prelude::*;
use crate::registry::supersedes;
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::registration::{EntryPresence, ReplicaPhase, ReplicaRecord};
use crate::vocabulary::site::SiteConfig;

mod choice;
mod cold_gate;
mod departed;
mod detour;
mod load;
mod locality;
mod location;
mod notice;
mod outlier;
mod replica;
mod request_rate;
mod rollout;
mod shares;
use super::budget::SlackShare;
pub use choice::{Choice, ChoiceQuery};
use cold_gate::ColdGate;
use departed::DepartedReplicas;
pub use detour::ReplicaReach;
pub use locality::Locality;
pub use location::FleetLocation;
pub use notice::{NoticeCounts, ReplicaNotice};
pub use replica::{FleetReplica, ReplicaOutcome};
pub use request_rate::{RateChange, RateNotice, RequestRate};
use rollout::RolloutGate;

/// Local identifier of a replica at this entry; never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaIndex(pub u32);

#[derive(Clone, Debug, Default)]
struct ServiceState {
    members: Vec<ReplicaIndex>,
    connections_max: Option<u32>,
    cold_per_second: Option<f64>,
}

/// The replicas to which an entry can route requests, with their health and load.
#[derive(Debug)]
pub struct Fleet {
    location: FleetLocation,
    replicas: HashMap<ReplicaIndex, FleetReplica>,
    names: HashMap<ReplicaName, ReplicaIndex>,
    services: HashMap<ServiceName, ServiceState>,
    entries: HashMap<VmName, EntryPresence>,
    evacuated: BTreeSet<CentreName>,
    /// Smallest connection limit of a replica among all services; `None` if no service has one.
    connections_min: Option<u32>,
    slack: SlackShare,
    /// Regions to which a link to another entry is open.
    linked_regions: BTreeSet<RegionName>,
    reach: ReplicaReach,
    reach_changed_at: MonotonicTime,
    departed: DepartedReplicas,
    /// VMs of the active entries, this one included once it is announced.
    active: BTreeSet<VmName>,
    cold_gate: ColdGate,
    /// Versions that may receive requests; `None` if the deployment has no rollouts.
    rollouts: Option<RolloutGate>,
    next_index: u32,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn open(location: FleetLocation) -> Self {
        Self {
            location,
            replicas: HashMap::new(),
            names: HashMap::new(),
            services: HashMap::new(),
            entries: HashMap::new(),
            evacuated: BTreeSet::new(),
            connections_min: None,
            slack: SlackShare::OneOf(1),
            linked_regions: BTreeSet::new(),
            reach: ReplicaReach::default(),
            reach_changed_at: MonotonicTime(0),
            departed: DepartedReplicas::default(),
            active: BTreeSet::new(),
            cold_gate: ColdGate::default(),
            rollouts: None,
            next_index: 0,
        }
    }

    /// Returns the location of the entry.
    pub fn location(&self) -> &FleetLocation {
        &self.location
    }

    /// Updates the connection limits and cold rates of services from a configuration.
    pub fn update_services(&mut self, config: &SiteConfig) {
        for service in &config.services {
            let state = self.services.entry(service.name.clone()).or_default();
            state.connections_max = Some(service.connections_max);
            state.cold_per_second = service.cold_per_second;
        }
        self.connections_min = config.connections_min();
        self.update_shares();
    }

    /// Replaces the set of evacuated data centres, whose replicas get no requests.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<CentreName>) {
        self.evacuated = evacuated;
    }

    /// Updates entries from announcements and recomputes this entry's shares.
    pub fn update_entries(&mut self, entries: Vec<EntryPresence>) {
        for presence in entries {
            self.entries.insert(presence.vm.clone(), presence);
        }
        self.update_shares();
    }

    /// Records that control has answered a request that was sent at `sent_at`, after its reply was
    /// applied.
    pub fn record_contact(&mut self, now: MonotonicTime, sent_at: MonotonicTime) {
        self.cold_gate.record_contact(now, sent_at);
    }

    /// Returns this entry's share of the slack in the retry budgets.
    pub fn slack_share(&self) -> SlackShare {
        self.slack
    }

    /// Updates a replica from an announcement. Returns its index if it is new.
    pub fn update_replica(
        &mut self,
        now: MonotonicTime,
        record: ReplicaRecord,
    ) -> Option<ReplicaIndex> {
        let index = self.upsert_replica(now, record);
        if index.is_some() {
            self.update_shares();
        }
        self.update_versions();
        index
    }

    /// Updates several replicas from announcements.
    pub fn update_replicas(&mut self, now: MonotonicTime, records: Vec<ReplicaRecord>) {
        let mut changed = false;
        for record in records {
            changed = self.upsert_replica(now, record).is_some() || changed;
        }
        if changed {
            self.update_shares();
        }
        self.update_versions();
    }

    fn upsert_replica(
        &mut self,
        now: MonotonicTime,
        record: ReplicaRecord,
    ) -> Option<ReplicaIndex> {
        if let Some(index) = self.names.get(&record.name).copied() {
            let current = self.replicas.get_mut(&index)?;
            if !supersedes(&current.record, &record) {
                return None;
            }
            let same = current.record.born_ms == record.born_ms
                && current.record.address == record.address
                && current.record.service == record.service;
            if same && record.phase != ReplicaPhase::Left {
                current.update_record(now, record);
                return None;
            }
            self.remove(index);
        }
        if record.phase == ReplicaPhase::Left {
            // Without the time of its start, a departure cannot be told from a later incarnation.
            if record.born_ms.is_some() {
                self.departed.insert(&record.name, record.born_ms);
            }
            return None;
        }
        if self.departed.contains(&record) {
            return None;
        }
        let index = ReplicaIndex(self.next_index);
        self.next_index += 1;
        let locality = self.location.locality_of(&record.data_centre);
        let state = self.services.entry(record.service.clone()).or_default();
        state.members.push(index);
        self.names.insert(record.name.clone(), index);
        let replica = FleetReplica::open(now, record, locality);
        self.replicas.insert(index, replica);
        Some(index)
    }

    fn remove(&mut self, index: ReplicaIndex) {
        if let Some(replica) = self.replicas.remove(&index) {
            self.names.remove(&replica.record.name);
            if let Some(state) = self.services.get_mut(&replica.record.service) {
                state.members.retain(|member| *member != index);
            }
        }
    }

    /// Returns a replica by its index.
    pub fn replica(&self, index: ReplicaIndex) -> Option<&FleetReplica> {
        self.replicas.get(&index)
    }

    /// Returns the last announcement of a replica that may be used.
    pub fn find_record(&self, name: &ReplicaName) -> Option<&ReplicaRecord> {
        let index = self.names.get(name)?;
        self.replicas.get(index).map(|replica| &replica.record)
    }

    /// Iterates over the replicas of all services.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaIndex, &FleetReplica)> {
        self.replicas
            .iter()
            .map(|(index, replica)| (*index, replica))
    }

    /// Records how many idle connections this entry has to a replica.
    pub fn record_idle(&mut self, index: ReplicaIndex, idle: usize) {
        if let Some(replica) = self.replicas.get_mut(&index) {
            replica.idle = idle;
        }
    }

    /// Records how many idle connections this entry has to each replica.
    pub fn record_all_idle(&mut self, idle: impl Fn(ReplicaIndex) -> usize) {
        for (index, replica) in &mut self.replicas {
            replica.idle = idle(*index);
        }
    }

    /// Chooses the replica with the lowest score: the one expected to answer first, among those of
    /// the versions that rollouts allow.
    pub fn choose(&self, now: MonotonicTime, query: &ChoiceQuery<'_>) -> Choice {
        match &self.rollouts {
            Some(gate) => self.choose_gated(now, query, gate),
            None => self.choose_version(now, query, None),
        }
    }

    fn choose_version(
        &self,
        now: MonotonicTime,
        query: &ChoiceQuery<'_>,
        version: Option<&VersionName>,
    ) -> Choice {
        let Some(state) = self.services.get(query.service) else {
            return Choice::Unavailable;
        };
        let mut busy = false;
        let mut best: Option<(u64, ReplicaIndex)> = None;
        for index in &state.members {
            let Some(replica) = self.replicas.get(index) else {
                continue;
            };
            if version.is_some_and(|version| replica.record.version != *version) {
                continue;
            }
            if query.tried.contains(index) || !self.is_usable(now, replica, query.allowed_regions) {
                continue;
            }
            if !self.has_capacity(now, replica) {
                busy = true;
                continue;
            }
            let score = replica.score(now);
            if best.is_none_or(|(known, _)| score < known) {
                best = Some((score, *index));
            }
        }
        match best {
            Some((_, index)) => Choice::Replica(index),
            None if busy => Choice::Busy,
            None => Choice::Unavailable,
        }
    }

    fn is_usable(
        &self,
        now: MonotonicTime,
        replica: &FleetReplica,
        allowed: &[RegionName],
    ) -> bool {
        self.is_permitted(replica, allowed)
            && replica.blocked_until(now).is_none()
            && !replica.is_backed_off(now)
            && self.is_reachable(replica)
    }

    /// Whether a replica takes requests at all and is in one of the regions.
    fn is_permitted(&self, replica: &FleetReplica, allowed: &[RegionName]) -> bool {
        let centre = &replica.record.data_centre;
        let permitted = allowed.is_empty()
            || self
                .location
                .region_of(centre)
                .is_some_and(|region| allowed.contains(region));
        permitted && replica.is_offered() && !self.evacuated.contains(centre)
    }

    /// Whether the service has a usable replica at present, busy ones included.
    pub fn has_usable_replica(&self, now: MonotonicTime, query: &ChoiceQuery<'_>) -> bool {
        self.choose(now, query) != Choice::Unavailable
    }

    /// Whether a request may still be sent to a replica that was chosen before.
    pub fn may_send(&self, now: MonotonicTime, index: ReplicaIndex) -> bool {
        self.may_relay(now, index) && self.allows_version(now, index)
    }

    /// Whether a request of another entry may be sent to a replica. That entry has applied the
    /// rollouts.
    pub fn may_relay(&self, now: MonotonicTime, index: ReplicaIndex) -> bool {
        self.replicas.get(&index).is_some_and(|replica| {
            replica.is_offered()
                && !replica.is_paused(now)
                && !self.evacuated.contains(&replica.record.data_centre)
        })
    }

    fn has_capacity(&self, now: MonotonicTime, replica: &FleetReplica) -> bool {
        let is_limited = replica.cold_rate.is_some() && replica.is_cold(now);
        replica.has_capacity(now) && (!is_limited || self.cold_gate.is_open(now))
    }

    /// Returns the named replica if it can take one more request of another entry.
    pub fn choose_named(&self, now: MonotonicTime, name: &ReplicaName) -> Choice {
        let known = self.names.get(name);
        let Some(index) = known.copied().filter(|index| self.may_relay(now, *index)) else {
            return Choice::Unavailable;
        };
        match self.replicas.get(&index) {
            Some(replica)
                if self.has_capacity(now, replica) && replica.blocked_until(now).is_none() =>
            {
                Choice::Replica(index)
            }
            Some(_) => Choice::Busy,
            None => Choice::Unavailable,
        }
    }

    /// Updates a replica's health and load at the end of an attempt; removes a replica at whose
    /// address another server answers.
    pub fn finish(
        &mut self,
        now: MonotonicTime,
        index: ReplicaIndex,
        attempt: u64,
        outcome: ReplicaOutcome,
    ) {
        let Some(replica) = self.replicas.get(&index) else {
            return;
        };
        let outcome = self.judge_outcome(replica, attempt, outcome);
        let is_only = self
            .services
            .get(&replica.record.service)
            .is_none_or(|state| state.members.len() <= 1);
        if outcome == ReplicaOutcome::WrongServer {
            self.remove(index);
            self.update_versions();
        } else if let Some(replica) = self.replicas.get_mut(&index) {
            replica.finish(now, attempt, outcome, is_only);
        }
    }

    /// Returns the hedging delay that follows from the replica's expected latency.
    pub fn hedging_delay(&self, now: MonotonicTime, index: ReplicaIndex) -> Duration {
        let Some(replica) = self.replicas.get(&index) else {
            return Duration::ZERO;
        };
        let expected = replica.expected(now);
        Duration::from_micros(duration_to_micros(expected) * HEDGE_PERCENT / 100) + HEDGE_SLACK
    }
}

/// Hedging delay as a percentage of the expected latency.
const HEDGE_PERCENT: u64 = 200;
/// Fixed addition to the hedging delay.
const HEDGE_SLACK: Duration = Duration::from_millis(4);
