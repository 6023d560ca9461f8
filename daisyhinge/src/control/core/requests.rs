//! Handling, refusing and answering requests.

use super::{ControlCore, CoreAction, CoreReply, CoreRequest, REQUESTS_MAX};
use crate::control::member::{MemberChange, VoterId};
use crate::control::state_machine::{CommandKind, CommandReply};
use crate::control::voter::VoterEvent;
use crate::prelude::*;
use crate::vocabulary::change::{ChangeKind, ChangeRefusal, ChangeRequest};
use crate::vocabulary::claim::ClaimReply;
use crate::vocabulary::name::check_name;

impl ControlCore {
    /// Registers a request that waits for its reply, and starts to handle it.
    pub(super) fn accept(
        &mut self,
        now: MonotonicTime,
        id: u64,
        request: CoreRequest,
        actions: &mut Vec<CoreAction>,
    ) {
        self.requests.insert(id, request.clone());
        if self.requests.len() > REQUESTS_MAX {
            self.refuse_request(id, ResultCode::Overloaded, actions);
            return;
        }
        if !self.voter.is_leader() {
            self.refuse_request(id, ResultCode::NotLeader, actions);
            return;
        }
        match request {
            CoreRequest::Fresh(request) => self.handle_freshness(now, id, &request, actions),
            CoreRequest::Claim(claim) => {
                let names_valid =
                    check_name(claim.request.as_str()) && check_name(claim.service.as_str());
                if names_valid {
                    self.submit(now, id, CommandKind::Claim(claim), actions);
                } else {
                    self.refuse_request(id, ResultCode::BadName, actions);
                }
            }
            CoreRequest::EndClaim(end) => self.submit(now, id, CommandKind::EndClaim(end), actions),
            CoreRequest::Change(change, peer) => self.handle_change(now, id, change, peer, actions),
            CoreRequest::Site(change) => self.submit(now, id, CommandKind::Site(change), actions),
            CoreRequest::View
            | CoreRequest::Environment(_)
            | CoreRequest::History(_)
            | CoreRequest::ReadSite => {
                self.step_voter(now, VoterEvent::Confirm { req_id: id }, actions);
            }
        }
    }

    fn handle_change(
        &mut self,
        now: MonotonicTime,
        req_id: u64,
        request: ChangeRequest,
        id: Option<VoterId>,
        actions: &mut Vec<CoreAction>,
    ) {
        if !check_name(request.change.as_str()) || !check_environments(&request.kind) {
            self.refuse_request(req_id, ResultCode::BadName, actions);
            return;
        }
        // A decided change is committed, so its stored reply needs no quorum.
        if let Some(reply) = self.state_machine.state().changes.find_reply(&request) {
            self.reply(req_id, CoreReply::Change(reply), actions);
            return;
        }
        match self.find_member_change(&request.kind, id) {
            Ok(None) => self.submit(now, req_id, CommandKind::Change(request), actions),
            Ok(Some(change)) => {
                let command = self.encode_command(now, CommandKind::Change(request));
                let event = VoterEvent::ChangeMembers {
                    req_id,
                    change,
                    command,
                };
                self.step_voter(now, event, actions);
            }
            Err(code) => self.refuse_request(req_id, code, actions),
        }
    }

    /// Returns the membership change that `kind` requires, or `None` if it does not change the
    /// voters.
    fn find_member_change(
        &self,
        kind: &ChangeKind,
        id: Option<VoterId>,
    ) -> Result<Option<MemberChange>, ResultCode> {
        match kind {
            ChangeKind::AddVoter { vm, address } => {
                let id = id
                    .filter(|id| id.vm == *vm)
                    .ok_or(ResultCode::UnknownVoter)?;
                let member = self.make_member(&id, *address);
                let member = member.ok_or(ResultCode::VoterPresent)?;
                Ok(Some(MemberChange::AddLearner(member)))
            }
            ChangeKind::RemoveVoter { vm } => {
                let members = &self.voter.voters().members;
                // For a VM that lost its disk, the former identity is listed first.
                let member = members.iter().find(|member| member.id.vm == *vm);
                let member = member.ok_or(ResultCode::UnknownVoter)?;
                Ok(Some(MemberChange::Remove(member.id.clone())))
            }
            _ => Ok(None),
        }
    }

    pub(super) fn reply(&mut self, req_id: u64, reply: CoreReply, actions: &mut Vec<CoreAction>) {
        if self.requests.remove(&req_id).is_some() {
            actions.push(CoreAction::Reply { req_id, reply });
        }
    }

    /// Replies to a request with a result code. If its command is already in the log, it may still
    /// be committed.
    pub(super) fn refuse_request(
        &mut self,
        req_id: u64,
        code: ResultCode,
        actions: &mut Vec<CoreAction>,
    ) {
        let Some(request) = self.requests.get(&req_id) else {
            return;
        };
        let refusal = ChangeRefusal {
            code,
            current: self.state_machine.state().version,
            winner: None,
            leader: self.voter.leader_operator(),
        };
        let reply = match request {
            CoreRequest::Fresh(_) => CoreReply::Fresh(Err(hide_unknown_outcome(code))),
            CoreRequest::Claim(_) => {
                CoreReply::Claim(ClaimReply::Refused(hide_unknown_outcome(code)))
            }
            CoreRequest::EndClaim(_) => CoreReply::EndClaim(false),
            CoreRequest::Change(..) => CoreReply::Change(Err(refusal)),
            CoreRequest::View => CoreReply::View(Err(refusal)),
            CoreRequest::Environment(_) => CoreReply::Environment(Err(refusal)),
            CoreRequest::History(_) => CoreReply::History(Err(refusal)),
            CoreRequest::Site(_) => CoreReply::Site(Err(code)),
            CoreRequest::ReadSite => CoreReply::ReadSite(Err(code)),
        };
        self.reply(req_id, reply, actions);
    }

    /// Replies to a read after a quorum confirmed leadership.
    pub(super) fn reply_to_read(&mut self, req_id: u64, actions: &mut Vec<CoreAction>) {
        let unknown = || ChangeRefusal {
            code: ResultCode::UnknownEnvironment,
            current: VersionNumber(0),
            winner: None,
            leader: None,
        };
        let reply = match self.requests.get(&req_id) {
            Some(CoreRequest::View) => {
                CoreReply::View(Ok(std::sync::Arc::clone(self.state_machine.view())))
            }
            Some(CoreRequest::Environment(name)) => CoreReply::Environment(
                self.state_machine
                    .find_environment(name)
                    .ok_or_else(unknown),
            ),
            Some(CoreRequest::History(name)) => {
                CoreReply::History(self.state_machine.find_history(name).ok_or_else(unknown))
            }
            Some(CoreRequest::ReadSite) => {
                CoreReply::ReadSite(Ok(std::sync::Arc::clone(&self.state_machine.state().site)))
            }
            _ => return,
        };
        self.reply(req_id, reply, actions);
    }

    /// Replies to the request whose command was applied.
    pub(super) fn reply_to_command(
        &mut self,
        now: MonotonicTime,
        req_id: u64,
        reply: &CommandReply,
        actions: &mut Vec<CoreAction>,
    ) {
        let reply = match reply {
            CommandReply::Change(reply) => CoreReply::Change(reply.clone()),
            CommandReply::Claim(reply) => CoreReply::Claim(reply.clone()),
            CommandReply::EndClaim(recorded) => CoreReply::EndClaim(*recorded),
            CommandReply::Site(reply) => CoreReply::Site(*reply),
            CommandReply::Entries(_) => {
                self.reply_to_join(now, req_id, actions);
                return;
            }
        };
        self.reply(req_id, reply, actions);
    }
}

/// Reports an unknown outcome as a missing quorum, because entries handle both in the same way.
fn hide_unknown_outcome(code: ResultCode) -> ResultCode {
    match code {
        ResultCode::ChangeOutcomeUnknown => ResultCode::NoQuorum,
        code => code,
    }
}

fn check_environments(kind: &ChangeKind) -> bool {
    match kind {
        ChangeKind::Apply { environment, .. } | ChangeKind::SetCentre { environment, .. } => {
            check_name(environment.as_str())
        }
        ChangeKind::Promote { from, to, .. } => {
            check_name(from.as_str()) && check_name(to.as_str())
        }
        ChangeKind::AddVoter { vm, .. } | ChangeKind::RemoveVoter { vm } => check_name(vm.as_str()),
    }
}
