//! One voter of the replicated log, which uses the Raft consensus algorithm.
//!
//! A voter starts an election only after a quorum granted it a pre-vote, so that a partitioned
//! voter does not disrupt the others when it returns. A leader without contact to a quorum steps
//! down. Entries are acknowledged only once they are synced, and term and vote are synced before
//! any message that depends on them is sent.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::control::limits::LogLimits;
use crate::control::log::{HardState, LogEntry, LogPayload, LogSnapshot, StoredLog, VoterLog};
use crate::control::member::{VoterId, VoterSet};
use crate::control::message::{VoterBody, VoterMessage};
use crate::prelude::*;

pub mod action;
mod contact;
mod election;
mod follower;
mod leader;
mod removal;
mod replicate;
mod save;

pub use action::{SaveBatch, VoterAction, VoterEvent};
use contact::QuorumContact;
use leader::LeaderState;

/// Interval between a leader's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum election timeout; the maximum is twice as long.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without contact to a quorum after which a leader steps down.
pub const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum size of a snapshot received from a leader, in bytes.
pub const SNAPSHOT_MAX_BYTES: u64 = 64 << 20;
/// Maximum number of uncommitted entries; a leader refuses further proposals.
pub const UNCOMMITTED_MAX: u64 = 16_384;

/// Current role of a voter.
#[derive(Clone, Debug)]
enum VoterRole {
    /// Follows the leader of the term, if one is known.
    Follower,
    /// Requests pre-votes; contains the voters that granted one.
    PreCandidate(BTreeMap<VoterId, bool>),
    /// Requests votes; contains the voters that granted one.
    Candidate(BTreeMap<VoterId, bool>),
    /// Leads the current term.
    Leader(Box<LeaderState>),
}

/// A snapshot from the leader of which not all parts have arrived.
#[derive(Clone, Debug)]
struct IncomingSnapshot {
    index: u64,
    term: u64,
    bytes: Vec<u8>,
}

/// State machine of one voter of the replicated log.
#[derive(Debug)]
pub struct VoterMachine {
    id: VoterId,
    operator_address: SocketAddr,
    limits: LogLimits,
    hard: HardState,
    log: VoterLog,
    /// Voter sets of the snapshot and of the entries after it, with their index.
    voter_sets: VecDeque<(u64, VoterSet)>,
    role: VoterRole,
    leader: Option<VoterId>,
    leader_operator: Option<SocketAddr>,
    /// Time of the last message from the leader.
    last_leader_contact: Option<MonotonicTime>,
    contact: QuorumContact,
    election_deadline: MonotonicTime,
    /// End of the period in which the first election after the start takes place; `None` once a
    /// leader has sent a message.
    startup_until: Option<MonotonicTime>,
    commit: u64,
    applied: u64,
    /// Index of the last entry that agrees with the log of the current term's leader.
    verified: u64,
    synced: u64,
    /// Index of the last entry passed on to be saved.
    last_submitted: u64,
    hard_changed: bool,
    hard_sequence: u64,
    sequence: u64,
    saved_sequence: u64,
    /// Sequence numbers of the pending saves, with the index of the last entry in each.
    saves: VecDeque<(u64, u64)>,
    /// Messages that wait for the save with the given sequence number.
    deferred: VecDeque<(u64, VoterMessage)>,
    /// Sequence number, index and term of an installed snapshot whose save is pending.
    installing: Option<(u64, u64, u64)>,
    incoming: Option<IncomingSnapshot>,
    rng: ChaCha8Rng,
}

impl VoterMachine {
    /// Creates a voter from its stored state; `actions` receives the restore of the applied state.
    pub fn open(
        now: MonotonicTime,
        id: VoterId,
        operator_address: SocketAddr,
        limits: LogLimits,
        stored: StoredLog,
        rng: ChaCha8Rng,
        actions: &mut Vec<VoterAction>,
    ) -> Self {
        let snapshot_index = stored.snapshot.index;
        let mut voter_sets = VecDeque::from([(snapshot_index, stored.snapshot.voters.clone())]);
        voter_sets.extend(stored.entries.iter().filter_map(find_voters));
        if snapshot_index > 0 {
            actions.push(VoterAction::Restore(stored.snapshot.clone()));
        }
        let log = VoterLog::open(stored.snapshot, stored.entries);
        let last = log.last_index();
        let mut machine = Self {
            id,
            operator_address,
            limits,
            hard: stored.hard,
            log,
            voter_sets,
            role: VoterRole::Follower,
            leader: None,
            leader_operator: None,
            last_leader_contact: None,
            contact: QuorumContact::open(now),
            election_deadline: now,
            startup_until: None,
            commit: snapshot_index,
            applied: snapshot_index,
            verified: 0,
            synced: last,
            last_submitted: last,
            hard_changed: false,
            hard_sequence: 0,
            sequence: 0,
            saved_sequence: 0,
            saves: VecDeque::new(),
            deferred: VecDeque::new(),
            installing: None,
            incoming: None,
            rng,
        };
        machine.begin_first_election(now);
        machine
    }

    /// Handles an event and appends the resulting actions to `actions`.
    ///
    /// # Panics
    /// If an invariant is broken, which is a bug in the program or a failure of the disk.
    pub fn step(&mut self, now: MonotonicTime, event: VoterEvent, actions: &mut Vec<VoterAction>) {
        let before = (self.commit, self.hard.term);
        self.contact.record_step(now);
        match event {
            VoterEvent::Tick => self.tick(now, actions),
            VoterEvent::Received(message) => self.receive(now, message, actions),
            VoterEvent::Saved(sequence) => self.handle_saved(now, sequence, actions),
            VoterEvent::Propose { req_id, command } => {
                self.propose(req_id, LogPayload::Command(command), actions);
            }
            VoterEvent::ChangeMembers {
                req_id,
                change,
                command,
            } => self.propose_member_change(now, req_id, &change, command, actions),
            VoterEvent::Confirm { req_id } => self.request_confirmation(now, req_id, actions),
            VoterEvent::Compact { index, bytes } => self.compact(index, bytes, actions),
            VoterEvent::Bootstrap(set) => self.bootstrap(set, actions),
            VoterEvent::Flush => self.flush(now, actions),
        }
        assert!(self.commit >= before.0, "the commit index decreased");
        assert!(self.hard.term >= before.1, "the term decreased");
        assert!(
            self.applied == self.commit,
            "committed entries must be applied at once"
        );
    }

    /// Returns the size limits of the log.
    pub fn limits(&self) -> &LogLimits {
        &self.limits
    }

    /// Returns the identity of this voter.
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns whether this voter leads its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, VoterRole::Leader(_))
    }

    /// Returns whether this voter has any log or snapshot. Without one it can't start an election;
    /// with one it can't bootstrap the log.
    pub fn is_initialised(&self) -> bool {
        self.log.last_index() > 0
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// Returns the address at which operators connect to the leader, if known.
    pub fn leader_operator(&self) -> Option<SocketAddr> {
        self.leader_operator
    }

    /// Returns the member set as of the last entry of the log.
    pub fn voters(&self) -> &VoterSet {
        // The snapshot's member set is always present.
        &self.voter_sets[self.voter_sets.len() - 1].1
    }

    /// Returns the log of this voter, including entries that are not yet committed.
    pub fn log(&self) -> &VoterLog {
        &self.log
    }

    /// Returns the name of the current role, as used in status reports.
    pub fn role_name(&self) -> &'static str {
        match &self.role {
            VoterRole::Leader(_) => "leader",
            VoterRole::Candidate(_) => "candidate",
            VoterRole::PreCandidate(_) => "pre-candidate",
            VoterRole::Follower if self.voters().has_voter(&self.id) => "follower",
            VoterRole::Follower if self.voters().find_member(&self.id).is_some() => "learner",
            VoterRole::Follower => "outside",
        }
    }

    fn receive(
        &mut self,
        now: MonotonicTime,
        message: VoterMessage,
        actions: &mut Vec<VoterAction>,
    ) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        let VoterMessage {
            from, term, body, ..
        } = message;
        match body {
            VoterBody::PreVote(end) => self.handle_pre_vote(now, &from, term, end, actions),
            VoterBody::PreVoteReply { granted } => {
                self.add_pre_vote(now, from, term, granted, actions);
            }
            VoterBody::Vote(end) => self.handle_vote(now, &from, term, end, actions),
            VoterBody::VoteReply { granted } => self.add_vote(now, from, term, granted, actions),
            VoterBody::Append(request) => self.handle_append(now, &from, term, request, actions),
            VoterBody::AppendReply(reply) => {
                self.handle_append_reply(now, &from, term, reply, actions);
            }
            VoterBody::SnapshotPart(part) => self.handle_snapshot(now, &from, term, &part, actions),
            VoterBody::SnapshotReply {
                index,
                received,
                round,
            } => self.handle_snapshot_reply(now, &from, term, index, received, round, actions),
        }
    }

    fn tick(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        if self.is_leader() {
            self.tick_leader(now, actions);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now, actions);
        }
    }

    /// Becomes a follower of `term`, which is the current term or a newer one.
    fn become_follower(
        &mut self,
        now: MonotonicTime,
        term: u64,
        leader: Option<VoterId>,
        actions: &mut Vec<VoterAction>,
    ) {
        assert!(term >= self.hard.term, "the term must not decrease");
        self.step_down(actions);
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.hard_changed = true;
            self.verified = 0;
            self.incoming = None;
            self.leader_operator = None;
            self.last_leader_contact = None;
        }
        self.role = VoterRole::Follower;
        self.leader = leader;
        self.restart_election_timer(now);
    }

    /// Removes the entries from `index` on, which conflict with the log of a new leader.
    fn truncate_from(&mut self, index: u64) {
        assert!(index > self.commit, "a committed entry would be truncated");
        self.log.truncate_from(index);
        self.voter_sets.retain(|(at, _)| *at < index);
        self.synced = self.synced.min(index - 1);
        self.last_submitted = self.last_submitted.min(index - 1);
        for (_, last) in &mut self.saves {
            *last = (*last).min(index - 1);
        }
    }

    fn push_entry(&mut self, entry: LogEntry) {
        self.voter_sets.extend(find_voters(&entry));
        self.log.push(entry);
    }

    fn commit_to(&mut self, index: u64, actions: &mut Vec<VoterAction>) {
        let index = index.min(self.log.last_index());
        while self.commit < index {
            self.commit += 1;
            let entry = self
                .log
                .entry_at(self.commit)
                .expect("entry is not compacted");
            assert_eq!(entry.index, self.commit, "entries must be applied in order");
            actions.push(VoterAction::Apply(entry.clone()));
            self.applied = self.commit;
        }
    }

    fn compact(&mut self, index: u64, bytes: bytes::Bytes, actions: &mut Vec<VoterAction>) {
        assert!(index <= self.commit, "only committed entries are compacted");
        if index <= self.log.snapshot().index {
            return;
        }
        let voters = self.voters_at(index).clone();
        let term = self.log.term_at(index).expect("entry is not compacted");
        let snapshot = LogSnapshot {
            index,
            term,
            voters,
            bytes,
        };
        self.save_entries(actions);
        self.log.compact(snapshot.clone(), self.limits.tail_entries);
        while self.voter_sets.len() > 1 && self.voter_sets[1].0 <= index {
            self.voter_sets.pop_front();
        }
        self.save_snapshot(snapshot, false, actions);
    }

    /// Returns the member set as of the entry at `index`.
    fn voters_at(&self, index: u64) -> &VoterSet {
        let set = self.voter_sets.iter().rev().find(|(at, _)| *at <= index);
        &set.expect("the snapshot's member set is present").1
    }

    /// Returns the index of the entry that set the current members.
    fn voters_index(&self) -> u64 {
        self.voter_sets.back().expect("a member set is present").0
    }
}

fn find_voters(entry: &LogEntry) -> Option<(u64, VoterSet)> {
    match &entry.payload {
        LogPayload::Voters(set, _) => Some((entry.index, set.clone())),
        _ => None,
    }
}
