//! Drives the replicas that this entry keeps.

pub mod announcing;
pub mod running;
pub mod sending;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::keeper::event::{KeeperAction, KeeperEvent};
use crate::keeper::history::EntryIdentity;
use crate::keeper::roster::{KeeperRoster, RosterAction, RosterEvent};
use crate::keeper::ticket::SubTicket;
use crate::prelude::*;
use crate::shell::entry::keeping::sending::{spawn_cancel, spawn_send};
use crate::shell::entry::state::EntryState;
use crate::shell::pool::ServerPool;
use crate::vocabulary::replica::{TableAsk, TableDelta};
use crate::vocabulary::setting::EntrySettings;
use crate::vocabulary::subrequest::{SubAsk, SubRefusal, SubReply};

/// Longest time between two ticks.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Shortest time between two ticks.
const TICK_GAP: Duration = Duration::from_millis(1);

/// The replicas kept here, the connections to them and the sub-requests under way.
#[derive(Debug)]
pub struct KeepingTable {
    roster: KeeperRoster,
    pools: HashMap<ReplicaName, ServerPool>,
    waiters: HashMap<AttemptId, SubWaiter>,
}

/// A sub-request that waits, or was sent and has not ended.
#[derive(Debug)]
struct SubWaiter {
    ask: SubAsk,
    ticket: SubTicket,
    reply: Option<oneshot::Sender<SubReply>>,
    sending: Option<AbortHandle>,
    /// Dropped with the waiter, which tells a cancel that the dispatch has ended.
    watch: Option<oneshot::Sender<()>>,
}

/// What a step brought beside what was done at once.
#[derive(Debug, Default)]
struct StepOutcome {
    announced: Option<ResultCode>,
    sends: Vec<SendTarget>,
    cancels: Vec<SendTarget>,
}

/// One dispatch and where it goes.
#[derive(Clone, Debug)]
struct SendTarget {
    replica: ReplicaName,
    attempt: AttemptId,
}

impl KeepingTable {
    pub(super) fn new(
        settings: &EntrySettings,
        incarnation: IncarnationNumber,
        table: u64,
    ) -> Self {
        let identity = EntryIdentity {
            vm: settings.vm.clone(),
            incarnation,
            environment: settings.environment.clone(),
        };
        Self {
            roster: KeeperRoster::new(identity, table, settings.limits.replicas_max),
            pools: HashMap::new(),
            waiters: HashMap::new(),
        }
    }

    /// The machine.
    pub fn roster(&self) -> &KeeperRoster {
        &self.roster
    }

    /// Connections that are open to backend servers.
    pub fn connection_count(&self) -> u32 {
        self.pools.values().map(ServerPool::open_count).sum()
    }

    fn step(&mut self, state: &EntryState, event: RosterEvent) -> StepOutcome {
        let mut actions = Vec::new();
        self.roster.step(state.now(), event, &mut actions);
        let mut outcome = StepOutcome::default();
        for action in actions {
            match action {
                RosterAction::Replica { replica, action } => {
                    self.perform(state, replica, action, &mut outcome);
                }
                RosterAction::Announced { code, .. } => outcome.announced = Some(code),
                RosterAction::Note(draft) => state.note(draft),
            }
        }
        outcome
    }

    fn perform(
        &mut self,
        state: &EntryState,
        replica: ReplicaName,
        action: KeeperAction,
        outcome: &mut StepOutcome,
    ) {
        match action {
            KeeperAction::Send(attempt) => outcome.sends.push(SendTarget { replica, attempt }),
            KeeperAction::SendCancel(attempt) => {
                outcome.cancels.push(SendTarget { replica, attempt });
            }
            KeeperAction::Refuse { attempt, refusal } => self.refuse(attempt, refusal),
            KeeperAction::Note(draft) => state.note(draft),
            // The roster keeps this to itself.
            KeeperAction::Publish => {}
        }
    }

    fn refuse(&mut self, attempt: AttemptId, refusal: SubRefusal) {
        let waiter = self.waiters.remove(&attempt);
        if let Some(reply) = waiter.and_then(|waiter| waiter.reply) {
            let _root_may_be_gone = reply.send(Err(refusal));
        }
    }

    /// Closes connections of replicas that are no longer kept.
    fn drop_pools(&mut self) {
        let roster = &self.roster;
        self.pools
            .retain(|replica, _| roster.announcement(replica).is_some());
    }
}

/// Steps the roster and does what it wants done. Returns the outcome of an announcement.
pub(super) fn step_roster(state: &Arc<EntryState>, event: RosterEvent) -> Option<ResultCode> {
    let outcome = state.keeping.lock().step(state, event);
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
        RosterEvent::Replica {
            replica: replica.clone(),
            event,
        },
    );
}

/// What changed in this entry's table since a cursor.
pub fn table_delta(state: &EntryState, ask: TableAsk) -> TableDelta {
    state.keeping.lock().roster.delta(state.now(), ask)
}

/// Lets keepers see that time passed, until the process stops.
pub async fn tick_keepers(state: Arc<EntryState>) {
    loop {
        let now = state.now();
        let wake = state.keeping.lock().roster.next_wake(now);
        let span = wake.map_or(TICK_PERIOD, |wake| wake.since(now));
        tokio::time::sleep(span.clamp(TICK_GAP, TICK_PERIOD)).await;
        step_roster(&state, RosterEvent::Tick);
        state.keeping.lock().drop_pools();
    }
}
