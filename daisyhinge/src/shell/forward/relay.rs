//! Sends requests to replicas through other entries.
//!
//! A sub-request that crosses regions on a connection of its own costs its head twice, several
//! packets and usually a connection that is seldom used. Entries of different regions therefore
//! keep one link to each other. A sub-request crosses the link as one message, the other entry
//! sends it over a pooled connection to a replica in its region, and the part is returned without
//! the data that merging does not need. Without a link, or if a link hangs, the replica is called
//! directly.
//!
//! An entry that cannot connect to replicas itself sends all requests this way, whole ones included,
//! and also to replicas in its own region.

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
use crate::vocabulary::site::RouteKind;

/// Maximum size of a body in a request on a link, in bytes.
pub(super) const REQUEST_MAX_BYTES: usize = 1 << 20;
/// Maximum size of a body in an answer on a link, in bytes; messages are limited to 8 MiB.
pub(super) const ANSWER_MAX_BYTES: usize = 4 << 20;

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
    /// Maximum number of records of a part, of which the greatest are returned. Unset if the answer
    /// is returned whole.
    pub top_records: Option<u32>,
    /// Whether the request may run more than once.
    pub kind: RouteKind,
    /// Body of the request.
    pub body: Bytes,
    /// Method, target and headers of the request, or a reference to them.
    pub head: HeadRef,
}

/// Reply of the entry that called the replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayReply {
    /// Outcome of the attempt at the replica.
    pub end: AttemptEnd,
    /// The replica's answer, if it sent one that can be used.
    pub answer: Option<RelayAnswer>,
    /// What the replica stated about itself.
    pub notice: ReplicaNotice,
    /// Set if nothing was sent because the receiver no longer stores the head. The caller then
    /// sends the complete head.
    pub head_unknown: bool,
    /// Set if nothing was sent because the receiver cannot connect to the replica itself, or stops
    /// before the request could end.
    pub cut_off: bool,
}

/// An answer of a replica on a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RelayAnswer {
    /// What merging needs of a part.
    Part(RelayPart),
    /// The whole answer.
    Whole {
        /// HTTP status.
        status: u16,
        /// Headers as encoded by [`head::write_headers`].
        headers: Bytes,
        /// Complete body.
        body: Bytes,
    },
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
