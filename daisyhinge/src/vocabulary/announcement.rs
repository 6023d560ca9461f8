//! Announcements that backend servers send for their replicas.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// State announced by a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Recently started; accepts up to `cold_allowance` concurrent sub-requests.
    Cold,
    /// About to leave: finishes running work and accepts no new work.
    Draining,
    /// Accepts as many concurrent sub-requests as it has slots.
    Ready,
}

/// A snapshot available at a replica, with the replica's position in the partition.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSnapshot {
    /// Number of the snapshot; newer snapshots have higher numbers.
    pub snapshot: SnapshotNumber,
    /// Generation of the partition that divides the snapshot into shards.
    pub generation: u64,
    /// Shard of the snapshot that this replica serves.
    pub shard: ShardNumber,
    /// Number of shards in the partition.
    pub shards: u32,
    /// Weight of this shard, such as its number of documents.
    pub weight: u64,
    /// Total weight of all shards.
    pub whole_weight: u64,
}

/// A backend server's announcement of one replica. It expires unless repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaAnnouncement {
    /// Name of the replica, unique in the entire system.
    pub replica: ReplicaName,
    /// Service that the replica belongs to.
    pub service: ServiceName,
    /// Data centre that the replica runs in; must be listed in the environment document.
    pub data_centre: CentreName,
    /// Address of the backend server that accepts sub-requests.
    pub address: SocketAddr,
    /// Maximum number of concurrent sub-requests in state [`ServerState::Ready`].
    pub slots: u32,
    /// Maximum number of TCP connections.
    pub connections: u32,
    /// State of the backend server.
    pub state: ServerState,
    /// Incarnation; increases with each start of the backend server.
    pub incarnation: IncarnationNumber,
    /// Sequence number of the announcement within the incarnation, used to detect late
    /// announcements.
    pub sequence: u64,
    /// Maximum number of concurrent sub-requests in state [`ServerState::Cold`].
    pub cold_allowance: u32,
    /// Available snapshots, newest first.
    pub snapshots: Arc<[ReplicaSnapshot]>,
}

/// A backend server's notice that a replica accepts no new work from now on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaDeparture {
    /// Name of the replica, unique in the entire system.
    pub replica: ReplicaName,
    /// Incarnation of the backend server that is leaving.
    pub incarnation: IncarnationNumber,
}

/// Reply to a [`ReplicaAnnouncement`] or [`ReplicaDeparture`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnounceReply {
    /// [`ResultCode::Ok`], or the reason why the message was rejected.
    pub code: ResultCode,
    /// VM of the replica's keeper, if known.
    pub keeper: Option<VmName>,
    /// Interval between announcements, in milliseconds.
    pub repeat_ms: u64,
    /// Entries to send announcements to, in order of preference.
    pub entries: Vec<SocketAddr>,
}
