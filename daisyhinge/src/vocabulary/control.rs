//! What a control VM says of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What a control VM does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlRole {
    /// Leads: answers changes, reads, claims and freshness.
    Leader,
    /// Follows a leader, or waits for one.
    Follower,
    /// Stands for election.
    Candidate,
    /// Receives the log and does not vote yet.
    Learner,
    /// Is no member, or not yet.
    Outside,
}

/// A member of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterStatus {
    /// Its VM.
    pub vm: VmName,
    /// Number of its identity, drawn when its data folder was made.
    pub number: u64,
    /// Where control VMs and entries connect to it.
    pub address: SocketAddr,
    /// Whether it does not vote yet.
    pub learner: bool,
    /// Last entry that it has synced, as the leader knows it.
    pub matched: Option<u64>,
    /// How long ago the leader heard of it, in milliseconds.
    pub heard_ms: Option<u64>,
}

/// An entry as the leader knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryStatus {
    /// Its VM.
    pub vm: VmName,
    /// Environment that it serves.
    pub environment: EnvironmentName,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// Version that it held when it last asked.
    pub holds: Option<VersionNumber>,
    /// How long ago it last asked, in milliseconds.
    pub asked_ms: Option<u64>,
}

/// State of a control VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlStatus {
    /// Its VM.
    pub vm: VmName,
    /// Number of its identity.
    pub number: u64,
    /// What it does.
    pub role: ControlRole,
    /// The newest term that it saw.
    pub term: u64,
    /// The leader's VM, if known.
    pub leader: Option<VmName>,
    /// Where operators connect to the leader, if known.
    pub leader_operator: Option<SocketAddr>,
    /// Last entry of the log that it knows to be committed.
    pub commit: u64,
    /// Last entry of the log that the newest snapshot covers.
    pub snapshot: u64,
    /// Version of configuration and membership as of `commit`.
    pub version: VersionNumber,
    /// Claims kept.
    pub claims: u64,
    /// How old the newest confirmation by a quorum is, in milliseconds; unset unless it leads.
    pub confirmed_ms: Option<u64>,
    /// Members of the log.
    pub voters: Vec<VoterStatus>,
    /// Entries; `holds` and `asked_ms` are known only at the leader.
    pub entries: Vec<EntryStatus>,
}
