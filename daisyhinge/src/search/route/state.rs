//! Rows of the route table.

use crate::prelude::*;
use crate::search::budget::ExtraBudget;
use crate::search::estimate::{LatencyEstimate, RouteEstimate};
use crate::search::partition::{PartitionTable, UNHELD_MAX};
use crate::search::plan::PartitionKey;
use crate::vocabulary::replica::{KeeperLoad, ReplicaRecord, TableAsk, UseState};

/// What a choice reads of a replica. Small and flat, one per row.
#[derive(Clone, Copy, Debug)]
pub(in crate::search) struct RouteState {
    pub(in crate::search) generation: u32,
    pub(in crate::search) keeper: u32,
    pub(in crate::search) centre: u32,
    pub(in crate::search) state: UseState,
    pub(in crate::search) load: KeeperLoad,
    pub(in crate::search) load_at: MonotonicTime,
    pub(in crate::search) estimate: RouteEstimate,
}

/// What a keeper said of a replica. During a hand-over, two keepers may speak of one replica.
#[derive(Clone, Debug)]
pub(super) struct Publication {
    pub(super) keeper: u32,
    pub(super) record: ReplicaRecord,
}

/// A replica and all that is published of it.
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
    pub(super) cursor: Option<TableAsk>,
    pub(in crate::search) failures: u32,
    pub(in crate::search) backoff_until: MonotonicTime,
}

#[derive(Clone, Debug)]
pub(in crate::search) struct CentreRow {
    pub(in crate::search) name: CentreName,
    pub(in crate::search) distance: u8,
    pub(in crate::search) is_out: bool,
}

#[derive(Clone, Debug, Default)]
pub(in crate::search) struct ServiceRow {
    pub(super) rows: Vec<u32>,
    pub(in crate::search) partitions: Vec<PartitionTable>,
    /// Newest partition that was forgotten.
    pub(super) forgotten: Option<PartitionKey>,
    pub(in crate::search) latency: LatencyEstimate,
    pub(in crate::search) budget: ExtraBudget,
}

impl RouteState {
    pub(super) fn new() -> Self {
        Self {
            generation: 0,
            keeper: 0,
            centre: 0,
            state: UseState::Closed,
            load: KeeperLoad::default(),
            load_at: MonotonicTime::default(),
            estimate: RouteEstimate::default(),
        }
    }
}

impl ServiceRow {
    /// Forgets partitions out of use for long and, beyond the bound, the oldest that nobody holds.
    pub(super) fn forget_partitions(&mut self, now: MonotonicTime) {
        let unheld = self
            .partitions
            .iter()
            .filter(|partition| !partition.is_held());
        let mut excess = unheld.count().saturating_sub(UNHELD_MAX);
        let forgotten = &mut self.forgotten;
        self.partitions.retain(|partition| {
            let is_excess = !partition.is_held() && excess > 0;
            excess -= usize::from(is_excess);
            let is_kept = !is_excess && !partition.is_forgotten(now);
            if !is_kept {
                *forgotten = (*forgotten).max(Some(partition.key()));
            }
            is_kept
        });
    }
}
