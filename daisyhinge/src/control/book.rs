//! The state that the replicated log keeps: environments, changes, entries and claims.
//!
//! Every voter applies the same commands in the same order and gives the same replies. Versions
//! only grow; claims leave them alone.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::change::{ChangeAsk, ChangeDone, ChangeRecord, ChangeRefusal};
use crate::vocabulary::claim::{ClaimAsk, ClaimEnd, ClaimReply};
use crate::vocabulary::environment::EnvironmentDocument;
use crate::vocabulary::site::{SiteChange, SiteDone, SiteState};
use crate::vocabulary::view::{ControlView, DepartedEntry, EntryRecord};

pub mod changes;
pub mod claims;
pub mod entries;
mod site;

use changes::{ChangeTable, EnvironmentState};
use claims::ClaimTable;
use entries::EntryTable;

/// Reply of the book to a change.
pub type ChangeReply = Result<ChangeDone, ChangeRefusal>;

/// A command of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BookCommand {
    /// The log's own clock, in milliseconds: it advances only while a leader leads, so that it
    /// is never ahead of real time.
    pub at_ms: u64,
    /// What is to be done.
    pub kind: BookKind,
}

/// What a command does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BookKind {
    /// An operator's change.
    Change(ChangeAsk),
    /// Lists an entry as a member, or alters how it is listed.
    Join(EntryRecord),
    /// Removes an entry that was not heard of.
    Lose {
        /// Its VM.
        vm: VmName,
        /// Its incarnation; another one stays.
        incarnation: IncarnationNumber,
        /// Whether it kept no replica any more.
        released: bool,
        /// For how long it had got no proof, in milliseconds.
        silent_ms: u64,
    },
    /// Forgets entries that departed at or before that time of the log's clock.
    Forget {
        /// The time, in milliseconds.
        before_ms: u64,
    },
    /// Claims a request that may not be repeated.
    Claim(ClaimAsk),
    /// Records how a claimed request ended.
    EndClaim(ClaimEnd),
    /// An operator's change of the deployment.
    Site(SiteChange),
}

/// What a command brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BookReply {
    /// Of a change.
    Change(ChangeReply),
    /// Of a claim.
    Claim(ClaimReply),
    /// Of the end of a claim: whether it is recorded.
    EndClaim(bool),
    /// Of a command about entries: whether it altered anything.
    Entries(bool),
    /// Of a change of the deployment.
    Site(SiteDone),
}

/// The book as it is kept in snapshots.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BookState {
    /// The newest version.
    pub version: VersionNumber,
    /// The log's own clock, in milliseconds.
    pub clock_ms: u64,
    /// Environments.
    pub environments: BTreeMap<EnvironmentName, EnvironmentState>,
    /// Changes and their replies.
    pub changes: ChangeTable,
    /// Entries.
    pub entries: EntryTable,
    /// Claims.
    pub claims: ClaimTable,
    /// The deployment.
    pub site: Arc<SiteState>,
}

/// The book of one voter.
#[derive(Clone, Debug, Default)]
pub struct BookKeeper {
    state: BookState,
    view: Arc<ControlView>,
}

impl BookKeeper {
    /// A book with that state.
    pub fn open(mut state: BookState) -> Self {
        state.claims.rebuild();
        let mut keeper = Self {
            state,
            view: Arc::default(),
        };
        keeper.view = Arc::new(keeper.make_view());
        keeper
    }

    /// Its state.
    pub fn state(&self) -> &BookState {
        &self.state
    }

    /// Configuration and membership at the newest version.
    pub fn view(&self) -> &Arc<ControlView> {
        &self.view
    }

    /// Applies a command of the log.
    ///
    /// # Panics
    /// If an invariant is broken, which is a fault of the program.
    pub fn apply(&mut self, command: &BookCommand) -> BookReply {
        let before = self.state.version;
        let state = &mut self.state;
        state.clock_ms = state.clock_ms.max(command.at_ms);
        state.claims.expire(state.clock_ms);
        let reply = match &command.kind {
            BookKind::Change(ask) => BookReply::Change(state.apply_change(ask)),
            BookKind::Join(entry) => BookReply::Entries(state.join_entry(entry)),
            BookKind::Lose {
                vm,
                incarnation,
                released,
                silent_ms,
            } => BookReply::Entries(state.lose_entry(vm, *incarnation, *released, *silent_ms)),
            BookKind::Forget { before_ms } => BookReply::Entries(state.forget_entries(*before_ms)),
            BookKind::Claim(ask) => BookReply::Claim(state.claims.claim(state.clock_ms, ask)),
            BookKind::EndClaim(end) => BookReply::EndClaim(state.claims.end(end)),
            BookKind::Site(change) => BookReply::Site(site::apply_change(&mut state.site, change)),
        };
        assert!(self.state.version >= before, "a version reverted");
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

    /// The document of an environment and the version at which it last changed.
    pub fn find_environment(&self, name: &EnvironmentName) -> Option<EnvironmentReading> {
        let environment = self.state.environments.get(name)?;
        Some(EnvironmentReading {
            version: environment.changed,
            document: Arc::clone(&environment.document),
        })
    }

    /// The accepted changes of an environment, oldest first.
    pub fn find_history(&self, name: &EnvironmentName) -> Option<Vec<ChangeRecord>> {
        let environment = self.state.environments.get(name)?;
        Some(environment.history.iter().cloned().collect())
    }
}

/// An environment as it was read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EnvironmentReading {
    /// Version at which it last changed: the base of the next change.
    pub version: VersionNumber,
    /// Its document.
    pub document: Arc<EnvironmentDocument>,
}
