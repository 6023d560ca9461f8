//! RPC services between the processes of the system.

use crate::vocabulary::announcement::{AnnounceReply, ReplicaAnnouncement, ReplicaDeparture};
use crate::vocabulary::claim::{ClaimReply, ClaimRequest, EndClaimRequest};
use crate::vocabulary::freshness::{FreshnessReply, FreshnessRequest};
use crate::vocabulary::replica::{TableDelta, TableRequest};
use crate::vocabulary::subrequest::{SubReply, SubRequest};

/// Calls that an entry accepts from other entries. A call is cancelled when its caller
/// disconnects.
#[tarpc::service]
pub trait PeerLink {
    /// Runs a sub-request on a replica whose keeper is this entry.
    async fn run(request: SubRequest) -> SubReply;
    /// Receives an announcement of a replica whose keeper is this entry.
    async fn announce(announcement: ReplicaAnnouncement) -> AnnounceReply;
    /// Receives the departure of a replica whose keeper is this entry.
    async fn leave(leave: ReplicaDeparture) -> AnnounceReply;
    /// Returns the changes of the table of replicas whose keeper is this entry.
    async fn table(request: TableRequest) -> TableDelta;
}

/// Calls that a control VM accepts from entries.
#[tarpc::service]
pub trait ControlLink {
    /// Proves freshness and registers the calling entry as a member.
    async fn fresh(request: FreshnessRequest) -> FreshnessReply;
    /// Claims a request that must not be executed twice.
    async fn claim(request: ClaimRequest) -> ClaimReply;
    /// Records the outcome of a claimed request. Returns `true` once it is committed.
    async fn end_claim(end: EndClaimRequest) -> bool;
}
