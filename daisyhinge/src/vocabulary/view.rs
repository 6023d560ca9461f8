//! Configuration and membership as control hands them to entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::environment::EnvironmentDocument;

/// Whether an entry takes part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryState {
    /// Keeps replicas and is named to callers.
    Live,
    /// Shuts down: named to no caller, keeps no replica, finishes what runs.
    Leaving,
}

/// One entry as a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Its VM.
    pub vm: VmName,
    /// Environment that it serves.
    pub environment: EnvironmentName,
    /// Data centre that it runs in.
    pub data_centre: CentreName,
    /// Drawn at start; a restarted process is another member under the same name.
    pub incarnation: IncarnationNumber,
    /// Where callers and backend servers connect.
    pub caller_address: SocketAddr,
    /// Where other entries connect.
    pub peer_address: SocketAddr,
    /// Whether it takes part.
    pub state: EntryState,
}

/// An entry that left the membership, kept until its lease has certainly ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DepartedEntry {
    /// Its VM.
    pub vm: VmName,
    /// Whether it released all that it kept before it left; if so nobody waits for its lease.
    pub released: bool,
    /// For how long at least control had given it no proof when it was taken off the list, in
    /// milliseconds. Its lease ends that much earlier.
    pub silent_ms: u64,
}

/// Configuration and membership at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlView {
    /// The version.
    pub version: VersionNumber,
    /// Document of each environment.
    pub environments: BTreeMap<EnvironmentName, Arc<EnvironmentDocument>>,
    /// Members in order of name.
    pub entries: Vec<EntryRecord>,
    /// Members that left a short while ago.
    pub departed: Vec<DepartedEntry>,
}
