//! Registration of replicas and entries at control, as soft state.
//!
//! Links carry these messages with field names. A field added here needs `#[serde(default)]`, since
//! builds that do not know it leave it out.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::feature::FeatureLevel;
use crate::vocabulary::quota::{UsageReply, UsageRequest};
use crate::vocabulary::replica::CrashRecord;
use crate::vocabulary::rollout::RolloutReport;

/// Phase in the life cycle of a replica.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum ReplicaPhase {
    /// Accepts requests.
    #[default]
    Ready,
    /// Sent no heartbeat for some time and may have failed.
    Silent,
    /// Leaves soon and should receive no new requests.
    Draining,
    /// Announced its immediate departure.
    Left,
}

/// Record of one incarnation of a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaRecord {
    /// Name of the incarnation, usually a new one for each start.
    pub name: ReplicaName,
    /// Service that the replica belongs to.
    pub service: ServiceName,
    /// Address at which the replica accepts requests.
    pub address: SocketAddr,
    /// Data centre that the replica runs in.
    pub data_centre: CentreName,
    /// Version of the replica's software; empty if a build that does not know it passed the record
    /// on.
    #[serde(default)]
    pub version: VersionName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Phase as of the last message from the replica; [`ReplicaPhase::Silent`] if heartbeats are
    /// missing.
    pub phase: ReplicaPhase,
    /// Start time in milliseconds since 1970; `None` if only the departure is known.
    pub born_ms: Option<u64>,
    /// Sequence number, incremented with each heartbeat.
    pub sequence: u64,
    /// Remaining cold time in milliseconds from when this record was created or forwarded.
    pub cold_left_ms: u64,
    /// Epoch of the control process that received the last heartbeat.
    pub holder: u64,
}

/// Phase in the life cycle of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EntryPhase {
    /// Accepts requests.
    Serving,
    /// Has no configuration yet.
    Starting,
    /// Is shutting down.
    Leaving,
    /// Sent no request for some time.
    Lost,
    /// Cannot connect to replicas itself, and serves through other entries.
    CutOff,
}

/// Record of an entry process at control.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryPresence {
    /// VM that runs the entry.
    pub vm: VmName,
    /// Random number drawn when the process started.
    pub incarnation: u64,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Data centre that the entry runs in.
    pub data_centre: CentreName,
    /// Phase as of the last sync request; [`EntryPhase::Lost`] if requests are missing.
    pub phase: EntryPhase,
    /// Logical clock of this record; records with higher values are newer.
    pub stamp: u64,
    /// Epoch of the control process that the entry reports to.
    pub holder: u64,
    /// Highest feature level that the entry supports.
    #[serde(default)]
    pub feature_level: FeatureLevel,
}

/// All crash records of one entry process. Each report replaces the former one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// VM that runs the entry.
    pub vm: VmName,
    /// Random number drawn when the process started.
    pub incarnation: u64,
    /// Number of the report, incremented with each one of this process.
    pub revision: u64,
    /// Requests that crashed replicas.
    pub records: Vec<CrashRecord>,
}

impl CrashReport {
    /// Creates the report of a process that has no records yet.
    pub fn empty(vm: VmName, incarnation: u64) -> Self {
        Self {
            vm,
            incarnation,
            revision: 0,
            records: Vec::new(),
        }
    }
}

/// Location of a control process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlLocation {
    /// Address that followers connect to.
    pub address: SocketAddr,
    /// Data centre of the control process, if known.
    pub data_centre: Option<CentreName>,
}

/// Sender of a sync request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SyncCaller {
    /// An entry. The request also registers the entry.
    Entry {
        /// VM that runs the entry.
        vm: VmName,
        /// Random number drawn when the process started.
        incarnation: u64,
        /// Address that callers connect to.
        address: SocketAddr,
        /// Data centre that the entry runs in.
        data_centre: CentreName,
        /// Current phase of the entry.
        phase: EntryPhase,
        /// Highest feature level that the entry supports.
        #[serde(default)]
        feature_level: FeatureLevel,
    },
    /// Another control process.
    Control,
    /// An entry that follows another control process and checks whether this one serves. The reply
    /// contains no records.
    Probe,
}

/// Request for changed records. The reply is sent as soon as there are any.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// Sender of the request.
    pub caller: SyncCaller,
    /// Epoch of the control process that issued `mark`. A mark issued by any other process counts
    /// as 0.
    pub epoch: u64,
    /// Mark of the latest registry modification that the sender received; 0 for all records.
    pub mark: u64,
    /// Latest revision of the site state that the sender has.
    pub revision: u64,
    /// Crash records of the entry, if this control process does not have them yet.
    pub crashes: Option<CrashReport>,
    /// Outcomes of rollouts, if this control process does not have them yet.
    #[serde(default)]
    pub rollouts: Option<RolloutReport>,
    /// Mark of the latest rollout report that the sender received, if it is a control process.
    #[serde(default)]
    pub report_mark: u64,
    /// Maximum time to wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// Use of quotas.
    #[serde(default)]
    pub usage: UsageRequest,
}

/// Reply to a [`SyncRequest`] with the changed records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncReply {
    /// Random number drawn when the replying process started.
    pub epoch: u64,
    /// Mark of the latest registry modification in this reply, to be sent with the next request.
    pub mark: u64,
    /// Replicas that changed after the sender's mark.
    pub replicas: Vec<ReplicaRecord>,
    /// Entries that changed after the sender's mark.
    pub entries: Vec<EntryPresence>,
    /// Crash records of entries that changed after the sender's mark.
    pub crashes: Vec<CrashReport>,
    /// Outcomes of rollouts that changed after the sender's mark, if it is a control process.
    #[serde(default)]
    pub rollouts: Vec<RolloutReport>,
    /// Mark of the latest rollout report in this reply.
    #[serde(default)]
    pub report_mark: u64,
    /// Whether this reply contains all records, since no mark of the sender is known here.
    pub complete: bool,
    /// Site state, if it is newer than the sender's and the sender is an entry.
    pub site: Option<Arc<crate::vocabulary::site::SiteState>>,
    /// Milliseconds since a quorum of control is known to have confirmed this state.
    pub quorum_age_ms: Option<u64>,
    /// Data centre of the replying process.
    pub data_centre: CentreName,
    /// Locations of the control processes.
    pub control: Vec<ControlLocation>,
    /// Highest feature level that the replying process supports.
    #[serde(default)]
    pub feature_level: FeatureLevel,
    /// Use of quotas.
    #[serde(default)]
    pub usage: UsageReply,
    /// Replicas that the replying process had stored before it started, if it started recently and
    /// the sender is a control process that has received none of its records.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restored: Option<Vec<ReplicaRecord>>,
}
