//! Rows of the route table.

use crate::prelude::*;
use crate::search::budget::ExtraBudget;
use crate::search::estimate::{LatencyEstimate, RouteEstimate};
use crate::search::partition::{PartitionTable, UNUSED_PARTITIONS_MAX};
use crate::search::plan::PartitionKey;
use crate::vocabulary::replica::{KeeperLoad, ReplicaAvailability, ReplicaRecord, TableRequest};

/// State of a replica that selection reads. Kept small and flat; one per row.
#[derive(Clone, Copy, Debug)]
pub(in crate::search) struct RouteState {
    pub(in crate::search) generation: u32,
    pub(in crate::search) keeper: u32,
    pub(in crate::search) centre: u32,
    pub(in crate::search) state: ReplicaAvailability,
    pub(in crate::search) load: KeeperLoad,
    pub(in crate::search) load_at: MonotonicTime,
    pub(in crate::search) estimate: RouteEstimate,
}

/// Record of a replica published by one keeper. Two keepers may publish the same replica during a
/// handover.
#[derive(Clone, Debug)]
pub(super) struct Publication {
    pub(super) keeper: u32,
    pub(super) record: ReplicaRecord,
}

/// A replica with the publications of all its keepers.
#[derive(Clone, Debug)]
pub(super) struct ReplicaRow {
    pub(super) replica: ReplicaName,
    pub(super) service: u32,
    pub(super) publications: Vec<Publication>,
    pub(super) chosen: usize,
}

#[derive(Clone, Debug)]
pub(in crate::search) struct KeeperRow {
    pub(in crate::search) vm: VmName,
    pub(super) cursor: Option<TableRequest>,
    pub(in crate::search) failures: u32,
    pub(in crate::search) backoff_until: MonotonicTime,
}

#[derive(Clone, Debug)]
pub(in crate::search) struct CentreRow {
    pub(in crate::search) name: CentreName,
    pub(in crate::search) distance: u8,
    pub(in crate::search) is_out_of_service: bool,
}

#[derive(Clone, Debug, Default)]
pub(in crate::search) struct ServiceRow {
    pub(super) rows: Vec<u32>,
    pub(in crate::search) partitions: Vec<PartitionTable>,
    /// Newest partition that was evicted.
    pub(super) newest_evicted: Option<PartitionKey>,
    pub(in crate::search) latency: LatencyEstimate,
    pub(in crate::search) budget: ExtraBudget,
}

impl RouteState {
    pub(super) fn new() -> Self {
        Self {
            generation: 0,
            keeper: 0,
            centre: 0,
            state: ReplicaAvailability::Closed,
            load: KeeperLoad::default(),
            load_at: MonotonicTime::default(),
            estimate: RouteEstimate::default(),
        }
    }
}

impl ServiceRow {
    /// Evicts expired partitions and, beyond [`UNUSED_PARTITIONS_MAX`], the oldest ones without a
    /// usable replica.
    pub(super) fn evict_partitions(&mut self, now: MonotonicTime) {
        let unused = self
            .partitions
            .iter()
            .filter(|partition| !partition.has_replicas());
        let mut excess = unused.count().saturating_sub(UNUSED_PARTITIONS_MAX);
        let newest_evicted = &mut self.newest_evicted;
        self.partitions.retain(|partition| {
            let is_excess = !partition.has_replicas() && excess > 0;
            excess -= usize::from(is_excess);
            let is_retained = !is_excess && !partition.is_expired(now);
            if !is_retained {
                *newest_evicted = (*newest_evicted).max(Some(partition.key()));
            }
            is_retained
        });
    }
}
