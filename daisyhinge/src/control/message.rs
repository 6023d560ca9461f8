//! Messages between control VMs that replicate the log.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::control::log::LogEntry;
use crate::control::member::{VoterId, VoterSet};

/// A message from one control VM to another. The receiver ignores messages for another identity.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterMessage {
    /// Identity of the sender.
    pub from: VoterId,
    /// Identity of the receiver.
    pub to: VoterId,
    /// Current term of the sender; in a pre-vote, the term of the election that would follow.
    pub term: u64,
    /// Content of the message.
    pub body: VoterBody,
}

/// Term and index of the last entry of a candidate's log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LogEnd {
    /// Term of the last entry of the log.
    pub term: u64,
    /// Index of the last entry of the log.
    pub index: u64,
}

/// Request or reply in a [`VoterMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum VoterBody {
    /// Requests a pre-vote.
    PreVote(LogEnd),
    /// Replies to a pre-vote request.
    PreVoteReply {
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Requests a vote.
    Vote(LogEnd),
    /// Replies to a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Appends entries; an append without entries is a heartbeat.
    Append(AppendRequest),
    /// Replies to an append, or reports entries that were synced since the last reply.
    AppendReply(AppendReply),
    /// Transfers a part of a snapshot.
    SnapshotPart(SnapshotPart),
    /// Replies to a snapshot part.
    SnapshotReply {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Number of contiguous bytes received from the start of the snapshot.
        received: u64,
        /// Confirmation round of the part that is answered.
        round: u64,
    },
}

/// Request to append entries to a follower's log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendRequest {
    /// Index of the entry before the first one in `entries`.
    pub prev_index: u64,
    /// Term of that entry.
    pub prev_term: u64,
    /// Commit index of the leader.
    pub commit: u64,
    /// Number of the leader's confirmation round. Replies with this number from a quorum prove that
    /// the sender was still leader when the round started.
    pub round: u64,
    /// Address at which operators connect to the leader.
    pub operator_address: SocketAddr,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
}

/// Reply to an [`AppendRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendReply {
    /// Confirmation round of the append that is answered; 0 in a report without a request.
    pub round: u64,
    /// Whether the log has the entry that precedes the appended ones.
    pub accepted: bool,
    /// Index of the last synced entry that agrees with the leader's log. If the append was
    /// rejected, index of the last entry that may agree.
    pub matched: u64,
}

/// Part of a snapshot that the leader sends to a member for which it no longer has the log entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotPart {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voter set as of that entry.
    pub voters: VoterSet,
    /// Size of the complete snapshot, in bytes.
    pub total: u64,
    /// Offset of this part in the snapshot, in bytes.
    pub offset: u64,
    /// Number of the leader's confirmation round. Replies with this number from a quorum prove that
    /// the sender was still leader when the round started.
    pub round: u64,
    /// Bytes of the encoded snapshot from `offset` on.
    pub bytes: Bytes,
}
