//! Messages with which control proves to entries that a version is the newest.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::view::{ControlView, EntryRecord};

/// Maximum age of the confirmation by a quorum up to which the state of a control process counts as
/// current. An entry switches to another control process if the confirmation is older.
pub const QUORUM_AGE_MAX: Duration = Duration::from_millis(1_500);

/// Time for which an entry may act on a version after a quorum confirmed it.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);

/// Allowance for differences in clock speed, in parts per million.
pub const CLOCK_DRIFT_PPM: u32 = 1_000;

/// Maximum time between the end of a keeper's lease and the expiry of work dispatched under it. A
/// new keeper uses it to determine when the slots of the former keeper are free.
pub const DISPATCH_GRACE: Duration = Duration::from_secs(1);

/// Time after which no work dispatched under an older view can still run, measured from the time at
/// which a newer view was first received.
pub const LEASE_EXPIRY_WAIT: Duration = {
    let total = LEASE_DURATION.saturating_add(DISPATCH_GRACE);
    let drift = total.saturating_mul(CLOCK_DRIFT_PPM * 2);
    match drift.checked_div(1_000_000) {
        Some(drift) => total.saturating_add(drift),
        None => total,
    }
};

/// An entry's request for a proof of freshness. It also renews the membership of the entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshnessRequest {
    /// Record under which the entry should be listed.
    pub entry: EntryRecord,
    /// Version of configuration and membership that the entry has; 0 if none.
    pub holds: VersionNumber,
    /// Whether a leaving entry has released all replicas and all work that it dispatched has ended.
    /// Control then removes it from the members as released, and still sends proofs while it
    /// answers callers.
    pub released: bool,
}

/// Proof that a quorum confirmed `version` as the newest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshnessProof {
    /// Version of configuration and membership that the quorum confirmed as the newest.
    pub version: VersionNumber,
    /// Age of the confirmation when the proof was sent, in microseconds.
    pub age_us: u64,
    /// View at `version`; `None` if the entry already has it.
    pub view: Option<Arc<ControlView>>,
}

/// Control's reply to a [`FreshnessRequest`]. The error says why there is no proof, such as
/// [`ResultCode::NotLeader`].
pub type FreshnessReply = Result<FreshnessProof, ResultCode>;
