//! Pre-votes and elections.
//!
//! After a power loss all voters start at nearly the same time, and no request is served before
//! there is a leader. In this first election the voters therefore start their pre-votes one after
//! another, in the order of their identities, and retry quickly. Of two voters that request
//! pre-votes at the same time, the one later in that order withdraws. Pre-votes are not binding, so
//! the order affects only which voter starts an election.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::{ELECTION_TIMEOUT, VoterAction, VoterMachine, VoterRole};
use crate::control::member::VoterId;
use crate::control::message::{LogEnd, VoterBody};
use crate::prelude::*;

/// Delay between a voter's start and its first pre-vote, for the first voter in the order. It lets
/// the other voters start as well.
const FIRST_DELAY: Duration = Duration::from_millis(60);
/// Additional delay of each further voter in the order.
const FIRST_STAGGER: Duration = Duration::from_millis(30);
/// Maximum random addition to a delay, in milliseconds.
const FIRST_JITTER_MS: u64 = 15;
/// Delay before a voter retries in the first election, or starts a pre-vote after it granted one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum duration of the first election.
const FIRST_ELECTION_MAX: Duration = Duration::from_secs(2);

impl VoterMachine {
    pub(super) fn restart_election_timer(&mut self, now: MonotonicTime) {
        if self.is_starting(now) {
            self.schedule_pre_vote(now, FIRST_RETRY_DELAY);
            return;
        }
        let timeout_ms = u64::try_from(ELECTION_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
        let wait_ms = self.rng.random_range(timeout_ms..2 * timeout_ms);
        self.election_deadline = now + Duration::from_millis(wait_ms);
    }

    /// Schedules the first pre-vote after the start.
    pub(super) fn begin_first_election(&mut self, now: MonotonicTime) {
        self.startup_until = Some(now + FIRST_ELECTION_MAX);
        self.schedule_pre_vote(now, FIRST_DELAY);
    }

    /// Schedules a pre-vote after `delay` plus the delay for this voter's position in the order.
    fn schedule_pre_vote(&mut self, now: MonotonicTime, delay: Duration) {
        let voters = self.voters().voters();
        let preceding = voters.filter(|member| member.id < self.id).count();
        let preceding = u32::try_from(preceding).unwrap_or(u32::MAX);
        let jitter = Duration::from_millis(self.rng.random_range(0..FIRST_JITTER_MS));
        self.election_deadline = now + delay + FIRST_STAGGER.saturating_mul(preceding) + jitter;
    }

    /// Returns whether this voter started recently and has not received a message from a leader
    /// since.
    fn is_starting(&self, now: MonotonicTime) -> bool {
        !self.is_leader() && self.startup_until.is_some_and(|until| now < until)
    }

    /// Returns whether this voter requests pre-votes in the first election and precedes `other`,
    /// whose log ends at `end`.
    fn precedes(&self, now: MonotonicTime, other: &VoterId, end: LogEnd) -> bool {
        let pre_voting = matches!(self.role, VoterRole::PreCandidate(_));
        pre_voting && self.is_starting(now) && self.id < *other && end <= self.log_end()
    }

    /// Gives precedence to another voter in the first election.
    fn defer_pre_vote(&mut self, now: MonotonicTime) {
        if self.is_starting(now) && !matches!(self.role, VoterRole::Candidate(_)) {
            self.role = VoterRole::Follower;
            self.schedule_pre_vote(now, FIRST_RETRY_DELAY);
        }
    }

    fn log_end(&self) -> LogEnd {
        LogEnd {
            term: self.log.last_term(),
            index: self.log.last_index(),
        }
    }

    /// Returns whether there was contact with a leader within [`ELECTION_TIMEOUT`], so that no
    /// election is needed.
    fn has_recent_leader(&self, now: MonotonicTime) -> bool {
        self.is_leader()
            || self
                .last_leader_contact
                .is_some_and(|contact| now.since(contact) < ELECTION_TIMEOUT)
    }

    pub(super) fn start_pre_vote(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        self.restart_election_timer(now);
        if !self.may_campaign() {
            return;
        }
        self.leader = None;
        self.role = VoterRole::PreCandidate(BTreeMap::from([(self.id.clone(), true)]));
        let body = VoterBody::PreVote(self.log_end());
        self.send_voters(self.hard.term + 1, &body, actions);
        self.count_pre_votes(now, actions);
    }

    /// Returns whether this voter is a voting member, or was one before a membership change that
    /// may not be committed yet. If the other voters lack that change, none of them can win against
    /// this longer log.
    fn may_campaign(&self) -> bool {
        let change_pending = self.voters_index() > self.commit;
        self.voters().has_voter(&self.id)
            || (change_pending
                && self
                    .voter_sets
                    .iter()
                    .any(|(_, set)| set.has_voter(&self.id)))
    }

    fn send_voters(&mut self, term: u64, body: &VoterBody, actions: &mut Vec<VoterAction>) {
        let others: Vec<VoterId> = self
            .voters()
            .voters()
            .map(|member| member.id.clone())
            .filter(|id| *id != self.id)
            .collect();
        for id in others {
            self.send(&id, term, body.clone(), actions);
        }
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: MonotonicTime,
        from: &VoterId,
        term: u64,
        end: LogEnd,
        actions: &mut Vec<VoterAction>,
    ) {
        let granted = term > self.hard.term
            && end >= self.log_end()
            && !self.has_recent_leader(now)
            && !self.precedes(now, from, end);
        if granted {
            self.defer_pre_vote(now);
        }
        let reply_term = if granted { term } else { self.hard.term };
        let body = VoterBody::PreVoteReply { granted };
        self.send(from, reply_term, body, actions);
    }

    pub(super) fn add_pre_vote(
        &mut self,
        now: MonotonicTime,
        from: VoterId,
        term: u64,
        granted: bool,
        actions: &mut Vec<VoterAction>,
    ) {
        if !granted && term > self.hard.term {
            self.become_follower(now, term, None, actions);
            return;
        }
        let election_term = self.hard.term + 1;
        if let VoterRole::PreCandidate(votes) = &mut self.role
            && granted
            && term == election_term
        {
            votes.insert(from, true);
            self.count_pre_votes(now, actions);
        }
    }

    fn count_pre_votes(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        let VoterRole::PreCandidate(votes) = &self.role else {
            return;
        };
        if self.voters().has_quorum(|id| votes.contains_key(id)) {
            self.start_election(now, actions);
        }
    }

    fn start_election(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        let term = self.hard.term + 1;
        self.become_follower(now, term, None, actions);
        self.hard.vote = Some(self.id.clone());
        self.role = VoterRole::Candidate(BTreeMap::new());
        let body = VoterBody::Vote(self.log_end());
        self.send_voters(term, &body, actions);
        // The voter's own vote counts once it is synced.
        self.save_hard(actions);
        self.count_votes(now, actions);
    }

    pub(super) fn handle_vote(
        &mut self,
        now: MonotonicTime,
        from: &VoterId,
        term: u64,
        end: LogEnd,
        actions: &mut Vec<VoterAction>,
    ) {
        if term > self.hard.term {
            if self.has_recent_leader(now) {
                return;
            }
            self.become_follower(now, term, None, actions);
        }
        let may_vote = self.hard.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = term == self.hard.term && may_vote && end >= self.log_end();
        if granted {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from.clone());
                self.hard_changed = true;
            }
            self.restart_election_timer(now);
        }
        self.send(
            from,
            self.hard.term,
            VoterBody::VoteReply { granted },
            actions,
        );
    }

    pub(super) fn add_vote(
        &mut self,
        now: MonotonicTime,
        from: VoterId,
        term: u64,
        granted: bool,
        actions: &mut Vec<VoterAction>,
    ) {
        if term > self.hard.term {
            self.become_follower(now, term, None, actions);
            return;
        }
        if let VoterRole::Candidate(votes) = &mut self.role
            && granted
            && term == self.hard.term
        {
            votes.insert(from, true);
            self.count_votes(now, actions);
        }
    }

    /// Becomes leader once a quorum has voted for this voter. Its own vote counts once it is
    /// synced.
    pub(super) fn count_votes(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        let own_vote_synced = !self.hard_changed && self.hard_sequence <= self.saved_sequence;
        let VoterRole::Candidate(votes) = &self.role else {
            return;
        };
        let won = self
            .voters()
            .has_quorum(|id| votes.contains_key(id) || (own_vote_synced && *id == self.id));
        if won {
            self.become_leader(now, actions);
        }
    }
}
