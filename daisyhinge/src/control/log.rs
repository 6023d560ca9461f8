//! In-memory replicated log of one voter.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::control::member::VoterSet;

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogPayload {
    /// No-op entry, the first entry of a new leader.
    Blank,
    /// An encoded command for the replicated state machine.
    Command(Bytes),
    /// The voter set from this entry on, with the encoded command that requested the change; the
    /// command may be empty.
    Voters(VoterSet, Bytes),
}

impl LogPayload {
    /// Returns the encoded command, or an empty buffer if there is none.
    pub fn command(&self) -> &Bytes {
        static EMPTY: Bytes = Bytes::new();
        match self {
            Self::Blank => &EMPTY,
            Self::Command(command) | Self::Voters(_, command) => command,
        }
    }

    /// Returns the approximate memory size of the payload, in bytes.
    pub fn size_bytes(&self) -> usize {
        let members = match self {
            Self::Voters(set, _) => set.members.len() * 64,
            _ => 0,
        };
        32 + members + self.command().len()
    }
}

/// An entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Command or voter set that the entry contains.
    pub payload: LogPayload,
}

/// A snapshot of the applied state that replaces the log up to an entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogSnapshot {
    /// Index of the last entry covered; 0 if there is no snapshot.
    pub index: u64,
    /// Term of the last entry covered.
    pub term: u64,
    /// Voter set as of the last entry covered.
    pub voters: VoterSet,
    /// Encoded replicated state after the last entry covered.
    pub bytes: Bytes,
}

/// Current term and vote, called the hard state in Raft implementations. They are synced to disk
/// before any reply that depends on them is sent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Highest term that this voter has seen.
    pub term: u64,
    /// Candidate that received this voter's vote in `term`.
    pub vote: Option<crate::control::member::VoterId>,
}

/// Persistent state that a voter reads from disk at start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredLog {
    /// Term and vote as last synced.
    pub hard: HardState,
    /// The newest snapshot; its index is 0 if there is none.
    pub snapshot: LogSnapshot,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}

/// Log entries in memory: those after the snapshot and a short tail before it.
#[derive(Clone, Debug)]
pub struct VoterLog {
    snapshot: LogSnapshot,
    /// Index and term of the entry before the first one in memory.
    base: (u64, u64),
    entries: VecDeque<LogEntry>,
}

impl VoterLog {
    /// Creates the log from its stored state.
    pub fn open(snapshot: LogSnapshot, entries: Vec<LogEntry>) -> Self {
        let base = (snapshot.index, snapshot.term);
        let log = Self {
            snapshot,
            base,
            entries: entries.into(),
        };
        log.assert_contiguous();
        log
    }

    fn assert_contiguous(&self) {
        if let Some(first) = self.entries.front() {
            assert_eq!(first.index, self.base.0 + 1, "the log starts with a gap");
        }
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> &LogSnapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    /// Returns the lowest `prev_index` with which an append can be sent.
    pub fn base_index(&self) -> u64 {
        self.base.0
    }

    /// Returns the number of entries in memory.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the term of the entry at `index`, if known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry_at(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, if it is in memory.
    pub fn entry_at(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries after `index`, up to about `max_bytes` but at least one if there is any.
    pub fn entries_after(&self, index: u64, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        (index + 1..=self.last_index())
            .map_while(|index| self.entry_at(index))
            .take_while(|entry| {
                let fits = bytes == 0 || bytes + entry.payload.size_bytes() <= max_bytes;
                bytes += entry.payload.size_bytes();
                fits
            })
            .cloned()
            .collect()
    }

    /// Appends `entry`, which must follow the last entry.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last_index() + 1, "the log has a gap");
        assert!(
            entry.term >= self.last_term(),
            "terms must not decrease along the log"
        );
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        assert!(
            index > self.snapshot.index,
            "entries covered by the snapshot can't be truncated"
        );
        let remaining = index.saturating_sub(self.base.0 + 1);
        self.entries
            .truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
    }

    /// Replaces the current snapshot by a newer one of the same log and drops the entries before
    /// it, except for a tail.
    pub(crate) fn compact(&mut self, snapshot: LogSnapshot, tail_entries: u64) {
        assert!(
            snapshot.index >= self.snapshot.index,
            "a snapshot must not be older than the current one"
        );
        assert_eq!(
            self.term_at(snapshot.index),
            Some(snapshot.term),
            "the snapshot belongs to another log"
        );
        while self.base.0 + tail_entries < snapshot.index {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base = (entry.index, entry.term);
        }
        self.snapshot = snapshot;
    }

    /// Replaces the complete log by a snapshot received from the leader.
    pub(crate) fn install(&mut self, snapshot: LogSnapshot) {
        assert!(
            snapshot.index > self.snapshot.index,
            "a snapshot must not be older than the current one"
        );
        self.base = (snapshot.index, snapshot.term);
        self.entries.clear();
        self.snapshot = snapshot;
    }
}
