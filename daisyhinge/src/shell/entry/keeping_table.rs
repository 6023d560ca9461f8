//! The table of the replicas that this entry keeps.

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

/// The replicas kept here, the connections to them and the sub-requests under way.
#[derive(Debug)]
pub struct KeepingTable {
    pub(super) keeper_set: KeeperSet,
    pub(super) pools: HashMap<ReplicaName, ServerPool>,
    pub(super) waiters: HashMap<AttemptId, SubWaiter>,
}

/// A sub-request that waits, or was sent and has not ended.
#[derive(Debug)]
pub(super) struct SubWaiter {
    pub(super) ask: SubRequest,
    pub(super) info: SubRequestInfo,
    pub(super) reply: Option<oneshot::Sender<SubReply>>,
    pub(super) sending: Option<AbortHandle>,
    /// Dropped with the waiter, which tells a cancel that the dispatch has ended.
    pub(super) watch: Option<oneshot::Sender<()>>,
}

/// What a step brought beside what was done at once.
#[derive(Debug, Default)]
pub(super) struct StepOutcome {
    pub(super) announced: Option<ResultCode>,
    pub(super) sends: Vec<SendTarget>,
    pub(super) cancels: Vec<SendTarget>,
}

/// One dispatch and where it goes.
#[derive(Clone, Debug)]
pub(super) struct SendTarget {
    pub(super) replica: ReplicaName,
    pub(super) attempt: AttemptId,
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
            keeper_set: KeeperSet::new(identity, table, settings.limits.replicas_max),
            pools: HashMap::new(),
            waiters: HashMap::new(),
        }
    }

    /// The machine.
    pub fn keeper_set(&self) -> &KeeperSet {
        &self.keeper_set
    }

    /// Connections that are open to backend servers.
    pub fn connection_count(&self) -> u32 {
        self.pools.values().map(ServerPool::open_count).sum()
    }

    pub(super) fn step(
        &mut self,
        now: MonotonicTime,
        event: KeeperSetEvent,
        note: &dyn Fn(EventDraft),
    ) -> StepOutcome {
        let mut actions = Vec::new();
        self.keeper_set.step(now, event, &mut actions);
        let mut outcome = StepOutcome::default();
        for action in actions {
            match action {
                KeeperSetAction::Replica { replica, action } => {
                    self.perform(replica, action, &mut outcome, note);
                }
                KeeperSetAction::Announced { code, .. } => outcome.announced = Some(code),
                KeeperSetAction::Note(draft) => note(draft),
            }
        }
        outcome
    }

    fn perform(
        &mut self,
        replica: ReplicaName,
        action: KeeperAction,
        outcome: &mut StepOutcome,
        note: &dyn Fn(EventDraft),
    ) {
        match action {
            KeeperAction::Send(attempt) => outcome.sends.push(SendTarget { replica, attempt }),
            KeeperAction::SendCancel(attempt) => {
                outcome.cancels.push(SendTarget { replica, attempt });
            }
            KeeperAction::Refuse { attempt, refusal } => self.refuse(attempt, refusal),
            KeeperAction::Note(draft) => note(draft),
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
    pub(super) fn drop_pools(&mut self) {
        let keeper_set = &self.keeper_set;
        self.pools
            .retain(|replica, _| keeper_set.announcement(replica).is_some());
    }
}
