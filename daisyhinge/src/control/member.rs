//! Membership of the replicated log.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Identity of a voter: its VM and a random number generated with its data folder. A VM that lost
/// its disk generates another number, so it never votes under its former identity.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VoterId {
    /// VM that runs the voter.
    pub vm: VmName,
    /// Random number generated with the data folder.
    pub number: u64,
}

impl fmt::Display for VoterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.number)
    }
}

/// A voter or learner of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterMember {
    /// Identity under which the member receives messages and votes.
    pub id: VoterId,
    /// Address at which control VMs and entries connect to the member.
    pub address: SocketAddr,
    /// Whether the member receives the log without voting.
    pub learner: bool,
    /// Number of the former identity of the same VM, which is to be removed.
    pub replaces: Option<u64>,
}

/// The members of the replicated log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// All members, in the order in which they were added.
    pub members: Vec<VoterMember>,
}

impl VoterSet {
    /// Returns the member with this identity.
    pub fn find_member(&self, id: &VoterId) -> Option<&VoterMember> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Returns whether `id` is a voting member.
    pub fn has_voter(&self, id: &VoterId) -> bool {
        self.find_member(id).is_some_and(|member| !member.learner)
    }

    /// Returns the voting members.
    pub fn voters(&self) -> impl Iterator<Item = &VoterMember> {
        self.members.iter().filter(|member| !member.learner)
    }

    /// Returns a former identity of a VM that rejoined under a new identity. The former identity
    /// never answers again, and counts against the quorum until it is removed.
    pub fn find_replaced(&self) -> Option<VoterId> {
        self.members
            .iter()
            .enumerate()
            .find_map(|(position, member)| {
                let mut later = self.members[position + 1..].iter();
                let replaced = later.any(|new| new.id.vm == member.id.vm && new.replaces.is_some());
                replaced.then(|| member.id.clone())
            })
    }

    /// Returns the number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters that satisfy `predicate` form a quorum.
    pub fn has_quorum(&self, mut predicate: impl FnMut(&VoterId) -> bool) -> bool {
        let count = self.voters().filter(|member| predicate(&member.id)).count();
        count > 0 && count >= self.quorum()
    }

    /// Returns the largest value that a quorum of voters has reached.
    pub fn quorum_value(&self, value: impl FnMut(&VoterMember) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }
}

/// A single step of a membership change; only one voter is added or removed at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// Adds a learner.
    AddLearner(VoterMember),
    /// Makes a learner a voter.
    Promote(VoterId),
    /// Removes a member.
    Remove(VoterId),
}

impl VoterSet {
    /// Returns the member set after `change`.
    ///
    /// # Errors
    /// [`ResultCode::VoterPresent`], [`ResultCode::UnknownVoter`] or [`ResultCode::LastVoter`].
    pub fn apply_change(&self, change: &MemberChange) -> Result<Self, ResultCode> {
        let mut set = self.clone();
        match change {
            MemberChange::AddLearner(member) => {
                if set.find_member(&member.id).is_some() {
                    return Err(ResultCode::VoterPresent);
                }
                set.members.push(VoterMember {
                    learner: true,
                    ..member.clone()
                });
            }
            MemberChange::Promote(id) => {
                let member = set.members.iter_mut().find(|member| member.id == *id);
                member.ok_or(ResultCode::UnknownVoter)?.learner = false;
            }
            MemberChange::Remove(id) => {
                if set.find_member(id).is_none() {
                    return Err(ResultCode::UnknownVoter);
                }
                set.members.retain(|member| member.id != *id);
                if set.voters().count() == 0 {
                    return Err(ResultCode::LastVoter);
                }
            }
        }
        Ok(set)
    }
}
