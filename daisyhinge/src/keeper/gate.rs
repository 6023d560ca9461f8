//! Conditions under which a keeper, the entry that owns the connections to a replica, may dispatch
//! to it.

use crate::prelude::*;
use crate::vocabulary::freshness::DISPATCH_GRACE;

/// Dispatch preconditions of the entry and data centre, shared by all replicas of the data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeeperGate {
    /// End of this entry's freshness lease; nothing is dispatched from then on.
    pub lease_ends: MonotonicTime,
    /// Time at which every former keeper's lease has definitely ended.
    pub handover_ends: MonotonicTime,
    /// Whether the replica's data centre is in service.
    pub centre_in_service: bool,
    /// Whether this entry is the replica's keeper in the view in force.
    pub is_keeper: bool,
}

impl KeeperGate {
    /// Returns the reason why nothing may be dispatched at `now`, if any.
    pub fn refusal_reason(&self, now: MonotonicTime) -> Option<ResultCode> {
        if now >= self.lease_ends {
            Some(ResultCode::NoLease)
        } else if !self.is_keeper {
            Some(ResultCode::NotKeeper)
        } else if !self.centre_in_service {
            Some(ResultCode::CentreOut)
        } else if now < self.handover_ends {
            Some(ResultCode::KeeperWaiting)
        } else {
            None
        }
    }

    /// Returns whether work with the expiry `expires` may start.
    ///
    /// The next keeper does not know of work that this keeper started, so the work must end before
    /// the handover does.
    pub fn allows_expiry(&self, expires: MonotonicTime) -> bool {
        expires <= self.lease_ends + DISPATCH_GRACE
    }
}
