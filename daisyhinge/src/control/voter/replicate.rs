//! Replication of the log to other members, by appends or by a snapshot in parts.

use std::time::Duration;

use super::{VoterAction, VoterMachine};
use crate::control::member::VoterId;
use crate::control::message::{AppendReply, AppendRequest, SnapshotPart, VoterBody};
use crate::prelude::*;

/// Time after which an unanswered message is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(300);

impl VoterMachine {
    /// Sends missing entries to each member, and a heartbeat to all members if a new round is
    /// requested.
    pub(super) fn replicate_all(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        let last = self.log.last_index();
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let heartbeat = std::mem::take(&mut state.round_requested);
        let mut recipients: Vec<VoterId> = Vec::new();
        for (id, peer) in &mut state.peers {
            if peer
                .in_flight
                .is_some_and(|(_, sent)| now.since(sent) >= RESEND_TIMEOUT)
            {
                peer.in_flight = None;
                peer.next_index = peer.matched + 1;
            }
            let needs_entries = peer.next_index <= last || peer.snapshot.is_some();
            if heartbeat || (peer.in_flight.is_none() && needs_entries) {
                recipients.push(id.clone());
            }
        }
        if heartbeat || !recipients.is_empty() {
            let round = self.start_round(now);
            for id in recipients {
                self.send_peer(now, &id, round, actions);
            }
            self.advance_confirmed(actions);
        }
    }

    fn send_peer(
        &mut self,
        now: MonotonicTime,
        id: &VoterId,
        round: u64,
        actions: &mut Vec<VoterAction>,
    ) {
        let Some(peer) = self
            .leader_state_mut()
            .and_then(|state| state.peers.get(id))
            .cloned()
        else {
            return;
        };
        if peer.in_flight.is_some() {
            self.send_heartbeat(id, peer.matched, round, actions);
        } else if peer.snapshot.is_some() || peer.next_index <= self.log.base_index() {
            self.send_snapshot_part(now, id, round, actions);
        } else {
            self.send_append(now, id, peer.next_index, round, actions);
        }
    }

    fn send_heartbeat(
        &mut self,
        id: &VoterId,
        matched: u64,
        round: u64,
        actions: &mut Vec<VoterAction>,
    ) {
        // A previous index of 0 agrees with any log.
        let (prev_index, prev_term) = self
            .log
            .term_at(matched)
            .map_or((0, 0), |term| (matched, term));
        self.send_append_request(id, prev_index, prev_term, round, Vec::new(), actions);
    }

    fn send_append_request(
        &mut self,
        id: &VoterId,
        prev_index: u64,
        prev_term: u64,
        round: u64,
        entries: Vec<crate::control::log::LogEntry>,
        actions: &mut Vec<VoterAction>,
    ) {
        let body = VoterBody::Append(AppendRequest {
            prev_index,
            prev_term,
            commit: self.commit,
            round,
            operator_address: self.operator_address,
            entries,
        });
        self.send(id, self.hard.term, body, actions);
    }

    fn send_append(
        &mut self,
        now: MonotonicTime,
        id: &VoterId,
        next_index: u64,
        round: u64,
        actions: &mut Vec<VoterAction>,
    ) {
        let prev_index = next_index - 1;
        let prev_term = self
            .log
            .term_at(prev_index)
            .expect("the index is at or above the base of the log");
        let entries = self.log.entries_after(prev_index, self.limits.append_bytes);
        let after = next_index + entries.len() as u64;
        self.set_in_flight(now, id, round, |peer| peer.next_index = after);
        self.send_append_request(id, prev_index, prev_term, round, entries, actions);
    }

    fn set_in_flight(
        &mut self,
        now: MonotonicTime,
        id: &VoterId,
        round: u64,
        change: impl FnOnce(&mut super::leader::PeerState),
    ) {
        if let Some(peer) = self
            .leader_state_mut()
            .and_then(|state| state.peers.get_mut(id))
        {
            peer.in_flight = Some((round, now));
            change(peer);
        }
    }

    fn send_snapshot_part(
        &mut self,
        now: MonotonicTime,
        id: &VoterId,
        round: u64,
        actions: &mut Vec<VoterAction>,
    ) {
        let newest = self.log.snapshot().clone();
        let part_bytes = self.limits.part_bytes;
        let Some(peer) = self
            .leader_state_mut()
            .and_then(|state| state.peers.get_mut(id))
        else {
            return;
        };
        peer.in_flight = Some((round, now));
        let (snapshot, offset) = peer.snapshot.get_or_insert((newest, 0));
        let start = usize::try_from(*offset).unwrap_or(usize::MAX);
        let start = start.min(snapshot.bytes.len());
        let end = (start + part_bytes).min(snapshot.bytes.len());
        let part = SnapshotPart {
            index: snapshot.index,
            term: snapshot.term,
            voters: snapshot.voters.clone(),
            total: snapshot.bytes.len() as u64,
            offset: start as u64,
            round,
            bytes: snapshot.bytes.slice(start..end),
        };
        self.send(id, self.hard.term, VoterBody::SnapshotPart(part), actions);
    }

    /// Records a reply of a member in the current term. Returns `false` if the reply must be
    /// ignored.
    fn record_contact(
        &mut self,
        now: MonotonicTime,
        from: &VoterId,
        term: u64,
        round: u64,
        actions: &mut Vec<VoterAction>,
    ) -> bool {
        if term > self.hard.term {
            self.become_follower(now, term, None, actions);
            return false;
        }
        if term < self.hard.term {
            return false;
        }
        let Some(state) = self.leader_state_mut() else {
            return false;
        };
        // A delayed reply does not show that the member is reachable now, so the send time of the
        // request counts.
        let sent_at = state.round_start(round);
        let Some(peer) = state.peers.get_mut(from) else {
            return false;
        };
        peer.last_contact =
            sent_at.map_or(peer.last_contact, |sent_at| peer.last_contact.max(sent_at));
        peer.acked = peer.acked.max(round);
        if peer.in_flight.is_some_and(|(sent, _)| sent <= round) {
            peer.in_flight = None;
        }
        true
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: MonotonicTime,
        from: &VoterId,
        term: u64,
        reply: AppendReply,
        actions: &mut Vec<VoterAction>,
    ) {
        if !self.record_contact(now, from, term, reply.round, actions) {
            return;
        }
        let last = self.log.last_index();
        if let Some(peer) = self
            .leader_state_mut()
            .and_then(|state| state.peers.get_mut(from))
        {
            if reply.accepted {
                assert!(
                    reply.matched <= last,
                    "a member matched an index beyond the leader's log"
                );
                peer.matched = peer.matched.max(reply.matched);
                peer.next_index = peer.next_index.max(peer.matched + 1);
            } else if peer.in_flight.is_none() {
                peer.next_index = peer.next_index.min(reply.matched + 1).max(peer.matched + 1);
            }
        }
        self.advance_commit(actions);
        self.advance_confirmed(actions);
        self.send_missing(now, from, actions);
    }

    /// Sends missing entries to the member unless a message to it is unanswered.
    fn send_missing(&mut self, now: MonotonicTime, id: &VoterId, actions: &mut Vec<VoterAction>) {
        let last = self.log.last_index();
        let needs_data = self
            .leader_state_mut()
            .and_then(|state| state.peers.get(id))
            .is_some_and(|peer| {
                peer.in_flight.is_none() && (peer.next_index <= last || peer.snapshot.is_some())
            });
        if needs_data {
            let round = self.start_round(now);
            self.send_peer(now, id, round, actions);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn handle_snapshot_reply(
        &mut self,
        now: MonotonicTime,
        from: &VoterId,
        term: u64,
        index: u64,
        received: u64,
        round: u64,
        actions: &mut Vec<VoterAction>,
    ) {
        if !self.record_contact(now, from, term, round, actions) {
            return;
        }
        if let Some(peer) = self
            .leader_state_mut()
            .and_then(|state| state.peers.get_mut(from))
            && let Some((snapshot, offset)) = &mut peer.snapshot
            && snapshot.index == index
        {
            *offset = received;
            if received >= snapshot.bytes.len() as u64 {
                peer.snapshot = None;
                peer.next_index = index + 1;
            }
        }
        self.advance_confirmed(actions);
        self.send_missing(now, from, actions);
    }

    pub(super) fn advance_commit(&mut self, actions: &mut Vec<VoterAction>) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let reached = self.voters().quorum_value(|member| {
            if member.id == self.id {
                self.synced
            } else {
                state.peers.get(&member.id).map_or(0, |peer| peer.matched)
            }
        });
        // Raft, section 5.4.2: only an entry of the leader's own term commits those before it.
        if reached > self.commit && self.log.term_at(reached) == Some(self.hard.term) {
            let is_first = self.commit < state.term_start;
            self.commit_to(reached, actions);
            self.advance_confirmed(actions);
            // After a restart, followers cannot apply what earlier leaders committed until they
            // learn of this commit.
            if let Some(state) = self.leader_state_mut() {
                state.round_requested |= is_first;
            }
        }
    }
}
