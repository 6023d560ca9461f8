//! Settings of the processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// VM that runs the entry.
    pub vm: VmName,
    /// Environment that the entry serves.
    pub environment: EnvironmentName,
    /// Data centre that the entry runs in.
    pub data_centre: CentreName,
    /// Address that callers and backend servers connect to.
    pub caller_address: SocketAddr,
    /// Address that other entries connect to.
    pub peer_address: SocketAddr,
    /// Address that serves metrics, the timeline and progress.
    pub metrics_address: SocketAddr,
    /// Addresses of the control VMs that the entry connects to.
    pub control: Vec<SocketAddr>,
    /// Limits of the process.
    #[serde(default)]
    pub limits: EntryLimits,
}

/// Limits of an entry process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Maximum body size of a request, an announcement or a sub-request's answer, in bytes.
    pub body_max_bytes: u64,
    /// Longest deadline that a caller may set, in milliseconds.
    pub deadline_max_ms: u64,
    /// Maximum number of open connections from callers and backend servers. Memory and descriptors of
    /// the process may allow fewer.
    pub connections_max: u32,
    /// Memory of the process in MiB, from which the limits on what clients may hold follow.
    pub memory_mb: u32,
    /// Maximum number of replicas that the entry keeps.
    pub replicas_max: u32,
    /// Maximum number of concurrent requests over all services.
    pub running_max: u32,
    /// Maximum time that shutdown waits for running requests, in milliseconds.
    pub shutdown_max_ms: u64,
    /// Number of events stored for the timeline.
    pub events_max: u32,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            body_max_bytes: 1 << 20,
            deadline_max_ms: 60_000,
            connections_max: 4_096,
            memory_mb: 1_024,
            replicas_max: 4_096,
            running_max: 4_096,
            shutdown_max_ms: 90_000,
            events_max: 65_536,
        }
    }
}

/// A voter of the control log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VoterPeer {
    /// VM that runs the voter.
    pub vm: VmName,
    /// Address that control VMs and entries connect to.
    pub address: SocketAddr,
}

/// Settings of a control process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// VM that runs the control process.
    pub vm: VmName,
    /// Address that other control VMs and entries connect to.
    pub address: SocketAddr,
    /// Address that operators connect to.
    pub operator_address: SocketAddr,
    /// Address that serves metrics and the timeline.
    pub metrics_address: SocketAddr,
    /// Folder that contains all data files.
    pub data_folder: PathBuf,
    /// File that contains the operators' token.
    pub token_file: PathBuf,
    /// Initial voters including this VM; empty on a VM that is added later.
    pub voters: Vec<VoterPeer>,
    /// Number of events stored for the timeline.
    #[serde(default = "default_events_max")]
    pub events_max: u32,
}

fn default_events_max() -> u32 {
    65_536
}
