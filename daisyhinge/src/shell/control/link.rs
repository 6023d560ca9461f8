//! The calls that control VMs make to one another.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::control::member::VoterId;
use crate::control::message::VoterMessage;
use crate::prelude::*;
use crate::vocabulary::claim::{ClaimReply, ClaimRequest, EndClaimRequest};
use crate::vocabulary::freshness::{FreshnessReply, FreshnessRequest};
use crate::vocabulary::site::{CommittedSiteChange, SiteChange, SiteState};

/// First bytes of a connection between control VMs. Connections of entries begin with a frame's
/// length, whose first byte is 0.
pub const VOTER_PREFACE: [u8; 8] = *b"dhvoter1";

/// Who answers at an address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HelloReply {
    /// Its identity.
    pub id: VoterId,
    /// Whether it holds any state of the log.
    pub initialised: bool,
}

/// Calls that a control VM takes from other control VMs.
#[tarpc::service]
pub trait VoterLink {
    /// Says who answers.
    async fn hello() -> HelloReply;
    /// Takes messages of the log, sent by `from`, which is reached at `address`.
    async fn deliver(from: VoterId, address: SocketAddr, messages: Vec<VoterMessage>);
    /// Proves freshness to an entry that asked another control VM; the leader alone answers.
    async fn relay_fresh(ask: FreshnessRequest) -> FreshnessReply;
    /// Claims for an entry that asked another control VM; the leader alone answers.
    async fn relay_claim(ask: ClaimRequest) -> ClaimReply;
    /// Ends a claim for an entry that told another control VM; the leader alone answers.
    async fn relay_end_claim(end: EndClaimRequest) -> bool;
    /// Takes a control VM in, if this one leads; otherwise says where the leader is.
    async fn join(id: VoterId, address: SocketAddr) -> Option<SocketAddr>;
    /// Changes the deployment; the leader alone does.
    async fn relay_site(change: SiteChange) -> Result<CommittedSiteChange, ResultCode>;
    /// Reads the deployment's state; the leader alone answers.
    async fn relay_read_site() -> Result<SiteState, ResultCode>;
}
