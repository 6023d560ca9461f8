//! Sends sub-requests and cancels to backend servers.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::keeper::event::KeeperEvent;
use crate::keeper::sub_request::{DispatchOutcome, SubRequestInfo, refusal_for};
use crate::prelude::*;
use crate::shell::backend::{BackendReply, send_cancel, send_subrequest};
use crate::shell::entry::keeping::step_replica;
use crate::shell::entry::keeping_table::SendTarget;
use crate::shell::entry::state::EntryState;
use crate::shell::pool::ServerPool;
use crate::vocabulary::subrequest::{SubAnswer, SubRefusal, SubReply, SubRequest};

/// How long the answer to a cancelled dispatch may take after the reply to its cancel.
const END_GRACE: Duration = Duration::from_millis(20);

pub(super) fn spawn_send(state: &Arc<EntryState>, target: SendTarget) {
    let SendTarget { replica, attempt } = target;
    if !start_send(state, attempt) {
        // The root dropped it between the decision and now.
        let event = KeeperEvent::Ended {
            attempt,
            end: DispatchOutcome::NotSent,
        };
        step_replica(state, &replica, event);
    }
}

fn start_send(state: &Arc<EntryState>, attempt: AttemptId) -> bool {
    let mut keeping = state.keeping.lock();
    let Some(waiter) = keeping.waiters.get(&attempt) else {
        return false;
    };
    let (ask, info) = (waiter.ask.clone(), waiter.info);
    let pool = keeping.pools.get(&ask.replica).cloned();
    let owner = Arc::clone(state);
    // Spawned under the lock, so that the task cannot end before its handle is kept.
    let task = tokio::spawn(async move {
        let reply = match pool {
            Some(pool) => run_send(&owner, &pool, &ask, &info).await,
            None => DispatchOutcome::NotSent.into(),
        };
        end_send(&owner, &ask, reply);
    });
    if let Some(waiter) = keeping.waiters.get_mut(&attempt) {
        waiter.sending = Some(task.abort_handle());
    }
    true
}

async fn run_send(
    state: &Arc<EntryState>,
    pool: &ServerPool,
    ask: &SubRequest,
    info: &SubRequestInfo,
) -> BackendReply {
    let body_max = usize::try_from(state.settings.limits.body_max_bytes).unwrap_or(usize::MAX);
    // The last look, once there is a connection and again as it is written: a process that was
    // frozen since the decision, or that waited long for the connection, must not send old work.
    let (owner, replica, info) = (Arc::clone(state), ask.replica.clone(), *info);
    let look = move || {
        let now = owner.now();
        let refusal = owner
            .keeping
            .lock()
            .keeper_set()
            .final_check(now, &replica, &info);
        let left = info.expires.since(now);
        let open = owner.may_dispatch() && refusal.is_none();
        (open && !left.is_zero()).then_some(left)
    };
    send_subrequest(pool, ask, info.expires.since(state.now()), body_max, look).await
}

fn end_send(state: &Arc<EntryState>, ask: &SubRequest, reply: BackendReply) {
    // Whoever takes the waiter out reports the end: this or a cancel, never both.
    let Some(waiter) = state.keeping.lock().waiters.remove(&ask.attempt) else {
        return;
    };
    let event = KeeperEvent::Ended {
        attempt: ask.attempt,
        end: reply.end,
    };
    let alone = {
        let keeping = state.keeping.lock();
        keeping.keeper_set().ran_isolated(&ask.replica, ask.attempt)
    };
    // The root knows of its own probes.
    let was_probe = alone && !waiter.info.suspect;
    step_replica(state, &ask.replica, event);
    let load = state.keeping.lock().keeper_set().load(&ask.replica);
    let result = match (reply.end, reply.body) {
        (DispatchOutcome::Answered { .. }, Some(body)) => Ok(SubAnswer {
            shard: ask.shard,
            snapshot: ask.snapshot,
            body,
            load,
        }),
        (end, _) => Err(SubRefusal {
            load,
            ..refusal_for(end, was_probe)
        }),
    };
    answer_root(waiter.reply, result);
}

fn answer_root(sender: Option<oneshot::Sender<SubReply>>, result: SubReply) {
    if let Some(sender) = sender {
        let _root_may_be_gone = sender.send(result);
    }
}

/// Asks the backend server to stop the work of a dispatch.
///
/// A backend server that stops answers the dispatch as well, so its connection is left open for
/// a moment: closing it at once would cost a new connection for each hedge that lost.
pub(super) fn spawn_cancel(state: &Arc<EntryState>, target: SendTarget) {
    let owner = Arc::clone(state);
    tokio::spawn(async move {
        let SendTarget { replica, attempt } = target;
        let (ended, pool) = watch_end(&owner, &replica, attempt);
        let stopped = match pool {
            Some(pool) => send_cancel(&pool, attempt).await,
            None => false,
        };
        if let Some(ended) = ended {
            let _sender_is_dropped_at_the_end = tokio::time::timeout(END_GRACE, ended).await;
        }
        close_send(&owner, attempt);
        step_replica(
            &owner,
            &replica,
            KeeperEvent::CancelEnded { attempt, stopped },
        );
    });
}

/// Lets the root go and watches for the end of a dispatch, if it has not ended yet.
fn watch_end(
    state: &EntryState,
    replica: &ReplicaName,
    attempt: AttemptId,
) -> (Option<oneshot::Receiver<()>>, Option<ServerPool>) {
    let mut keeping = state.keeping.lock();
    let pool = keeping.pools.get(replica).cloned();
    let Some(waiter) = keeping.waiters.get_mut(&attempt) else {
        return (None, pool);
    };
    let (sender, ended) = oneshot::channel();
    waiter.watch = Some(sender);
    let refusal = SubRefusal::with_run(ResultCode::Cancelled, RunState::Unknown);
    answer_root(waiter.reply.take(), Err(refusal));
    (Some(ended), pool)
}

/// Closes the connection of a dispatch that has not ended.
fn close_send(state: &Arc<EntryState>, attempt: AttemptId) {
    let waiter = state.keeping.lock().waiters.remove(&attempt);
    let Some(waiter) = waiter else { return };
    if let Some(sending) = &waiter.sending {
        sending.abort();
    }
    let event = KeeperEvent::Ended {
        attempt,
        end: DispatchOutcome::Expired,
    };
    step_replica(state, &waiter.ask.replica, event);
}
