//! Record of the activity of a fake backend server, as counted by the server itself.

use std::collections::BTreeMap;

use daisyhinge::prelude::*;
use serde::{Deserialize, Serialize};

/// A sub-request that arrived.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubRecord {
    /// Arrival time, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Attempt identifier, as given in the header.
    pub attempt: String,
    /// Requested snapshot.
    pub snapshot: SnapshotNumber,
    /// Requested shard.
    pub shard: ShardNumber,
}

/// Record of the activity of a fake backend server, as counted by the server itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FakeRecord {
    /// Sub-requests that arrived.
    pub received: u64,
    /// Sub-requests that the server started to process.
    pub started: u64,
    /// Sub-requests answered.
    pub answered: u64,
    /// Sub-requests shed.
    pub shed: u64,
    /// Sub-requests cancelled while they ran or were queued.
    pub cancelled: u64,
    /// Sub-requests that expired.
    pub expired: u64,
    /// Sub-requests for a snapshot or shard that the server did not have.
    pub not_held: u64,
    /// Sub-requests addressed to another replica or service.
    pub misdirected: u64,
    /// Sub-requests with a missing or malformed header.
    pub malformed: u64,
    /// Sub-requests answered with an error of the server.
    pub failed: u64,
    /// Sub-requests lost in a crash or collapse.
    pub lost: u64,
    /// Sub-requests currently running or queued.
    pub in_hand: u32,
    /// Maximum number of sub-requests running or queued at a time.
    pub peak_in_hand: u32,
    /// Maximum number of sub-requests running or queued at a time while cold.
    pub peak_cold: u32,
    /// Sub-requests that arrived while all slots were taken.
    pub slots_exceeded: u64,
    /// Connections currently open.
    pub connections: u32,
    /// Maximum number of connections open at a time.
    pub peak_connections: u32,
    /// Connections reset because the connection limit was reached.
    pub connections_exceeded: u64,
    /// Connections accepted.
    pub connections_made: u64,
    /// Collapses because the capacity while cold was exceeded.
    pub collapses: u64,
    /// Collapses after `sign_at_us` and the grace period of the cold settings.
    pub collapses_after_sign: u64,
    /// Sub-requests beyond the capacity while cold.
    pub cold_exceeded: u64,
    /// Sub-requests beyond the capacity while cold that arrived after `sign_at_us` and the grace
    /// period of the cold settings.
    pub cold_exceeded_after_sign: u64,
    /// Start of the last cold state, in microseconds since the Unix epoch; 0 if none.
    pub cold_at_us: u64,
    /// Time at which entries could first notice the last cold state, from its announcement, a
    /// slow, shed, expired or lost sub-request, or a crash, in microseconds since the Unix epoch; 0
    /// if none.
    pub sign_at_us: u64,
    /// End of the last cold state, in microseconds since the Unix epoch; 0 if it has not ended.
    pub warm_at_us: u64,
    /// Crashes, caused by requests or injected.
    pub crashes: u64,
    /// Time from which sub-requests are counted in `after_mark`, in microseconds since the Unix
    /// epoch; 0 if none.
    pub mark_us: u64,
    /// Sub-requests that arrived after `mark_us`.
    pub after_mark: u64,
    /// Arrival time of the last sub-request in `after_mark`, in microseconds from `mark_us`.
    pub last_after_mark_us: u64,
    /// Number of starts of each non-repeatable request.
    pub single_runs: BTreeMap<RequestId, u32>,
    /// Number of starts of each request that contained the crash marker.
    pub marked_runs: BTreeMap<RequestId, u32>,
    /// Arrivals, oldest first; at most `log_max` of the settings.
    pub log: Vec<SubRecord>,
}
