//! Control VMs as members of the replicated log.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Identity of a voter: its VM and a number drawn when its data folder was made. A VM whose disk
/// was lost draws another number, so it never votes under its former identity.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VoterId {
    /// Its VM.
    pub vm: VmName,
    /// Drawn when the data folder was made.
    pub number: u64,
}

impl fmt::Display for VoterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.number)
    }
}

/// A control VM that takes part in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterMember {
    /// Its identity.
    pub id: VoterId,
    /// Where control VMs and entries connect to it.
    pub address: SocketAddr,
    /// Whether it receives the log without voting.
    pub learner: bool,
    /// Number of the former identity of the same VM, which leaves.
    pub replaces: Option<u64>,
}

/// All control VMs that take part.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// The members.
    pub members: Vec<VoterMember>,
}

impl VoterSet {
    /// The member with that identity.
    pub fn find_member(&self, id: &VoterId) -> Option<&VoterMember> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Whether `id` votes.
    pub fn has_voter(&self, id: &VoterId) -> bool {
        self.find_member(id).is_some_and(|member| !member.learner)
    }

    /// The members that vote.
    pub fn voters(&self) -> impl Iterator<Item = &VoterMember> {
        self.members.iter().filter(|member| !member.learner)
    }

    /// A former identity of a VM that is a member again under a new one. It is of no use any
    /// more, and while it stays it counts against the quorum.
    pub fn find_replaced(&self) -> Option<VoterId> {
        self.members.iter().enumerate().find_map(|(place, member)| {
            let mut later = self.members[place + 1..].iter();
            let replaced = later.any(|new| new.id.vm == member.id.vm && new.replaces.is_some());
            replaced.then(|| member.id.clone())
        })
    }

    /// Voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters for which `holds` is true make a quorum.
    pub fn has_quorum(&self, mut holds: impl FnMut(&VoterId) -> bool) -> bool {
        let count = self.voters().filter(|member| holds(&member.id)).count();
        count > 0 && count >= self.quorum()
    }

    /// The largest value that a quorum of voters has reached.
    pub fn quorum_value(&self, value: impl FnMut(&VoterMember) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }
}

/// One step of a change of members; only one voter is added or removed at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// Adds a learner.
    AddLearner(VoterMember),
    /// Lets a learner vote.
    Promote(VoterId),
    /// Removes a member.
    Remove(VoterId),
}

impl VoterSet {
    /// The set after `change`, or why it can't be made.
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
