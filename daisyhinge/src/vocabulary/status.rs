//! What a control VM tells operators of the group and of the entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::view::EntryState;

/// Part that a control VM has in the group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoterRole {
    /// Receives the log and has no vote yet.
    Learner,
    /// Votes.
    Voter,
}

/// A control VM as the leader sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterStatus {
    /// Its VM.
    pub vm: VmName,
    /// Where other control VMs and entries connect to it.
    pub address: SocketAddr,
    /// Its part.
    pub role: VoterRole,
    /// Log entries that it has synced, as far as the leader knows.
    pub matched: u64,
    /// Time since it was last heard of, in milliseconds; unset if never or if not asked of the
    /// leader.
    pub heard_ms: Option<u64>,
}

/// An entry as the leader sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryStatus {
    /// Its VM.
    pub vm: VmName,
    /// Environment that it serves.
    pub environment: EnvironmentName,
    /// Data centre that it runs in.
    pub data_centre: CentreName,
    /// Where callers and backend servers connect.
    pub caller_address: SocketAddr,
    /// Whether it takes part.
    pub state: EntryState,
    /// Version that it said it holds when it was last heard of.
    pub holds: VersionNumber,
    /// Time since it was last heard of, in milliseconds.
    pub heard_ms: u64,
}

/// State of a control VM, as it sees it itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlStatus {
    /// The VM that answers.
    pub vm: VmName,
    /// Whether it leads, confirmed by a quorum.
    pub leading: bool,
    /// VM that leads, as far as it knows.
    pub leader: Option<VmName>,
    /// Newest term that it has seen.
    pub term: u64,
    /// Newest version that it has applied.
    pub version: VersionNumber,
    /// Last log entry that it knows to be committed.
    pub committed: u64,
    /// The group.
    pub voters: Vec<VoterStatus>,
    /// Entries, told by the leader only.
    pub entries: Vec<EntryStatus>,
}
