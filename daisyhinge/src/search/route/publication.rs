//! Applies the records published by keepers and maintains the lists of usable replicas.

use std::collections::{HashMap, HashSet};

use crate::prelude::*;
use crate::rendezvous::{data_centre_distance, find_keeper};
use crate::search::estimate::RouteEstimate;
use crate::search::partition::{PartitionTable, ShardReplica, is_plausible};
use crate::search::plan::PartitionKey;
use crate::search::route::RouteTable;
use crate::search::route::state::{
    CentreRow, KeeperRow, Publication, ReplicaRow, RouteState, ServiceRow,
};
use crate::vocabulary::environment::CentreState;
use crate::vocabulary::replica::{ReplicaAvailability, ReplicaRecord};

impl RouteTable {
    pub(super) fn publish(
        &mut self,
        keeper: u32,
        record: ReplicaRecord,
        changed_services: &mut HashSet<u32>,
    ) {
        let service = self.intern_service(&record.service);
        let known_row = self.replica_index.get(&record.replica).copied();
        if let Some(row) = known_row.filter(|row| self.rows[*row as usize].service != service) {
            self.free_row(row, changed_services);
        }
        let row = self.intern_replica(&record.replica, service) as usize;
        let publications = &mut self.rows[row].publications;
        match publications
            .iter_mut()
            .find(|publication| publication.keeper == keeper)
        {
            Some(publication) => publication.record = record,
            None => publications.push(Publication { keeper, record }),
        }
        self.choose_publication(row);
        changed_services.insert(service);
    }

    pub(super) fn retract_unlisted(
        &mut self,
        keeper: u32,
        published: &[ReplicaRecord],
        changed_services: &mut HashSet<u32>,
    ) {
        let published: HashSet<&ReplicaName> =
            published.iter().map(|record| &record.replica).collect();
        for row in 0..self.rows.len() {
            if !published.contains(&self.rows[row].replica) {
                self.retract(row_number(row), keeper, changed_services);
            }
        }
    }

    pub(super) fn retract(&mut self, row: u32, keeper: u32, changed_services: &mut HashSet<u32>) {
        let publications = &mut self.rows[row as usize].publications;
        let before = publications.len();
        publications.retain(|publication| publication.keeper != keeper);
        if publications.len() == before {
            return;
        }
        changed_services.insert(self.rows[row as usize].service);
        if self.rows[row as usize].publications.is_empty() {
            self.free_row(row, changed_services);
        } else {
            self.choose_publication(row as usize);
        }
    }

    fn free_row(&mut self, row: u32, changed_services: &mut HashSet<u32>) {
        let freed_row = &mut self.rows[row as usize];
        freed_row.publications.clear();
        self.replica_index.remove(&freed_row.replica);
        self.services[freed_row.service as usize]
            .rows
            .retain(|index| *index != row);
        changed_services.insert(freed_row.service);
        let state = &mut self.states[row as usize];
        state.generation += 1;
        state.estimate = RouteEstimate::default();
        self.free.push(row);
    }

    /// Chooses among the publications of a replica: that of the keeper named by the view, else the
    /// one with the latest incarnation.
    pub(super) fn choose_publication(&mut self, row: usize) {
        let publications = &self.rows[row].publications;
        let Some(first) = publications.first() else {
            return;
        };
        let named = match &self.view {
            Some(route_view) if publications.len() > 1 => find_keeper(
                &route_view.view,
                &route_view.environment,
                &first.record.data_centre,
                &first.record.replica,
            ),
            _ => None,
        };
        let is_named = |publication: &Publication| {
            named.is_some_and(|named| named.vm == self.keepers[publication.keeper as usize].vm)
        };
        let ranked = publications.iter().enumerate();
        let best = ranked
            .max_by_key(|(_, publication)| (is_named(publication), publication.record.incarnation));
        let chosen = best.map_or(0, |(index, _)| index);
        self.rows[row].chosen = chosen;
        self.refresh_state(row);
    }

    fn refresh_state(&mut self, row: usize) {
        let publication = &self.rows[row].publications[self.rows[row].chosen];
        let (keeper, state, mut load) = (
            publication.keeper,
            publication.record.state,
            publication.record.load,
        );
        if load.limit == 0 && state == ReplicaAvailability::Warm {
            load.limit = publication.record.slots;
        }
        let centre = publication.record.data_centre.clone();
        let centre = self.intern_centre(&centre);
        let route_state = &mut self.states[row];
        let closed_before = route_state.state == ReplicaAvailability::Closed;
        if route_state.keeper != keeper || closed_before {
            // After a change of keeper or a return to service, earlier failures no longer apply.
            route_state.estimate.failures = 0;
            route_state.estimate.backoff_until = MonotonicTime::default();
        }
        route_state.load = load;
        route_state.load_at = self.now;
        route_state.estimate.in_flight_at_load = route_state.estimate.in_flight;
        (route_state.keeper, route_state.state, route_state.centre) = (keeper, state, centre);
    }

    /// Rebuilds the lists of usable replicas of one service.
    pub(super) fn rebuild(&mut self, service: usize) {
        let mut usable_replicas: HashMap<PartitionKey, Vec<ShardReplica>> = HashMap::new();
        let service_row = &mut self.services[service];
        for index in &service_row.rows {
            let replica = &self.rows[*index as usize];
            let record = &replica.publications[replica.chosen].record;
            let is_out_of_service =
                self.centres[self.states[*index as usize].centre as usize].is_out_of_service;
            let usable = record.state != ReplicaAvailability::Closed && !is_out_of_service;
            for announced in record
                .snapshots
                .iter()
                .filter(|announced| is_plausible(announced))
            {
                let key = PartitionKey::from_announced(announced);
                let found = service_row
                    .partitions
                    .binary_search_by_key(&key, PartitionTable::key);
                let position = found.unwrap_or_else(|position| {
                    let may_be_known = service_row.newest_evicted >= Some(key);
                    service_row
                        .partitions
                        .insert(position, PartitionTable::new(key, self.now, may_be_known));
                    position
                });
                let weight_matches = service_row.partitions[position].record_weight(
                    self.now,
                    announced.shard,
                    announced.weight,
                );
                if weight_matches && usable {
                    usable_replicas.entry(key).or_default().push(ShardReplica {
                        shard: announced.shard,
                        row: *index,
                    });
                }
            }
        }
        for partition in &mut service_row.partitions {
            let mut replicas = usable_replicas.remove(&partition.key()).unwrap_or_default();
            replicas.sort_unstable();
            replicas.dedup();
            partition.set_replicas(&replicas);
        }
        service_row.evict_partitions(self.now);
    }

    pub(super) fn describe_centre(&self, name: &CentreName) -> CentreRow {
        let route_view = self.view.as_ref();
        let document = route_view
            .and_then(|route_view| route_view.view.environments.get(&route_view.environment));
        let entry = document.and_then(|document| document.find_centre(name));
        CentreRow {
            name: name.clone(),
            distance: route_view.map_or(0, |route_view| {
                data_centre_distance(document, &route_view.home, name)
            }),
            is_out_of_service: entry.is_some_and(|entry| entry.state == CentreState::Out),
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
        let new_row = ReplicaRow {
            replica: replica.clone(),
            service,
            publications: Vec::new(),
            chosen: 0,
        };
        let row = if let Some(row) = self.free.pop() {
            self.rows[row as usize] = new_row;
            row
        } else {
            self.rows.push(new_row);
            self.states.push(RouteState::new());
            row_number(self.rows.len() - 1)
        };
        self.replica_index.insert(replica.clone(), row);
        self.services[service as usize].rows.push(row);
        row
    }
}

fn row_number(rows: usize) -> u32 {
    u32::try_from(rows).expect("row numbers fit into 32 bits")
}
