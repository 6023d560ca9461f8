//! Input events of the state machine that dispatches to one replica, and the actions that it
//! requests.

use crate::keeper::sub_request::{DispatchOutcome, SubRequestInfo};
use crate::prelude::*;
use crate::vocabulary::announcement::ReplicaAnnouncement;
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::subrequest::SubRefusal;

/// Input of [`super::ReplicaKeeper`].
#[derive(Clone, Debug)]
pub enum KeeperEvent {
    /// An announcement of the replica arrived.
    Announced(ReplicaAnnouncement),
    /// The given incarnation of the replica announced that it leaves.
    Left(IncarnationNumber),
    /// A root entry, which coordinates a caller's request, requests the dispatch of a sub-request.
    /// Results in exactly one [`KeeperAction::Send`] or [`KeeperAction::Refuse`] for the attempt,
    /// in this step or a later one.
    Requested(SubRequestInfo),
    /// A dispatch of a request suspected of a crash, which runs in isolation.
    RequestedIsolated(SubRequestInfo),
    /// The last byte of a sub-request was handed to the connection.
    Written(AttemptId),
    /// A dispatch started by [`KeeperAction::Send`] ended. Occurs once for each `Send`, after a
    /// drop too. A connection that the shell closed on its own initiative ends as
    /// [`DispatchOutcome::Expired`].
    Ended {
        /// Attempt given in [`KeeperAction::Send`].
        attempt: AttemptId,
        /// Outcome, which determines whether the slot is freed at once.
        end: DispatchOutcome,
    },
    /// The root entry no longer needs the answer.
    Dropped(AttemptId),
    /// The backend server replied to a cancel, or the cancel failed. The shell has closed the
    /// connection of the dispatch by then.
    CancelEnded {
        /// Attempt given in [`KeeperAction::SendCancel`].
        attempt: AttemptId,
        /// Whether the work has definitely stopped.
        stopped: bool,
    },
    /// Time passed. Required at [`super::ReplicaKeeper::next_wake`].
    Tick,
}

/// Output of [`super::ReplicaKeeper`].
#[derive(Clone, Debug)]
pub enum KeeperAction {
    /// Send the sub-request to the backend server, once, after a final check of the lease.
    Send(AttemptId),
    /// Inform the root entry that there will be no answer; nothing was sent.
    Refuse {
        /// Attempt given in the dispatch request.
        attempt: AttemptId,
        /// Refusal to send to the root entry, with the reason and the current load.
        refusal: SubRefusal,
    },
    /// Send a cancel to the backend server.
    SendCancel(AttemptId),
    /// Publish the record of the replica, since the copy at other entries is out of date.
    Publish,
    /// Record an event on the timeline.
    RecordEvent(EventDraft),
}
