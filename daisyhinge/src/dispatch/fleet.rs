//! The replicas as one entry sees them, and the choice among them.
//!
//! The choice answers stragglers and pauses: a replica whose oldest request is overdue is passed
//! over before any sample says so, one that sheds or fails counts as slower than it is, and one
//! that can't be reached is left alone for a short, growing time. Suspicion never removes a
//! replica: where all are suspect, the best of them is used.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::prelude::*;
use crate::registry::supersedes;
use crate::vocabulary::clock::span_to_micros;
use crate::vocabulary::registration::{EntryPresence, ReplicaPhase, ReplicaRecord};
use crate::vocabulary::site::SiteConfig;

mod allotment;
mod nearness;
mod replica;
mod suspicion;
use super::budget::SlackShare;
pub use nearness::Nearness;
pub use replica::{AttemptFinish, FleetReplica};

/// Names a replica at this entry; never used for another one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaIndex(pub u32);

/// Where the entry is, and which region each data centre belongs to.
#[derive(Clone, Debug)]
pub struct FleetPlace {
    /// The entry's VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Region of each data centre.
    pub regions: HashMap<CentreName, RegionName>,
}

impl FleetPlace {
    /// The region of a data centre.
    pub fn region_of(&self, centre: &CentreName) -> Option<&RegionName> {
        self.regions.get(centre)
    }

    /// How far a data centre is.
    pub fn nearness_of(&self, centre: &CentreName) -> Nearness {
        if *centre == self.data_centre {
            Nearness::SameCentre
        } else if self.region_of(centre) == self.region_of(&self.data_centre) {
            Nearness::SameRegion
        } else {
            Nearness::OtherRegion
        }
    }
}

/// The outcome of a choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send it there.
    Replica(ReplicaIndex),
    /// All usable replicas have as many requests of this entry as they may.
    Busy,
    /// No replica can be used at present.
    Absent,
}

/// What a choice is for.
#[derive(Clone, Copy, Debug)]
pub struct ChooseAsk<'ask> {
    /// The service.
    pub service: &'ask ServiceName,
    /// Replicas that are not to be chosen.
    pub tried: &'ask [ReplicaIndex],
    /// Regions that may see the request; empty for all.
    pub allowed_regions: &'ask [RegionName],
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    members: Vec<ReplicaIndex>,
    connections_max: Option<u32>,
    cold_per_second: Option<f64>,
}

/// All replicas that an entry knows of.
#[derive(Debug)]
pub struct Fleet {
    place: FleetPlace,
    replicas: HashMap<ReplicaIndex, FleetReplica>,
    names: HashMap<ReplicaName, ReplicaIndex>,
    services: HashMap<ServiceName, ServiceState>,
    entries: HashMap<VmName, EntryPresence>,
    evacuated: BTreeSet<CentreName>,
    /// Fewest connections that a replica of any service accepts.
    connections_min: Option<u32>,
    slack: SlackShare,
    /// Regions to which a link to an entry is open.
    linked: BTreeSet<RegionName>,
    next_index: u32,
}

impl Fleet {
    /// An empty fleet.
    pub fn open(place: FleetPlace) -> Self {
        Self {
            place,
            replicas: HashMap::new(),
            names: HashMap::new(),
            services: HashMap::new(),
            entries: HashMap::new(),
            evacuated: BTreeSet::new(),
            connections_min: None,
            slack: SlackShare::OneOf(1),
            linked: BTreeSet::new(),
            next_index: 0,
        }
    }

    /// Where the entry is.
    pub fn place(&self) -> &FleetPlace {
        &self.place
    }

    /// Takes the services of a configuration.
    pub fn take_services(&mut self, config: &SiteConfig) {
        for service in &config.services {
            let state = self.services.entry(service.name.clone()).or_default();
            state.connections_max = Some(service.connections_max);
            state.cold_per_second = service.cold_per_second;
        }
        self.connections_min = config.connections_min();
        self.allot();
    }

    /// Takes the data centres that are to be sent nothing.
    pub fn take_evacuated(&mut self, evacuated: BTreeSet<CentreName>) {
        self.evacuated = evacuated;
    }

    /// Takes entries that were told of; shares of connections follow from them.
    pub fn take_entries(&mut self, entries: Vec<EntryPresence>) {
        for presence in entries {
            self.entries.insert(presence.vm.clone(), presence);
        }
        self.allot();
    }

    /// What this entry may use of the extra requests that a service bears.
    pub fn slack_share(&self) -> SlackShare {
        self.slack
    }

    /// Takes a replica that was told of. Returns its index if it is new.
    pub fn take_replica(
        &mut self,
        now: MonotonicTime,
        record: ReplicaRecord,
    ) -> Option<ReplicaIndex> {
        let index = self.hold_replica(now, record);
        if index.is_some() {
            self.allot();
        }
        index
    }

    /// Takes several replicas that were told of.
    pub fn take_replicas(&mut self, now: MonotonicTime, records: Vec<ReplicaRecord>) {
        let mut changed = false;
        for record in records {
            changed = self.hold_replica(now, record).is_some() || changed;
        }
        if changed {
            self.allot();
        }
    }

    fn hold_replica(&mut self, now: MonotonicTime, record: ReplicaRecord) -> Option<ReplicaIndex> {
        if let Some(index) = self.names.get(&record.name).copied() {
            let held = self.replicas.get_mut(&index)?;
            if !supersedes(&held.record, &record) {
                return None;
            }
            let same = held.record.born_ms == record.born_ms
                && held.record.address == record.address
                && held.record.service == record.service;
            if same && record.phase != ReplicaPhase::Left {
                held.take_record(now, record);
                return None;
            }
            self.remove(index);
        }
        if record.phase == ReplicaPhase::Left {
            return None;
        }
        let index = ReplicaIndex(self.next_index);
        self.next_index += 1;
        let nearness = self.place.nearness_of(&record.data_centre);
        let state = self.services.entry(record.service.clone()).or_default();
        state.members.push(index);
        self.names.insert(record.name.clone(), index);
        let replica = FleetReplica::open(now, record, nearness);
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

    /// A replica.
    pub fn replica(&self, index: ReplicaIndex) -> Option<&FleetReplica> {
        self.replicas.get(&index)
    }

    /// Replicas of all services.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaIndex, &FleetReplica)> {
        self.replicas.iter().map(|(index, held)| (*index, held))
    }

    /// Notes how many idle connections this entry holds to a replica.
    pub fn note_idle(&mut self, index: ReplicaIndex, idle: usize) {
        if let Some(replica) = self.replicas.get_mut(&index) {
            replica.idle = idle;
        }
    }

    /// Notes how many idle connections this entry holds to each replica.
    pub fn note_all_idle(&mut self, idle: impl Fn(ReplicaIndex) -> usize) {
        for (index, replica) in &mut self.replicas {
            replica.idle = idle(*index);
        }
    }

    /// Chooses the replica that is expected to answer first.
    pub fn choose(&self, now: MonotonicTime, ask: &ChooseAsk<'_>) -> Choice {
        let Some(state) = self.services.get(ask.service) else {
            return Choice::Absent;
        };
        let mut busy = false;
        let mut best: Option<(u64, ReplicaIndex)> = None;
        for index in &state.members {
            let Some(replica) = self.replicas.get(index) else {
                continue;
            };
            if ask.tried.contains(index) || !self.is_usable(now, replica, ask.allowed_regions) {
                continue;
            }
            if !replica.has_room(now) {
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
            None => Choice::Absent,
        }
    }

    fn is_usable(
        &self,
        now: MonotonicTime,
        replica: &FleetReplica,
        allowed: &[RegionName],
    ) -> bool {
        let centre = &replica.record.data_centre;
        let permitted = allowed.is_empty()
            || self
                .place
                .region_of(centre)
                .is_some_and(|region| allowed.contains(region));
        let offered = matches!(
            replica.record.phase,
            ReplicaPhase::Ready | ReplicaPhase::Silent
        );
        permitted && offered && !self.evacuated.contains(centre) && !replica.is_down(now)
    }

    /// Whether any replica of a service could be used at present, busy ones included.
    pub fn is_served(&self, now: MonotonicTime, ask: &ChooseAsk<'_>) -> bool {
        self.choose(now, ask) != Choice::Absent
    }

    /// Whether a request may still be sent to a replica that was chosen before.
    pub fn may_send(&self, index: ReplicaIndex) -> bool {
        self.replicas.get(&index).is_some_and(|replica| {
            let phase = replica.record.phase;
            let offered = matches!(phase, ReplicaPhase::Ready | ReplicaPhase::Silent);
            offered && !self.evacuated.contains(&replica.record.data_centre)
        })
    }

    /// Whether the replica of a name may be sent one more request.
    pub fn find_open(&self, now: MonotonicTime, name: &ReplicaName) -> Choice {
        let known = self.names.get(name);
        let Some(index) = known.copied().filter(|index| self.may_send(*index)) else {
            return Choice::Absent;
        };
        match self.replicas.get(&index) {
            Some(replica) if replica.has_room(now) => Choice::Replica(index),
            Some(_) => Choice::Busy,
            None => Choice::Absent,
        }
    }

    /// Notes that an attempt is sent.
    pub fn begin(&mut self, now: MonotonicTime, index: ReplicaIndex, attempt: u64) {
        if let Some(replica) = self.replicas.get_mut(&index) {
            replica.begin(now, attempt);
        }
    }

    /// Notes how an attempt ended.
    pub fn finish(
        &mut self,
        now: MonotonicTime,
        index: ReplicaIndex,
        attempt: u64,
        finish: AttemptFinish,
    ) {
        let Some(replica) = self.replicas.get(&index) else {
            return;
        };
        let last = self
            .services
            .get(&replica.record.service)
            .is_none_or(|state| state.members.len() <= 1);
        if finish == AttemptFinish::WrongServer {
            self.remove(index);
        } else if let Some(replica) = self.replicas.get_mut(&index) {
            replica.finish(now, attempt, finish, last);
        }
    }

    /// How long a hedge waits for an answer of the replica.
    pub fn hedge_span(&self, now: MonotonicTime, index: ReplicaIndex) -> Duration {
        let Some(replica) = self.replicas.get(&index) else {
            return Duration::ZERO;
        };
        let expected = replica.expected(now);
        Duration::from_micros(span_to_micros(expected) * HEDGE_PERCENT / 100) + HEDGE_SLACK_SPAN
    }
}

/// Share of the expected latency, in percent, that a hedge waits.
const HEDGE_PERCENT: u64 = 200;
/// Time that a hedge waits besides.
const HEDGE_SLACK_SPAN: Duration = Duration::from_millis(4);
