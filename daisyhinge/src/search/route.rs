//! What this entry knows of all replicas: which there are, who keeps them, what they hold, and
//! how they did lately.

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
use crate::vocabulary::replica::{TableAsk, TableDelta};
use crate::vocabulary::view::ControlView;
use state::{CentreRow, KeeperRow, ReplicaRow, ServiceRow};

pub(super) use state::RouteState;

/// A replica at one moment: rows are used again, so a key of an older generation is void.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RouteKey {
    /// Row in the table.
    pub row: u32,
    /// Generation of the row.
    pub generation: u32,
}

/// The view that routes are judged by.
#[derive(Clone, Debug)]
struct RouteView {
    view: Arc<ControlView>,
    environment: EnvironmentName,
    home: CentreName,
}

/// Routes to all replicas.
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
    /// An empty table whose random choices follow from `seed`.
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

    /// Moves the table's clock on. Steps of requests do this as well; call it before
    /// [`Self::apply_delta`] where no request may have run for a while.
    pub fn advance(&mut self, now: MonotonicTime) {
        self.now = self.now.max(now);
    }

    /// Takes the view in force: how far data centres are from `home`, which of them are out, and
    /// which of several keepers of one replica is the right one.
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

    /// What to ask `keeper` for next.
    pub fn table_ask(&self, keeper: &VmName) -> TableAsk {
        let row = self.keeper_index.get(keeper);
        let cursor = row.and_then(|row| self.keepers[*row as usize].cursor);
        cursor.unwrap_or(TableAsk {
            table: 0,
            cursor: 0,
        })
    }

    /// Takes in what `keeper` replied. A reply that crossed a newer one is ignored.
    pub fn apply_delta(&mut self, keeper: &VmName, delta: TableDelta) {
        let keeper = self.intern_keeper(keeper);
        let held = self.keepers[keeper as usize].cursor;
        let crossed = held.is_some_and(|held| {
            let is_older = held.table == delta.table && delta.cursor < held.cursor;
            is_older || (held.table != delta.table && !delta.whole)
        });
        if crossed {
            return;
        }
        self.poison
            .replace(self.now, keeper, delta.table, &delta.crashes);
        let mut touched = HashSet::new();
        if delta.whole {
            self.retract_others(keeper, &delta.records, &mut touched);
        }
        for replica in &delta.gone {
            if let Some(row) = self.replica_index.get(replica).copied() {
                self.retract(row, keeper, &mut touched);
            }
        }
        for record in delta.records {
            self.publish(keeper, record, &mut touched);
        }
        self.keepers[keeper as usize].cursor = Some(TableAsk {
            table: delta.table,
            cursor: delta.cursor,
        });
        for service in touched {
            self.rebuild(service as usize);
        }
    }

    /// Forgets all that `keeper` published.
    pub fn drop_keeper(&mut self, keeper: &VmName) {
        let Some(keeper) = self.keeper_index.get(keeper).copied() else {
            return;
        };
        self.keepers[keeper as usize].cursor = None;
        let mut touched = HashSet::new();
        self.retract_others(keeper, &[], &mut touched);
        for service in touched {
            self.rebuild(service as usize);
        }
    }

    /// Keepers that were heard of and not dropped since.
    pub fn keepers(&self) -> Vec<VmName> {
        let heard = self.keepers.iter().filter(|row| row.cursor.is_some());
        heard.map(|row| row.vm.clone()).collect()
    }

    /// Keepers of a service's replicas, one entry for each replica.
    pub fn service_keepers(&self, service: &ServiceName) -> Vec<VmName> {
        let service = self.service_index.get(service);
        let rows = service.map(|service| self.services[*service as usize].rows.as_slice());
        let keepers = rows.unwrap_or_default().iter().map(|row| {
            let keeper = self.states[*row as usize].keeper;
            self.keepers[keeper as usize].vm.clone()
        });
        keepers.collect()
    }

    /// Number of replicas known.
    pub fn replica_count(&self) -> usize {
        self.replica_index.len()
    }

    /// Pins the newest snapshot in which enough shards have a usable replica and which loses at
    /// most `loss_ppm` of coverage against the best one held.
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

    /// Pins the newest snapshot in which one shard has a usable replica.
    pub fn pin_shard(&self, service: &ServiceName, shard: ShardNumber) -> Option<PinnedSnapshot> {
        let service = self.service_index.get(service)?;
        let partitions = &self.services[*service as usize].partitions;
        let holds = |partition: &&PartitionTable| {
            partition.usable_ppm() > 0 && !partition.replicas(shard).is_empty()
        };
        partitions.iter().rev().find(holds).map(PartitionTable::pin)
    }

    /// Crashes of backend servers that count against a request.
    pub fn crashes(&self, digest: RequestDigest) -> u32 {
        self.poison.crashes(self.now, digest)
    }

    /// Sub-requests of this entry that are under way.
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
            latency.second_delay()
        } else {
            latency.hedge_delay()
        }
    }

    pub(super) fn earn_extra(&mut self, service: u32, extra_work_ppm: u32) {
        if let Some(row) = self.services.get_mut(service as usize) {
            row.budget.earn(extra_work_ppm);
        }
    }

    pub(super) fn take_extra(
        &mut self,
        service: u32,
        now: MonotonicTime,
        extra_work_ppm: u32,
    ) -> bool {
        let row = self.services.get_mut(service as usize);
        row.is_some_and(|row| row.budget.take(now, extra_work_ppm))
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
