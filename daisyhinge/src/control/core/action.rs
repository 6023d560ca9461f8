//! What a control VM is told and asked, and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::control::book::{ChangeReply, EnvironmentReading};
use crate::control::log::LogSnapshot;
use crate::control::member::{VoterId, VoterSet};
use crate::control::message::VoterMessage;
use crate::control::voter::SaveBatch;
use crate::prelude::*;
use crate::vocabulary::change::{ChangeAsk, ChangeRecord, ChangeRefusal};
use crate::vocabulary::claim::{ClaimAsk, ClaimEnd, ClaimReply};
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::freshness::{FreshAsk, FreshReply};
use crate::vocabulary::site::{SiteChange, SiteDone, SiteState};
use crate::vocabulary::view::ControlView;

/// What a control VM is asked.
#[derive(Clone, Debug)]
pub enum CoreAsk {
    /// A proof of freshness.
    Fresh(FreshAsk),
    /// A claim.
    Claim(ClaimAsk),
    /// The end of a claim.
    EndClaim(ClaimEnd),
    /// A change; where it adds a control VM, with the identity that the VM gave.
    Change(ChangeAsk, Option<VoterId>),
    /// The newest view.
    View,
    /// An environment.
    Environment(EnvironmentName),
    /// The history of an environment.
    History(EnvironmentName),
    /// A change of the deployment.
    Site(SiteChange),
    /// The deployment's state.
    ReadSite,
}

/// The reply to a [`CoreAsk`].
#[derive(Clone, Debug)]
pub enum CoreReply {
    /// Of [`CoreAsk::Fresh`].
    Fresh(FreshReply),
    /// Of [`CoreAsk::Claim`].
    Claim(ClaimReply),
    /// Of [`CoreAsk::EndClaim`].
    EndClaim(bool),
    /// Of [`CoreAsk::Change`].
    Change(ChangeReply),
    /// Of [`CoreAsk::View`].
    View(Result<Arc<ControlView>, ChangeRefusal>),
    /// Of [`CoreAsk::Environment`].
    Environment(Result<EnvironmentReading, ChangeRefusal>),
    /// Of [`CoreAsk::History`].
    History(Result<Vec<ChangeRecord>, ChangeRefusal>),
    /// Of [`CoreAsk::Site`].
    Site(Result<SiteDone, ResultCode>),
    /// Of [`CoreAsk::ReadSite`].
    ReadSite(Result<Arc<SiteState>, ResultCode>),
}

/// What a control VM is told.
#[derive(Clone, Debug)]
pub enum CoreEvent {
    /// Time passed.
    Tick,
    /// A message of another control VM came in.
    Received(VoterMessage),
    /// That save, and all before it, is synced.
    Saved(u64),
    /// Somebody asks; the ticket names the ask in the reply.
    Asked {
        /// Names the ask; not 0.
        ticket: u64,
        /// The ask.
        ask: CoreAsk,
    },
    /// Whoever asked gave up.
    GaveUp {
        /// The ask.
        ticket: u64,
    },
    /// A control VM of a known name showed another identity: its disk was lost.
    IdentityChanged {
        /// The new identity.
        id: VoterId,
        /// Where it is.
        address: SocketAddr,
    },
    /// A control VM asks to take part.
    JoinAsked {
        /// Its identity.
        id: VoterId,
        /// Where it is.
        address: SocketAddr,
    },
    /// The first members, which all showed that they hold nothing; this VM founds the log.
    Found(VoterSet),
    /// All that is known for now was told.
    Flush,
}

/// What a control VM wants done, in order.
#[derive(Clone, Debug)]
pub enum CoreAction {
    /// Send a message.
    Send(VoterMessage),
    /// Store and sync, then tell [`CoreEvent::Saved`].
    Save(SaveBatch),
    /// Store and sync a snapshot, then tell [`CoreEvent::Saved`].
    SaveSnapshot {
        /// Sequence of the save.
        sequence: u64,
        /// The snapshot.
        snapshot: LogSnapshot,
        /// Whether stored entries are void.
        reset: bool,
    },
    /// Answer an ask.
    Reply {
        /// The ask.
        ticket: u64,
        /// The reply.
        reply: CoreReply,
    },
    /// Something for the time line.
    Note(EventDraft),
}
