//! Drives the replicas that this entry keeps.

pub mod announcing;
pub mod running;
pub mod sending;

use std::sync::Arc;
use std::time::Duration;

use crate::keeper::event::KeeperEvent;
use crate::keeper::keeper_set::KeeperSetEvent;
use crate::prelude::*;
use crate::shell::entry::keeping::sending::{spawn_cancel, spawn_send};
use crate::shell::entry::state::EntryState;
use crate::vocabulary::replica::{TableDelta, TableRequest};

/// Longest time between two ticks.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Shortest time between two ticks.
const TICK_GAP: Duration = Duration::from_millis(1);

/// Steps the roster and does what it wants done. Returns the outcome of an announcement.
pub(super) fn step_roster(state: &Arc<EntryState>, event: KeeperSetEvent) -> Option<ResultCode> {
    let note = |draft| state.note(draft);
    let mut keeping = state.keeping.lock();
    let outcome = keeping.step(state.now(), event, &note);
    drop(keeping);
    for target in outcome.sends {
        spawn_send(state, target);
    }
    for target in outcome.cancels {
        spawn_cancel(state, target);
    }
    outcome.announced
}

fn step_replica(state: &Arc<EntryState>, replica: &ReplicaName, event: KeeperEvent) {
    step_roster(
        state,
        KeeperSetEvent::Replica {
            replica: replica.clone(),
            event,
        },
    );
}

/// What changed in this entry's table since a cursor.
pub fn table_delta(state: &EntryState, ask: TableRequest) -> TableDelta {
    state.keeping.lock().keeper_set.delta(state.now(), ask)
}

/// Lets keepers see that time passed, until the process stops.
pub async fn tick_keepers(state: Arc<EntryState>) {
    loop {
        let now = state.now();
        let wake = state.keeping.lock().keeper_set.next_wake(now);
        let span = wake.map_or(TICK_PERIOD, |wake| wake.since(now));
        tokio::time::sleep(span.clamp(TICK_GAP, TICK_PERIOD)).await;
        step_roster(&state, KeeperSetEvent::Tick);
        state.keeping.lock().drop_pools();
    }
}
