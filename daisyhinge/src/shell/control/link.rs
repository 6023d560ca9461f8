//! RPC service between control VMs.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::control::member::VoterId;
use crate::control::message::VoterMessage;
use crate::prelude::*;
use crate::vocabulary::claim::{ClaimReply, ClaimRequest, EndClaimRequest};
use crate::vocabulary::freshness::{FreshnessReply, FreshnessRequest};
use crate::vocabulary::site::{CommittedSiteChange, SiteChange};
use crate::vocabulary::version_one::SiteStateV1;

/// First bytes of a connection between control VMs. A connection from an entry starts with a frame
/// length, whose first byte is 0.
pub const VOTER_PREFACE: [u8; 8] = *b"dhvoter1";

/// Reply of [`VoterLink::hello`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HelloReply {
    /// Identity of the voter that answers.
    pub id: VoterId,
    /// Whether its log is bootstrapped.
    pub initialised: bool,
}

/// Calls that a control VM accepts from other control VMs. Encoded by field order: the calls and
/// their types must not change, and new calls go to the end and are made only once the feature level
/// shows that all members of control know them.
#[tarpc::service]
pub trait VoterLink {
    /// Returns the identity of this voter.
    async fn hello() -> HelloReply;
    /// Delivers log messages from the voter `from`, which accepts connections at `address`.
    async fn deliver(from: VoterId, address: SocketAddr, messages: Vec<VoterMessage>);
    /// Proves freshness to an entry that is connected to the calling VM; only the leader answers.
    async fn relay_fresh(request: FreshnessRequest) -> FreshnessReply;
    /// Claims a request on behalf of an entry that is connected to the calling VM, so that the
    /// entry may dispatch it once; only the leader answers.
    async fn relay_claim(request: ClaimRequest) -> ClaimReply;
    /// Records the outcome of a claimed request on behalf of an entry that is connected to the
    /// calling VM; only the leader answers.
    async fn relay_end_claim(end: EndClaimRequest) -> bool;
    /// Accepts a join request, if this VM leads; otherwise returns the leader's address.
    async fn join(id: VoterId, address: SocketAddr) -> Option<SocketAddr>;
    /// Changes the state of the deployment; only the leader answers.
    async fn relay_site(change: SiteChange) -> Result<CommittedSiteChange, ResultCode>;
    /// Reads the state of the deployment; only the leader answers.
    async fn relay_read_site() -> Result<SiteStateV1, ResultCode>;
    /// Reads the state of the deployment, encoded with field names; only the leader answers. Made
    /// only above [`FeatureLevel::BASE`].
    ///
    /// [`FeatureLevel::BASE`]: crate::vocabulary::feature::FeatureLevel::BASE
    async fn relay_read_state() -> Result<Bytes, ResultCode>;
    /// Like [`Self::relay_site`], for a change that builds of [`FeatureLevel::BASE`] do not know,
    /// encoded with field names. Made only above that level.
    ///
    /// [`FeatureLevel::BASE`]: crate::vocabulary::feature::FeatureLevel::BASE
    async fn relay_change(change: Bytes) -> Result<CommittedSiteChange, ResultCode>;
}
