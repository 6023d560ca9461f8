//! Messages by which control proves to entries that a version is the newest.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::view::{ControlView, EntryRecord};

/// How long an entry may act on a version after the moment that a proof speaks of.
pub const LEASE_SPAN: Duration = Duration::from_secs(4);
/// What whoever waits for another's lease to end adds, since monotonic clocks run at slightly
/// different rates.
pub const LEASE_DRIFT_SPAN: Duration = Duration::from_millis(200);

/// An entry asks for a proof of freshness. Asking also keeps it a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshAsk {
    /// The entry as it wants to be listed.
    pub entry: EntryRecord,
    /// Version that the entry holds; 0 if none.
    pub holds: VersionNumber,
}

/// A proof that a quorum confirmed `version` as newest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshProof {
    /// The newest version.
    pub version: VersionNumber,
    /// Age of the confirmation when this was sent, in microseconds.
    pub age_us: u64,
    /// The view at `version`, unless the asker holds it.
    pub view: Option<Arc<ControlView>>,
}

/// Control's reply to [`FreshAsk`]; the error says whom to ask instead or why there is no proof.
pub type FreshReply = Result<FreshProof, ResultCode>;
