//! Inputs of the task that owns the core.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::ControlError;
use crate::control::core::{CoreReply, CoreRequest};
use crate::control::member::{VoterId, VoterSet};
use crate::control::message::VoterMessage;
use crate::vocabulary::control::ControlStatus;

#[derive(Debug)]
pub(super) enum DriverInput {
    /// A request to the control core, with the channel for its reply.
    Request {
        request: CoreRequest,
        reply: oneshot::Sender<CoreReply>,
    },
    /// A request for the status of this control process.
    Status(oneshot::Sender<ControlStatus>),
    /// A request for the leader's address; `None` if this VM leads or no leader is known.
    Leader(oneshot::Sender<Option<SocketAddr>>),
    /// Log messages from another control VM, and the address at which it accepts connections.
    Delivered {
        from: VoterId,
        address: SocketAddr,
        messages: Vec<VoterMessage>,
    },
    /// A member VM reported a new identity, because it lost its disk.
    IdentityChanged { id: VoterId, address: SocketAddr },
    /// A control VM requested membership.
    JoinRequest { id: VoterId, address: SocketAddr },
    /// Bootstrap the log with these members. Sent once all of them have reported an empty log.
    Bootstrap(VoterSet),
    /// All saves up to this sequence number are synced.
    Saved(u64),
    /// Writing to the data folder failed.
    DiskFailed(ControlError),
    /// Stop the task that owns the core.
    Stop,
}
