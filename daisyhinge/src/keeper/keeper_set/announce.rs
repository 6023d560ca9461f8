//! Handling of announcements and departures of replicas.

use crate::keeper::check::check_announcement;
use crate::keeper::event::KeeperEvent;
use crate::keeper::keeper_set::KeeperSet;
use crate::keeper::keeper_set::event::KeeperSetAction;
use crate::keeper::keeper_set::owned_replica::OwnedReplica;
use crate::prelude::*;
use crate::rendezvous::find_keeper;
use crate::vocabulary::announcement::{ReplicaAnnouncement, ReplicaDeparture};

impl KeeperSet {
    pub(super) fn handle_announcement(
        &mut self,
        now: MonotonicTime,
        next: ReplicaAnnouncement,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        let replica = next.replica.clone();
        let keeper = self.find_keeper_vm(&next.data_centre, &replica);
        let code = self.store_announcement(now, next, actions);
        actions.push(KeeperSetAction::Announced {
            replica,
            code,
            keeper,
        });
    }

    fn store_announcement(
        &mut self,
        now: MonotonicTime,
        next: ReplicaAnnouncement,
        actions: &mut Vec<KeeperSetAction>,
    ) -> ResultCode {
        let code = self.validate_announcement(&next);
        if code != ResultCode::Ok {
            return code;
        }
        let replica = next.replica.clone();
        if let Some(owned) = self.replicas.get(&replica) {
            self.partitions.remove(owned.keeper.announcement());
            self.partitions.add(&next);
            self.step_replica(now, &replica, KeeperEvent::Announced(next), actions);
        } else {
            self.partitions.add(&next);
            self.replicas
                .insert(replica.clone(), OwnedReplica::new(next, now));
            self.update_ownership(now, &replica, actions);
            self.step_replica(now, &replica, KeeperEvent::Tick, actions);
        }
        self.record_start(now, &replica, actions);
        ResultCode::Ok
    }

    fn validate_announcement(&self, next: &ReplicaAnnouncement) -> ResultCode {
        let code = check_announcement(next);
        if code != ResultCode::Ok {
            return code;
        }
        let identity = self.history.identity();
        let known = self.history.view().is_some_and(|view| {
            let document = view.environments.get(&identity.environment);
            document.is_some_and(|document| document.find_centre(&next.data_centre).is_some())
        });
        if !known {
            return ResultCode::UnknownCentre;
        }
        if !self.history.is_keeper_of(&next.data_centre, &next.replica) {
            return ResultCode::NotKeeper;
        }
        let former = self
            .replicas
            .get(&next.replica)
            .map(|owned| owned.keeper.announcement());
        if let Some(former) = former {
            if (next.incarnation, next.sequence) <= (former.incarnation, former.sequence) {
                return ResultCode::AnnouncementStale;
            }
            if next.data_centre != former.data_centre || next.service != former.service {
                return ResultCode::AnnouncementContradicts;
            }
        } else if self.replicas.len() >= self.replicas_max as usize {
            return ResultCode::TooManyReplicas;
        }
        if self.partitions.agrees(former, next) {
            ResultCode::Ok
        } else {
            ResultCode::AnnouncementContradicts
        }
    }

    pub(super) fn handle_leave(
        &mut self,
        now: MonotonicTime,
        leave: ReplicaDeparture,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        let owned = self.replicas.get(&leave.replica);
        let known = owned.map(|owned| owned.keeper.announcement());
        let incarnation = known.map(|known| known.incarnation);
        let keeper =
            known.and_then(|known| self.find_keeper_vm(&known.data_centre, &leave.replica));
        let code = match incarnation {
            None => ResultCode::NotKeeper,
            Some(incarnation) if leave.incarnation < incarnation => ResultCode::AnnouncementStale,
            Some(_) => {
                let event = KeeperEvent::Left(leave.incarnation);
                self.step_replica(now, &leave.replica, event, actions);
                ResultCode::Ok
            }
        };
        actions.push(KeeperSetAction::Announced {
            replica: leave.replica,
            code,
            keeper,
        });
    }

    fn find_keeper_vm(&self, centre: &CentreName, replica: &ReplicaName) -> Option<VmName> {
        let identity = self.history.identity();
        let view = self.history.view()?;
        let keeper = find_keeper(view, &identity.environment, centre, replica)?;
        Some(keeper.vm.clone())
    }
}
