//! What this entry knows of all replicas: which there are, who keeps them, what they hold.

use std::collections::HashMap;

use crate::prelude::*;
use crate::search::is_covered;
use crate::vocabulary::announcement::HeldSnapshot;
use crate::vocabulary::replica::{ReplicaRecord, TableAsk, TableDelta, UseState};

/// A replica and its keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaRoute {
    /// As its keeper published it.
    pub record: ReplicaRecord,
    /// The VM that keeps it.
    pub keeper: VmName,
}

/// One shard of a pinned snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PinnedShard {
    /// The shard.
    pub shard: ShardNumber,
    /// Its weight; 0 if it never announced.
    pub weight: u64,
}

/// The snapshot that a request is pinned to, with every shard of its partition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PinnedSnapshot {
    /// The snapshot.
    pub snapshot: SnapshotNumber,
    /// Weight of all shards, those that never announced included.
    pub whole_weight: u64,
    /// All shards, by number.
    pub shards: Vec<PinnedShard>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct KeeperCursor {
    table: u64,
    cursor: u64,
}

/// Routes to all replicas.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    services: HashMap<ServiceName, Vec<ReplicaRoute>>,
    cursors: HashMap<VmName, KeeperCursor>,
}

impl RouteTable {
    /// What to ask `keeper` for next.
    pub fn table_ask(&self, keeper: &VmName) -> TableAsk {
        let cursor = self.cursors.get(keeper).copied().unwrap_or_default();
        TableAsk {
            table: cursor.table,
            cursor: cursor.cursor,
        }
    }

    /// Takes in what `keeper` replied.
    pub fn apply_delta(&mut self, keeper: &VmName, delta: TableDelta) {
        if delta.whole {
            self.drop_keeper(keeper);
        }
        for replica in &delta.gone {
            self.drop_replica(keeper, replica);
        }
        for record in delta.records {
            let routes = self.services.entry(record.service.clone()).or_default();
            // The record that came last wins: keepers change rarely and the old one withdraws it.
            routes.retain(|route| route.record.replica != record.replica);
            routes.push(ReplicaRoute {
                record,
                keeper: keeper.clone(),
            });
        }
        let cursor = KeeperCursor {
            table: delta.table,
            cursor: delta.cursor,
        };
        self.cursors.insert(keeper.clone(), cursor);
    }

    /// Forgets all that `keeper` published.
    pub fn drop_keeper(&mut self, keeper: &VmName) {
        self.cursors.remove(keeper);
        for routes in self.services.values_mut() {
            routes.retain(|route| route.keeper != *keeper);
        }
    }

    /// Keepers that routes lead to or that were asked.
    pub fn keepers(&self) -> Vec<VmName> {
        self.cursors.keys().cloned().collect()
    }

    /// Number of replicas known.
    pub fn replica_count(&self) -> usize {
        self.services.values().map(Vec::len).sum()
    }

    /// Pins the newest snapshot in which enough shards have a usable replica, else the one with
    /// the largest usable weight.
    pub fn pin_snapshot(&self, service: &ServiceName, minimum_ppm: u32) -> Option<PinnedSnapshot> {
        let usable = self.usable_snapshots(service);
        let mut numbers: Vec<SnapshotNumber> = usable.iter().map(|held| held.snapshot).collect();
        numbers.sort_unstable();
        numbers.dedup();
        let enough = numbers.iter().rev().find(|number| {
            let (answered, whole) = usable_weight(&usable, **number);
            is_covered(answered, whole, minimum_ppm)
        });
        let best = || {
            numbers
                .iter()
                .max_by_key(|number| usable_weight(&usable, **number).0)
        };
        let snapshot = *enough.or_else(best)?;
        pin_number(&usable, snapshot)
    }

    /// Finds a usable replica of a shard that holds the snapshot.
    pub fn find_route(
        &self,
        service: &ServiceName,
        snapshot: SnapshotNumber,
        shard: ShardNumber,
    ) -> Option<&ReplicaRoute> {
        let holds = |held: &HeldSnapshot| held.snapshot == snapshot && held.shard == shard;
        self.services
            .get(service)?
            .iter()
            .filter(|route| route.record.state != UseState::Closed)
            .filter(|route| route.record.snapshots.iter().any(holds))
            .min_by_key(|route| route.record.load.running)
    }

    fn drop_replica(&mut self, keeper: &VmName, replica: &ReplicaName) {
        for routes in self.services.values_mut() {
            routes.retain(|route| route.keeper != *keeper || route.record.replica != *replica);
        }
    }

    fn usable_snapshots(&self, service: &ServiceName) -> Vec<HeldSnapshot> {
        let routes = self
            .services
            .get(service)
            .map(Vec::as_slice)
            .unwrap_or_default();
        routes
            .iter()
            .filter(|route| route.record.state != UseState::Closed)
            .flat_map(|route| route.record.snapshots.iter().copied())
            .collect()
    }
}

fn usable_weight(usable: &[HeldSnapshot], snapshot: SnapshotNumber) -> (u64, u64) {
    let Some(pinned) = pin_number(usable, snapshot) else {
        return (0, 0);
    };
    (
        pinned.shards.iter().map(|row| row.weight).sum(),
        pinned.whole_weight,
    )
}

fn pin_number(usable: &[HeldSnapshot], snapshot: SnapshotNumber) -> Option<PinnedSnapshot> {
    let first = usable.iter().find(|held| held.snapshot == snapshot)?;
    let weight_of = |shard: u32| {
        usable
            .iter()
            .find(|held| held.snapshot == snapshot && held.shard.0 == shard)
            .map_or(0, |held| held.weight)
    };
    let shards = (0..first.shards)
        .map(|shard| PinnedShard {
            shard: ShardNumber(shard),
            weight: weight_of(shard),
        })
        .collect();
    Some(PinnedSnapshot {
        snapshot,
        whole_weight: first.whole_weight,
        shards,
    })
}
