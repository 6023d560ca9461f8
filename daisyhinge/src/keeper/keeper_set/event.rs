//! Input events of the set of replicas that one entry owns, and the actions that it requests.

use std::sync::Arc;

use crate::keeper::event::{KeeperAction, KeeperEvent};
use crate::keeper::sub_request::SubRequestInfo;
use crate::lease::FreshnessLease;
use crate::prelude::*;
use crate::vocabulary::announcement::{ReplicaAnnouncement, ReplicaDeparture};
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::replica::CrashRecord;
use crate::vocabulary::view::ControlView;

/// Input of [`super::KeeperSet`].
#[derive(Clone, Debug)]
pub enum KeeperSetEvent {
    /// A view arrived with a proof of freshness. Precedes its [`KeeperSetEvent::Lease`].
    View(Arc<ControlView>),
    /// The freshness lease was renewed. Ignored if it is not for the view in force.
    Lease(FreshnessLease),
    /// An announcement of a replica arrived. Results in one [`KeeperSetAction::Announced`].
    Announced(ReplicaAnnouncement),
    /// A replica leaves. Results in one [`KeeperSetAction::Announced`].
    Left(ReplicaDeparture),
    /// A root entry, which coordinates a caller's request, requests the dispatch of a sub-request;
    /// see [`KeeperEvent::Requested`].
    Requested {
        /// Replica to dispatch to.
        replica: ReplicaName,
        /// Sub-request to admit.
        info: SubRequestInfo,
    },
    /// Any other event of one replica.
    Replica {
        /// Replica that the event concerns.
        replica: ReplicaName,
        /// Event of the replica; not an announcement, a departure or a dispatch request.
        event: KeeperEvent,
    },
    /// Crash records of another keeper arrived.
    Crashes {
        /// VM of the keeper that counted the crashes.
        keeper: VmName,
        /// Identity of its table; see [`crate::vocabulary::replica::TableDelta`].
        table: u64,
        /// Complete list of its crash records.
        records: Vec<CrashRecord>,
    },
    /// Time passed. Required at [`super::KeeperSet::next_wake`].
    Tick,
}

/// Output of [`super::KeeperSet`].
#[derive(Clone, Debug)]
pub enum KeeperSetAction {
    /// Action for one replica; never [`KeeperAction::Publish`].
    Replica {
        /// Replica that the action concerns.
        replica: ReplicaName,
        /// Action to carry out on its connections or towards the root entry.
        action: KeeperAction,
    },
    /// Reply to an announcement or a departure.
    Announced {
        /// Replica that sent the announcement or departure.
        replica: ReplicaName,
        /// `Ok` or an error code; [`ResultCode::NotKeeper`] if the replica belongs to another
        /// entry.
        code: ResultCode,
        /// VM of the replica's keeper, if known.
        keeper: Option<VmName>,
    },
    /// Record an event on the timeline.
    RecordEvent(EventDraft),
}
