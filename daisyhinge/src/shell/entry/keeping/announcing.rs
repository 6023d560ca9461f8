//! Takes announcements and leaves, and forwards those of replicas that others keep.

use std::sync::Arc;

use crate::keeper::ANNOUNCEMENT_INTERVAL;
use crate::keeper::keeper_set::KeeperSetEvent;
use crate::prelude::*;
use crate::rendezvous::find_keeper;
use crate::shell::entry::keeping::step_roster;
use crate::shell::entry::keeping_table::KeepingTable;
use crate::shell::entry::state::EntryState;
use crate::shell::pool::ServerPool;
use crate::vocabulary::announcement::{AnnounceReply, ReplicaAnnouncement, ReplicaDeparture};
use crate::vocabulary::clock::duration_to_millis;

/// Takes an announcement from a backend server or another entry, and forwards it if this entry
/// is not the keeper.
pub async fn take_announcement(
    state: &Arc<EntryState>,
    announcement: ReplicaAnnouncement,
    forward: bool,
) -> AnnounceReply {
    let view = state.view();
    let environment = &state.settings.environment;
    let found = find_keeper(
        &view,
        environment,
        &announcement.data_centre,
        &announcement.replica,
    )
    .cloned();
    let Some(record) = found else {
        return build_reply(state, ResultCode::NoLease, None);
    };
    if record.vm == state.settings.vm {
        let code = keep_replica(state, announcement);
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

/// Takes a leave and forwards it if this entry is not the keeper.
pub async fn take_leave(
    state: &Arc<EntryState>,
    leave: ReplicaDeparture,
    forward: bool,
) -> AnnounceReply {
    if state
        .keeping
        .lock()
        .keeper_set()
        .announcement(&leave.replica)
        .is_some()
    {
        let code = step_roster(state, KeeperSetEvent::Left(leave)).unwrap_or(ResultCode::NotKeeper);
        return build_reply(state, code, Some(state.settings.vm.clone()));
    }
    if forward {
        // The leave names no data centre, so each entry is asked; it is rare.
        for entry in &state.view().entries {
            let reply = if entry.vm == state.settings.vm {
                None
            } else {
                state.peers.leave(entry.peer_address, leave.clone()).await
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

fn keep_replica(state: &Arc<EntryState>, announcement: ReplicaAnnouncement) -> ResultCode {
    let replica = announcement.replica.clone();
    let event = KeeperSetEvent::Announced(announcement);
    let code = step_roster(state, event).unwrap_or(ResultCode::NotKeeper);
    if code == ResultCode::Ok {
        state.keeping.lock().refresh_pool(&replica);
    }
    code
}

impl KeepingTable {
    /// Opens a pool for a replica, anew when its backend server started anew or moved.
    fn refresh_pool(&mut self, replica: &ReplicaName) {
        let Some(announcement) = self.keeper_set.announcement(replica) else {
            return;
        };
        let (address, connections) = (announcement.address, announcement.connections);
        let incarnation = announcement.incarnation;
        let current = self.pools.get(replica);
        if !current.is_some_and(|pool| pool.serves(address, incarnation, connections)) {
            let pool = ServerPool::new(address, incarnation, connections);
            self.pools.insert(replica.clone(), pool);
        }
    }
}
