//! Runs sub-requests from root entries on the replicas assigned to this entry.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::keeper::event::KeeperEvent;
use crate::keeper::keeper_set::KeeperSetEvent;
use crate::keeper::sub_request::SubRequestInfo;
use crate::prelude::*;
use crate::shell::entry::keeper::{step_keepers, step_replica};
use crate::shell::entry::keeper_table::SubWaiter;
use crate::shell::entry::state::EntryState;
use crate::vocabulary::freshness::DISPATCH_GRACE;
use crate::vocabulary::subrequest::{SubRefusal, SubReply, SubRequest};

/// When dropped, reports to the keeper that the root cancelled the sub-request, unless the
/// sub-request was already answered.
#[derive(Debug)]
struct CancelOnDrop {
    state: Arc<EntryState>,
    replica: ReplicaName,
    attempt: AttemptId,
    armed: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        step_replica(
            &self.state,
            &self.replica,
            KeeperEvent::Dropped(self.attempt),
        );
        let mut keepers = self.state.keepers.lock();
        let is_unsent = keepers
            .waiters
            .get(&self.attempt)
            .is_some_and(|waiter| waiter.send_task.is_none());
        if is_unsent {
            keepers.waiters.remove(&self.attempt);
        }
    }
}

/// Runs a sub-request on a replica assigned to this entry. Dropping the future cancels it.
///
/// # Errors
///
/// The reason for the missing answer, and whether a backend server may have processed the
/// sub-request.
pub async fn run_sub(state: &Arc<EntryState>, sub_request: SubRequest) -> SubReply {
    let (attempt, replica) = (sub_request.attempt, sub_request.replica.clone());
    let info = build_info(state, &sub_request);
    let (sender, receiver) = oneshot::channel();
    let waiter = SubWaiter {
        sub_request,
        info,
        reply: Some(sender),
        send_task: None,
        end_signal: None,
    };
    if !insert_waiter(state, waiter) {
        return Err(SubRefusal::not_run(ResultCode::MalformedRequest));
    }
    let mut guard = CancelOnDrop {
        state: Arc::clone(state),
        replica: replica.clone(),
        attempt,
        armed: true,
    };
    step_keepers(state, KeeperSetEvent::Requested { replica, info });
    let reply = receiver.await;
    guard.armed = false;
    reply.unwrap_or_else(|_closed| {
        Err(SubRefusal::with_run(
            ResultCode::Cancelled,
            RunState::Unknown,
        ))
    })
}

/// Registers a sub-request. Returns `false` if its attempt id is in use: every attempt runs once,
/// so a second sub-request with the same id is a client error.
fn insert_waiter(state: &EntryState, waiter: SubWaiter) -> bool {
    let mut keepers = state.keepers.lock();
    let attempt = waiter.sub_request.attempt;
    if keepers.waiters.contains_key(&attempt) {
        return false;
    }
    keepers.waiters.insert(attempt, waiter);
    true
}

fn build_info(state: &EntryState, sub_request: &SubRequest) -> SubRequestInfo {
    let requested_expiry = state.now() + Duration::from_micros(sub_request.expires_us);
    SubRequestInfo {
        attempt: sub_request.attempt,
        digest: sub_request.digest,
        snapshot: sub_request.snapshot,
        shard: sub_request.shard,
        // Limited by the lease so that the next keeper knows when all work dispatched by this one
        // has ended.
        expires: requested_expiry.min(state.lease().expires_at() + DISPATCH_GRACE),
        repeatable: sub_request.repeatable,
        hedge: sub_request.hedge,
        suspect: sub_request.suspect,
    }
}
