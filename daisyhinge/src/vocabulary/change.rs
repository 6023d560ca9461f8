//! Operators' changes of configuration and of control's own membership.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::environment::{CentreState, EnvironmentDocument};

/// What a change alters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Replaces the document of an environment; makes the environment if it is new.
    Apply {
        /// The environment.
        environment: EnvironmentName,
        /// Its new document, already checked whole.
        document: Arc<EnvironmentDocument>,
    },
    /// Copies the document of one environment to another, if it still has the trusted version.
    Promote {
        /// Environment that is copied from.
        from: EnvironmentName,
        /// Version at which `from` last changed, as the operator trusted it.
        trusted: VersionNumber,
        /// Environment that is copied to.
        to: EnvironmentName,
    },
    /// Takes a data centre out or returns it.
    SetCentre {
        /// The environment.
        environment: EnvironmentName,
        /// The data centre.
        data_centre: CentreName,
        /// Its new state.
        state: CentreState,
    },
    /// Adds a control VM: a learner first, a voter once it has caught up.
    AddVoter {
        /// Its VM.
        vm: VmName,
        /// Where other control VMs connect to it.
        address: SocketAddr,
    },
    /// Removes a control VM.
    RemoveVoter {
        /// Its VM.
        vm: VmName,
    },
}

/// An operator's change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeAsk {
    /// Identifier; sent again after a lost reply, it brings the first reply again.
    pub change: ChangeId,
    /// Version of the environment that the change was made from; 0 for a new environment. Unset
    /// for a data centre's state and for voters, which do not depend on it.
    pub base: Option<VersionNumber>,
    /// Who made it.
    pub operator: Arc<str>,
    /// When it was made, in milliseconds since 1970; shown in the history, never decided on.
    pub made_ms: u64,
    /// What it alters.
    pub kind: ChangeKind,
}

/// Reply to an accepted change: committed by a quorum on synced disks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeDone {
    /// Version at which it came in force.
    pub version: VersionNumber,
}

/// Why a change was refused. Nothing was altered unless the code says that this is not known.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRefusal {
    /// The reason.
    pub code: ResultCode,
    /// Version that the environment has now, where the code is about versions.
    pub current: VersionNumber,
    /// Change that won, where another one was first.
    pub winner: Option<ChangeId>,
    /// Where the leader's operators' port is, where the code is [`ResultCode::NotLeader`].
    pub leader: Option<SocketAddr>,
}

/// One accepted change in the history of an environment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// Version at which it came in force.
    pub version: VersionNumber,
    /// The change.
    pub change: ChangeId,
    /// Who made it.
    pub operator: Arc<str>,
    /// When it was made, in milliseconds since 1970.
    pub made_ms: u64,
    /// What it altered, in a few words.
    pub summary: Arc<str>,
}
