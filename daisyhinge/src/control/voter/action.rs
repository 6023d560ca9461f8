//! What a voter is told and what it wants done.

use bytes::Bytes;

use crate::control::log::{HardState, LogEntry, LogSnapshot};
use crate::control::member::{MemberChange, VoterSet};
use crate::control::message::VoterMessage;
use crate::prelude::*;

/// What a voter is told.
#[derive(Clone, Debug)]
pub enum VoterEvent {
    /// Time passed; expected every few tens of milliseconds.
    Tick,
    /// A message came in.
    Received(VoterMessage),
    /// The save of that sequence, and all before it, is synced.
    Saved(u64),
    /// Append a command.
    Propose {
        /// Names this proposal in the answer.
        ticket: u64,
        /// The command, encoded.
        command: Bytes,
    },
    /// Change the members by one step.
    ChangeMembers {
        /// Names this proposal in the answer.
        ticket: u64,
        /// The step.
        change: MemberChange,
        /// The command that asked for it, encoded; may be empty.
        command: Bytes,
    },
    /// Confirm by a quorum, asked from now on, that this voter still leads.
    Confirm {
        /// Names this question in the answer.
        ticket: u64,
    },
    /// The applied state up to `index`, encoded, to replace the log before it.
    Compact {
        /// Last entry that it covers.
        index: u64,
        /// The book, encoded.
        bytes: Bytes,
    },
    /// The first members: this voter founds the log, unless it holds something already.
    Found(VoterSet),
    /// All that is known for now was told: save and send what is due.
    Flush,
}

/// A save; its entries replace any that are stored from the first one on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SaveBatch {
    /// Grows by one with each save and each snapshot.
    pub sequence: u64,
    /// Term and vote, if they changed.
    pub hard: Option<HardState>,
    /// Entries in order.
    pub entries: Vec<LogEntry>,
}

/// What a voter wants done, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VoterAction {
    /// Send a message.
    Send(VoterMessage),
    /// Store and sync, then tell [`VoterEvent::Saved`].
    Save(SaveBatch),
    /// Store and sync a snapshot, then tell [`VoterEvent::Saved`].
    SaveSnapshot {
        /// Grows by one with each save and each snapshot.
        sequence: u64,
        /// The snapshot.
        snapshot: LogSnapshot,
        /// Whether stored entries are void; otherwise those after the snapshot stay.
        reset: bool,
    },
    /// Apply a committed entry.
    Apply(LogEntry),
    /// Replace the applied state by that of a snapshot.
    Restore(LogSnapshot),
    /// A proposal became that entry of the log; it counts once it is applied with that term.
    Proposed {
        /// The proposal.
        ticket: u64,
        /// Index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// A proposal or question was refused and did nothing.
    Refused {
        /// The proposal or question.
        ticket: u64,
        /// Why.
        code: ResultCode,
    },
    /// A quorum confirmed, asked after the question came, that this voter leads.
    Confirmed {
        /// The question.
        ticket: u64,
    },
    /// This voter began to lead that term.
    Led {
        /// The term.
        term: u64,
    },
    /// This voter no longer leads that term.
    Unled {
        /// The term.
        term: u64,
    },
}
