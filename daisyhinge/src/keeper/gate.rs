//! What must hold before a keeper dispatches anything.

use crate::prelude::*;
use crate::vocabulary::freshness::RUN_TAIL;

/// Conditions of the entry and data centre, the same for all replicas of one data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeeperGate {
    /// When the freshness lease ends.
    pub lease_ends: MonotonicTime,
    /// When the former keeper's lease has certainly ended.
    pub opens: MonotonicTime,
    /// Whether the replica's data centre takes work.
    pub centre_in: bool,
    /// Whether this entry keeps the replica in the view in force.
    pub is_keeper: bool,
}

impl KeeperGate {
    /// Why nothing may be dispatched at `now`, if so.
    pub fn refuse_reason(&self, now: MonotonicTime) -> Option<ResultCode> {
        if now >= self.lease_ends {
            Some(ResultCode::NoLease)
        } else if !self.is_keeper {
            Some(ResultCode::NotKeeper)
        } else if !self.centre_in {
            Some(ResultCode::CentreOut)
        } else if now < self.opens {
            Some(ResultCode::KeeperWaiting)
        } else {
            None
        }
    }

    /// Whether work that expires at `expires` may begin, with a view to a next keeper, who does not
    /// know of it and begins when all of it has certainly ended.
    pub fn covers(&self, expires: MonotonicTime) -> bool {
        expires <= self.lease_ends + RUN_TAIL
    }
}
