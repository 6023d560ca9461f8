//! Handles announcements and departures of replicas and forwards those of replicas with another
//! keeper.

use std::sync::Arc;

use crate::keeper::ANNOUNCEMENT_INTERVAL;
use crate::keeper::keeper_set::KeeperSetEvent;
use crate::prelude::*;
use crate::rendezvous::find_keeper;
use crate::shell::entry::keeper::step_keepers;
use crate::shell::entry::keeper_table::KeeperTable;
use crate::shell::entry::state::EntryState;
use crate::shell::pool::ServerPool;
use crate::vocabulary::announcement::{AnnounceReply, ReplicaAnnouncement, ReplicaDeparture};
use crate::vocabulary::clock::duration_to_millis;

/// Handles an announcement from a backend server or another entry. If another entry is the keeper,
/// which owns the connections to the replica, the announcement is forwarded to it when `forward` is
/// set.
pub async fn handle_announcement(
    state: &Arc<EntryState>,
    announcement: ReplicaAnnouncement,
    forward: bool,
) -> AnnounceReply {
    let view = state.view();
    let environment = &state.settings.environment;
    let keeper_entry = find_keeper(
        &view,
        environment,
        &announcement.data_centre,
        &announcement.replica,
    )
    .cloned();
    let Some(record) = keeper_entry else {
        return build_reply(state, ResultCode::NoLease, None);
    };
    if record.vm == state.settings.vm {
        let code = accept_announcement(state, announcement);
        return build_reply(state, code, Some(record.vm));
    }
    if !forward {
        return build_reply(state, ResultCode::NotKeeper, Some(record.vm));
    }
    let reply = state
        .peers
        .announce(record.peer_address, announcement)
        .await;
    reply.unwrap_or_else(|| build_reply(state, ResultCode::KeeperUnreachable, Some(record.vm)))
}

/// Handles the departure of a replica. If this entry does not own the replica and `forward` is set,
/// the other entries are tried in turn until one that owns it replies.
pub async fn handle_departure(
    state: &Arc<EntryState>,
    departure: ReplicaDeparture,
    forward: bool,
) -> AnnounceReply {
    if state
        .keepers
        .lock()
        .keeper_set()
        .announcement(&departure.replica)
        .is_some()
    {
        let code =
            step_keepers(state, KeeperSetEvent::Left(departure)).unwrap_or(ResultCode::NotKeeper);
        return build_reply(state, code, Some(state.settings.vm.clone()));
    }
    if forward {
        // A departure contains no data centre from which to derive the keeper, so every entry is
        // tried. Departures are rare.
        for entry in &state.view().entries {
            let reply = if entry.vm == state.settings.vm {
                None
            } else {
                state
                    .peers
                    .leave(entry.peer_address, departure.clone())
                    .await
            };
            if let Some(reply) = reply.filter(|reply| reply.code != ResultCode::NotKeeper) {
                return reply;
            }
        }
    }
    build_reply(state, ResultCode::NotKeeper, None)
}

fn build_reply(state: &EntryState, code: ResultCode, keeper: Option<VmName>) -> AnnounceReply {
    state.metrics.record_announcement(code);
    let mut entries = vec![state.settings.caller_address];
    entries.extend(state.other_addresses());
    AnnounceReply {
        code,
        keeper,
        repeat_ms: duration_to_millis(ANNOUNCEMENT_INTERVAL),
        entries,
    }
}

fn accept_announcement(state: &Arc<EntryState>, announcement: ReplicaAnnouncement) -> ResultCode {
    let replica = announcement.replica.clone();
    let event = KeeperSetEvent::Announced(announcement);
    let code = step_keepers(state, event).unwrap_or(ResultCode::NotKeeper);
    if code == ResultCode::Ok {
        state.keepers.lock().refresh_pool(&replica);
    }
    code
}

impl KeeperTable {
    /// Replaces the pool of a replica if its backend server restarted or its address or connection
    /// limit changed.
    fn refresh_pool(&mut self, replica: &ReplicaName) {
        let Some(announcement) = self.keeper_set.announcement(replica) else {
            return;
        };
        let (address, connections) = (announcement.address, announcement.connections);
        let incarnation = announcement.incarnation;
        let current = self.pools.get(replica);
        if !current.is_some_and(|pool| pool.matches(address, incarnation, connections)) {
            let pool = ServerPool::new(address, incarnation, connections);
            self.pools.insert(replica.clone(), pool);
        }
    }
}
