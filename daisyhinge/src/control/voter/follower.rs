//! Follower side of replication: handles appends and snapshots from the leader.

use super::{IncomingSnapshot, SNAPSHOT_MAX_BYTES, VoterAction, VoterMachine};
use crate::control::log::LogSnapshot;
use crate::control::member::{VoterId, VoterSet};
use crate::control::message::{AppendReply, AppendRequest, SnapshotPart, VoterBody};
use crate::prelude::*;

impl VoterMachine {
    /// Accepts `from` as the leader of `term`. Returns `false` if the term is outdated.
    fn accept_leader(
        &mut self,
        now: MonotonicTime,
        from: &VoterId,
        term: u64,
        actions: &mut Vec<VoterAction>,
    ) -> bool {
        if term < self.hard.term {
            let body = VoterBody::AppendReply(AppendReply {
                round: 0,
                accepted: false,
                matched: 0,
            });
            self.send(from, self.hard.term, body, actions);
            return false;
        }
        let known = term == self.hard.term && self.leader.is_some();
        assert!(
            !known || self.leader.as_ref() == Some(from),
            "two leaders in term {term}"
        );
        self.contact
            .record_leader_message(now, self.last_leader_contact);
        self.become_follower(now, term, Some(from.clone()), actions);
        self.last_leader_contact = Some(now);
        self.startup_until = None;
        true
    }

    pub(super) fn handle_append(
        &mut self,
        now: MonotonicTime,
        from: &VoterId,
        term: u64,
        request: AppendRequest,
        actions: &mut Vec<VoterAction>,
    ) {
        if !self.accept_leader(now, from, term, actions) {
            return;
        }
        self.leader_operator = Some(request.operator_address);
        // Committed entries agree with the log of every later leader, even if their term is no
        // longer in memory.
        let agrees = request.prev_index < self.commit
            || self.log.term_at(request.prev_index) == Some(request.prev_term);
        if !agrees {
            self.reject_append(from, &request, actions);
            return;
        }
        let end = request.prev_index + request.entries.len() as u64;
        for entry in request.entries {
            self.append_entry(entry);
        }
        self.verified = self.verified.max(end).max(self.commit);
        let commit = request.commit.min(self.verified);
        if commit > self.commit {
            self.commit_to(commit, actions);
        }
        self.confirm_applied(now, request.commit);
        let body = VoterBody::AppendReply(AppendReply {
            round: request.round,
            accepted: true,
            matched: self.verified.min(self.synced),
        });
        self.send(from, term, body, actions);
    }

    fn reject_append(
        &mut self,
        from: &VoterId,
        request: &AppendRequest,
        actions: &mut Vec<VoterAction>,
    ) {
        let hint = if self.log.last_index() < request.prev_index {
            self.log.last_index()
        } else {
            request.prev_index.saturating_sub(1).max(self.commit)
        };
        let body = VoterBody::AppendReply(AppendReply {
            round: request.round,
            accepted: false,
            matched: hint,
        });
        self.send(from, self.hard.term, body, actions);
    }

    fn append_entry(&mut self, entry: crate::control::log::LogEntry) {
        if entry.index <= self.commit {
            let known = self.log.entry_at(entry.index);
            assert!(
                known.is_none_or(|known| *known == entry),
                "a leader's entry conflicts with a committed one"
            );
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_from(entry.index),
            None => {}
        }
        self.push_entry(entry);
    }

    /// Reports entries that were synced since the last reply to the leader.
    pub(super) fn report_synced(&mut self, actions: &mut Vec<VoterAction>) {
        let matched = self.verified.min(self.synced);
        if let Some(leader) = self.leader.clone()
            && matched > 0
        {
            let body = VoterBody::AppendReply(AppendReply {
                round: 0,
                accepted: true,
                matched,
            });
            self.send(&leader, self.hard.term, body, actions);
        }
    }

    pub(super) fn handle_snapshot(
        &mut self,
        now: MonotonicTime,
        from: &VoterId,
        term: u64,
        part: &SnapshotPart,
        actions: &mut Vec<VoterAction>,
    ) {
        if !self.accept_leader(now, from, term, actions) {
            return;
        }
        let received = if part.index <= self.commit {
            // The snapshot is not needed; the leader continues with appends.
            part.total
        } else {
            self.add_part(part, actions)
        };
        if received == part.total && self.commit >= part.index {
            self.verified = self.verified.max(part.index.min(self.synced));
        }
        let body = VoterBody::SnapshotReply {
            index: part.index,
            received,
            round: part.round,
        };
        self.send(from, term, body, actions);
    }

    /// Adds a part to the incoming snapshot. Returns the number of contiguous bytes received.
    fn add_part(&mut self, part: &SnapshotPart, actions: &mut Vec<VoterAction>) -> u64 {
        if part.total > SNAPSHOT_MAX_BYTES {
            return 0;
        }
        let same = self
            .incoming
            .as_ref()
            .is_some_and(|current| (current.index, current.term) == (part.index, part.term));
        if !same {
            self.incoming = None;
        }
        let incoming = self.incoming.get_or_insert_with(|| IncomingSnapshot {
            index: part.index,
            term: part.term,
            bytes: Vec::new(),
        });
        let length = incoming.bytes.len() as u64;
        if part.offset != length || length + part.bytes.len() as u64 > part.total {
            return length;
        }
        incoming.bytes.extend_from_slice(&part.bytes);
        let received = incoming.bytes.len() as u64;
        if received == part.total {
            let bytes = std::mem::take(&mut incoming.bytes);
            self.incoming = None;
            self.install(
                LogSnapshot {
                    index: part.index,
                    term: part.term,
                    voters: part.voters.clone(),
                    bytes: bytes.into(),
                },
                actions,
            );
        }
        received
    }

    /// Bootstraps the log with its first members, as a snapshot that is sent to every later member.
    pub(super) fn bootstrap(&mut self, set: VoterSet, actions: &mut Vec<VoterAction>) {
        if self.is_initialised() || !set.has_voter(&self.id) {
            return;
        }
        self.hard.term = self.hard.term.max(1);
        self.hard_changed = true;
        self.save_hard(actions);
        self.install(
            LogSnapshot {
                index: 1,
                term: 1,
                voters: set,
                bytes: bytes::Bytes::new(),
            },
            actions,
        );
    }

    fn install(&mut self, snapshot: LogSnapshot, actions: &mut Vec<VoterAction>) {
        let index = snapshot.index;
        assert!(
            index > self.commit,
            "a snapshot would discard committed entries"
        );
        self.log.install(snapshot.clone());
        self.voter_sets.clear();
        self.voter_sets.push_back((index, snapshot.voters.clone()));
        for (_, last) in &mut self.saves {
            *last = 0;
        }
        self.synced = 0;
        self.last_submitted = index;
        self.commit = index;
        self.applied = index;
        self.save_snapshot(snapshot.clone(), true, actions);
        self.installing = Some((self.sequence, index, self.hard.term));
        actions.push(VoterAction::Restore(snapshot));
    }

    /// Counts an installed snapshot as synced once its save is complete.
    pub(super) fn finish_install(&mut self) {
        let Some((sequence, index, term)) = self.installing else {
            return;
        };
        if sequence > self.saved_sequence {
            return;
        }
        self.installing = None;
        self.synced = self.synced.max(index);
        if term == self.hard.term {
            self.verified = self.verified.max(index);
        }
    }
}
