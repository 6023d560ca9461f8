//! Freshness proofs.

use std::sync::Arc;
use std::time::Duration;

use super::{ControlCore, CoreAction, CoreReply, CoreRequest};
use crate::control::state_machine::CommandKind;
use crate::prelude::*;
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::freshness::{FreshnessProof, FreshnessReply, FreshnessRequest};
use crate::vocabulary::name::check_name;

/// Maximum age of the confirmation in a proof. An older one shows that no quorum answers.
pub const PROOF_AGE_MAX: Duration = Duration::from_secs(1);

impl ControlCore {
    pub(super) fn handle_freshness(
        &mut self,
        now: MonotonicTime,
        req_id: u64,
        request: &FreshnessRequest,
        actions: &mut Vec<CoreAction>,
    ) {
        let entry = &request.entry;
        let named = [
            entry.vm.as_str(),
            entry.environment.as_str(),
            entry.data_centre.as_str(),
        ];
        if !named.into_iter().all(check_name) {
            self.refuse_request(req_id, ResultCode::BadName, actions);
            return;
        }
        let listed = self.state_machine.state().entries.live.get(&entry.vm);
        if listed.is_some_and(|listed| listed.incarnation > entry.incarnation) {
            self.refuse_request(req_id, ResultCode::EntryReplaced, actions);
            return;
        }
        if self.watch.is_removal_proposed(entry) {
            self.refuse_request(req_id, ResultCode::NoQuorum, actions);
            return;
        }
        self.watch.record_request(now, request);
        let joins = !request.released
            && self.state_machine.state().would_join(entry)
            && self.watch.may_join(now, entry);
        if joins && self.voter.confirmed_at().is_some() {
            self.submit(now, req_id, CommandKind::Join(entry.clone()), actions);
        } else {
            let reply = self.make_proof(now, request.holds);
            self.reply(req_id, CoreReply::Fresh(reply), actions);
        }
    }

    pub(super) fn reply_to_join(
        &mut self,
        now: MonotonicTime,
        req_id: u64,
        actions: &mut Vec<CoreAction>,
    ) {
        if let Some(CoreRequest::Fresh(request)) = self.requests.get(&req_id) {
            let reply = self.make_proof(now, request.holds);
            self.reply(req_id, CoreReply::Fresh(reply), actions);
        }
    }

    /// Builds a proof from the newest confirmation by a quorum. Its age counts from when the
    /// confirmation was requested: the local version includes everything that any leader committed
    /// before that moment.
    fn make_proof(&self, now: MonotonicTime, holds: VersionNumber) -> FreshnessReply {
        let requested_at = self.voter.confirmed_at().ok_or(ResultCode::NoQuorum)?;
        let age = now.since(requested_at);
        if age > PROOF_AGE_MAX {
            return Err(ResultCode::NoQuorum);
        }
        let version = self.state_machine.state().version;
        Ok(FreshnessProof {
            version,
            age_us: duration_to_micros(age),
            view: (holds != version).then(|| Arc::clone(self.state_machine.view())),
        })
    }
}
