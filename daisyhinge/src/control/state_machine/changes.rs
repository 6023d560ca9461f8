//! Operators' changes. Each change is applied once and its reply is stored, so that a resent change
//! gets the same reply.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{ChangeReply, ReplicatedState};
use crate::prelude::*;
use crate::vocabulary::change::{
    ChangeKind, ChangeRecord, ChangeRefusal, ChangeRequest, CommittedChange,
};
use crate::vocabulary::environment::{CentreEntry, CentreState, EnvironmentDocument};

/// Number of changes whose replies are stored for resends: about a day's worth at 37,000 changes a
/// day.
pub const CHANGES_MAX: usize = 40_000;
/// Maximum number of accepted changes in the history of an environment.
pub const HISTORY_MAX: usize = 512;
/// Maximum number of environments.
pub const ENVIRONMENTS_MAX: usize = 64;

/// Replicated state of one environment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EnvironmentState {
    /// Current document of the environment.
    pub document: Arc<EnvironmentDocument>,
    /// Version at which the environment last changed.
    pub changed: VersionNumber,
    /// Accepted changes, oldest first.
    pub history: VecDeque<ChangeRecord>,
}

/// A decided change, accepted or refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct DecidedChange {
    /// Digest of the change's content.
    content: u64,
    reply: ChangeReply,
}

/// Decided changes in the order of their decision, up to [`CHANGES_MAX`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeTable {
    memos: BTreeMap<ChangeId, DecidedChange>,
    order: VecDeque<ChangeId>,
}

impl ChangeTable {
    /// Returns the reply to an earlier change with the same identifier, if any.
    pub fn find_reply(&self, request: &ChangeRequest) -> Option<ChangeReply> {
        let decided = self.memos.get(&request.change)?;
        if decided.content == hash_content(request) {
            return Some(decided.reply.clone());
        }
        Some(Err(ChangeRefusal {
            code: ResultCode::ChangeIdReused,
            current: VersionNumber(0),
            winner: None,
            leader: None,
        }))
    }

    /// Returns the number of stored changes.
    pub fn count(&self) -> usize {
        self.order.len()
    }

    fn record_reply(&mut self, request: &ChangeRequest, reply: &ChangeReply) {
        let decided = DecidedChange {
            content: hash_content(request),
            reply: reply.clone(),
        };
        let former = self.memos.insert(request.change.clone(), decided);
        assert!(former.is_none(), "a change was applied twice");
        self.order.push_back(request.change.clone());
        if self.order.len() > CHANGES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.memos.remove(&oldest);
        }
    }
}

/// Returns the digest of a change's content, excluding the time at which it was made.
fn hash_content(request: &ChangeRequest) -> u64 {
    let content = serde_json::to_vec(&(&request.base, &request.operator, &request.kind));
    // FNV-1a. The algorithm must not change: voters compare digests that other voters computed.
    content
        .expect("a change always encodes")
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        })
}

impl ReplicatedState {
    pub(super) fn apply_change(&mut self, request: &ChangeRequest) -> ChangeReply {
        if let Some(reply) = self.changes.find_reply(request) {
            return reply;
        }
        let reply = match &request.kind {
            ChangeKind::Apply {
                environment,
                document,
            } => self.apply_document(request, environment, document),
            ChangeKind::Promote { from, trusted, to } => self.promote(request, from, *trusted, to),
            ChangeKind::SetCentre {
                environment,
                data_centre,
                state,
            } => self.set_centre(request, environment, data_centre, *state),
            // The voter set changed with the log entry that carries this command; only the reply is
            // stored here.
            ChangeKind::AddVoter { .. } | ChangeKind::RemoveVoter { .. } => Ok(CommittedChange {
                version: self.version,
            }),
        };
        self.changes.record_reply(request, &reply);
        reply
    }

    fn refuse(&self, code: ResultCode, environment: &EnvironmentName) -> ChangeRefusal {
        let state = self.environments.get(environment);
        let conflict = code == ResultCode::VersionConflict;
        let newest = state
            .filter(|_| conflict)
            .and_then(|state| state.history.back());
        ChangeRefusal {
            code,
            current: state.map_or(VersionNumber(0), |state| state.changed),
            winner: newest.map(|record| record.change.clone()),
            leader: None,
        }
    }

    /// Checks that the change is based on the current version of `environment`.
    fn check_base_version(
        &self,
        request: &ChangeRequest,
        environment: &EnvironmentName,
    ) -> Result<(), ChangeRefusal> {
        let changed = self
            .environments
            .get(environment)
            .map(|state| state.changed);
        if request.base == Some(changed.unwrap_or_default()) {
            return Ok(());
        }
        Err(self.refuse(ResultCode::VersionConflict, environment))
    }

    fn apply_document(
        &mut self,
        request: &ChangeRequest,
        environment: &EnvironmentName,
        document: &Arc<EnvironmentDocument>,
    ) -> ChangeReply {
        self.check_base_version(request, environment)?;
        let text = format!(
            "apply: {} regions, {} services",
            document.regions.len(),
            document.services.len()
        );
        self.store_document(request, environment, Arc::clone(document), &text)
    }

    fn promote(
        &mut self,
        request: &ChangeRequest,
        from: &EnvironmentName,
        trusted: VersionNumber,
        to: &EnvironmentName,
    ) -> ChangeReply {
        let Some(source) = self.environments.get(from) else {
            return Err(self.refuse(ResultCode::UnknownEnvironment, from));
        };
        if source.changed != trusted {
            return Err(self.refuse(ResultCode::PromoteMismatch, from));
        }
        let mut document = source.document.as_ref().clone();
        self.check_base_version(request, to)?;
        if let Some(target) = self.environments.get(to) {
            preserve_centre_states(&mut document, &target.document);
        }
        let text = format!("promote: {from} at version {trusted}");
        self.store_document(request, to, Arc::new(document), &text)
    }

    fn set_centre(
        &mut self,
        request: &ChangeRequest,
        environment: &EnvironmentName,
        data_centre: &CentreName,
        state: CentreState,
    ) -> ChangeReply {
        let Some(target) = self.environments.get(environment) else {
            return Err(self.refuse(ResultCode::UnknownEnvironment, environment));
        };
        if request.base.is_some() {
            self.check_base_version(request, environment)?;
        }
        let mut document = target.document.as_ref().clone();
        let Some(centre) = find_centre_mut(&mut document, data_centre) else {
            return Err(self.refuse(ResultCode::UnknownCentre, environment));
        };
        centre.state = state;
        let text = match state {
            CentreState::In => format!("return: {data_centre}"),
            CentreState::Out => format!("take out: {data_centre}"),
        };
        self.store_document(request, environment, Arc::new(document), &text)
    }

    fn store_document(
        &mut self,
        request: &ChangeRequest,
        environment: &EnvironmentName,
        document: Arc<EnvironmentDocument>,
        text: &str,
    ) -> ChangeReply {
        let existing = self.environments.get(environment);
        if existing.is_some_and(|existing| existing.document == document) {
            return Err(self.refuse(ResultCode::NothingChanged, environment));
        }
        if existing.is_none() && self.environments.len() >= ENVIRONMENTS_MAX {
            return Err(self.refuse(ResultCode::OutOfRange, environment));
        }
        self.version.0 += 1;
        let version = self.version;
        let state = self.environments.entry(environment.clone()).or_default();
        assert!(state.changed < version, "versions never decrease");
        state.document = document;
        state.changed = version;
        state.history.push_back(ChangeRecord {
            version,
            change: request.change.clone(),
            operator: Arc::clone(&request.operator),
            made_ms: request.made_ms,
            summary: Arc::from(text),
        });
        if state.history.len() > HISTORY_MAX {
            state.history.pop_front();
        }
        Ok(CommittedChange { version })
    }
}

fn find_centre_mut<'a>(
    document: &'a mut EnvironmentDocument,
    name: &CentreName,
) -> Option<&'a mut CentreEntry> {
    document
        .regions
        .iter_mut()
        .flat_map(|region| &mut region.data_centres)
        .find(|centre| centre.name == *name)
}

/// Copies the state of each data centre from `target`, so that a promotion does not return an
/// evacuated data centre to service.
fn preserve_centre_states(document: &mut EnvironmentDocument, target: &EnvironmentDocument) {
    let centres = document
        .regions
        .iter_mut()
        .flat_map(|region| &mut region.data_centres);
    for centre in centres {
        if let Some(existing) = target.find_centre(&centre.name) {
            centre.state = existing.state;
        }
    }
}
