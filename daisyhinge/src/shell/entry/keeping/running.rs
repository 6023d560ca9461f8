//! Takes sub-requests from root entries.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::keeper::event::KeeperEvent;
use crate::keeper::keeper_set::KeeperSetEvent;
use crate::keeper::sub_request::SubRequestInfo;
use crate::prelude::*;
use crate::shell::entry::keeping::{step_replica, step_roster};
use crate::shell::entry::keeping_table::SubWaiter;
use crate::shell::entry::state::EntryState;
use crate::vocabulary::freshness::DISPATCH_GRACE;
use crate::vocabulary::subrequest::{SubRefusal, SubReply, SubRequest};

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
pub async fn run_sub(state: &Arc<EntryState>, ask: SubRequest) -> SubReply {
    let (attempt, replica) = (ask.attempt, ask.replica.clone());
    let info = build_ticket(state, &ask);
    let (sender, receiver) = oneshot::channel();
    let waiter = SubWaiter {
        ask,
        info,
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
    step_roster(state, KeeperSetEvent::Requested { replica, info });
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

fn build_ticket(state: &EntryState, ask: &SubRequest) -> SubRequestInfo {
    let asked = state.now() + Duration::from_micros(ask.expires_us);
    SubRequestInfo {
        attempt: ask.attempt,
        digest: ask.digest,
        snapshot: ask.snapshot,
        shard: ask.shard,
        // Bounded so that a later keeper knows when nothing of this one runs any more.
        expires: asked.min(state.lease().ends() + DISPATCH_GRACE),
        repeatable: ask.repeatable,
        hedge: ask.hedge,
        suspect: ask.suspect,
    }
}
