//! Runs the state machines of the replicas assigned to this entry, whose keeper it is, and executes
//! their actions.

pub mod announcements;
pub mod dispatch;
pub mod sub_requests;

use std::sync::Arc;
use std::time::Duration;

use crate::keeper::event::KeeperEvent;
use crate::keeper::keeper_set::KeeperSetEvent;
use crate::prelude::*;
use crate::shell::entry::keeper::dispatch::{spawn_cancel, spawn_send};
use crate::shell::entry::state::EntryState;
use crate::vocabulary::replica::{TableDelta, TableRequest};

/// Longest time between two ticks.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Shortest time between two ticks.
const MIN_TICK_PERIOD: Duration = Duration::from_millis(1);

/// Advances the keeper set by one event and executes the resulting actions. Returns the result code
/// if the event was an announcement or a departure.
pub(super) fn step_keepers(state: &Arc<EntryState>, event: KeeperSetEvent) -> Option<ResultCode> {
    let sink = |draft| state.record_event(draft);
    let mut keepers = state.keepers.lock();
    let outcome = keepers.step(state.now(), event, &sink);
    drop(keepers);
    for target in outcome.sends {
        spawn_send(state, target);
    }
    for target in outcome.cancels {
        spawn_cancel(state, target);
    }
    outcome.announced
}

fn step_replica(state: &Arc<EntryState>, replica: &ReplicaName, event: KeeperEvent) {
    step_keepers(
        state,
        KeeperSetEvent::Replica {
            replica: replica.clone(),
            event,
        },
    );
}

/// Returns the changes in this entry's replica table since the cursor of `request`.
pub fn table_delta(state: &EntryState, request: TableRequest) -> TableDelta {
    state.keepers.lock().keeper_set.delta(state.now(), request)
}

/// Advances the state machines of all replicas assigned to this entry whenever one of them is due,
/// at least every 20 ms, and closes unused connection pools. Runs until the process stops.
pub async fn tick_keepers(state: Arc<EntryState>) {
    loop {
        let now = state.now();
        let wake = state.keepers.lock().keeper_set.next_wake(now);
        let delay = wake.map_or(TICK_PERIOD, |wake| wake.since(now));
        tokio::time::sleep(delay.clamp(MIN_TICK_PERIOD, TICK_PERIOD)).await;
        step_keepers(&state, KeeperSetEvent::Tick);
        state.keepers.lock().drop_unused_pools();
    }
}
