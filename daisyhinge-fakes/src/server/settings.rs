//! Settings of a fake backend server.

use std::net::SocketAddr;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{ReplicaSnapshot, ServerState};
use serde::{Deserialize, Serialize};

use crate::server::fault::FaultSettings;

/// Settings of a fake backend server that hosts one replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FakeSettings {
    /// Name of the replica.
    pub replica: ReplicaName,
    /// Service that the replica belongs to.
    pub service: ServiceName,
    /// Data centre that the server runs in.
    pub data_centre: CentreName,
    /// Address to listen on; port 0 selects a free port.
    #[serde(default = "default_address")]
    pub address: SocketAddr,
    /// Entries to announce to initially; if empty, the server does not announce itself.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Sub-requests processed at a time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of open connections; further ones are reset.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Maximum number of queued sub-requests beyond the slots; further ones are shed.
    #[serde(default = "default_queue_max")]
    pub queue_max: u32,
    /// Delay of a new connection, in microseconds.
    #[serde(default)]
    pub connect_us: u64,
    /// One-way latency of the link, added before and after the work, in microseconds.
    #[serde(default)]
    pub link_us: u64,
    /// Mean service time, in microseconds; each is drawn uniformly from 0.5 to 1.5 times the mean.
    #[serde(default = "default_service_us")]
    pub service_us: u64,
    /// State that the server announces at the start.
    #[serde(default = "default_state")]
    pub state: ServerState,
    /// Incarnation at the start; each restart increments it.
    #[serde(default = "default_incarnation")]
    pub incarnation: IncarnationNumber,
    /// Maximum number of concurrent sub-requests while cold, as the server announces it.
    #[serde(default = "default_cold_allowance")]
    pub cold_allowance: u32,
    /// Stored snapshots, newest first.
    pub snapshots: Vec<ReplicaSnapshot>,
    /// Injected faults at the start.
    #[serde(default)]
    pub faults: FaultSettings,
    /// Seed of the random service times and faults.
    #[serde(default)]
    pub seed: u64,
    /// Maximum number of arrivals listed in the record.
    #[serde(default = "default_log_max")]
    pub log_max: usize,
}

impl FakeSettings {
    /// Settings of a ready server with the only shard of its service, on a free loopback port, that
    /// announces itself to `entries`.
    pub fn new(service: &str, replica: &str, data_centre: &str, entries: &[SocketAddr]) -> Self {
        Self {
            replica: ReplicaName::from(replica),
            service: ServiceName::from(service),
            data_centre: CentreName::from(data_centre),
            address: default_address(),
            entries: entries.to_vec(),
            slots: default_slots(),
            connections: default_connections(),
            queue_max: default_queue_max(),
            connect_us: 0,
            link_us: 0,
            service_us: default_service_us(),
            state: default_state(),
            incarnation: default_incarnation(),
            cold_allowance: default_cold_allowance(),
            snapshots: vec![build_snapshot(1, 0, 1)],
            faults: FaultSettings::default(),
            seed: 0,
            log_max: default_log_max(),
        }
    }
}

/// Builds the announced form of a snapshot, generation 1, for a replica that stores `shard` of
/// `shards`, with a weight of [`SHARD_WEIGHT`] for each shard.
pub fn build_snapshot(snapshot: u64, shard: u32, shards: u32) -> ReplicaSnapshot {
    ReplicaSnapshot {
        snapshot: SnapshotNumber(snapshot),
        generation: 1,
        shard: ShardNumber(shard),
        shards,
        weight: SHARD_WEIGHT,
        whole_weight: SHARD_WEIGHT * u64::from(shards),
    }
}

/// Weight of each shard in [`build_snapshot`].
pub const SHARD_WEIGHT: u64 = 100;

fn default_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn default_slots() -> u32 {
    2
}

fn default_connections() -> u32 {
    25
}

fn default_queue_max() -> u32 {
    64
}

fn default_service_us() -> u64 {
    4_000
}

fn default_state() -> ServerState {
    ServerState::Ready
}

fn default_incarnation() -> IncarnationNumber {
    IncarnationNumber(1)
}

fn default_cold_allowance() -> u32 {
    1
}

fn default_log_max() -> usize {
    65_536
}
