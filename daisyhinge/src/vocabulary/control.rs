//! Status reported by control VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Role of a control VM in the replicated log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlRole {
    /// Leader: serves changes, reads, claims and freshness proofs.
    Leader,
    /// Follows a leader, or has not found one yet.
    Follower,
    /// Candidate in an election.
    Candidate,
    /// Receives the log but does not vote yet.
    Learner,
    /// Not a member of the log.
    Outside,
}

/// Status of a member of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterStatus {
    /// VM that runs the member.
    pub vm: VmName,
    /// Random identity of the member, generated when its data folder was created.
    pub number: u64,
    /// Address that control VMs and entries connect to.
    pub address: SocketAddr,
    /// Whether the member is a learner, which does not vote yet.
    pub learner: bool,
    /// Index of the last log entry that the member has synced, as known to the leader.
    pub matched: Option<u64>,
    /// Milliseconds since the leader last received a message from the member.
    pub heard_ms: Option<u64>,
}

/// Status of an entry, as known to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryStatus {
    /// VM that runs the entry.
    pub vm: VmName,
    /// Environment that the entry serves.
    pub environment: EnvironmentName,
    /// Incarnation of the listed entry process; increases with each start.
    pub incarnation: IncarnationNumber,
    /// Version that the entry had at its last freshness request.
    pub holds: Option<VersionNumber>,
    /// Milliseconds since the entry's last freshness request.
    pub asked_ms: Option<u64>,
}

/// Status of a control VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlStatus {
    /// VM that runs the reporting control process.
    pub vm: VmName,
    /// Random identity, generated when the data folder was created.
    pub number: u64,
    /// Role in the replicated log.
    pub role: ControlRole,
    /// Highest term of the log that this VM has seen.
    pub term: u64,
    /// VM of the leader, if known.
    pub leader: Option<VmName>,
    /// Operator address of the leader, if known.
    pub leader_operator: Option<SocketAddr>,
    /// Index of the last log entry known to be committed.
    pub commit: u64,
    /// Index of the last log entry included in the newest snapshot.
    pub snapshot: u64,
    /// Version of configuration and membership as of `commit`.
    pub version: VersionNumber,
    /// Number of stored claims.
    pub claims: u64,
    /// Age of the latest confirmation by a quorum, in milliseconds; `None` unless this VM is the
    /// leader.
    pub confirmed_ms: Option<u64>,
    /// Voters and learners of the log, in the order in which they were added.
    pub voters: Vec<VoterStatus>,
    /// Entries. Only the leader knows their `holds` and `asked_ms`.
    pub entries: Vec<EntryStatus>,
}
