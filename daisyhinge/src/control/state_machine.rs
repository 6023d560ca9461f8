//! State replicated through the log: environments, changes, entries and claims.
//!
//! Every voter applies the same commands in the same order and produces the same replies. Versions
//! never decrease; claims do not change the version.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::change::{ChangeRecord, ChangeRefusal, ChangeRequest, CommittedChange};
use crate::vocabulary::claim::{ClaimReply, ClaimRequest, EndClaimRequest};
use crate::vocabulary::environment::EnvironmentDocument;
use crate::vocabulary::site::{CommittedSiteChange, SiteChange, SiteState};
use crate::vocabulary::view::{ControlView, DepartedEntry, EntryRecord};

pub mod changes;
pub mod claims;
pub mod entries;
mod rollouts;
mod site;

use changes::{ChangeTable, EnvironmentState};
use claims::ClaimTable;
use entries::EntryTable;

/// Result of applying an operator's change.
pub type ChangeReply = Result<CommittedChange, ChangeRefusal>;

/// A command of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogCommand {
    /// Time of the log clock at the proposal of the command, in milliseconds. The clock advances
    /// only while a leader is in office, so it is never ahead of real time.
    pub at_ms: u64,
    /// Operation on the replicated state.
    pub kind: CommandKind,
}

/// Operation on the replicated state that a [`LogCommand`] contains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandKind {
    /// Applies an operator's change.
    Change(ChangeRequest),
    /// Adds an entry to the membership, or updates its record.
    Join(EntryRecord),
    /// Removes an entry that left or no longer sends freshness requests.
    Lose {
        /// VM of the entry to remove.
        vm: VmName,
        /// Incarnation of the entry to remove; any other incarnation stays listed.
        incarnation: IncarnationNumber,
        /// Whether the entry had released all its replicas.
        released: bool,
        /// Time since the entry last received a freshness proof, in milliseconds.
        silent_ms: u64,
    },
    /// Drops the records of entries that departed at or before a time of the log clock.
    Forget {
        /// The cutoff, in milliseconds of the log clock.
        before_ms: u64,
    },
    /// Claims a request that must not be executed twice.
    Claim(ClaimRequest),
    /// Records the outcome of a claimed request.
    EndClaim(EndClaimRequest),
    /// Applies an operator's change of the site.
    Site(SiteChange),
}

/// Result of applying a [`LogCommand`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommandReply {
    /// Reply to [`CommandKind::Change`].
    Change(ChangeReply),
    /// Reply to [`CommandKind::Claim`].
    Claim(ClaimReply),
    /// Reply to [`CommandKind::EndClaim`]: whether the outcome was recorded.
    EndClaim(bool),
    /// Reply to [`CommandKind::Join`], [`CommandKind::Lose`] and [`CommandKind::Forget`]: whether
    /// the membership changed.
    Entries(bool),
    /// Reply to [`CommandKind::Site`]: the state after the change, or why it was refused.
    Site(Result<CommittedSiteChange, ResultCode>),
}

/// The replicated state, stored in snapshots by [`StateCodec::encode_state`].
///
/// [`StateCodec::encode_state`]: crate::control::core::StateCodec::encode_state
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicatedState {
    /// Current version of configuration and membership.
    pub version: VersionNumber,
    /// Latest time of the log clock among the applied commands, in milliseconds.
    pub clock_ms: u64,
    /// Environments by name, each with its document and history.
    pub environments: BTreeMap<EnvironmentName, EnvironmentState>,
    /// Changes that were accepted or refused, with the replies to their operators.
    pub changes: ChangeTable,
    /// Member entries and recently departed ones.
    pub entries: EntryTable,
    /// Claims of requests that must not be executed twice.
    pub claims: ClaimTable,
    /// Configuration document and evacuated data centres of the site.
    pub site: Arc<SiteState>,
}

/// The replicated state machine of one voter.
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    state: ReplicatedState,
    view: Arc<ControlView>,
}

impl StateMachine {
    /// Creates a state machine from a decoded state.
    pub fn open(mut state: ReplicatedState) -> Self {
        state.claims.rebuild();
        let mut machine = Self {
            state,
            view: Arc::default(),
        };
        machine.view = Arc::new(machine.make_view());
        machine
    }

    /// Returns the state after the last applied command.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns configuration and membership at the current version.
    pub fn view(&self) -> &Arc<ControlView> {
        &self.view
    }

    /// Applies a committed command.
    ///
    /// # Panics
    /// If an invariant is broken, which is a bug in the program.
    pub fn apply(&mut self, command: &LogCommand) -> CommandReply {
        let before = self.state.version;
        let state = &mut self.state;
        state.clock_ms = state.clock_ms.max(command.at_ms);
        state.claims.expire(state.clock_ms);
        let reply = match &command.kind {
            CommandKind::Change(request) => CommandReply::Change(state.apply_change(request)),
            CommandKind::Join(entry) => CommandReply::Entries(state.join_entry(entry)),
            CommandKind::Lose {
                vm,
                incarnation,
                released,
                silent_ms,
            } => CommandReply::Entries(state.remove_entry(vm, *incarnation, *released, *silent_ms)),
            CommandKind::Forget { before_ms } => {
                CommandReply::Entries(state.forget_entries(*before_ms))
            }
            CommandKind::Claim(claim) => {
                CommandReply::Claim(state.claims.claim(state.clock_ms, claim))
            }
            CommandKind::EndClaim(end) => CommandReply::EndClaim(state.claims.end(end)),
            CommandKind::Site(change) => {
                let clock_ms = state.clock_ms;
                CommandReply::Site(site::apply_change(&mut state.site, clock_ms, change))
            }
        };
        assert!(self.state.version >= before, "the version decreased");
        if self.state.version > before {
            self.view = Arc::new(self.make_view());
        }
        reply
    }

    fn make_view(&self) -> ControlView {
        let state = &self.state;
        ControlView {
            version: state.version,
            environments: state
                .environments
                .iter()
                .map(|(name, environment)| (name.clone(), Arc::clone(&environment.document)))
                .collect(),
            entries: state.entries.live.values().cloned().collect(),
            departed: state
                .entries
                .departed
                .iter()
                .map(|departed| DepartedEntry {
                    vm: departed.vm.clone(),
                    released: departed.released,
                    silent_ms: departed.silent_ms,
                })
                .collect(),
        }
    }

    /// Returns the document of an environment and the version at which it last changed.
    pub fn find_environment(&self, name: &EnvironmentName) -> Option<EnvironmentReading> {
        let environment = self.state.environments.get(name)?;
        Some(EnvironmentReading {
            version: environment.changed,
            document: Arc::clone(&environment.document),
        })
    }

    /// Returns the accepted changes of an environment, oldest first.
    pub fn find_history(&self, name: &EnvironmentName) -> Option<Vec<ChangeRecord>> {
        let environment = self.state.environments.get(name)?;
        Some(environment.history.iter().cloned().collect())
    }
}

/// The document of an environment, as returned to a reader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EnvironmentReading {
    /// Version at which the environment last changed; the base of the next change.
    pub version: VersionNumber,
    /// Document of the environment at that version.
    pub document: Arc<EnvironmentDocument>,
}
