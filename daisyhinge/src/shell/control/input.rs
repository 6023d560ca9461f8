//! What the task that owns the core is told.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::ControlFault;
use crate::control::core::{CoreReply, CoreRequest};
use crate::control::member::{VoterId, VoterSet};
use crate::control::message::VoterMessage;
use crate::vocabulary::control::ControlStatus;

/// What the task is told.
#[derive(Debug)]
pub(super) enum DriverInput {
    /// Somebody asks.
    Ask {
        ask: CoreRequest,
        reply: oneshot::Sender<CoreReply>,
    },
    /// Somebody asks for the state.
    Status(oneshot::Sender<ControlStatus>),
    /// Somebody asks where the leader is; none if this VM leads.
    Leader(oneshot::Sender<Option<SocketAddr>>),
    /// Messages came in from a VM that is reached at that address.
    Delivered {
        from: VoterId,
        address: SocketAddr,
        messages: Vec<VoterMessage>,
    },
    /// A VM of a known name showed another identity.
    IdentityChanged { id: VoterId, address: SocketAddr },
    /// A VM asks to take part.
    JoinRequest { id: VoterId, address: SocketAddr },
    /// Found the log.
    Bootstrap(VoterSet),
    /// Up to that save all is synced.
    Saved(u64),
    /// The data folder can't be written.
    DiskFailed(ControlFault),
    /// Stop.
    Stop,
}
