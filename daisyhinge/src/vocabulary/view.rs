//! Configuration and membership as distributed by control to entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::environment::EnvironmentDocument;

/// Membership state of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryState {
    /// Keeps replicas and is advertised to callers.
    Live,
    /// Shutting down: not advertised to callers, keeps no replicas, finishes running work.
    Leaving,
}

/// Record of a member entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// VM that runs the entry.
    pub vm: VmName,
    /// Environment that the entry serves.
    pub environment: EnvironmentName,
    /// Data centre that the entry runs in.
    pub data_centre: CentreName,
    /// Incarnation drawn at start; a restarted process is a different member with the same name.
    pub incarnation: IncarnationNumber,
    /// Address that callers and backend servers connect to.
    pub caller_address: SocketAddr,
    /// Address that other entries connect to.
    pub peer_address: SocketAddr,
    /// Whether the entry is live or shutting down.
    pub state: EntryState,
}

/// An entry that left the membership, recorded until its lease has certainly expired.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DepartedEntry {
    /// VM that runs the entry.
    pub vm: VmName,
    /// Whether the entry released all its replicas before it left. If so, new keepers do not wait
    /// for its lease.
    pub released: bool,
    /// Minimum time in milliseconds for which control had sent the entry no proof when the entry
    /// was removed. Its lease ends earlier by this time.
    pub silent_ms: u64,
}

/// Configuration and membership at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlView {
    /// Version at which this configuration and membership took effect.
    pub version: VersionNumber,
    /// Configuration document of each environment, by name.
    pub environments: BTreeMap<EnvironmentName, Arc<EnvironmentDocument>>,
    /// Member entries, sorted by name.
    pub entries: Vec<EntryRecord>,
    /// Entries that left recently, oldest first. New keepers of their replicas may have to wait for
    /// their leases.
    pub departed: Vec<DepartedEntry>,
}
