//! Sub-requests to other regions through an entry there.
//!
//! A sub-request that crosses regions on a connection of its own costs its head twice, several
//! packets and, mostly, a connection that is seldom used. Entries of different regions therefore
//! keep one link each: a sub-request crosses it as one message, is sent on over a connection that
//! the other entry keeps open to the replica beside it, and the part comes back without what is
//! not needed for merging. Without a link, or if one hangs, replicas are asked directly.

pub mod head;
pub mod link;
pub mod serve;
pub(super) mod table;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::dispatch::request::AttemptEnd;
use crate::prelude::*;

/// Asks another entry to send a request to a replica of its region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayAsk {
    /// The replica.
    pub replica: ReplicaName,
    /// Time that is left for it, in milliseconds.
    pub left_ms: u32,
    /// Records of the part that are wanted at most, the greatest ones.
    pub top_records: u32,
    /// Method, target and headers of the request as text, a line each.
    pub head: Bytes,
}

/// What came of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayReply {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The part, if a signed answer came; it counts only if `end` says so.
    pub part: Option<RelayPart>,
}

/// A part as far as it is merged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayPart {
    /// The replica's signature.
    pub signature: Bytes,
    /// The greatest records, falling.
    pub records: Bytes,
}

/// Calls between entries.
#[tarpc::service]
pub trait RelayLink {
    /// Sends a request to a replica.
    async fn relay(ask: RelayAsk) -> RelayReply;
}
