//! The replicated log as one voter holds it in memory.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::control::member::VoterSet;

/// What an entry of the log carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogPayload {
    /// Nothing; a new leader's first entry.
    Blank,
    /// A command for the book, encoded.
    Command(Bytes),
    /// The members from here on, with the command that asked for it; the command may be empty.
    Voters(VoterSet, Bytes),
}

impl LogPayload {
    /// The encoded command; empty if there is none.
    pub fn command(&self) -> &Bytes {
        static EMPTY: Bytes = Bytes::new();
        match self {
            Self::Blank => &EMPTY,
            Self::Command(command) | Self::Voters(_, command) => command,
        }
    }

    /// Approximate size, in bytes.
    pub fn size_bytes(&self) -> usize {
        let members = match self {
            Self::Voters(set, _) => set.members.len() * 64,
            _ => 0,
        };
        32 + members + self.command().len()
    }
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Its place, from 1.
    pub index: u64,
    /// Term of the leader that made it.
    pub term: u64,
    /// What it carries.
    pub payload: LogPayload,
}

/// The applied state up to an entry, in place of the log before it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogSnapshot {
    /// Last entry that it covers; 0 if there is none.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members as of that entry.
    pub voters: VoterSet,
    /// The book, encoded.
    pub bytes: Bytes,
}

/// Term and vote, which are on disk before any reply that depends on them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Newest term that was seen.
    pub term: u64,
    /// Who has this voter's vote in that term.
    pub vote: Option<crate::control::member::VoterId>,
}

/// What a voter finds on its disk when it starts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredLog {
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot; its index is 0 if there is none.
    pub snapshot: LogSnapshot,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// Entries in memory, above and a little below the snapshot.
#[derive(Clone, Debug)]
pub struct VoterLog {
    snapshot: LogSnapshot,
    /// Index and term of the entry before the first one held.
    before: (u64, u64),
    entries: VecDeque<LogEntry>,
}

impl VoterLog {
    /// The log as it was stored.
    pub fn open(snapshot: LogSnapshot, entries: Vec<LogEntry>) -> Self {
        let before = (snapshot.index, snapshot.term);
        let log = Self {
            snapshot,
            before,
            entries: entries.into(),
        };
        log.assert_contiguous();
        log
    }

    fn assert_contiguous(&self) {
        if let Some(first) = self.entries.front() {
            assert_eq!(first.index, self.before.0 + 1, "the log starts with a gap");
        }
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &LogSnapshot {
        &self.snapshot
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.before.0 + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.before.1, |entry| entry.term)
    }

    /// Lowest index that an append can start after.
    pub fn base_index(&self) -> u64 {
        self.before.0
    }

    /// Entries held in memory.
    pub fn held(&self) -> usize {
        self.entries.len()
    }

    /// Term of the entry at `index`, if it is still known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.before.0 {
            return Some(self.before.1);
        }
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry_at(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it is held.
    pub fn entry_at(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.before.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries after `index`, at least one if there is any, up to about `max_bytes`.
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

    /// Adds `entry`, which must follow the last one.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last_index() + 1, "the log has a gap");
        assert!(
            entry.term >= self.last_term(),
            "terms never fall along the log"
        );
        self.entries.push_back(entry);
    }

    /// Removes every entry from `index` on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        assert!(index > self.snapshot.index, "a snapshot is never cut");
        let keep = index.saturating_sub(self.before.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Takes a snapshot of this log's own entries and forgets those before it, but for a tail.
    pub(crate) fn compact(&mut self, snapshot: LogSnapshot, tail_entries: u64) {
        assert!(
            snapshot.index >= self.snapshot.index,
            "snapshots only advance"
        );
        assert_eq!(
            self.term_at(snapshot.index),
            Some(snapshot.term),
            "a snapshot of this log"
        );
        while self.before.0 + tail_entries < snapshot.index {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.before = (entry.index, entry.term);
        }
        self.snapshot = snapshot;
    }

    /// Replaces the whole log by a snapshot from the leader.
    pub(crate) fn install(&mut self, snapshot: LogSnapshot) {
        assert!(
            snapshot.index > self.snapshot.index,
            "snapshots only advance"
        );
        self.before = (snapshot.index, snapshot.term);
        self.entries.clear();
        self.snapshot = snapshot;
    }
}
