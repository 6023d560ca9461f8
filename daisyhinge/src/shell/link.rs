//! The calls that processes of the system make to one another.

use crate::vocabulary::announcement::{AnnounceReply, ReplicaAnnouncement, ReplicaDeparture};
use crate::vocabulary::claim::{ClaimReply, ClaimRequest, EndClaimRequest};
use crate::vocabulary::freshness::{FreshnessReply, FreshnessRequest};
use crate::vocabulary::replica::{TableDelta, TableRequest};
use crate::vocabulary::subrequest::{SubReply, SubRequest};

/// Calls that an entry takes from other entries. A call whose caller goes away is cancelled.
#[tarpc::service]
pub trait PeerLink {
    /// Runs a sub-request on a replica that this entry keeps.
    async fn run(ask: SubRequest) -> SubReply;
    /// Takes an announcement of a replica that this entry keeps.
    async fn announce(announcement: ReplicaAnnouncement) -> AnnounceReply;
    /// Takes the leave of a replica that this entry keeps.
    async fn leave(leave: ReplicaDeparture) -> AnnounceReply;
    /// Tells what changed in this entry's table of kept replicas.
    async fn table(ask: TableRequest) -> TableDelta;
}

/// Calls that a control VM takes from entries.
#[tarpc::service]
pub trait ControlLink {
    /// Proves freshness and lists the asker as a member.
    async fn fresh(ask: FreshnessRequest) -> FreshnessReply;
    /// Claims a request that may not be repeated.
    async fn claim(ask: ClaimRequest) -> ClaimReply;
    /// Records how a claimed request ended. `true` once it is committed.
    async fn end_claim(end: EndClaimRequest) -> bool;
}
