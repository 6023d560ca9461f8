//! Elections of a voter.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::{ELECTION_SPAN, VoterAction, VoterMachine, VoterRole};
use crate::control::member::VoterId;
use crate::control::message::{LogEnd, VoterBody};
use crate::prelude::*;

impl VoterMachine {
    pub(super) fn restart_election_timer(&mut self, now: MonotonicTime) {
        self.start_election_timer(now, ELECTION_SPAN);
    }

    pub(super) fn start_election_timer(&mut self, now: MonotonicTime, span: Duration) {
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let wait_ms = self.rng.random_range(span_ms..2 * span_ms);
        self.election_at = now + Duration::from_millis(wait_ms);
    }

    /// When this voter last had evidence that a quorum stands behind what it holds: as leader a
    /// confirmed question, as follower a message of its leader.
    pub fn quorum_seen_at(&self) -> Option<MonotonicTime> {
        if self.is_leader() {
            self.confirmed_at()
        } else {
            self.leader_heard
        }
    }

    fn log_end(&self) -> LogEnd {
        LogEnd {
            term: self.log.last_term(),
            index: self.log.last_index(),
        }
    }

    /// Whether a leader was heard of so recently that no other one is wanted.
    fn has_recent_leader(&self, now: MonotonicTime) -> bool {
        self.is_leader()
            || self
                .leader_heard
                .is_some_and(|heard| now.since(heard) < ELECTION_SPAN)
    }

    pub(super) fn stand_pre_vote(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        self.restart_election_timer(now);
        if !self.may_stand() {
            return;
        }
        self.leader = None;
        self.role = VoterRole::PreCandidate(BTreeMap::from([(self.id.clone(), true)]));
        let body = VoterBody::PreVote(self.log_end());
        self.send_voters(self.hard.term + 1, &body, actions);
        self.count_pre_votes(now, actions);
    }

    /// Whether it votes, or did until a change that may not be committed yet: where the others
    /// lack that change, none of them can win against this longer log.
    fn may_stand(&self) -> bool {
        let running = self.voters_index() > self.commit;
        self.voters().has_voter(&self.id)
            || (running
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

    pub(super) fn answer_pre_vote(
        &mut self,
        now: MonotonicTime,
        from: &VoterId,
        term: u64,
        end: LogEnd,
        actions: &mut Vec<VoterAction>,
    ) {
        let granted =
            term > self.hard.term && end >= self.log_end() && !self.has_recent_leader(now);
        let reply_term = if granted { term } else { self.hard.term };
        let body = VoterBody::PreVoteReply { granted };
        self.send(from, reply_term, body, actions);
    }

    pub(super) fn take_pre_vote(
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
        let stood_for = self.hard.term + 1;
        if let VoterRole::PreCandidate(votes) = &mut self.role
            && granted
            && term == stood_for
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
            self.stand_vote(now, actions);
        }
    }

    fn stand_vote(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        let term = self.hard.term + 1;
        self.become_follower(now, term, None, actions);
        self.hard.vote = Some(self.id.clone());
        self.role = VoterRole::Candidate(BTreeMap::new());
        let body = VoterBody::Vote(self.log_end());
        self.send_voters(term, &body, actions);
        // Its own vote counts once it is synced.
        self.save_hard(actions);
        self.count_votes(now, actions);
    }

    pub(super) fn answer_vote(
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
        let free = self.hard.vote.as_ref().is_none_or(|vote| vote == from);
        let granted = term == self.hard.term && free && end >= self.log_end();
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

    pub(super) fn take_vote(
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

    /// Begins to lead once a quorum voted, this voter's own vote counting when it is synced.
    pub(super) fn count_votes(&mut self, now: MonotonicTime, actions: &mut Vec<VoterAction>) {
        let own = !self.hard_changed && self.hard_sequence <= self.saved_sequence;
        let VoterRole::Candidate(votes) = &self.role else {
            return;
        };
        let won = self
            .voters()
            .has_quorum(|id| votes.contains_key(id) || (own && *id == self.id));
        if won {
            self.start_leading(now, actions);
        }
    }
}
