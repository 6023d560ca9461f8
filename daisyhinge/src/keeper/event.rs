//! What happens to a keeper of one replica, and what it wants done.

use crate::keeper::ticket::{RunEnd, SubTicket};
use crate::prelude::*;
use crate::vocabulary::announcement::ReplicaAnnouncement;
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::subrequest::SubRefusal;

/// What happens to a keeper.
#[derive(Clone, Debug)]
pub enum KeeperEvent {
    /// The replica announced itself.
    Announced(ReplicaAnnouncement),
    /// The replica said that it leaves.
    Left(IncarnationNumber),
    /// A root entry asks for a dispatch. Brings exactly one [`KeeperAction::Send`] or
    /// [`KeeperAction::Refuse`] for the attempt, now or at a later step.
    Asked(SubTicket),
    /// The same for a request that is suspected of a crash: nothing runs beside it.
    AskedAlone(SubTicket),
    /// The last byte of a sub-request was handed to the connection.
    Written(AttemptId),
    /// A dispatch that [`KeeperAction::Send`] began has ended. Comes once for each `Send`, after
    /// a drop too; a connection that the shell closed by itself ends as [`RunEnd::Expired`].
    Ended {
        /// The dispatch.
        attempt: AttemptId,
        /// How it ended.
        end: RunEnd,
    },
    /// The root entry no longer wants the answer.
    Dropped(AttemptId),
    /// The backend server replied to a cancel, or the cancel failed. By then the shell has closed
    /// the connection of the dispatch.
    CancelEnded {
        /// The dispatch.
        attempt: AttemptId,
        /// Whether the work has certainly stopped.
        stopped: bool,
    },
    /// Time passed.
    Tick,
}

/// What a keeper wants done.
#[derive(Clone, Debug)]
pub enum KeeperAction {
    /// Send the sub-request to the backend server, once, after a last look at the lease.
    Send(AttemptId),
    /// Tell the root entry that there will be no answer; nothing was sent.
    Refuse {
        /// The dispatch.
        attempt: AttemptId,
        /// Why.
        refusal: SubRefusal,
    },
    /// Ask the backend server to stop the work.
    SendCancel(AttemptId),
    /// The record that other entries hold is out of date.
    Publish,
    /// An event for the time line.
    Note(EventDraft),
}
