//! Messages between control VMs about the replicated log.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::control::log::LogEntry;
use crate::control::member::{VoterId, VoterSet};

/// A message from one control VM to another. One that is addressed to another identity than the
/// receiver's is ignored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterMessage {
    /// The sender.
    pub from: VoterId,
    /// The receiver.
    pub to: VoterId,
    /// The sender's term; of a pre-vote, the term that it would stand in.
    pub term: u64,
    /// What it says.
    pub body: VoterBody,
}

/// Where the log of a candidate ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LogEnd {
    /// Term of the last entry.
    pub term: u64,
    /// Index of the last entry.
    pub index: u64,
}

/// What a message says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum VoterBody {
    /// Asks whether the receiver would vote for the sender.
    PreVote(LogEnd),
    /// Answers it.
    PreVoteReply {
        /// Whether it would.
        granted: bool,
    },
    /// Asks for the receiver's vote.
    Vote(LogEnd),
    /// Answers it.
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Appends entries; without any it is a heartbeat.
    Append(AppendAsk),
    /// Answers an append, or reports entries that were synced since.
    AppendReply(AppendReply),
    /// Carries a part of a snapshot.
    SnapshotPart(SnapshotPart),
    /// Answers it.
    SnapshotReply {
        /// Index of the snapshot.
        index: u64,
        /// Bytes of it that the receiver holds in order.
        received: u64,
        /// Round of the part that is answered.
        round: u64,
    },
}

/// Appends entries after the one named.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendAsk {
    /// Index of the entry before the first one here.
    pub prev_index: u64,
    /// Term of that entry.
    pub prev_term: u64,
    /// The leader's commit index.
    pub commit: u64,
    /// Round of confirmation that an answer counts for.
    pub round: u64,
    /// Where operators connect to the leader.
    pub operator_address: SocketAddr,
    /// The entries.
    pub entries: Vec<LogEntry>,
}

/// Answers an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendReply {
    /// Round of the append that is answered.
    pub round: u64,
    /// Whether the entry before was found.
    pub accepted: bool,
    /// Last entry that agrees with the leader and is synced; where it was not accepted, the
    /// last entry that might agree.
    pub matched: u64,
}

/// A part of a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotPart {
    /// Last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members as of that entry.
    pub voters: VoterSet,
    /// Size of the whole, in bytes.
    pub total: u64,
    /// Where these bytes start.
    pub offset: u64,
    /// Round of confirmation that an answer counts for.
    pub round: u64,
    /// The bytes.
    pub bytes: Bytes,
}
