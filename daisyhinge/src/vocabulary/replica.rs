//! Replica records that entries publish to one another.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::announcement::ReplicaSnapshot;
use std::sync::Arc;

/// Whether a keeper accepts work for a replica, and how much.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaAvailability {
    /// Warming up: accepts a few concurrent sub-requests, limited by the keeper.
    Cold,
    /// Accepts as many concurrent sub-requests as it has slots.
    Warm,
    /// Accepts no new work: draining, expired, taken out of service, or its keeper is waiting for a
    /// lease.
    Closed,
}

/// Load of a replica as counted by its keeper. Included in every reply.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeeperLoad {
    /// Sub-requests that are running or may still be running at the backend server.
    pub running: u32,
    /// Sub-requests queued at the keeper.
    pub queued: u32,
    /// Current limit on concurrent sub-requests.
    pub limit: u32,
    /// Smoothed service time of the backend server in microseconds; 0 if unknown.
    pub service_us: u32,
}

/// Record of a replica, published by its keeper to all entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaRecord {
    /// Name of the replica, unique in the entire system.
    pub replica: ReplicaName,
    /// Service that the replica belongs to.
    pub service: ServiceName,
    /// Data centre that the replica runs in.
    pub data_centre: CentreName,
    /// Incarnation of the backend server.
    pub incarnation: IncarnationNumber,
    /// Whether the replica accepts work.
    pub state: ReplicaAvailability,
    /// Maximum number of concurrent sub-requests once warm.
    pub slots: u32,
    /// Available snapshots, newest first.
    pub snapshots: Arc<[ReplicaSnapshot]>,
    /// Load at the time of publication.
    pub load: KeeperLoad,
}

/// A request that crashed a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Digest of the request's service and body.
    pub digest: RequestDigest,
    /// Number of crashes attributed to the request by this keeper.
    pub crashes: u32,
    /// Age of the last crash in milliseconds.
    pub age_ms: u64,
}

/// Request to a keeper for the changes in its table of replicas since a cursor.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRequest {
    /// Incarnation of the keeper's table that the cursor belongs to; 0 in the first request.
    pub table: u64,
    /// Cursor from the keeper's last reply; 0 in the first request.
    pub cursor: u64,
}

/// Reply of a keeper to a [`TableRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableDelta {
    /// Incarnation of the keeper's table.
    pub table: u64,
    /// Cursor for the next request.
    pub cursor: u64,
    /// Whether `records` lists all replicas published by the replying keeper, the entry that owns
    /// the connections to them. If set, the reader must remove all other records of this keeper.
    pub whole: bool,
    /// New and changed records.
    pub records: Vec<ReplicaRecord>,
    /// Replicas that this keeper no longer publishes.
    pub gone: Vec<ReplicaName>,
    /// Recent crash records of this keeper.
    pub crashes: Vec<CrashRecord>,
}
