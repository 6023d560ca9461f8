//! Leader side: proposals, confirmation by a quorum, commit and membership changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use super::{
    HEARTBEAT_INTERVAL, STEP_DOWN_TIMEOUT, UNCOMMITTED_MAX, VoterAction, VoterMachine, VoterRole,
};
use crate::control::log::{LogEntry, LogPayload, LogSnapshot};
use crate::control::member::{MemberChange, VoterId, VoterSet};
use crate::prelude::*;

/// Maximum number of rounds whose start time is recorded.
const ROUNDS_MAX: usize = 256;
/// Minimum interval between recorded rounds; together they cover more than [`STEP_DOWN_TIMEOUT`].
const ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of entries by which a learner may lag behind when it becomes a voter.
const PROMOTE_LAG_ENTRIES: u64 = 64;

/// The leader's replication state of another member.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Index of the last entry known to be synced at the member.
    pub matched: u64,
    /// Round and send time of the unanswered message.
    pub in_flight: Option<(u64, MonotonicTime)>,
    /// Newest confirmation round that the member answered.
    pub acked: u64,
    /// Send time of the newest message that the member answered.
    pub last_contact: MonotonicTime,
    /// Snapshot that is being sent, and the number of bytes received by the member.
    pub snapshot: Option<(LogSnapshot, u64)>,
}

/// State that a voter has only while it leads.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    /// Index of the first entry of the leader's term; reads wait until it is committed.
    pub term_start: u64,
    /// Replication state of the other members.
    pub peers: BTreeMap<VoterId, PeerState>,
    /// Number of the newest confirmation round that this leader started.
    pub round: u64,
    /// Numbers and start times of recent confirmation rounds.
    pub rounds: VecDeque<(u64, MonotonicTime)>,
    /// Number of the newest confirmation round that a quorum answered.
    pub confirmed: u64,
    /// Start time of the newest round that a quorum answered.
    pub confirmed_at: Option<MonotonicTime>,
    /// Queued confirmation requests: the round that each waits for, and the id of the request.
    pub queued: VecDeque<(u64, u64)>,
    /// Whether a new confirmation round should be started.
    pub round_requested: bool,
    /// Time at which the next heartbeats are sent to the members.
    pub heartbeat_at: MonotonicTime,
}

impl LeaderState {
    /// Returns the start time of `round` or of the nearest earlier recorded round, if any.
    pub(super) fn round_start(&self, round: u64) -> Option<MonotonicTime> {
        let known = self.rounds.iter().rev().find(|(known, _)| *known <= round);
        known.map(|(_, started)| *started)
    }
}

impl VoterMachine {
    pub(super) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            VoterRole::Leader(state) => Some(state),
            _ => None,
        }
    }

    pub(super) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            VoterRole::Leader(state) => Some(state),
            _ => None,
        }
    }

    /// Returns the send time of the newest messages that a quorum answered. `None` unless this
    /// voter leads and has applied everything that earlier leaders committed.
    pub fn confirmed_at(&self) -> Option<MonotonicTime> {
        let state = self.leader_state()?;
        if self.commit < state.term_start {
            return None;
        }
        state.confirmed_at
    }

    /// Returns the last index synced at a member, and the time of the last contact with it.
    pub fn peer_progress(&self, id: &VoterId) -> Option<(u64, MonotonicTime)> {
        let peer = self.leader_state()?.peers.get(id)?;
        Some((peer.matched, peer.last_contact))
    }

    pub(super) fn become_leader(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        let term = self.hard.term;
        let last = self.log.last_index();
        self.leader = Some(self.id.clone());
        self.leader_operator = Some(self.operator_address);
        self.role = VoterRole::Leader(Box::new(LeaderState {
            term_start: last + 1,
            peers: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            confirmed: 0,
            confirmed_at: None,
            queued: VecDeque::new(),
            round_requested: true,
            heartbeat_at: now + HEARTBEAT_INTERVAL,
        }));
        self.update_peers(now, last + 1);
        self.push_entry(LogEntry {
            index: last + 1,
            term,
            payload: LogPayload::Blank,
        });
        actions.push(VoterAction::BecameLeader { term });
        self.flush(now, actions);
    }

    /// Adds and removes peers so that they match the other members.
    pub(super) fn update_peers(&mut self, now: MonotonicTime, next_index: u64) {
        let members: Vec<VoterId> = self
            .voters()
            .members
            .iter()
            .map(|member| member.id.clone())
            .filter(|id| *id != self.id)
            .collect();
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        state.peers.retain(|id, _| members.contains(id));
        for id in members {
            state.peers.entry(id).or_insert_with(|| PeerState {
                next_index,
                matched: 0,
                in_flight: None,
                acked: 0,
                last_contact: now,
                snapshot: None,
            });
        }
    }

    pub(super) fn step_down(&mut self, actions: &mut Vec<VoterAction>) {
        let term = self.hard.term;
        self.contact.record_confirmed(self.confirmed_at());
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        let code = ResultCode::NotLeader;
        let refused = state.queued.drain(..);
        actions.extend(refused.map(|(_, req_id)| VoterAction::Refused { req_id, code }));
        actions.push(VoterAction::LostLeadership { term });
        self.role = VoterRole::Follower;
        self.leader = None;
    }

    pub(super) fn propose(
        &mut self,
        req_id: u64,
        payload: LogPayload,
        actions: &mut Vec<VoterAction>,
    ) {
        let refusal = if !self.is_leader() {
            Some(ResultCode::NotLeader)
        } else if self.log.last_index() - self.commit >= UNCOMMITTED_MAX {
            Some(ResultCode::Overloaded)
        } else {
            None
        };
        if let Some(code) = refusal {
            actions.push(VoterAction::Refused { req_id, code });
            return;
        }
        let index = self.log.last_index() + 1;
        let term = self.hard.term;
        self.push_entry(LogEntry {
            index,
            term,
            payload,
        });
        actions.push(VoterAction::Proposed {
            req_id,
            index,
            term,
        });
    }

    pub(super) fn propose_member_change(
        &mut self,
        now: MonotonicTime,
        req_id: u64,
        change: &MemberChange,
        command: Bytes,
        actions: &mut Vec<VoterAction>,
    ) {
        let set = self
            .check_members_stable()
            .and_then(|()| self.voters().apply_change(change))
            .and_then(|set| self.check_reachable(now, set));
        match set {
            Ok(set) => {
                self.propose(req_id, LogPayload::Voters(set, command), actions);
                let next_index = self.log.last_index() + 1;
                self.update_peers(now, next_index);
            }
            Err(code) => actions.push(VoterAction::Refused { req_id, code }),
        }
    }

    /// Checks that the last membership change and an entry of the current term are committed.
    fn check_members_stable(&self) -> Result<(), ResultCode> {
        let state = self.leader_state().ok_or(ResultCode::NotLeader)?;
        if self.voters_index() > self.commit || state.term_start > self.commit {
            return Err(ResultCode::VoterChangeRunning);
        }
        Ok(())
    }

    /// Checks that a quorum of `set` is reachable; without one, no further change could commit.
    fn check_reachable(&self, now: MonotonicTime, set: VoterSet) -> Result<VoterSet, ResultCode> {
        // A new leader counts every member as reachable at first, but an entry is matched only
        // after a reply in its own term.
        let reachable = |id: &VoterId| {
            let matched = self
                .peer_progress(id)
                .is_some_and(|(matched, _)| matched > 0);
            (matched || *id == self.id) && self.is_reachable(now, id)
        };
        if set.has_quorum(reachable) {
            return Ok(set);
        }
        Err(ResultCode::NoQuorum)
    }

    pub(super) fn request_confirmation(
        &mut self,
        _now: MonotonicTime,
        req_id: u64,
        actions: &mut Vec<VoterAction>,
    ) {
        if let Some(state) = self.leader_state_mut() {
            state.queued.push_back((state.round + 1, req_id));
            state.round_requested = true;
        } else {
            let code = ResultCode::NotLeader;
            actions.push(VoterAction::Refused { req_id, code });
        }
    }

    /// Starts a round. Replies from a quorum prove leadership as of `now`.
    pub(super) fn start_round(&mut self, now: MonotonicTime) -> u64 {
        let Some(state) = self.leader_state_mut() else {
            return 0;
        };
        state.round += 1;
        let last = state.rounds.back();
        if last.is_none_or(|(_, started)| now.since(*started) >= ROUND_INTERVAL) {
            state.rounds.push_back((state.round, now));
        }
        if state.rounds.len() > ROUNDS_MAX {
            state.rounds.pop_front();
        }
        state.round
    }

    /// Updates the newest round that a quorum answered and confirms the requests up to it.
    pub(super) fn advance_confirmed(&mut self, actions: &mut Vec<VoterAction>) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let own = state.round;
        let confirmed = self.voters().quorum_value(|member| {
            if member.id == self.id {
                own
            } else {
                state.peers.get(&member.id).map_or(0, |peer| peer.acked)
            }
        });
        let ready = self.commit >= state.term_start;
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        if confirmed > state.confirmed {
            state.confirmed = confirmed;
            state.confirmed_at = state.round_start(confirmed).or(state.confirmed_at);
        }
        if ready {
            let reached = state.confirmed;
            while let Some((_, req_id)) = state.queued.pop_front_if(|(need, _)| *need <= reached) {
                actions.push(VoterAction::Confirmed { req_id });
            }
        }
    }

    pub(super) fn tick_leader(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        if !self.has_reachable_quorum(now) || self.is_removed() {
            let term = self.hard.term;
            self.become_follower(now, term, None, actions);
            return;
        }
        let Some(state) = self.leader_state_mut() else {
            return;
        };
        if now >= state.heartbeat_at {
            state.heartbeat_at = now + HEARTBEAT_INTERVAL;
            state.round_requested = true;
        }
        self.maintain_members(now, actions);
        self.flush(now, actions);
    }

    fn has_reachable_quorum(&self, now: MonotonicTime) -> bool {
        self.voters().has_quorum(|id| self.is_reachable(now, id))
    }

    fn is_reachable(&self, now: MonotonicTime, id: &VoterId) -> bool {
        *id == self.id
            || self
                .peer_progress(id)
                .is_some_and(|(_, contact)| now.since(contact) < STEP_DOWN_TIMEOUT)
    }

    fn is_removed(&self) -> bool {
        self.voters_index() <= self.commit && !self.voters().has_voter(&self.id)
    }

    /// Removes replaced identities, then promotes learners that have caught up. In the opposite
    /// order, a new identity that is lost too would count against the quorum.
    fn maintain_members(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        if self.check_members_stable().is_err() {
            return;
        }
        let set = self.voters();
        let replaced = set.find_replaced();
        let ready = set
            .members
            .iter()
            .find(|member| member.learner && self.has_caught_up(now, &member.id));
        let change = replaced
            .map(MemberChange::Remove)
            .or_else(|| ready.map(|member| MemberChange::Promote(member.id.clone())))
            .or_else(|| self.find_silent_member(now).map(MemberChange::Remove));
        if let Some(change) = change {
            self.propose_member_change(now, 0, &change, Bytes::new(), actions);
        }
    }

    /// Returns whether a member answers and lacks few entries at most.
    pub(super) fn has_caught_up(&self, now: MonotonicTime, id: &VoterId) -> bool {
        self.peer_progress(id).is_some_and(|(matched, contact)| {
            matched > 0
                && matched + PROMOTE_LAG_ENTRIES >= self.log.last_index()
                && now.since(contact) < STEP_DOWN_TIMEOUT
        })
    }
}
