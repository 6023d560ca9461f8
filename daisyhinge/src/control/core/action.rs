//! Requests, replies, events and actions of a control process.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::control::log::LogSnapshot;
use crate::control::member::{VoterId, VoterSet};
use crate::control::message::VoterMessage;
use crate::control::state_machine::{ChangeReply, EnvironmentReading};
use crate::control::voter::SaveBatch;
use crate::prelude::*;
use crate::vocabulary::change::{ChangeRecord, ChangeRefusal, ChangeRequest};
use crate::vocabulary::claim::{ClaimReply, ClaimRequest, EndClaimRequest};
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::freshness::{FreshnessReply, FreshnessRequest};
use crate::vocabulary::site::{CommittedSiteChange, SiteChange, SiteState};
use crate::vocabulary::view::ControlView;

/// A request to a control process.
#[derive(Clone, Debug)]
pub enum CoreRequest {
    /// Requests a freshness proof.
    Fresh(FreshnessRequest),
    /// Claims a request that must not be executed twice.
    Claim(ClaimRequest),
    /// Records the outcome of a claimed request.
    EndClaim(EndClaimRequest),
    /// Applies an operator's change. If it adds a control VM, carries the identity that the VM
    /// reported.
    Change(ChangeRequest, Option<VoterId>),
    /// Reads the latest view of configuration and membership.
    View,
    /// Reads the current document of an environment.
    Environment(EnvironmentName),
    /// Reads the accepted changes of an environment.
    History(EnvironmentName),
    /// Applies an operator's change of the site.
    Site(SiteChange),
    /// Reads the state of the site.
    ReadSite,
}

/// The reply to a [`CoreRequest`].
#[derive(Clone, Debug)]
pub enum CoreReply {
    /// Reply to [`CoreRequest::Fresh`].
    Fresh(FreshnessReply),
    /// Reply to [`CoreRequest::Claim`].
    Claim(ClaimReply),
    /// Reply to [`CoreRequest::EndClaim`]: whether the end was recorded.
    EndClaim(bool),
    /// Reply to [`CoreRequest::Change`].
    Change(ChangeReply),
    /// Reply to [`CoreRequest::View`].
    View(Result<Arc<ControlView>, ChangeRefusal>),
    /// Reply to [`CoreRequest::Environment`].
    Environment(Result<EnvironmentReading, ChangeRefusal>),
    /// Reply to [`CoreRequest::History`].
    History(Result<Vec<ChangeRecord>, ChangeRefusal>),
    /// Reply to [`CoreRequest::Site`].
    Site(Result<CommittedSiteChange, ResultCode>),
    /// Reply to [`CoreRequest::ReadSite`].
    ReadSite(Result<Arc<SiteState>, ResultCode>),
}

/// Input event of a control process.
#[derive(Clone, Debug)]
pub enum CoreEvent {
    /// Time passed; expected every few tens of milliseconds.
    Tick,
    /// A message from another control VM arrived.
    Received(VoterMessage),
    /// The save with this sequence number and all earlier ones are synced.
    Saved(u64),
    /// A request from an entry, an operator or another control VM arrived.
    Request {
        /// Id of the request, repeated in the reply; not 0.
        req_id: u64,
        /// Operation requested from the state machine or the log.
        request: CoreRequest,
    },
    /// The sender of a request no longer waits for the reply, which is then dropped.
    Abandoned {
        /// Id of the request.
        req_id: u64,
    },
    /// A known control VM reported a new identity, because it lost its disk.
    IdentityChanged {
        /// New identity of the VM, whose name is unchanged.
        id: VoterId,
        /// Address at which other control VMs connect to it.
        address: SocketAddr,
    },
    /// A control VM requested membership.
    JoinRequest {
        /// Identity reported by the VM.
        id: VoterId,
        /// Address at which other control VMs connect to it.
        address: SocketAddr,
    },
    /// Bootstraps the log on this VM with the first members, all of which reported that they store
    /// no log.
    Bootstrap(VoterSet),
    /// All pending events were delivered: save and send accumulated work.
    Flush,
}

/// Action requested by a control process; actions are performed in order.
#[derive(Clone, Debug)]
pub enum CoreAction {
    /// Sends a message to another control VM.
    Send(VoterMessage),
    /// Writes and syncs a batch, then reports [`CoreEvent::Saved`].
    Save(SaveBatch),
    /// Writes and syncs a snapshot, then reports [`CoreEvent::Saved`].
    SaveSnapshot {
        /// Sequence number of the save.
        sequence: u64,
        /// Snapshot to store.
        snapshot: LogSnapshot,
        /// Whether the snapshot discards all stored entries.
        reset: bool,
    },
    /// Sends the reply to a request.
    Reply {
        /// Id of the request.
        req_id: u64,
        /// Reply to the request.
        reply: CoreReply,
    },
    /// Records an event in the timeline.
    RecordEvent(EventDraft),
}
