//! Operators' changes to the configuration and to control membership.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::environment::{CentreState, EnvironmentDocument};

/// Modification made by a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Replaces the document of an environment, or creates the environment.
    Apply {
        /// Environment to replace or create.
        environment: EnvironmentName,
        /// New document, already validated.
        document: Arc<EnvironmentDocument>,
    },
    /// Copies the document of one environment to another, if the source still has the trusted
    /// version.
    Promote {
        /// Environment to copy from.
        from: EnvironmentName,
        /// Version at which `from` last changed, as confirmed by the operator.
        trusted: VersionNumber,
        /// Environment to copy to.
        to: EnvironmentName,
    },
    /// Takes a data centre out of service or returns it to service.
    SetCentre {
        /// Environment that contains the data centre.
        environment: EnvironmentName,
        /// Data centre whose state changes.
        data_centre: CentreName,
        /// New state of the data centre.
        state: CentreState,
    },
    /// Adds a control VM, first as a learner and then, once it has caught up, as a voter.
    AddVoter {
        /// VM of the control process to add.
        vm: VmName,
        /// Address that other control VMs connect to.
        address: SocketAddr,
    },
    /// Removes a control VM.
    RemoveVoter {
        /// VM of the control process to remove.
        vm: VmName,
    },
}

/// An operator's request to change an environment or the members of control.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRequest {
    /// Identifier of the change. Sending the change again with the same identifier returns the
    /// first reply.
    pub change: ChangeId,
    /// Version of the environment that the change is based on; 0 for a new environment. `None` for
    /// changes to a data centre's state or to voters, which do not depend on the version.
    pub base: Option<VersionNumber>,
    /// Operator who made the change.
    pub operator: Arc<str>,
    /// Time of the change in milliseconds since 1970. Shown in the history and not used for
    /// decisions.
    pub made_ms: u64,
    /// Modification that the change makes.
    pub kind: ChangeKind,
}

/// Reply to an accepted change, which a quorum has committed and synced to disk.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CommittedChange {
    /// Version at which the change took effect.
    pub version: VersionNumber,
}

/// Refusal of a change. Nothing was modified, unless the code says that the outcome is unknown.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRefusal {
    /// Reason for the refusal.
    pub code: ResultCode,
    /// Current version of the environment, for codes that concern versions.
    pub current: VersionNumber,
    /// Conflicting change that was committed first, if any.
    pub winner: Option<ChangeId>,
    /// Address of the leader's operator port, for [`ResultCode::NotLeader`].
    pub leader: Option<SocketAddr>,
}

/// An accepted change in the history of an environment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// Version at which the change took effect.
    pub version: VersionNumber,
    /// Identifier of the change, assigned by the operator.
    pub change: ChangeId,
    /// Operator who made the change.
    pub operator: Arc<str>,
    /// Time of the change in milliseconds since 1970, as stated by the operator's tool.
    pub made_ms: u64,
    /// Short description of the modification.
    pub summary: Arc<str>,
}
