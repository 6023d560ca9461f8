//! Drives the keepers of this entry: sub-requests in, HTTP to backend servers out.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::keeper::table::KeeperTable;
use crate::keeper::ticket::{RunEnd, SubTicket};
use crate::keeper::{ANNOUNCE_PERIOD, KeeperAction, KeeperEvent, ReplicaKeeper};
use crate::prelude::*;
use crate::rendezvous::find_keeper;
use crate::shell::backend::{BackendReply, send_cancel, send_subrequest};
use crate::shell::entry::state::EntryState;
use crate::shell::pool::ServerPool;
use crate::vocabulary::announcement::{AnnounceReply, ReplicaAnnouncement, ReplicaLeave};
use crate::vocabulary::clock::span_to_millis;
use crate::vocabulary::freshness::{RUN_TAIL, lease_wait_span};
use crate::vocabulary::replica::{TableAsk, TableDelta};
use crate::vocabulary::subrequest::{SubAnswer, SubAsk, SubRefusal, SubReply};
use crate::vocabulary::view::EntryState as MemberState;

/// How often keepers see that time passed.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// The replicas kept here.
#[derive(Debug)]
pub struct KeepingTable {
    rows: HashMap<ReplicaName, KeepingRow>,
    table: KeeperTable,
}

#[derive(Debug)]
struct KeepingRow {
    keeper: ReplicaKeeper,
    opens: MonotonicTime,
    pool: ServerPool,
    waiters: HashMap<AttemptId, SubWaiter>,
}

#[derive(Debug)]
struct SubWaiter {
    ask: SubAsk,
    expires: MonotonicTime,
    reply: Option<oneshot::Sender<SubReply>>,
}

impl KeepingTable {
    pub(super) fn new(table: u64) -> Self {
        Self {
            rows: HashMap::new(),
            table: KeeperTable::new(table),
        }
    }

    /// Replicas kept.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// Work that a step left to be done without the lock.
#[derive(Debug)]
enum KeepingWork {
    Send {
        pool: ServerPool,
        ask: SubAsk,
        expires: MonotonicTime,
    },
    Cancel {
        pool: ServerPool,
        replica: ReplicaName,
        attempt: AttemptId,
    },
}

/// Steps one keeper and does what it wants done.
fn step_keeper(state: &Arc<EntryState>, replica: &ReplicaName, event: KeeperEvent) {
    let mut work = Vec::new();
    {
        let mut keeping = state.keeping.lock();
        let KeepingTable { rows, table } = &mut *keeping;
        let Some(row) = rows.get_mut(replica) else {
            return;
        };
        let mut actions = Vec::new();
        let gate = state.gate(&row.keeper.announcement().data_centre, row.opens);
        row.keeper.step(state.now(), event, &gate, &mut actions);
        for action in actions {
            match action {
                KeeperAction::Send(attempt) => work.extend(row.begin_send(attempt)),
                KeeperAction::Refuse { attempt, refusal } => row.refuse(attempt, refusal),
                KeeperAction::SendCancel(attempt) => work.push(KeepingWork::Cancel {
                    pool: row.pool.clone(),
                    replica: replica.clone(),
                    attempt,
                }),
                KeeperAction::Publish => table.publish(row.keeper.record(state.now(), &gate)),
                KeeperAction::Note(draft) => state.note(draft),
            }
        }
    }
    for item in work {
        spawn_work(state, item);
    }
}

impl KeepingRow {
    fn begin_send(&mut self, attempt: AttemptId) -> Option<KeepingWork> {
        let waiter = self.waiters.get(&attempt)?;
        Some(KeepingWork::Send {
            pool: self.pool.clone(),
            ask: waiter.ask.clone(),
            expires: waiter.expires,
        })
    }

    fn refuse(&mut self, attempt: AttemptId, refusal: SubRefusal) {
        let waiter = self.waiters.remove(&attempt);
        if let Some(reply) = waiter.and_then(|waiter| waiter.reply) {
            let _root_may_be_gone = reply.send(Err(refusal));
        }
    }
}

fn spawn_work(state: &Arc<EntryState>, work: KeepingWork) {
    let state = Arc::clone(state);
    match work {
        KeepingWork::Send { pool, ask, expires } => {
            tokio::spawn(run_send(state, pool, ask, expires));
        }
        KeepingWork::Cancel {
            pool,
            replica,
            attempt,
        } => {
            tokio::spawn(async move {
                let stopped = send_cancel(&pool, attempt).await;
                step_keeper(
                    &state,
                    &replica,
                    KeeperEvent::CancelEnded { attempt, stopped },
                );
            });
        }
    }
}

async fn run_send(state: Arc<EntryState>, pool: ServerPool, ask: SubAsk, expires: MonotonicTime) {
    let left = expires.since(state.now());
    let body_max = usize::try_from(state.settings.limits.body_max_bytes).unwrap_or(usize::MAX);
    // The last look: a process that was frozen since the decision must not send old work.
    let reply = if state.may_dispatch() && !left.is_zero() {
        send_subrequest(&pool, &ask, left, body_max).await
    } else {
        RunEnd::NotSent.into()
    };
    end_send(&state, &ask, reply);
}

fn end_send(state: &Arc<EntryState>, ask: &SubAsk, reply: BackendReply) {
    let event = KeeperEvent::Ended {
        attempt: ask.attempt,
        end: reply.end,
    };
    step_keeper(state, &ask.replica, event);
    let mut keeping = state.keeping.lock();
    let Some(row) = keeping.rows.get_mut(&ask.replica) else {
        return;
    };
    let load = row.keeper.load();
    let waiter = row.waiters.remove(&ask.attempt);
    let Some(sender) = waiter.and_then(|waiter| waiter.reply) else {
        return;
    };
    let result = match (reply.end, reply.body) {
        (RunEnd::Answered { .. }, Some(body)) => Ok(SubAnswer {
            shard: ask.shard,
            snapshot: ask.snapshot,
            body,
            load,
        }),
        (end, _) => Err(SubRefusal {
            load,
            ..refuse_end(end)
        }),
    };
    let _root_may_be_gone = sender.send(result);
}

/// What a root is told of a dispatch that brought no answer.
fn refuse_end(end: RunEnd) -> SubRefusal {
    let refusal = SubRefusal::with_run;
    match end {
        RunEnd::NotSent => refusal(ResultCode::SlotsBusy, RunState::NotRun),
        RunEnd::ConnectFailed => refusal(ResultCode::ConnectFailed, RunState::NotRun),
        RunEnd::Reset => refusal(ResultCode::ConnectionReset, RunState::Unknown),
        RunEnd::Shed { retry } => SubRefusal {
            retry_ms: span_to_millis(retry),
            ..refusal(ResultCode::ServerShed, RunState::NotRun)
        },
        RunEnd::NotHeld => refusal(ResultCode::SnapshotNotHeld, RunState::NotRun),
        RunEnd::Failed => refusal(ResultCode::ServerFailed, RunState::Unknown),
        RunEnd::BadAnswer(code) => refusal(code, RunState::Ran),
        RunEnd::Expired => refusal(ResultCode::SubRequestExpired, RunState::Unknown),
        RunEnd::Answered { .. } => refusal(ResultCode::AnswerDamaged, RunState::Ran),
    }
}

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
        if self.armed {
            step_keeper(
                &self.state,
                &self.replica,
                KeeperEvent::Dropped(self.attempt),
            );
        }
    }
}

/// Runs a sub-request on a replica kept here. Dropping the future gives it up.
///
/// # Errors
///
/// The reason why there is no answer, and whether a backend server may have worked on it.
pub async fn run_sub(state: &Arc<EntryState>, ask: SubAsk) -> SubReply {
    let now = state.now();
    // Bounded so that a later keeper knows when nothing of this one runs any more.
    let expires =
        (now + Duration::from_micros(ask.expires_us)).min(state.lease().ends() + RUN_TAIL);
    let ticket = SubTicket {
        attempt: ask.attempt,
        digest: ask.digest,
        snapshot: ask.snapshot,
        shard: ask.shard,
        expires,
        repeatable: ask.repeatable,
        hedge: ask.hedge,
    };
    let (sender, receiver) = oneshot::channel();
    let replica = ask.replica.clone();
    {
        let mut keeping = state.keeping.lock();
        let Some(row) = keeping.rows.get_mut(&replica) else {
            return Err(SubRefusal::not_run(ResultCode::NotKeeper));
        };
        row.waiters.insert(
            ticket.attempt,
            SubWaiter {
                ask,
                expires,
                reply: Some(sender),
            },
        )
    };
    let attempt = ticket.attempt;
    let mut guard = DropGuard {
        state: Arc::clone(state),
        replica: replica.clone(),
        attempt,
        armed: true,
    };
    step_keeper(state, &replica, KeeperEvent::Asked(ticket));
    let reply = receiver.await;
    guard.armed = false;
    reply.unwrap_or_else(|_closed| Err(SubRefusal::not_run(ResultCode::NotKeeper)))
}

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
        return announce_reply(state, ResultCode::NoLease, None);
    };
    if record.vm == state.settings.vm {
        let code = keep_replica(state, announcement);
        return announce_reply(state, code, Some(record.vm));
    }
    if !forward {
        return announce_reply(state, ResultCode::NotKeeper, Some(record.vm));
    }
    let reply = state
        .peers
        .announce(record.peer_address, announcement)
        .await;
    reply.unwrap_or_else(|| {
        announce_reply(
            state,
            ResultCode::KeeperUnreachable,
            Some(record.vm.clone()),
        )
    })
}

/// Takes a leave and forwards it if this entry is not the keeper.
pub async fn take_leave(
    state: &Arc<EntryState>,
    leave: ReplicaLeave,
    forward: bool,
) -> AnnounceReply {
    let kept = state.keeping.lock().rows.contains_key(&leave.replica);
    if kept {
        step_keeper(state, &leave.replica, KeeperEvent::Left(leave.incarnation));
        return announce_reply(state, ResultCode::Ok, Some(state.settings.vm.clone()));
    }
    if forward {
        // The leave names no data centre, so each entry is asked; it is rare.
        for entry in &state.view().entries {
            let other = entry.vm != state.settings.vm;
            let reply = if other {
                state.peers.leave(entry.peer_address, leave.clone()).await
            } else {
                None
            };
            if let Some(reply) = reply.filter(|reply| reply.code == ResultCode::Ok) {
                return reply;
            }
        }
    }
    announce_reply(state, ResultCode::NotKeeper, None)
}

fn announce_reply(state: &EntryState, code: ResultCode, keeper: Option<VmName>) -> AnnounceReply {
    let mut entries = vec![state.settings.caller_address];
    entries.extend(state.other_addresses());
    AnnounceReply {
        code,
        keeper,
        repeat_ms: span_to_millis(ANNOUNCE_PERIOD),
        entries,
    }
}

fn keep_replica(state: &Arc<EntryState>, announcement: ReplicaAnnouncement) -> ResultCode {
    let now = state.now();
    let replica = announcement.replica.clone();
    {
        let mut keeping = state.keeping.lock();
        let limit = state.settings.limits.replicas_max as usize;
        if !keeping.rows.contains_key(&replica) {
            if keeping.rows.len() >= limit {
                return ResultCode::TooManyReplicas;
            }
            keeping.rows.insert(
                replica.clone(),
                KeepingRow {
                    pool: ServerPool::new(announcement.address, announcement.connections),
                    keeper: ReplicaKeeper::new(announcement.clone(), now),
                    opens: state.members_changed() + lease_wait_span(),
                    waiters: HashMap::new(),
                },
            );
        }
    }
    step_keeper(state, &replica, KeeperEvent::Announced(announcement));
    ResultCode::Ok
}

/// What changed in this entry's table since a cursor.
pub fn table_delta(state: &EntryState, ask: TableAsk) -> TableDelta {
    state.keeping.lock().table.delta(ask)
}

/// Gives up replicas that the view in force gives to another entry, and all when leaving.
pub fn review_keeping(state: &Arc<EntryState>) {
    let view = state.view();
    let environment = &state.settings.environment;
    let me = view
        .entries
        .iter()
        .find(|entry| entry.vm == state.settings.vm);
    let leaving = me.is_none_or(|entry| entry.state != MemberState::Live);
    let mut keeping = state.keeping.lock();
    let KeepingTable { rows, table } = &mut *keeping;
    rows.retain(|replica, row| {
        let centre = &row.keeper.announcement().data_centre;
        let keeper = find_keeper(&view, environment, centre, replica);
        let mine = !leaving && keeper.is_some_and(|entry| entry.vm == state.settings.vm);
        if !mine {
            table.remove(replica);
        }
        mine || !row.waiters.is_empty()
    });
}

/// Lets keepers see that time passed, until the process stops.
pub async fn tick_keepers(state: Arc<EntryState>) {
    loop {
        tokio::time::sleep(TICK_PERIOD).await;
        let replicas: Vec<ReplicaName> = state.keeping.lock().rows.keys().cloned().collect();
        for replica in replicas {
            step_keeper(&state, &replica, KeeperEvent::Tick);
        }
        publish_records(&state);
    }
}

/// Publishes records whose state changed by time alone, such as an opened gate.
fn publish_records(state: &Arc<EntryState>) {
    let now = state.now();
    let mut keeping = state.keeping.lock();
    let KeepingTable { rows, table } = &mut *keeping;
    for row in rows.values() {
        let gate = state.gate(&row.keeper.announcement().data_centre, row.opens);
        table.publish(row.keeper.record(now, &gate));
    }
}
