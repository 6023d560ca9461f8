//! Takes in what keepers publish, and keeps the lists of usable replicas up to date.

use std::collections::{HashMap, HashSet};

use crate::prelude::*;
use crate::rendezvous::{centre_distance, find_keeper};
use crate::search::estimate::RouteEstimate;
use crate::search::partition::{PartitionTable, ShardReplica, is_possible};
use crate::search::plan::PartitionKey;
use crate::search::route::RouteTable;
use crate::search::route::state::{
    CentreRow, KeeperRow, Publication, ReplicaRow, RouteState, ServiceRow,
};
use crate::vocabulary::environment::CentreState;
use crate::vocabulary::replica::{ReplicaRecord, UseState};

impl RouteTable {
    pub(super) fn publish(
        &mut self,
        keeper: u32,
        record: ReplicaRecord,
        touched: &mut HashSet<u32>,
    ) {
        let service = self.intern_service(&record.service);
        let moved = self.replica_index.get(&record.replica).copied();
        if let Some(row) = moved.filter(|row| self.rows[*row as usize].service != service) {
            self.free_row(row, touched);
        }
        let row = self.intern_replica(&record.replica, service) as usize;
        let publications = &mut self.rows[row].publications;
        match publications.iter_mut().find(|held| held.keeper == keeper) {
            Some(held) => held.record = record,
            None => publications.push(Publication { keeper, record }),
        }
        self.choose_publication(row);
        touched.insert(service);
    }

    pub(super) fn retract_others(
        &mut self,
        keeper: u32,
        kept: &[ReplicaRecord],
        touched: &mut HashSet<u32>,
    ) {
        let kept: HashSet<&ReplicaName> = kept.iter().map(|record| &record.replica).collect();
        for row in 0..self.rows.len() {
            if !kept.contains(&self.rows[row].replica) {
                self.retract(row_number(row), keeper, touched);
            }
        }
    }

    pub(super) fn retract(&mut self, row: u32, keeper: u32, touched: &mut HashSet<u32>) {
        let publications = &mut self.rows[row as usize].publications;
        let before = publications.len();
        publications.retain(|held| held.keeper != keeper);
        if publications.len() == before {
            return;
        }
        touched.insert(self.rows[row as usize].service);
        if self.rows[row as usize].publications.is_empty() {
            self.free_row(row, touched);
        } else {
            self.choose_publication(row as usize);
        }
    }

    fn free_row(&mut self, row: u32, touched: &mut HashSet<u32>) {
        let freed = &mut self.rows[row as usize];
        freed.publications.clear();
        self.replica_index.remove(&freed.replica);
        self.services[freed.service as usize]
            .rows
            .retain(|held| *held != row);
        touched.insert(freed.service);
        let state = &mut self.states[row as usize];
        state.generation += 1;
        state.estimate = RouteEstimate::default();
        self.free.push(row);
    }

    /// Of several keepers that publish a replica, the one that the view names counts; if it is
    /// not among them, the one that knows the latest incarnation.
    pub(super) fn choose_publication(&mut self, row: usize) {
        let publications = &self.rows[row].publications;
        let Some(first) = publications.first() else {
            return;
        };
        let named = match &self.view {
            Some(held) if publications.len() > 1 => find_keeper(
                &held.view,
                &held.environment,
                &first.record.data_centre,
                &first.record.replica,
            ),
            _ => None,
        };
        let is_named = |held: &Publication| {
            named.is_some_and(|named| named.vm == self.keepers[held.keeper as usize].vm)
        };
        let ranked = publications.iter().enumerate();
        let best = ranked.max_by_key(|(_, held)| (is_named(held), held.record.incarnation));
        let chosen = best.map_or(0, |(index, _)| index);
        self.rows[row].chosen = chosen;
        self.refresh_state(row);
    }

    fn refresh_state(&mut self, row: usize) {
        let held = &self.rows[row].publications[self.rows[row].chosen];
        let (keeper, state, mut load) = (held.keeper, held.record.state, held.record.load);
        if load.limit == 0 && state == UseState::Warm {
            load.limit = held.record.slots;
        }
        let centre = held.record.data_centre.clone();
        let centre = self.intern_centre(&centre);
        let hot = &mut self.states[row];
        let closed_before = hot.state == UseState::Closed;
        if hot.keeper != keeper || closed_before {
            // Another keeper, or back in use: what was seen before says little.
            hot.estimate.failures = 0;
            hot.estimate.backoff_until = MonotonicTime::default();
        }
        hot.load = load;
        hot.load_at = self.now;
        hot.estimate.in_flight_at_load = hot.estimate.in_flight;
        (hot.keeper, hot.state, hot.centre) = (keeper, state, centre);
    }

    /// Works out the lists of usable replicas of one service anew.
    pub(super) fn rebuild(&mut self, service: usize) {
        let mut listed: HashMap<PartitionKey, Vec<ShardReplica>> = HashMap::new();
        let row = &mut self.services[service];
        for index in &row.rows {
            let replica = &self.rows[*index as usize];
            let record = &replica.publications[replica.chosen].record;
            let is_out = self.centres[self.states[*index as usize].centre as usize].is_out;
            let usable = record.state != UseState::Closed && !is_out;
            for held in record.snapshots.iter().filter(|held| is_possible(held)) {
                let key = PartitionKey::of(held);
                let found = row
                    .partitions
                    .binary_search_by_key(&key, PartitionTable::key);
                let place = found.unwrap_or_else(|place| {
                    let may_be_known = row.forgotten >= Some(key);
                    row.partitions
                        .insert(place, PartitionTable::new(key, self.now, may_be_known));
                    place
                });
                let believed = row.partitions[place].learn(self.now, held.shard, held.weight);
                if believed && usable {
                    listed.entry(key).or_default().push(ShardReplica {
                        shard: held.shard,
                        row: *index,
                    });
                }
            }
        }
        for partition in &mut row.partitions {
            let mut replicas = listed.remove(&partition.key()).unwrap_or_default();
            replicas.sort_unstable();
            replicas.dedup();
            partition.fill(&replicas);
        }
        row.forget_partitions(self.now);
    }

    pub(super) fn describe_centre(&self, name: &CentreName) -> CentreRow {
        let held = self.view.as_ref();
        let document = held.and_then(|held| held.view.environments.get(&held.environment));
        let entry = document.and_then(|document| document.find_centre(name));
        CentreRow {
            name: name.clone(),
            distance: held.map_or(0, |held| centre_distance(document, &held.home, name)),
            is_out: entry.is_some_and(|entry| entry.state == CentreState::Out),
        }
    }

    pub(super) fn intern_keeper(&mut self, vm: &VmName) -> u32 {
        *self.keeper_index.entry(vm.clone()).or_insert_with(|| {
            self.keepers.push(KeeperRow {
                vm: vm.clone(),
                cursor: None,
                failures: 0,
                backoff_until: MonotonicTime::default(),
            });
            row_number(self.keepers.len() - 1)
        })
    }

    fn intern_centre(&mut self, name: &CentreName) -> u32 {
        if let Some(centre) = self.centre_index.get(name) {
            return *centre;
        }
        self.centres.push(self.describe_centre(name));
        let centre = row_number(self.centres.len() - 1);
        self.centre_index.insert(name.clone(), centre);
        centre
    }

    fn intern_service(&mut self, service: &ServiceName) -> u32 {
        *self
            .service_index
            .entry(service.clone())
            .or_insert_with(|| {
                self.services.push(ServiceRow::default());
                row_number(self.services.len() - 1)
            })
    }

    fn intern_replica(&mut self, replica: &ReplicaName, service: u32) -> u32 {
        if let Some(row) = self.replica_index.get(replica) {
            return *row;
        }
        let fresh = ReplicaRow {
            replica: replica.clone(),
            service,
            publications: Vec::new(),
            chosen: 0,
        };
        let row = if let Some(row) = self.free.pop() {
            self.rows[row as usize] = fresh;
            row
        } else {
            self.rows.push(fresh);
            self.states.push(RouteState::new());
            row_number(self.rows.len() - 1)
        };
        self.replica_index.insert(replica.clone(), row);
        self.services[service as usize].rows.push(row);
        row
    }
}

fn row_number(rows: usize) -> u32 {
    u32::try_from(rows).expect("rows are counted in 32 bits")
}
