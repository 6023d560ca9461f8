//! Handling, refusing and answering requests.

use super::{ControlCore, CoreAction, CoreAsk, CoreReply, REQUESTS_MAX};
use crate::control::book::{BookKind, BookReply};
use crate::control::member::{MemberChange, VoterId};
use crate::control::voter::VoterEvent;
use crate::prelude::*;
use crate::vocabulary::change::{ChangeAsk, ChangeKind, ChangeRefusal};
use crate::vocabulary::claim::ClaimReply;
use crate::vocabulary::name::check_name;

impl ControlCore {
    pub(super) fn handle_request(
        &mut self,
        now: MonotonicTime,
        id: u64,
        request: CoreAsk,
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
            CoreAsk::Fresh(request) => self.handle_freshness(now, id, &request, actions),
            CoreAsk::Claim(claim) => {
                let named =
                    check_name(claim.request.as_str()) && check_name(claim.service.as_str());
                if named {
                    self.submit(now, id, BookKind::Claim(claim), actions);
                } else {
                    self.refuse_request(id, ResultCode::BadName, actions);
                }
            }
            CoreAsk::EndClaim(end) => self.submit(now, id, BookKind::EndClaim(end), actions),
            CoreAsk::Change(change, peer) => self.handle_change(now, id, change, peer, actions),
            CoreAsk::Site(change) => self.submit(now, id, BookKind::Site(change), actions),
            CoreAsk::View | CoreAsk::Environment(_) | CoreAsk::History(_) | CoreAsk::ReadSite => {
                self.step_voter(now, VoterEvent::Confirm { ticket: id }, actions);
            }
        }
    }

    fn handle_change(
        &mut self,
        now: MonotonicTime,
        ticket: u64,
        request: ChangeAsk,
        id: Option<VoterId>,
        actions: &mut Vec<CoreAction>,
    ) {
        if !check_name(request.change.as_str()) || !check_environments(&request.kind) {
            self.refuse_request(ticket, ResultCode::BadName, actions);
            return;
        }
        // A decided change is committed, so its stored reply needs no quorum.
        if let Some(reply) = self.book.state().changes.find_reply(&request) {
            self.reply(ticket, CoreReply::Change(reply), actions);
            return;
        }
        match self.find_member_change(&request.kind, id) {
            Ok(None) => self.submit(now, ticket, BookKind::Change(request), actions),
            Ok(Some(change)) => {
                let command = self.encode_command(now, BookKind::Change(request));
                let event = VoterEvent::ChangeMembers {
                    ticket,
                    change,
                    command,
                };
                self.step_voter(now, event, actions);
            }
            Err(code) => self.refuse_request(ticket, code, actions),
        }
    }

    /// The membership change that `kind` requires, or `None` if it does not change the voters.
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

    pub(super) fn reply(&mut self, ticket: u64, reply: CoreReply, actions: &mut Vec<CoreAction>) {
        if self.requests.remove(&ticket).is_some() {
            actions.push(CoreAction::Reply { ticket, reply });
        }
    }

    /// Replies to a request with a result code. If its command is already in the log, it may still
    /// be committed.
    pub(super) fn refuse_request(
        &mut self,
        ticket: u64,
        code: ResultCode,
        actions: &mut Vec<CoreAction>,
    ) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let refusal = ChangeRefusal {
            code,
            current: self.book.state().version,
            winner: None,
            leader: self.voter.leader_operator(),
        };
        let reply = match request {
            CoreAsk::Fresh(_) => CoreReply::Fresh(Err(hide_unknown_outcome(code))),
            CoreAsk::Claim(_) => CoreReply::Claim(ClaimReply::Refused(hide_unknown_outcome(code))),
            CoreAsk::EndClaim(_) => CoreReply::EndClaim(false),
            CoreAsk::Change(..) => CoreReply::Change(Err(refusal)),
            CoreAsk::View => CoreReply::View(Err(refusal)),
            CoreAsk::Environment(_) => CoreReply::Environment(Err(refusal)),
            CoreAsk::History(_) => CoreReply::History(Err(refusal)),
            CoreAsk::Site(_) => CoreReply::Site(Err(code)),
            CoreAsk::ReadSite => CoreReply::ReadSite(Err(code)),
        };
        self.reply(ticket, reply, actions);
    }

    /// Replies to a read after a quorum confirmed leadership.
    pub(super) fn reply_to_read(&mut self, ticket: u64, actions: &mut Vec<CoreAction>) {
        let unknown = || ChangeRefusal {
            code: ResultCode::UnknownEnvironment,
            current: VersionNumber(0),
            winner: None,
            leader: None,
        };
        let reply = match self.requests.get(&ticket) {
            Some(CoreAsk::View) => CoreReply::View(Ok(std::sync::Arc::clone(self.book.view()))),
            Some(CoreAsk::Environment(name)) => {
                CoreReply::Environment(self.book.find_environment(name).ok_or_else(unknown))
            }
            Some(CoreAsk::History(name)) => {
                CoreReply::History(self.book.find_history(name).ok_or_else(unknown))
            }
            Some(CoreAsk::ReadSite) => {
                CoreReply::ReadSite(Ok(std::sync::Arc::clone(&self.book.state().site)))
            }
            _ => return,
        };
        self.reply(ticket, reply, actions);
    }

    /// Replies to the request whose command was applied.
    pub(super) fn reply_to_command(
        &mut self,
        now: MonotonicTime,
        ticket: u64,
        reply: &BookReply,
        actions: &mut Vec<CoreAction>,
    ) {
        let reply = match reply {
            BookReply::Change(reply) => CoreReply::Change(reply.clone()),
            BookReply::Claim(reply) => CoreReply::Claim(reply.clone()),
            BookReply::EndClaim(recorded) => CoreReply::EndClaim(*recorded),
            BookReply::Site(done) => CoreReply::Site(Ok(*done)),
            BookReply::Entries(_) => {
                self.reply_to_join(now, ticket, actions);
                return;
            }
        };
        self.reply(ticket, reply, actions);
    }
}

/// Entries do not distinguish an unknown outcome from a missing quorum.
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
