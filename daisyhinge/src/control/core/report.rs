//! Status and timeline events of a control process.

use super::{ControlCore, CoreAction};
use crate::control::member::VoterMember;
use crate::control::state_machine::{CommandKind, CommandReply, LogCommand};
use crate::prelude::*;
use crate::vocabulary::claim::ClaimReply;
use crate::vocabulary::clock::duration_to_millis;
use crate::vocabulary::control::{ControlRole, ControlStatus, EntryStatus, VoterStatus};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::view::EntryRecord;

impl ControlCore {
    /// Returns the status report for operators: role and log position of this control process, and
    /// the voters and entries that it knows.
    pub fn status(&self, now: MonotonicTime) -> ControlStatus {
        let voter = &self.voter;
        let state = self.state_machine.state();
        let confirmed = voter.confirmed_at();
        ControlStatus {
            vm: voter.id().vm.clone(),
            number: voter.id().number,
            role: parse_role(voter.role_name()),
            term: voter.term(),
            leader: voter.leader().map(|id| id.vm.clone()),
            leader_operator: voter.leader_operator(),
            commit: voter.commit(),
            snapshot: voter.log().snapshot().index,
            version: state.version,
            claims: state.claims.count() as u64,
            confirmed_ms: confirmed.map(|at| duration_to_millis(now.since(at))),
            voters: voter
                .voters()
                .members
                .iter()
                .map(|member| self.voter_status(now, member))
                .collect(),
            entries: state
                .entries
                .live
                .values()
                .map(|entry| self.entry_status(now, entry))
                .collect(),
        }
    }

    fn voter_status(&self, now: MonotonicTime, member: &VoterMember) -> VoterStatus {
        let progress = self.voter.peer_progress(&member.id);
        VoterStatus {
            vm: member.id.vm.clone(),
            number: member.id.number,
            address: member.address,
            learner: member.learner,
            matched: progress.map(|(matched, _)| matched),
            heard_ms: progress.map(|(_, last_contact)| duration_to_millis(now.since(last_contact))),
        }
    }

    fn entry_status(&self, now: MonotonicTime, entry: &EntryRecord) -> EntryStatus {
        let record = self.watch.find_record(&entry.vm);
        let record = record
            .filter(|record| self.voter.is_leader() && record.incarnation == entry.incarnation);
        EntryStatus {
            vm: entry.vm.clone(),
            environment: entry.environment.clone(),
            incarnation: entry.incarnation,
            holds: record.and_then(|record| record.holds),
            asked_ms: record.map(|record| duration_to_millis(now.since(record.last_request))),
        }
    }

    /// Records timeline events for an applied command. Only the leader records them.
    pub(super) fn record_applied(
        &mut self,
        now: MonotonicTime,
        command: &LogCommand,
        reply: &CommandReply,
        actions: &mut Vec<CoreAction>,
    ) {
        if !self.voter.is_leader() {
            return;
        }
        let version = self.state_machine.state().version;
        let draft = match (&command.kind, reply) {
            (CommandKind::Join(entry), CommandReply::Entries(true)) => {
                self.watch.record_join(now, &entry.vm);
                EventDraft::new(EventKind::EntryJoined).with_centre(&entry.data_centre)
            }
            (CommandKind::Lose { released, .. }, CommandReply::Entries(true)) => {
                let kind = if *released {
                    EventKind::EntryLeft
                } else {
                    EventKind::EntryLost
                };
                EventDraft::new(kind)
            }
            (_, CommandReply::Change(Ok(_))) => EventDraft::new(EventKind::ChangeCommitted),
            (_, CommandReply::Change(Err(refusal))) => {
                EventDraft::new(EventKind::ChangeRefused).with_code(refusal.code)
            }
            (CommandKind::Claim(claim), CommandReply::Claim(ClaimReply::Won)) => {
                EventDraft::new(EventKind::ClaimWon).with_request(&claim.request)
            }
            (CommandKind::Claim(claim), CommandReply::Claim(_)) => {
                EventDraft::new(EventKind::ClaimLost).with_request(&claim.request)
            }
            _ => return,
        };
        actions.push(CoreAction::RecordEvent(draft.with_version(version)));
    }
}

pub(super) fn term_event(elected: bool, term: u64) -> CoreAction {
    let kind = if elected {
        EventKind::LeaderElected
    } else {
        EventKind::LeaderLost
    };
    CoreAction::RecordEvent(EventDraft::new(kind).with_value(term))
}

fn parse_role(name: &str) -> ControlRole {
    match name {
        "leader" => ControlRole::Leader,
        "follower" => ControlRole::Follower,
        "learner" => ControlRole::Learner,
        "outside" => ControlRole::Outside,
        _ => ControlRole::Candidate,
    }
}
