//! Saves, and the messages and acknowledgements that wait for them.

use super::{SaveBatch, VoterAction, VoterMachine};
use crate::control::log::{LogEntry, LogSnapshot};
use crate::control::member::VoterId;
use crate::control::message::{VoterBody, VoterMessage};
use crate::prelude::*;

impl VoterMachine {
    /// Sends a message, after the save of the term and vote that it depends on.
    pub(super) fn send(
        &mut self,
        to: &VoterId,
        term: u64,
        body: VoterBody,
        actions: &mut Vec<VoterAction>,
    ) {
        let message = VoterMessage {
            from: self.id.clone(),
            to: to.clone(),
            term,
            body,
        };
        let required = self.save_hard(actions);
        if required <= self.saved_sequence {
            actions.push(VoterAction::Send(message));
        } else {
            self.deferred.push_back((required, message));
        }
    }

    /// Saves term and vote if they changed. Returns the sequence number of the save that makes them
    /// durable.
    pub(super) fn save_hard(&mut self, actions: &mut Vec<VoterAction>) -> u64 {
        if self.hard_changed {
            self.save(Vec::new(), actions);
            self.hard_sequence = self.sequence;
        }
        self.hard_sequence
    }

    pub(super) fn save(&mut self, entries: Vec<LogEntry>, actions: &mut Vec<VoterAction>) {
        self.sequence += 1;
        let hard = self.hard_changed.then(|| self.hard.clone());
        if hard.is_some() {
            self.hard_sequence = self.sequence;
        }
        self.hard_changed = false;
        let last = entries.last().map_or(0, |entry| entry.index);
        self.saves.push_back((self.sequence, last));
        actions.push(VoterAction::Save(SaveBatch {
            sequence: self.sequence,
            hard,
            entries,
        }));
    }

    pub(super) fn save_snapshot(
        &mut self,
        snapshot: LogSnapshot,
        reset: bool,
        actions: &mut Vec<VoterAction>,
    ) {
        self.sequence += 1;
        self.saves.push_back((self.sequence, 0));
        actions.push(VoterAction::SaveSnapshot {
            sequence: self.sequence,
            snapshot,
            reset,
        });
    }

    /// Saves entries that were not yet submitted to the disk.
    pub(super) fn save_entries(&mut self, actions: &mut Vec<VoterAction>) {
        if self.last_submitted < self.log.last_index() {
            let entries = self.log.entries_after(self.last_submitted, usize::MAX);
            self.last_submitted = self.log.last_index();
            self.save(entries, actions);
        }
    }

    pub(super) fn handle_saved(
        &mut self,
        now: MonotonicTime,
        sequence: u64,
        actions: &mut Vec<VoterAction>,
    ) {
        assert!(
            sequence <= self.sequence,
            "a save completed that was never submitted"
        );
        self.saved_sequence = self.saved_sequence.max(sequence);
        while let Some((_, last)) = self.saves.pop_front_if(|(saved, _)| *saved <= sequence) {
            self.synced = self.synced.max(last);
        }
        while let Some((_, message)) = self
            .deferred
            .pop_front_if(|(required, _)| *required <= sequence)
        {
            actions.push(VoterAction::Send(message));
        }
        self.finish_install();
        if self.is_leader() {
            self.advance_commit(actions);
        } else {
            self.report_synced(actions);
            self.count_votes(now, actions);
        }
    }

    pub(super) fn flush(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        self.save_entries(actions);
        self.save_hard(actions);
        self.replicate_all(now, actions);
    }
}
