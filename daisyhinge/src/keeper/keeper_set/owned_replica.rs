//! State of one replica in the set.

use crate::keeper::ReplicaKeeper;
use crate::keeper::gate::KeeperGate;
use crate::prelude::*;
use crate::vocabulary::announcement::ReplicaAnnouncement;

/// A replica that this entry owns, or owned and still has work in progress for.
#[derive(Clone, Debug)]
pub(super) struct OwnedReplica {
    pub(super) keeper: ReplicaKeeper,
    /// Whether this entry is the replica's keeper in the view in force.
    pub(super) is_keeper: bool,
    /// Time at which every former keeper has definitely stopped.
    pub(super) handover_ends: MonotonicTime,
    pub(super) centre_in_service: bool,
    /// Whether the start of ownership is on the timeline.
    pub(super) start_recorded: bool,
    /// Requests to which the pending crash was attributed.
    pub(super) attributed: Vec<RequestDigest>,
}

impl OwnedReplica {
    pub(super) fn new(announcement: ReplicaAnnouncement, now: MonotonicTime) -> Self {
        Self {
            keeper: ReplicaKeeper::new(announcement, now),
            is_keeper: false,
            handover_ends: now,
            centre_in_service: false,
            start_recorded: false,
            attributed: Vec::new(),
        }
    }

    pub(super) fn gate(&self, lease_ends: MonotonicTime) -> KeeperGate {
        KeeperGate {
            lease_ends,
            handover_ends: self.handover_ends,
            centre_in_service: self.centre_in_service,
            is_keeper: self.is_keeper,
        }
    }
}
