//! The table of the replicas assigned to this entry.

use std::collections::HashMap;

use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::keeper::event::KeeperAction;
use crate::keeper::keeper_set::{KeeperSet, KeeperSetAction, KeeperSetEvent};
use crate::keeper::sub_request::SubRequestInfo;
use crate::keeper::view_history::EntryIdentity;
use crate::prelude::*;
use crate::shell::pool::ServerPool;
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::setting::EntrySettings;
use crate::vocabulary::subrequest::{SubRefusal, SubReply, SubRequest};

/// The replicas assigned to this entry, their connection pools and the pending sub-requests.
#[derive(Debug)]
pub struct KeeperTable {
    pub(super) keeper_set: KeeperSet,
    pub(super) pools: HashMap<ReplicaName, ServerPool>,
    pub(super) waiters: HashMap<AttemptId, SubWaiter>,
}

/// A sub-request that is queued or in flight.
#[derive(Debug)]
pub(super) struct SubWaiter {
    pub(super) sub_request: SubRequest,
    pub(super) info: SubRequestInfo,
    pub(super) reply: Option<oneshot::Sender<SubReply>>,
    pub(super) send_task: Option<AbortHandle>,
    /// Dropped with the waiter, which notifies a cancel that the dispatch has ended.
    pub(super) end_signal: Option<oneshot::Sender<()>>,
}

/// Result of a step that remains to be handled outside the table lock.
#[derive(Debug, Default)]
pub(super) struct StepOutcome {
    pub(super) announced: Option<ResultCode>,
    pub(super) sends: Vec<SendTarget>,
    pub(super) cancels: Vec<SendTarget>,
}

/// An attempt and the replica that it is sent to.
#[derive(Clone, Debug)]
pub(super) struct SendTarget {
    pub(super) replica: ReplicaName,
    pub(super) attempt: AttemptId,
}

impl KeeperTable {
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
            keeper_set: KeeperSet::new(identity, table, settings.limits.replicas_max),
            pools: HashMap::new(),
            waiters: HashMap::new(),
        }
    }

    /// Returns the state machine of the replicas assigned to this entry.
    pub fn keeper_set(&self) -> &KeeperSet {
        &self.keeper_set
    }

    /// Returns the number of open connections to backend servers.
    pub fn connection_count(&self) -> u32 {
        self.pools.values().map(ServerPool::open_count).sum()
    }

    pub(super) fn step(
        &mut self,
        now: MonotonicTime,
        event: KeeperSetEvent,
        sink: &dyn Fn(EventDraft),
    ) -> StepOutcome {
        let mut actions = Vec::new();
        self.keeper_set.step(now, event, &mut actions);
        let mut outcome = StepOutcome::default();
        for action in actions {
            match action {
                KeeperSetAction::Replica { replica, action } => {
                    self.execute(replica, action, &mut outcome, sink);
                }
                KeeperSetAction::Announced { code, .. } => outcome.announced = Some(code),
                KeeperSetAction::RecordEvent(draft) => sink(draft),
            }
        }
        outcome
    }

    fn execute(
        &mut self,
        replica: ReplicaName,
        action: KeeperAction,
        outcome: &mut StepOutcome,
        sink: &dyn Fn(EventDraft),
    ) {
        match action {
            KeeperAction::Send(attempt) => outcome.sends.push(SendTarget { replica, attempt }),
            KeeperAction::SendCancel(attempt) => {
                outcome.cancels.push(SendTarget { replica, attempt });
            }
            KeeperAction::Refuse { attempt, refusal } => self.refuse(attempt, refusal),
            KeeperAction::RecordEvent(draft) => sink(draft),
            // Handled by the keeper set itself.
            KeeperAction::Publish => {}
        }
    }

    fn refuse(&mut self, attempt: AttemptId, refusal: SubRefusal) {
        let waiter = self.waiters.remove(&attempt);
        if let Some(reply) = waiter.and_then(|waiter| waiter.reply) {
            let _root_may_be_gone = reply.send(Err(refusal));
        }
    }

    /// Drops the connection pools of replicas that are no longer assigned to this entry.
    pub(super) fn drop_unused_pools(&mut self) {
        let keeper_set = &self.keeper_set;
        self.pools
            .retain(|replica, _| keeper_set.announcement(replica).is_some());
    }
}
