//! What backend servers tell of themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// State that a backend server announces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Started a short while ago; bears `cold_allowance` sub-requests at a time.
    Cold,
    /// About to leave: finishes what runs, takes nothing new.
    Draining,
    /// Bears its full number of slots.
    Ready,
}

/// One snapshot that a replica holds, with this replica's place in its partition.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HeldSnapshot {
    /// The snapshot.
    pub snapshot: SnapshotNumber,
    /// Generation of the partition that the snapshot is cut by.
    pub generation: u64,
    /// The shard that this replica holds in it.
    pub shard: ShardNumber,
    /// Number of shards in the partition.
    pub shards: u32,
    /// Weight of this shard, such as its number of documents.
    pub weight: u64,
    /// Weight of all shards together.
    pub whole_weight: u64,
}

/// A backend server's announcement of one replica. It lapses unless repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaAnnouncement {
    /// Name of the replica.
    pub replica: ReplicaName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Data centre that it runs in.
    pub data_centre: CentreName,
    /// Where it takes sub-requests.
    pub address: SocketAddr,
    /// Sub-requests that it works on at a time when ready.
    pub slots: u32,
    /// TCP connections that it accepts.
    pub connections: u32,
    /// Its state.
    pub state: ServerState,
    /// Grows with each start of the backend server.
    pub incarnation: IncarnationNumber,
    /// Grows with each announcement of one incarnation, so that a late one is known.
    pub sequence: u64,
    /// Sub-requests that it bears at a time while cold.
    pub cold_allowance: u32,
    /// Snapshots that it holds, newest first.
    pub snapshots: Arc<[HeldSnapshot]>,
}

/// A backend server's word that a replica takes no new work from now on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaLeave {
    /// Name of the replica.
    pub replica: ReplicaName,
    /// Incarnation that leaves.
    pub incarnation: IncarnationNumber,
}

/// Reply to an announcement or a leave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnounceReply {
    /// Outcome: `Ok` or the fault.
    pub code: ResultCode,
    /// VM that keeps the replica, if known.
    pub keeper: Option<VmName>,
    /// How often the announcement is to be repeated, in milliseconds.
    pub repeat_ms: u64,
    /// Where to announce, in order of preference.
    pub entries: Vec<SocketAddr>,
}
