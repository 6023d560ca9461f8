//! Sends sub-requests and cancels to backend servers.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::keeper::event::KeeperEvent;
use crate::keeper::sub_request::{DispatchOutcome, SubRequestInfo, refusal_for};
use crate::prelude::*;
use crate::shell::backend::{BackendReply, send_cancel, send_subrequest};
use crate::shell::entry::keeper::step_replica;
use crate::shell::entry::keeper_table::SendTarget;
use crate::shell::entry::state::EntryState;
use crate::shell::pool::ServerPool;
use crate::vocabulary::subrequest::{SubAnswer, SubRefusal, SubReply, SubRequest};

/// Time allowed for the answer to a cancelled dispatch after the reply to its cancel.
const CANCELLED_ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

pub(super) fn spawn_send(state: &Arc<EntryState>, target: SendTarget) {
    let SendTarget { replica, attempt } = target;
    if !start_send(state, attempt) {
        // The root dropped the sub-request between the decision and the dispatch.
        let event = KeeperEvent::Ended {
            attempt,
            end: DispatchOutcome::NotSent,
        };
        step_replica(state, &replica, event);
    }
}

fn start_send(state: &Arc<EntryState>, attempt: AttemptId) -> bool {
    let mut keepers = state.keepers.lock();
    let Some(waiter) = keepers.waiters.get(&attempt) else {
        return false;
    };
    let (sub_request, info) = (waiter.sub_request.clone(), waiter.info);
    let pool = keepers.pools.get(&sub_request.replica).cloned();
    let task_state = Arc::clone(state);
    // Spawned under the lock, so that the task cannot end before its abort handle is stored.
    let task = tokio::spawn(async move {
        let reply = match pool {
            Some(pool) => run_send(&task_state, &pool, &sub_request, &info).await,
            None => DispatchOutcome::NotSent.into(),
        };
        finish_send(&task_state, &sub_request, reply);
    });
    if let Some(waiter) = keepers.waiters.get_mut(&attempt) {
        waiter.send_task = Some(task.abort_handle());
    }
    true
}

async fn run_send(
    state: &Arc<EntryState>,
    pool: &ServerPool,
    sub_request: &SubRequest,
    info: &SubRequestInfo,
) -> BackendReply {
    let body_max = usize::try_from(state.settings.limits.body_max_bytes).unwrap_or(usize::MAX);
    // Final check before dispatch, made once a connection is available and again when it writes the
    // request: after a freeze of the process or a long wait for the connection, outdated work must
    // not be sent.
    let (task_state, replica, info) = (Arc::clone(state), sub_request.replica.clone(), *info);
    let dispatch_check = move || {
        let now = task_state.now();
        let refusal = task_state
            .keepers
            .lock()
            .keeper_set()
            .final_check(now, &replica, &info);
        let remaining = info.expires.since(now);
        let open = task_state.may_dispatch() && refusal.is_none();
        (open && !remaining.is_zero()).then_some(remaining)
    };
    send_subrequest(
        pool,
        sub_request,
        info.expires.since(state.now()),
        body_max,
        dispatch_check,
    )
    .await
}

fn finish_send(state: &Arc<EntryState>, sub_request: &SubRequest, reply: BackendReply) {
    // Both this task and a cancel may remove the waiter. Only the one that removed it reports the
    // end of the dispatch, so that the end is reported once.
    let Some(waiter) = state.keepers.lock().waiters.remove(&sub_request.attempt) else {
        return;
    };
    let event = KeeperEvent::Ended {
        attempt: sub_request.attempt,
        end: reply.outcome,
    };
    let isolated = {
        let keepers = state.keepers.lock();
        keepers
            .keeper_set()
            .ran_isolated(&sub_request.replica, sub_request.attempt)
    };
    // The root needs no report about a probe that it requested itself.
    let was_probe = isolated && !waiter.info.suspect;
    step_replica(state, &sub_request.replica, event);
    let load = state.keepers.lock().keeper_set().load(&sub_request.replica);
    let result = match (reply.outcome, reply.body) {
        (DispatchOutcome::Answered { .. }, Some(body)) => Ok(SubAnswer {
            shard: sub_request.shard,
            snapshot: sub_request.snapshot,
            body,
            load,
        }),
        (outcome, _) => Err(SubRefusal {
            load,
            ..refusal_for(outcome, was_probe)
        }),
    };
    reply_to_root(waiter.reply, result);
}

fn reply_to_root(sender: Option<oneshot::Sender<SubReply>>, result: SubReply) {
    if let Some(sender) = sender {
        let _root_may_be_gone = sender.send(result);
    }
}

/// Asks the backend server to cancel a dispatch.
///
/// A backend server also answers the dispatch that it cancels, so the connection stays open for
/// `CANCELLED_ANSWER_TIMEOUT`: closing it at once would require a new connection for each hedge
/// that lost.
pub(super) fn spawn_cancel(state: &Arc<EntryState>, target: SendTarget) {
    let task_state = Arc::clone(state);
    tokio::spawn(async move {
        let SendTarget { replica, attempt } = target;
        let (ended, pool) = detach_root(&task_state, &replica, attempt);
        let stopped = match pool {
            Some(pool) => send_cancel(&pool, attempt).await,
            None => false,
        };
        if let Some(ended) = ended {
            let _sender_is_dropped_at_the_end =
                tokio::time::timeout(CANCELLED_ANSWER_TIMEOUT, ended).await;
        }
        abort_send(&task_state, attempt);
        step_replica(
            &task_state,
            &replica,
            KeeperEvent::CancelEnded { attempt, stopped },
        );
    });
}

/// Answers the root and returns a receiver that completes when the dispatch ends, unless the
/// dispatch has ended already. Also returns the connection pool of the replica.
fn detach_root(
    state: &EntryState,
    replica: &ReplicaName,
    attempt: AttemptId,
) -> (Option<oneshot::Receiver<()>>, Option<ServerPool>) {
    let mut keepers = state.keepers.lock();
    let pool = keepers.pools.get(replica).cloned();
    let Some(waiter) = keepers.waiters.get_mut(&attempt) else {
        return (None, pool);
    };
    let (sender, ended) = oneshot::channel();
    waiter.end_signal = Some(sender);
    let refusal = SubRefusal::with_run(ResultCode::Cancelled, RunState::Unknown);
    reply_to_root(waiter.reply.take(), Err(refusal));
    (Some(ended), pool)
}

/// Aborts a dispatch that has not ended, which closes its connection.
fn abort_send(state: &Arc<EntryState>, attempt: AttemptId) {
    let waiter = state.keepers.lock().waiters.remove(&attempt);
    let Some(waiter) = waiter else { return };
    if let Some(send_task) = &waiter.send_task {
        send_task.abort();
    }
    let event = KeeperEvent::Ended {
        attempt,
        end: DispatchOutcome::Expired,
    };
    step_replica(state, &waiter.sub_request.replica, event);
}
