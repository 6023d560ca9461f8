//! Takes sub-requests from root entries.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::keeper::event::KeeperEvent;
use crate::keeper::roster::RosterEvent;
use crate::keeper::ticket::SubTicket;
use crate::prelude::*;
use crate::shell::entry::keeping::{step_replica, step_roster};
use crate::shell::entry::keeping_table::SubWaiter;
use crate::shell::entry::state::EntryState;
use crate::vocabulary::freshness::RUN_TAIL;
use crate::vocabulary::subrequest::{SubAsk, SubRefusal, SubReply};

/// Tells the keeper that the root is gone, unless the reply came first.
#[derive(Debug)]
struct DropGuard {
    state: Arc<EntryState>,
    replica: ReplicaName,
    attempt: AttemptId,
    armed: bool,
}

impl Drop for DropGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        step_replica(
            &self.state,
            &self.replica,
            KeeperEvent::Dropped(self.attempt),
        );
        let mut keeping = self.state.keeping.lock();
        let waits = keeping
            .waiters
            .get(&self.attempt)
            .is_some_and(|row| row.sending.is_none());
        if waits {
            keeping.waiters.remove(&self.attempt);
        }
    }
}

/// Runs a sub-request on a replica kept here. Dropping the future gives it up.
///
/// # Errors
///
/// The reason why there is no answer, and whether a backend server may have worked on it.
pub async fn run_sub(state: &Arc<EntryState>, ask: SubAsk) -> SubReply {
    let (attempt, replica) = (ask.attempt, ask.replica.clone());
    let ticket = build_ticket(state, &ask);
    let (sender, receiver) = oneshot::channel();
    let waiter = SubWaiter {
        ask,
        ticket,
        reply: Some(sender),
        sending: None,
        watch: None,
    };
    if !insert_waiter(state, waiter) {
        return Err(SubRefusal::not_run(ResultCode::MalformedRequest));
    }
    let mut guard = DropGuard {
        state: Arc::clone(state),
        replica: replica.clone(),
        attempt,
        armed: true,
    };
    step_roster(state, RosterEvent::Asked { replica, ticket });
    let reply = receiver.await;
    guard.armed = false;
    reply.unwrap_or_else(|_closed| {
        Err(SubRefusal::with_run(
            ResultCode::Cancelled,
            RunState::Unknown,
        ))
    })
}

/// An attempt runs once: a second ask under its identifier is a fault of the asker.
fn insert_waiter(state: &EntryState, waiter: SubWaiter) -> bool {
    let mut keeping = state.keeping.lock();
    let attempt = waiter.ask.attempt;
    if keeping.waiters.contains_key(&attempt) {
        return false;
    }
    keeping.waiters.insert(attempt, waiter);
    true
}

fn build_ticket(state: &EntryState, ask: &SubAsk) -> SubTicket {
    let asked = state.now() + Duration::from_micros(ask.expires_us);
    SubTicket {
        attempt: ask.attempt,
        digest: ask.digest,
        snapshot: ask.snapshot,
        shard: ask.shard,
        // Bounded so that a later keeper knows when nothing of this one runs any more.
        expires: asked.min(state.lease().ends() + RUN_TAIL),
        repeatable: ask.repeatable,
        hedge: ask.hedge,
        suspect: ask.suspect,
    }
}
