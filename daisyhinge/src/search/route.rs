//! Route table of an entry: all known replicas with their keepers, snapshots, load and recent
//! performance.

mod publication;
mod state;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;
use crate::search::partition::{PartitionTable, choose_partition};
use crate::search::plan::PartitionKey;
use crate::search::plan::PinnedSnapshot;
use crate::search::poison::PoisonTable;
use crate::vocabulary::replica::{TableDelta, TableRequest};
use crate::vocabulary::view::ControlView;
use state::{CentreRow, KeeperRow, ReplicaRow, ServiceRow};

pub(super) use state::RouteState;

/// Key of a replica in the route table. Rows are reused by other replicas, so a key is valid only
/// for one generation of its row.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RouteKey {
    /// Index of the replica's row.
    pub row: u32,
    /// Generation of the row, which increases when the row is freed.
    pub generation: u32,
}

/// Control view that determines distances, data centres out of service and keepers.
#[derive(Clone, Debug)]
struct RouteView {
    view: Arc<ControlView>,
    environment: EnvironmentName,
    home: CentreName,
}

/// Routes to all known replicas.
#[derive(Clone, Debug)]
pub struct RouteTable {
    pub(super) now: MonotonicTime,
    pub(super) generator: ChaCha8Rng,
    pub(super) poison: PoisonTable,
    pub(super) keepers: Vec<KeeperRow>,
    pub(super) centres: Vec<CentreRow>,
    pub(super) services: Vec<ServiceRow>,
    pub(super) states: Vec<RouteState>,
    rows: Vec<ReplicaRow>,
    free: Vec<u32>,
    keeper_index: HashMap<VmName, u32>,
    centre_index: HashMap<CentreName, u32>,
    service_index: HashMap<ServiceName, u32>,
    replica_index: HashMap<ReplicaName, u32>,
    view: Option<RouteView>,
}

impl Default for RouteTable {
    fn default() -> Self {
        Self::seeded(0)
    }
}

impl RouteTable {
    /// Creates an empty table whose random choices are determined by `seed`.
    pub fn seeded(seed: u64) -> Self {
        Self {
            now: MonotonicTime::default(),
            generator: ChaCha8Rng::seed_from_u64(seed),
            poison: PoisonTable::default(),
            keepers: Vec::new(),
            centres: Vec::new(),
            services: Vec::new(),
            states: Vec::new(),
            rows: Vec::new(),
            free: Vec::new(),
            keeper_index: HashMap::new(),
            centre_index: HashMap::new(),
            service_index: HashMap::new(),
            replica_index: HashMap::new(),
            view: None,
        }
    }

    /// Advances the table's clock. Each step of a request does so as well; call this before
    /// [`Self::apply_delta`] if no request may have run recently.
    pub fn advance(&mut self, now: MonotonicTime) {
        self.now = self.now.max(now);
    }

    /// Adopts the view in force. It determines the distances of data centres from `home`, which
    /// data centres are out of service, and which keeper of a replica takes precedence.
    pub fn adopt_view(
        &mut self,
        view: Arc<ControlView>,
        environment: EnvironmentName,
        home: CentreName,
    ) {
        self.view = Some(RouteView {
            view,
            environment,
            home,
        });
        for index in 0..self.centres.len() {
            self.centres[index] = self.describe_centre(&self.centres[index].name);
        }
        for row in 0..self.rows.len() {
            self.choose_publication(row);
        }
        for service in 0..self.services.len() {
            self.rebuild(service);
        }
    }

    /// Next table request to send to `keeper`.
    pub fn table_request(&self, keeper: &VmName) -> TableRequest {
        let row = self.keeper_index.get(keeper);
        let cursor = row.and_then(|row| self.keepers[*row as usize].cursor);
        cursor.unwrap_or(TableRequest {
            table: 0,
            cursor: 0,
        })
    }

    /// Applies a reply of `keeper`. A reply that arrives after a newer one is ignored.
    pub fn apply_delta(&mut self, keeper: &VmName, delta: TableDelta) {
        let name = keeper;
        let keeper = self.intern_keeper(name);
        let current = self.keepers[keeper as usize].cursor;
        let is_stale = current.is_some_and(|current| {
            let is_older = current.table == delta.table && delta.cursor < current.cursor;
            is_older || (current.table != delta.table && !delta.whole)
        });
        if is_stale {
            return;
        }
        self.poison
            .replace(self.now, name, delta.table, &delta.crashes);
        let mut changed_services = HashSet::new();
        if delta.whole {
            self.retract_unlisted(keeper, &delta.records, &mut changed_services);
        }
        for replica in &delta.gone {
            if let Some(row) = self.replica_index.get(replica).copied() {
                self.retract(row, keeper, &mut changed_services);
            }
        }
        for record in delta.records {
            self.publish(keeper, record, &mut changed_services);
        }
        self.keepers[keeper as usize].cursor = Some(TableRequest {
            table: delta.table,
            cursor: delta.cursor,
        });
        for service in changed_services {
            self.rebuild(service as usize);
        }
    }

    /// Removes everything published by `keeper`.
    pub fn drop_keeper(&mut self, keeper: &VmName) {
        let Some(keeper) = self.keeper_index.get(keeper).copied() else {
            return;
        };
        self.keepers[keeper as usize].cursor = None;
        let mut changed_services = HashSet::new();
        self.retract_unlisted(keeper, &[], &mut changed_services);
        for service in changed_services {
            self.rebuild(service as usize);
        }
    }

    /// Keepers that have replied and have not been dropped since.
    pub fn keepers(&self) -> Vec<VmName> {
        let known = self.keepers.iter().filter(|row| row.cursor.is_some());
        known.map(|row| row.vm.clone()).collect()
    }

    /// Keepers of a service's replicas, one element per replica.
    pub fn service_keepers(&self, service: &ServiceName) -> Vec<VmName> {
        let service = self.service_index.get(service);
        let rows = service.map(|service| self.services[*service as usize].rows.as_slice());
        let keepers = rows.unwrap_or_default().iter().map(|row| {
            let keeper = self.states[*row as usize].keeper;
            self.keepers[keeper as usize].vm.clone()
        });
        keepers.collect()
    }

    /// Number of known replicas.
    pub fn replica_count(&self) -> usize {
        self.replica_index.len()
    }

    /// Pins the newest snapshot with a usable share of at least `minimum_ppm` and at most
    /// `loss_ppm` below the best share, else the snapshot with the best share.
    pub fn pin_snapshot(
        &self,
        service: &ServiceName,
        minimum_ppm: u32,
        loss_ppm: u32,
    ) -> Option<PinnedSnapshot> {
        let service = self.service_index.get(service)?;
        let partitions = &self.services[*service as usize].partitions;
        choose_partition(partitions, minimum_ppm, loss_ppm).map(PartitionTable::pin)
    }

    /// Pins the newest snapshot in which `shard` has a usable replica.
    pub fn pin_shard(&self, service: &ServiceName, shard: ShardNumber) -> Option<PinnedSnapshot> {
        let service = self.service_index.get(service)?;
        let partitions = &self.services[*service as usize].partitions;
        let is_usable = |partition: &&PartitionTable| {
            partition.usable_ppm() > 0 && !partition.replicas(shard).is_empty()
        };
        partitions
            .iter()
            .rev()
            .find(is_usable)
            .map(PartitionTable::pin)
    }

    /// Crashes of backend servers attributed to a request.
    pub fn crashes(&self, digest: RequestDigest) -> u32 {
        self.poison.crashes(self.now, digest)
    }

    /// Outstanding sub-requests of this entry.
    pub fn in_flight(&self) -> u32 {
        self.states
            .iter()
            .map(|state| state.estimate.in_flight)
            .sum()
    }

    pub(super) fn find_service(&self, service: &ServiceName) -> Option<u32> {
        self.service_index.get(service).copied()
    }

    pub(super) fn find_partition(
        &self,
        service: u32,
        key: PartitionKey,
    ) -> Option<&PartitionTable> {
        let partitions = &self.services.get(service as usize)?.partitions;
        let index = partitions.binary_search_by_key(&key, PartitionTable::key);
        index.ok().map(|index| &partitions[index])
    }

    pub(super) fn hedge_delay(&self, service: u32, is_hedged: bool) -> Option<Duration> {
        let latency = &self.services.get(service as usize)?.latency;
        if is_hedged {
            latency.second_hedge_delay()
        } else {
            latency.hedge_delay()
        }
    }

    pub(super) fn deposit_extra(&mut self, service: u32, extra_work_ppm: u32) {
        if let Some(row) = self.services.get_mut(service as usize) {
            row.budget.deposit(extra_work_ppm);
        }
    }

    pub(super) fn withdraw_extra(
        &mut self,
        service: u32,
        now: MonotonicTime,
        extra_work_ppm: u32,
    ) -> bool {
        let row = self.services.get_mut(service as usize);
        row.is_some_and(|row| row.budget.withdraw(now, extra_work_ppm))
    }

    pub(super) fn keeper_name(&self, row: u32) -> &VmName {
        &self.keepers[self.states[row as usize].keeper as usize].vm
    }

    pub(super) fn centre_name(&self, row: u32) -> &CentreName {
        &self.centres[self.states[row as usize].centre as usize].name
    }

    pub(super) fn key_of(&self, row: u32) -> RouteKey {
        let generation = self.states[row as usize].generation;
        RouteKey { row, generation }
    }

    pub(super) fn replica_name(&self, row: u32) -> &ReplicaName {
        &self.rows[row as usize].replica
    }

    pub(super) fn state_mut(&mut self, key: RouteKey) -> Option<&mut RouteState> {
        let state = self.states.get_mut(key.row as usize)?;
        (state.generation == key.generation).then_some(state)
    }
}
