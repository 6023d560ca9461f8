//! Input events of a voter (ticks, messages, proposals) and the actions that it requests (send,
//! save, apply).

use bytes::Bytes;

use crate::control::log::{HardState, LogEntry, LogSnapshot};
use crate::control::member::{MemberChange, VoterSet};
use crate::control::message::VoterMessage;
use crate::prelude::*;

/// Input event of a voter.
#[derive(Clone, Debug)]
pub enum VoterEvent {
    /// Time passed; expected every few tens of milliseconds.
    Tick,
    /// A message from another voter arrived.
    Received(VoterMessage),
    /// The save with this sequence number and all earlier ones are synced.
    Saved(u64),
    /// Proposes a command.
    Propose {
        /// Id of the request, repeated in the resulting actions.
        req_id: u64,
        /// Encoded command for the replicated state machine.
        command: Bytes,
    },
    /// Proposes a single step of a membership change.
    ChangeMembers {
        /// Id of the request, repeated in the resulting actions.
        req_id: u64,
        /// Membership change to propose.
        change: MemberChange,
        /// The encoded command that requested the change; may be empty.
        command: Bytes,
    },
    /// Requests a confirmation by a quorum, contacted from now on, that this voter still leads.
    Confirm {
        /// Id of the request, repeated in the resulting actions.
        req_id: u64,
    },
    /// Replaces the log up to `index` by a snapshot of the applied state.
    Compact {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Encoded replicated state after the entry at `index`.
        bytes: Bytes,
    },
    /// Bootstraps the log with its first members. Ignored if this voter already has a log.
    Bootstrap(VoterSet),
    /// All pending events were delivered: save and send accumulated work.
    Flush,
}

/// A save. Its entries replace any stored entries from the first one's index on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SaveBatch {
    /// Sequence number; incremented with each save and each snapshot.
    pub sequence: u64,
    /// Term and vote, if they changed.
    pub hard: Option<HardState>,
    /// Entries to store, in order.
    pub entries: Vec<LogEntry>,
}

/// Action requested by a voter; actions are performed in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VoterAction {
    /// Sends a message to another voter.
    Send(VoterMessage),
    /// Writes and syncs a batch, then reports [`VoterEvent::Saved`].
    Save(SaveBatch),
    /// Writes and syncs a snapshot, then reports [`VoterEvent::Saved`].
    SaveSnapshot {
        /// Sequence number; incremented with each save and each snapshot.
        sequence: u64,
        /// Snapshot to store.
        snapshot: LogSnapshot,
        /// Whether the snapshot discards all stored entries; otherwise the entries after it stay.
        reset: bool,
    },
    /// Applies a committed entry.
    Apply(LogEntry),
    /// Replaces the applied state by that of a snapshot.
    Restore(LogSnapshot),
    /// A proposal was appended to the log. It is committed once the entry is applied with the same
    /// term.
    Proposed {
        /// Id of the request.
        req_id: u64,
        /// Index of the log entry with the proposal.
        index: u64,
        /// Term of the log entry with the proposal.
        term: u64,
    },
    /// A proposal or confirmation request was refused and had no effect.
    Refused {
        /// Id of the request.
        req_id: u64,
        /// Reason for the refusal.
        code: ResultCode,
    },
    /// A quorum, contacted after the confirmation was requested, confirmed that this voter leads.
    Confirmed {
        /// Id of the request.
        req_id: u64,
    },
    /// This voter became the leader.
    BecameLeader {
        /// Term in which it leads.
        term: u64,
    },
    /// This voter is no longer the leader.
    LostLeadership {
        /// Term in which it led.
        term: u64,
    },
}
