//! What entries tell one another of the replicas that they keep.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::announcement::HeldSnapshot;
use std::sync::Arc;

/// Whether a keeper takes work for a replica, and how much.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UseState {
    /// Warming up: takes a few sub-requests at a time, the keeper decides how many.
    Cold,
    /// Takes work up to its slots.
    Warm,
    /// Takes nothing new: draining, lapsed, taken out, or its keeper waits for its lease.
    Closed,
}

/// Load of one replica as its keeper counts it. Carried back in every reply.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeeperLoad {
    /// Sub-requests that the backend server works on or may still work on.
    pub running: u32,
    /// Sub-requests that wait at the keeper.
    pub queued: u32,
    /// Sub-requests that may run at a time now.
    pub limit: u32,
    /// Smoothed service time of the backend server, in microseconds; 0 if not known.
    pub service_us: u32,
}

/// A replica as its keeper publishes it to all entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaRecord {
    /// Name of the replica.
    pub replica: ReplicaName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Data centre that it runs in.
    pub data_centre: CentreName,
    /// Incarnation of the backend server.
    pub incarnation: IncarnationNumber,
    /// Whether it can be used.
    pub state: UseState,
    /// Slots when ready.
    pub slots: u32,
    /// Snapshots that it holds, newest first.
    pub snapshots: Arc<[HeldSnapshot]>,
    /// Load when the record was published.
    pub load: KeeperLoad,
}

/// A request that crashed a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CrashRecord {
    /// The request, by digest.
    pub digest: RequestDigest,
    /// Crashes that followed it so far, counted at this keeper.
    pub crashes: u32,
    /// Age of the last crash, in milliseconds.
    pub age_ms: u64,
}

/// Asks a keeper for what changed since a cursor.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableAsk {
    /// Incarnation of the keeper's table that the cursor belongs to; 0 at first.
    pub table: u64,
    /// Last change that the asker holds; 0 at first.
    pub cursor: u64,
}

/// A keeper's reply to [`TableAsk`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableDelta {
    /// Incarnation of the keeper's table.
    pub table: u64,
    /// Cursor to ask with next.
    pub cursor: u64,
    /// If set, `records` is the whole table and others of this keeper are gone.
    pub whole: bool,
    /// New and changed records.
    pub records: Vec<ReplicaRecord>,
    /// Replicas that this keeper no longer keeps.
    pub gone: Vec<ReplicaName>,
    /// Recent crash records of this keeper.
    pub crashes: Vec<CrashRecord>,
}
