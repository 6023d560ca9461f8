//! Which silent members a leader removes from the group.
//!
//! A member that is replaced by a VM at another address stays in the group until it is removed, and
//! counts towards the quorum. It has to go before further losses make the quorum unreachable, since
//! its removal needs a quorum, too. A removed member joins again when it returns.

use std::time::Duration;

use super::VoterMachine;
use crate::control::member::{VoterId, VoterMember, VoterSet};
use crate::prelude::*;

/// Minimum number of voters that remain when silent voters are removed.
const VOTERS_MIN: usize = 3;
/// Silence after which a voter is removed early, if the group can bear few further losses; longer than
/// the restart of a process.
const EARLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum number of voters that remain after early removals: VMs that are stopped for a while have to
/// stay voters, since they may be needed when others are stopped.
const EARLY_VOTERS_MIN: usize = 4;
/// Further losses that the group must be able to bear while silent voters wait for their return.
const LOSSES_MIN: usize = 2;

impl VoterMachine {
    /// Returns the next silent member to remove, if the voters that have caught up form a quorum:
    /// one that has been silent for so long that it is considered lost, or a voter whose removal
    /// together with that of other silent voters lowers a quorum that is close to being missed.
    pub(super) fn find_silent_member(&self, now: MonotonicTime) -> Option<VoterId> {
        let timeout = self.limits.silent_timeout?;
        let set = self.voters();
        let is_ready = |id: &VoterId| *id == self.id || self.has_caught_up(now, id);
        if !set.has_quorum(is_ready) {
            return None;
        }
        let is_silent = |member: &VoterMember, timeout: Duration| {
            let progress = self.peer_progress(&member.id);
            progress.is_some_and(|(_, contact)| now.since(contact) >= timeout)
        };
        let removable = |member: &VoterMember| member.learner || set.voters().count() > VOTERS_MIN;
        let mut members = set.members.iter();
        let lost = members.find(|member| removable(member) && is_silent(member, timeout));
        let early = || {
            let early_timeout = timeout.min(EARLY_TIMEOUT);
            let silent = set
                .voters()
                .filter(|member| is_silent(member, early_timeout));
            let ready = set.voters().filter(|member| is_ready(&member.id)).count();
            find_early(set, &silent.collect::<Vec<_>>(), ready)
        };
        lost.or_else(early).map(|member| member.id.clone())
    }
}

/// Returns the first silent voter if the `ready` voters could bear fewer than [`LOSSES_MIN`] losses, and
/// more without the silent voters.
fn find_early<'set>(
    set: &VoterSet,
    silent: &[&'set VoterMember],
    ready: usize,
) -> Option<&'set VoterMember> {
    // Of six voters with a silent one, five remain: the quorum falls from four to three.
    let left = set.voters().count() - silent.len();
    let quorum_left = left / 2 + 1;
    let bears_few = ready < set.quorum() + LOSSES_MIN;
    let helps = left >= EARLY_VOTERS_MIN && quorum_left < set.quorum();
    silent.first().copied().filter(|_| bears_few && helps)
}
