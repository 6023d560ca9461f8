//! Sends sub-requests to other regions through an entry there.
//!
//! A sub-request that crosses regions on a connection of its own costs its head twice, several
//! packets and usually a connection that is seldom used. Entries of different regions therefore
//! keep one link to each other. A sub-request crosses the link as one message, the other entry
//! sends it over a pooled connection to a replica in its region, and the part is returned without
//! the data that merging does not need. Without a link, or if a link hangs, the replica is called
//! directly.

pub mod head;
pub mod head_cache;
pub mod link;
pub mod serve;
pub(super) mod table;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::dispatch::fleet::ReplicaNotice;
use crate::dispatch::request::AttemptEnd;
use crate::prelude::*;

/// The head of a request on a link: method, target and headers as text, one per line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HeadRef {
    /// The complete head, which the receiver stores for other parts of the same request.
    Whole {
        /// Number of the request, unique on this link.
        number: u64,
        /// Head as encoded by [`head::write_head`].
        text: Bytes,
    },
    /// Number of a request whose head was sent before.
    Known(u64),
}

/// A call to another entry to send a request to a replica in its region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayRequest {
    /// Name of the replica to call.
    pub replica: ReplicaName,
    /// Time left for the request, in milliseconds.
    pub left_ms: u32,
    /// Maximum number of records in the part. The greatest records are returned.
    pub top_records: u32,
    /// Method, target and headers of the request, or a reference to them.
    pub head: HeadRef,
}

/// Reply of the entry that called the replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayReply {
    /// Outcome of the attempt at the replica.
    pub end: AttemptEnd,
    /// The part, if the replica sent a signed answer. Only valid if `end` is an answered attempt.
    pub part: Option<RelayPart>,
    /// What the replica stated about itself.
    pub notice: ReplicaNotice,
    /// Set if nothing was sent because the receiver no longer stores the head. The caller then
    /// sends the complete head.
    pub head_unknown: bool,
}

/// The portion of an answer that is needed for merging.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayPart {
    /// Value of the replica's signature header.
    pub signature: Bytes,
    /// The greatest records, in descending order.
    pub records: Bytes,
}

/// RPC service through which an entry sends requests to replicas in the region of another entry.
#[tarpc::service]
pub trait RelayLink {
    /// Sends a request to a replica and returns its part.
    async fn relay(relay_request: RelayRequest) -> RelayReply;
}
