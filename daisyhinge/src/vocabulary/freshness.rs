//! Messages by which control proves to entries that a version is the newest.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::view::{ControlView, EntryRecord};

/// How long an entry may act on a version after the moment that a proof speaks of.
pub const LEASE_SPAN: Duration = Duration::from_secs(4);

/// Allowance for clocks that run at different speeds, in parts per million of a span.
pub const DRIFT_PPM: u32 = 1_000;

/// A keeper's dispatch expires at the latest this long after the end of the lease it is sent
/// under, so that a new keeper can tell when the slots of the former one are free.
pub const RUN_TAIL: Duration = Duration::from_secs(1);

/// How long after a newer view was seen nothing dispatched under an older one still runs.
pub const LEASE_WAIT_SPAN: Duration = {
    let span = LEASE_SPAN.saturating_add(RUN_TAIL);
    let drift = span.saturating_mul(DRIFT_PPM * 2);
    match drift.checked_div(1_000_000) {
        Some(drift) => span.saturating_add(drift),
        None => span,
    }
};

/// An entry asks for a proof of freshness. Asking also keeps it a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshAsk {
    /// The entry as it wants to be listed.
    pub entry: EntryRecord,
    /// Version that the entry holds; 0 if none.
    pub holds: VersionNumber,
    /// Set once a leaving entry keeps nothing and nothing that it dispatched still runs. It is
    /// then taken off the list as released, and still gets proofs while it answers callers.
    pub released: bool,
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
