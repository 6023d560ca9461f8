//! What happens to all that an entry keeps, and what it wants done.

use std::sync::Arc;

use crate::keeper::event::{KeeperAction, KeeperEvent};
use crate::keeper::ticket::SubTicket;
use crate::lease::FreshnessLease;
use crate::prelude::*;
use crate::vocabulary::announcement::{ReplicaAnnouncement, ReplicaLeave};
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::replica::CrashRecord;
use crate::vocabulary::view::ControlView;

/// What happens to all that an entry keeps.
#[derive(Clone, Debug)]
pub enum RosterEvent {
    /// A view came with a proof of freshness. Comes before the [`RosterEvent::Lease`] of it.
    View(Arc<ControlView>),
    /// The freshness lease was renewed. Ignored if it is for another view than that in force.
    Lease(FreshnessLease),
    /// A replica announced itself; brings one [`RosterAction::Announced`].
    Announced(ReplicaAnnouncement),
    /// A replica leaves; brings one [`RosterAction::Announced`].
    Left(ReplicaLeave),
    /// A root entry asks for a dispatch; see [`KeeperEvent::Asked`].
    Asked {
        /// The replica.
        replica: ReplicaName,
        /// The sub-request.
        ticket: SubTicket,
    },
    /// Anything else that happens to one replica.
    Replica {
        /// The replica.
        replica: ReplicaName,
        /// What happened; not an announcement, a leave or an ask.
        event: KeeperEvent,
    },
    /// Another keeper told its crash records.
    Crashes {
        /// That keeper.
        keeper: VmName,
        /// Its table, as [`crate::vocabulary::replica::TableDelta`] names it.
        table: u64,
        /// All that it has.
        records: Vec<CrashRecord>,
    },
    /// Time passed. Due at [`super::KeeperRoster::next_wake`].
    Tick,
}

/// What an entry has to do for the replicas that it keeps.
#[derive(Clone, Debug)]
pub enum RosterAction {
    /// Something for one replica; never [`KeeperAction::Publish`].
    Replica {
        /// The replica.
        replica: ReplicaName,
        /// What is to be done.
        action: KeeperAction,
    },
    /// Reply to an announcement or a leave.
    Announced {
        /// The replica.
        replica: ReplicaName,
        /// `Ok` or the fault; [`ResultCode::NotKeeper`] if it belongs to another entry.
        code: ResultCode,
        /// VM that keeps the replica, if known.
        keeper: Option<VmName>,
    },
    /// An event for the time line.
    Note(EventDraft),
}
