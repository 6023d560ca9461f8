//! Settings of the processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Its VM.
    pub vm: VmName,
    /// Environment that it serves.
    pub environment: EnvironmentName,
    /// Data centre that it runs in.
    pub data_centre: CentreName,
    /// Where callers and backend servers connect.
    pub caller_address: SocketAddr,
    /// Where other entries connect.
    pub peer_address: SocketAddr,
    /// Where metrics, the time line and progress are served.
    pub metrics_address: SocketAddr,
    /// Control VMs, as entries connect to them.
    pub control: Vec<SocketAddr>,
    /// Bounds of this process.
    #[serde(default)]
    pub limits: EntryLimits,
}

/// Bounds of an entry process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Largest body of a request, an announcement or a sub-answer, in bytes.
    pub body_max_bytes: u64,
    /// Longest deadline that a caller may name, in milliseconds.
    pub deadline_max_ms: u64,
    /// Connections from callers and backend servers at a time.
    pub connections_max: u32,
    /// Replicas kept.
    pub replicas_max: u32,
    /// Requests running at a time, all services together.
    pub running_max: u32,
    /// Longest wait for running requests at shutdown, in milliseconds.
    pub shutdown_max_ms: u64,
    /// Events kept for the time line.
    pub events_max: u32,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            body_max_bytes: 1 << 20,
            deadline_max_ms: 60_000,
            connections_max: 4_096,
            replicas_max: 4_096,
            running_max: 4_096,
            shutdown_max_ms: 90_000,
            events_max: 65_536,
        }
    }
}

/// Another control VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VoterPeer {
    /// Its VM.
    pub vm: VmName,
    /// Where control VMs and entries connect to it.
    pub address: SocketAddr,
}

/// Settings of a control process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Its VM.
    pub vm: VmName,
    /// Where other control VMs and entries connect.
    pub address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where metrics and the time line are served.
    pub metrics_address: SocketAddr,
    /// The one folder that files live under.
    pub data_folder: PathBuf,
    /// File that holds the operators' token.
    pub token_file: PathBuf,
    /// The first voters, this VM included; empty on a VM that is added later.
    pub voters: Vec<VoterPeer>,
    /// Events kept for the time line.
    #[serde(default = "default_events_max")]
    pub events_max: u32,
}

fn default_events_max() -> u32 {
    65_536
}
