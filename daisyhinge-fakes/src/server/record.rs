//! What a fake backend server saw, by its own count.

use std::collections::BTreeMap;

use daisyhinge::prelude::*;
use serde::{Deserialize, Serialize};

/// One sub-request as it arrived.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubRecord {
    /// When it arrived, in microseconds since 1970.
    pub at_us: u64,
    /// The caller's request.
    pub request: RequestId,
    /// The dispatch, as its header has it.
    pub attempt: String,
    /// Snapshot asked for.
    pub snapshot: SnapshotNumber,
    /// Shard asked for.
    pub shard: ShardNumber,
}

/// What a fake backend server saw, by its own count.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FakeRecord {
    /// Sub-requests that arrived.
    pub received: u64,
    /// Sub-requests that it began to work on.
    pub started: u64,
    /// Sub-requests answered.
    pub answered: u64,
    /// Sub-requests shed.
    pub shed: u64,
    /// Sub-requests cancelled while they ran or waited.
    pub cancelled: u64,
    /// Sub-requests that expired.
    pub expired: u64,
    /// Sub-requests for a snapshot or shard that it did not hold.
    pub not_held: u64,
    /// Sub-requests that named another replica or service.
    pub misdirected: u64,
    /// Sub-requests that lacked a header or had a bad one.
    pub malformed: u64,
    /// Sub-requests answered with an error of its own.
    pub failed: u64,
    /// Sub-requests lost in a crash or collapse.
    pub lost: u64,
    /// Sub-requests in hand now, waiting ones included.
    pub in_hand: u32,
    /// Most sub-requests in hand at a time.
    pub peak_in_hand: u32,
    /// Most sub-requests in hand at a time while cold.
    pub peak_cold: u32,
    /// Times that a sub-request arrived with all slots taken.
    pub slots_exceeded: u64,
    /// Connections open now.
    pub connections: u32,
    /// Most connections open at a time.
    pub peak_connections: u32,
    /// Connections that were reset since too many were open.
    pub connections_exceeded: u64,
    /// Connections accepted.
    pub connections_made: u64,
    /// Times that it collapsed since it was given more than it bears while cold.
    pub collapses: u64,
    /// Collapses after the first sign of the cold state.
    pub collapses_after_sign: u64,
    /// Sub-requests beyond what it bears while cold.
    pub cold_exceeded: u64,
    /// Those of them that arrived after the first sign of the cold state.
    pub cold_exceeded_after_sign: u64,
    /// When the last cold state began, in microseconds since 1970; 0 if none.
    pub cold_at_us: u64,
    /// When the first sign of the last cold state left, in microseconds since 1970; 0 if none.
    pub sign_at_us: u64,
    /// When it was warm again, in microseconds since 1970; 0 if it is not.
    pub warm_at_us: u64,
    /// Crashes.
    pub crashes: u64,
    /// When the mark was set, in microseconds since 1970; 0 if none.
    pub mark_us: u64,
    /// Sub-requests that arrived after the mark.
    pub after_mark: u64,
    /// Time of the last sub-request after the mark, in microseconds from the mark.
    pub last_after_mark_us: u64,
    /// Starts of each request that may not be repeated.
    pub single_runs: BTreeMap<RequestId, u32>,
    /// Starts of each request that carried the crash marker.
    pub marked_runs: BTreeMap<RequestId, u32>,
    /// Arrivals, oldest first; as many as the settings keep.
    pub log: Vec<SubRecord>,
}
