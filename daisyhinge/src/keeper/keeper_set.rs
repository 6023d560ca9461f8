//! Set of the keepers of one entry: ownership of replicas by view, lease and power cap.

mod announce;
mod dispatch;
mod event;
mod owned_replica;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::crash::{CrashTracker, PoisonStatus};
use crate::keeper::event::KeeperEvent;
use crate::keeper::gate::KeeperGate;
use crate::keeper::partition::PartitionRegistry;
use crate::keeper::power::PowerTracker;
use crate::keeper::sub_request::SubRequestInfo;
use crate::keeper::table::KeeperTable;
use crate::keeper::view_history::{EntryIdentity, ViewHistory};
use crate::lease::FreshnessLease;
use crate::prelude::*;
use crate::vocabulary::announcement::ReplicaAnnouncement;
use crate::vocabulary::environment::CentreState;
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::replica::{KeeperLoad, TableDelta, TableRequest};
use crate::vocabulary::view::ControlView;
pub use event::{KeeperSetAction, KeeperSetEvent};
use owned_replica::OwnedReplica;

/// All replicas owned by one entry, with the state that they share.
#[derive(Clone, Debug)]
pub struct KeeperSet {
    history: ViewHistory,
    lease_ends: MonotonicTime,
    replicas: BTreeMap<ReplicaName, OwnedReplica>,
    partitions: PartitionRegistry,
    power: PowerTracker,
    crashes: CrashTracker,
    table: KeeperTable,
    replicas_max: u32,
}

impl KeeperSet {
    /// Creates an empty set. `table` is a random identity chosen at start; `replicas_max` bounds
    /// the number of replicas.
    pub fn new(identity: EntryIdentity, table: u64, replicas_max: u32) -> Self {
        Self {
            history: ViewHistory::new(identity),
            lease_ends: MonotonicTime::default(),
            replicas: BTreeMap::new(),
            partitions: PartitionRegistry::default(),
            power: PowerTracker::default(),
            crashes: CrashTracker::new(),
            table: KeeperTable::new(table),
            replicas_max,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        event: KeeperSetEvent,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        match event {
            KeeperSetEvent::View(view) => self.adopt_view(now, view, actions),
            KeeperSetEvent::Lease(lease) => self.handle_lease(now, lease, actions),
            KeeperSetEvent::Announced(announcement) => {
                self.handle_announcement(now, announcement, actions);
            }
            KeeperSetEvent::Left(leave) => self.handle_leave(now, leave, actions),
            KeeperSetEvent::Requested { replica, info } => self.admit(now, &replica, info, actions),
            KeeperSetEvent::Replica { replica, event } => {
                if self.step_replica(now, &replica, event, actions) {
                    self.use_freed_headroom(now, &replica, actions);
                }
            }
            KeeperSetEvent::Crashes {
                keeper,
                table,
                records,
            } => self.crashes.merge(now, &keeper, table, &records),
            KeeperSetEvent::Tick => {
                self.crashes.prune(now);
                self.tick_all(now, actions);
            }
        }
    }

    /// Final check immediately before a sub-request is written to the connection: returns the
    /// reason to withhold it, if any. Its dispatch then ends as
    /// [`crate::keeper::sub_request::DispatchOutcome::NotSent`].
    ///
    /// Since admission the gate may have closed, the request may have become poisoned, or the limit
    /// of the backend server may have been reduced.
    pub fn final_check(
        &self,
        now: MonotonicTime,
        replica: &ReplicaName,
        info: &SubRequestInfo,
    ) -> Option<ResultCode> {
        let Some(owned) = self.replicas.get(replica) else {
            return Some(ResultCode::NotKeeper);
        };
        let gate = owned.gate(self.lease_ends);
        let keeper_refusal = owned.keeper.final_check(now, info.expires, &gate);
        let poisoned = self.crashes.poison_status(now, info.digest) == PoisonStatus::Poisoned;
        let load = owned.keeper.load();
        keeper_refusal
            .or_else(|| poisoned.then_some(ResultCode::RequestPoisoned))
            .or_else(|| (load.running > load.limit).then_some(ResultCode::SlotsBusy))
    }

    /// Returns the conditions under which this entry may dispatch to a replica: a valid lease, the
    /// end of the handover, the data centre in service. `None` if the replica is not in this set.
    pub fn gate(&self, replica: &ReplicaName) -> Option<KeeperGate> {
        let owned = self.replicas.get(replica)?;
        Some(owned.gate(self.lease_ends))
    }

    /// Returns whether an attempt at a replica runs in isolation because its request is suspected
    /// of a crash.
    pub fn ran_isolated(&self, replica: &ReplicaName, attempt: AttemptId) -> bool {
        let owned = self.replicas.get(replica);
        owned.is_some_and(|owned| owned.keeper.ran_isolated(attempt))
    }

    /// Returns the load of a replica, which is included in every reply.
    pub fn load(&self, replica: &ReplicaName) -> KeeperLoad {
        let owned = self.replicas.get(replica);
        owned.map(|owned| owned.keeper.load()).unwrap_or_default()
    }

    /// Returns the latest announcement of a replica.
    pub fn announcement(&self, replica: &ReplicaName) -> Option<&ReplicaAnnouncement> {
        Some(self.replicas.get(replica)?.keeper.announcement())
    }

    /// Returns the limit of open connections to a replica; see
    /// [`super::ReplicaKeeper::connections_max`].
    pub fn connections_max(&self, replica: &ReplicaName) -> u32 {
        let owned = self.replicas.get(replica);
        owned.map_or(0, |owned| owned.keeper.connections_max())
    }

    /// Returns the changes in the table of replicas since the reader's cursor, with crash records.
    pub fn delta(&self, now: MonotonicTime, request: TableRequest) -> TableDelta {
        TableDelta {
            crashes: self.crashes.own_records(now),
            ..self.table.delta(request)
        }
    }

    /// Returns the crash records, which a root entry checks before it dispatches.
    pub fn crashes(&self) -> &CrashTracker {
        &self.crashes
    }

    /// Returns the view in force.
    pub fn view(&self) -> Option<&Arc<ControlView>> {
        self.history.view()
    }

    /// Returns the number of replicas that are owned or still have work in progress.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no replica is owned or has work in progress.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns whether this entry owns no replica in the view in force and none of its work is in
    /// progress. Only then may a leaving entry report to control that it released all replicas.
    pub fn is_released(&self) -> bool {
        !self
            .replicas
            .values()
            .any(|owned| owned.is_keeper || owned.keeper.load().running > 0)
    }

    /// Returns the time of the next [`KeeperSetEvent::Tick`]. Visits every replica; call it after a
    /// tick, and [`KeeperSet::next_wake_of`] otherwise.
    pub fn next_wake(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let replicas = self
            .replicas
            .values()
            .filter_map(|owned| owned.keeper.next_wake());
        let lease = (self.lease_ends > now).then_some(self.lease_ends);
        replicas
            .chain(self.history.next_wake(now))
            .chain(lease)
            .min()
    }

    /// Returns the time of the next [`KeeperEvent::Tick`] of one replica.
    pub fn next_wake_of(&self, replica: &ReplicaName) -> Option<MonotonicTime> {
        self.replicas.get(replica)?.keeper.next_wake()
    }

    fn handle_lease(
        &mut self,
        now: MonotonicTime,
        lease: FreshnessLease,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        if self
            .view()
            .is_some_and(|view| view.version == lease.version())
        {
            self.lease_ends = self.lease_ends.max(lease.expires_at());
            self.tick_all(now, actions);
        }
    }

    fn adopt_view(
        &mut self,
        now: MonotonicTime,
        view: Arc<ControlView>,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        let lease_held = now < self.lease_ends;
        let version = view.version;
        if !self.history.adopt(now, view, lease_held) {
            return;
        }
        let draft = EventDraft::new(EventKind::ViewAdopted).with_version(version);
        actions.push(KeeperSetAction::RecordEvent(draft));
        let names: Vec<_> = self.replicas.keys().cloned().collect();
        for replica in names {
            self.update_ownership(now, &replica, actions);
        }
        self.tick_all(now, actions);
    }

    /// Recomputes whether this entry is the keeper of a replica and when it may start.
    fn update_ownership(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        let Some(owned) = self.replicas.get_mut(replica) else {
            return;
        };
        let centre = owned.keeper.announcement().data_centre.clone();
        let is_keeper = self.history.is_keeper_of(&centre, replica);
        let handover_ends = self.history.handover_ends(&centre, replica);
        owned.centre_in_service =
            is_centre_in_service(self.history.view(), self.history.identity(), &centre);
        owned.handover_ends = handover_ends;
        let was_keeper = owned.is_keeper;
        owned.is_keeper = is_keeper;
        if is_keeper && !was_keeper && now < handover_ends {
            owned.start_recorded = false;
            let draft = EventDraft::new(EventKind::KeepWaiting).with_replica(replica);
            actions.push(KeeperSetAction::RecordEvent(draft));
        } else if !is_keeper {
            owned.start_recorded = false;
        }
    }

    fn tick_all(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperSetAction>) {
        let names: Vec<_> = self.replicas.keys().cloned().collect();
        for replica in names {
            self.step_replica(now, &replica, KeeperEvent::Tick, actions);
            self.record_start(now, &replica, actions);
            self.release_if_idle(now, &replica, actions);
        }
    }

    fn record_start(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        let Some(owned) = self.replicas.get_mut(replica) else {
            return;
        };
        if owned.is_keeper && !owned.start_recorded && now >= owned.handover_ends {
            owned.start_recorded = true;
            let draft = EventDraft::new(EventKind::KeepStarted).with_replica(replica);
            actions.push(KeeperSetAction::RecordEvent(draft));
        }
    }

    fn release_if_idle(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        actions: &mut Vec<KeeperSetAction>,
    ) {
        let Some(owned) = self.replicas.get(replica) else {
            return;
        };
        let load = owned.keeper.load();
        let released = !owned.is_keeper && load.running == 0 && load.queued == 0;
        if !released && !owned.keeper.is_idle(now) {
            return;
        }
        if let Some(owned) = self.replicas.remove(replica) {
            self.partitions.remove(owned.keeper.announcement());
            self.table.remove(replica);
            let draft = EventDraft::new(EventKind::KeepReleased).with_replica(replica);
            actions.push(KeeperSetAction::RecordEvent(draft));
        }
    }
}

fn is_centre_in_service(
    view: Option<&Arc<ControlView>>,
    identity: &EntryIdentity,
    centre: &CentreName,
) -> bool {
    let document = view.and_then(|view| view.environments.get(&identity.environment));
    document
        .and_then(|document| document.find_centre(centre))
        .is_some_and(|centre| centre.state == CentreState::In)
}
