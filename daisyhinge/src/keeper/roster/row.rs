//! One replica in the roster.

use crate::keeper::ReplicaKeeper;
use crate::keeper::gate::KeeperGate;
use crate::prelude::*;
use crate::vocabulary::announcement::ReplicaAnnouncement;

/// A replica that this entry keeps, or kept and still has work under way for.
#[derive(Clone, Debug)]
pub(super) struct RosterRow {
    /// Its keeper.
    pub(super) keeper: ReplicaKeeper,
    /// Whether this entry keeps it in the view in force.
    pub(super) keeps: bool,
    /// When every former keeper has certainly stopped.
    pub(super) opens: MonotonicTime,
    /// Whether its data centre takes work.
    pub(super) centre_in: bool,
    /// Whether the time line has its beginning.
    pub(super) started: bool,
    /// Requests that the crash under watch was laid to.
    pub(super) blamed: Vec<RequestDigest>,
}

impl RosterRow {
    pub(super) fn new(announcement: ReplicaAnnouncement, now: MonotonicTime) -> Self {
        Self {
            keeper: ReplicaKeeper::new(announcement, now),
            keeps: false,
            opens: now,
            centre_in: false,
            started: false,
            blamed: Vec::new(),
        }
    }

    pub(super) fn gate(&self, lease_ends: MonotonicTime) -> KeeperGate {
        KeeperGate {
            lease_ends,
            opens: self.opens,
            centre_in: self.centre_in,
            is_keeper: self.keeps,
        }
    }
}
