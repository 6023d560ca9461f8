//! Sub-requests to other regions through an entry there.
//!
//! A sub-request that crosses regions on a connection of its own costs its head twice, several
//! packets and, mostly, a connection that is seldom used. Entries of different regions therefore
//! keep one link each: a sub-request crosses it as one message, is sent on over a connection that
//! the other entry keeps open to the replica beside it, and the part comes back without what is
//! not needed for merging. Without a link, or if one hangs, replicas are asked directly.

pub mod head;
pub mod known;
pub mod link;
pub mod serve;
pub(super) mod table;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::dispatch::request::AttemptEnd;
use crate::prelude::*;

/// The head of a request on its way over a link: method, target and headers as text, a line each.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HeadRef {
    /// Sent whole, and kept for further parts of the request.
    Whole {
        /// Names the request on this link.
        number: u64,
        /// The text.
        text: Bytes,
    },
    /// Sent before.
    Known(u64),
}

/// Asks another entry to send a request to a replica of its region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayAsk {
    /// The replica.
    pub replica: ReplicaName,
    /// Time that is left for it, in milliseconds.
    pub left_ms: u32,
    /// Records of the part that are wanted at most, the greatest ones.
    pub top_records: u32,
    /// The head of the request.
    pub head: HeadRef,
}

/// What came of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayReply {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The part, if a signed answer came; it counts only if `end` says so.
    pub part: Option<RelayPart>,
    /// Whether nothing was done, since the head is not known any more.
    pub head_unknown: bool,
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
