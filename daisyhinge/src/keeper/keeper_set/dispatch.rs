//! Steps of single replicas under the shared crash records and power caps.

use crate::crash::PoisonStatus;
use crate::keeper::crash_detection::CrashUpdate;
use crate::keeper::event::{KeeperAction, KeeperEvent};
use crate::keeper::keeper_set::KeeperSet;
use crate::keeper::keeper_set::event::KeeperSetAction;
use crate::keeper::keeper_set::owned_replica::OwnedReplica;
use crate::keeper::sub_request::SubRequestInfo;
use crate::prelude::*;
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::subrequest::SubRefusal;

impl KeeperSet {
    pub(super) fn admit(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        info: SubRequestInfo,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        // The root entry may know of a crash before this keeper does.
        let reported = if info.suspect {
            PoisonStatus::Suspect
        } else {
            PoisonStatus::Clear
        };
        let poison_status = self.crashes.poison_status(now, info.digest).max(reported);
        let code = if !self.replicas.contains_key(replica) {
            ResultCode::NotKeeper
        } else if poison_status == PoisonStatus::Poisoned {
            ResultCode::RequestPoisoned
        } else if poison_status == PoisonStatus::Suspect && info.hedge {
            ResultCode::SlotsBusy
        } else {
            let event = match poison_status {
                PoisonStatus::Suspect => KeeperEvent::RequestedIsolated(info),
                _ => KeeperEvent::Requested(info),
            };
            self.step_replica(now, replica, event, actions);
            return;
        };
        let refusal = SubRefusal {
            code,
            run: RunState::NotRun,
            retry_ms: 0,
            load: self.load(replica),
        };
        actions.push(KeeperSetAction::Replica {
            replica: replica.clone(),
            action: KeeperAction::Refuse {
                attempt: info.attempt,
                refusal,
            },
        });
    }

    /// Steps one replica. Returns whether the power cap had left no headroom before the step.
    pub(super) fn step_replica(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        event: KeeperEvent,
        actions: &mut Vec<KeeperSetAction>,
    ) -> bool {
        let Some(owned) = self.replicas.get_mut(replica) else {
            return false;
        };
        let gate = owned.gate(self.lease_ends);
        let centre = owned.keeper.announcement().data_centre.clone();
        let share = self.history.power_share(now, &centre);
        let headroom = self.power.headroom(&centre, share);
        owned.keeper.set_power_headroom(headroom);
        let before = owned.keeper.load().running;
        let mut replica_actions = Vec::new();
        owned.keeper.step(now, event, &gate, &mut replica_actions);
        let after = owned.keeper.load().running;
        let updates = owned.keeper.take_crash_updates();
        self.power.record(&centre, before, after, share);
        for update in updates {
            self.handle_crash_update(now, replica, update, actions);
        }
        for action in replica_actions {
            self.handle_action(now, replica, action, actions);
        }
        headroom == 0
    }

    fn handle_action(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        action: KeeperAction,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        match action {
            KeeperAction::Publish => self.publish(now, replica),
            KeeperAction::RecordEvent(draft) => actions.push(KeeperSetAction::RecordEvent(draft)),
            action => {
                if let KeeperAction::Send(_) = action {
                    let closed = self.gate(replica).and_then(|gate| gate.refusal_reason(now));
                    assert!(
                        closed.is_none(),
                        "sub-request dispatched through a closed gate"
                    );
                }
                actions.push(KeeperSetAction::Replica {
                    replica: replica.clone(),
                    action,
                });
            }
        }
    }

    fn publish(&mut self, now: MonotonicTime, replica: &ReplicaName) {
        if let Some(owned) = self.replicas.get(replica) {
            let gate = owned.gate(self.lease_ends);
            self.table.publish(owned.keeper.record(now, &gate));
        }
    }

    fn handle_crash_update(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        update: CrashUpdate,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        let Some(owned) = self.replicas.get_mut(replica) else {
            return;
        };
        match update {
            CrashUpdate::Suspected { digests, probe } => {
                let attributed = self.crashes.record_crash(now, &digests, probe);
                for digest in &attributed {
                    if self.crashes.poison_status(now, *digest) == PoisonStatus::Poisoned {
                        let draft = EventDraft::new(EventKind::RequestPoisoned);
                        actions.push(KeeperSetAction::RecordEvent(draft.with_value(digest.0)));
                    }
                }
                owned.attributed.extend(attributed);
            }
            CrashUpdate::Withdrawn => {
                self.crashes.withdraw(&owned.attributed);
                owned.attributed.clear();
            }
            CrashUpdate::Confirmed => owned.attributed.clear(),
            CrashUpdate::Answered(digest) => self.crashes.record_answered(now, digest),
        }
    }

    /// Gives power headroom that `replica` freed to other replicas of its data centre.
    pub(super) fn use_freed_headroom(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        let Some(owned) = self.replicas.get(replica) else {
            return;
        };
        let centre = owned.keeper.announcement().data_centre.clone();
        let Some(share) = self.history.power_share(now, &centre) else {
            return;
        };
        let waits = |owned: &OwnedReplica| {
            owned.keeper.load().queued > 0 && owned.keeper.announcement().data_centre == centre
        };
        let waiting = self.replicas.iter().filter(|(_, owned)| waits(owned));
        let names: Vec<_> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            if self.power.headroom(&centre, Some(share)) == 0 {
                break;
            }
            self.step_replica(now, &name, KeeperEvent::Tick, actions);
        }
    }
}
