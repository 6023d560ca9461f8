//! All replicas that one entry keeps: which ones, from when on, and under which power cap.

mod announce;
mod dispatch;
mod event;
mod row;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::keeper::crash::{CrashBook, CrashVerdict};
use crate::keeper::event::KeeperEvent;
use crate::keeper::gate::KeeperGate;
use crate::keeper::history::{EntryIdentity, ViewHistory};
use crate::keeper::partition::PartitionBook;
use crate::keeper::power::PowerBook;
use crate::keeper::table::KeeperTable;
use crate::keeper::ticket::SubTicket;
use crate::lease::FreshnessLease;
use crate::prelude::*;
use crate::vocabulary::announcement::ReplicaAnnouncement;
use crate::vocabulary::environment::CentreState;
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::replica::{KeeperLoad, TableAsk, TableDelta};
use crate::vocabulary::view::ControlView;
pub use event::{RosterAction, RosterEvent};
use row::RosterRow;

/// Everything that one entry keeps.
#[derive(Clone, Debug)]
pub struct KeeperRoster {
    history: ViewHistory,
    lease_ends: MonotonicTime,
    rows: BTreeMap<ReplicaName, RosterRow>,
    partitions: PartitionBook,
    power: PowerBook,
    crashes: CrashBook,
    table: KeeperTable,
    replicas_max: u32,
}

impl KeeperRoster {
    /// An entry that keeps nothing yet. `table` is drawn at start; `replicas_max` bounds the
    /// replicas kept.
    pub fn new(identity: EntryIdentity, table: u64, replicas_max: u32) -> Self {
        Self {
            history: ViewHistory::new(identity),
            lease_ends: MonotonicTime::default(),
            rows: BTreeMap::new(),
            partitions: PartitionBook::default(),
            power: PowerBook::default(),
            crashes: CrashBook::new(),
            table: KeeperTable::new(table),
            replicas_max,
        }
    }

    /// Takes in one event and says what is to be done.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        event: RosterEvent,
        actions: &mut Vec<RosterAction>,
    ) {
        match event {
            RosterEvent::View(view) => self.adopt_view(now, view, actions),
            RosterEvent::Lease(lease) => self.take_lease(now, lease, actions),
            RosterEvent::Announced(announcement) => {
                self.take_announcement(now, announcement, actions);
            }
            RosterEvent::Left(leave) => self.take_leave(now, leave, actions),
            RosterEvent::Asked { replica, ticket } => self.ask(now, &replica, ticket, actions),
            RosterEvent::Replica { replica, event } => {
                if self.step_replica(now, &replica, event, actions) {
                    self.use_freed_power(now, &replica, actions);
                }
            }
            RosterEvent::Crashes {
                keeper,
                table,
                records,
            } => self.crashes.merge(now, &keeper, table, &records),
            RosterEvent::Tick => {
                self.crashes.prune(now);
                self.tick_all(now, actions);
            }
        }
    }

    /// The last look immediately before a sub-request is written to the connection: why it must
    /// not be, if so. It then ends as [`crate::keeper::ticket::RunEnd::NotSent`].
    ///
    /// Since the decision the gate may have closed, the request may have turned out to crash
    /// backend servers, and the backend server to bear less.
    pub fn last_look(
        &self,
        now: MonotonicTime,
        replica: &ReplicaName,
        ticket: &SubTicket,
    ) -> Option<ResultCode> {
        let Some(row) = self.rows.get(replica) else {
            return Some(ResultCode::NotKeeper);
        };
        let gate = row.gate(self.lease_ends);
        let stopped = row.keeper.last_look(now, ticket.expires, &gate);
        let poisoned = self.crashes.verdict(now, ticket.digest) == CrashVerdict::Poisoned;
        let load = row.keeper.load();
        stopped
            .or_else(|| poisoned.then_some(ResultCode::RequestPoisoned))
            .or_else(|| (load.running > load.limit).then_some(ResultCode::SlotsBusy))
    }

    /// The gate of a replica.
    pub fn gate(&self, replica: &ReplicaName) -> Option<KeeperGate> {
        let row = self.rows.get(replica)?;
        Some(row.gate(self.lease_ends))
    }

    /// Whether an attempt at a replica runs alone, since its request is suspect.
    pub fn ran_alone(&self, replica: &ReplicaName, attempt: AttemptId) -> bool {
        let row = self.rows.get(replica);
        row.is_some_and(|row| row.keeper.ran_alone(attempt))
    }

    /// Load of a replica, carried back in every reply.
    pub fn load(&self, replica: &ReplicaName) -> KeeperLoad {
        let row = self.rows.get(replica);
        row.map(|row| row.keeper.load()).unwrap_or_default()
    }

    /// The last announcement of a replica.
    pub fn announcement(&self, replica: &ReplicaName) -> Option<&ReplicaAnnouncement> {
        Some(self.rows.get(replica)?.keeper.announcement())
    }

    /// Connections that may be open to a replica; see [`super::ReplicaKeeper::connections_max`].
    pub fn connections_max(&self, replica: &ReplicaName) -> u32 {
        let row = self.rows.get(replica);
        row.map_or(0, |row| row.keeper.connections_max())
    }

    /// What changed in the table of kept replicas since the asker's cursor.
    pub fn delta(&self, now: MonotonicTime, ask: TableAsk) -> TableDelta {
        TableDelta {
            crashes: self.crashes.own_records(now),
            ..self.table.delta(ask)
        }
    }

    /// Crash records, for a root entry's own look before it dispatches.
    pub fn crashes(&self) -> &CrashBook {
        &self.crashes
    }

    /// The view in force.
    pub fn view(&self) -> Option<&Arc<ControlView>> {
        self.history.view()
    }

    /// Replicas that are kept or still have work under way.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no replica is kept and nothing is under way.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether this entry keeps no replica in the view in force and nothing that it sent is under
    /// way: only then may a leaving entry tell control that it released all.
    pub fn is_released(&self) -> bool {
        !self
            .rows
            .values()
            .any(|row| row.keeps || row.keeper.load().running > 0)
    }

    /// When to step with [`RosterEvent::Tick`] next. Looks at every replica; ask after a tick
    /// and otherwise [`KeeperRoster::next_wake_of`].
    pub fn next_wake(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let rows = self.rows.values().filter_map(|row| row.keeper.next_wake());
        let lease = (self.lease_ends > now).then_some(self.lease_ends);
        rows.chain(self.history.next_wake(now)).chain(lease).min()
    }

    /// When one replica needs a [`KeeperEvent::Tick`] next.
    pub fn next_wake_of(&self, replica: &ReplicaName) -> Option<MonotonicTime> {
        self.rows.get(replica)?.keeper.next_wake()
    }

    fn take_lease(
        &mut self,
        now: MonotonicTime,
        lease: FreshnessLease,
        actions: &mut Vec<RosterAction>,
    ) {
        if self
            .view()
            .is_some_and(|view| view.version == lease.version())
        {
            self.lease_ends = self.lease_ends.max(lease.ends());
            self.tick_all(now, actions);
        }
    }

    fn adopt_view(
        &mut self,
        now: MonotonicTime,
        view: Arc<ControlView>,
        actions: &mut Vec<RosterAction>,
    ) {
        let lease_held = now < self.lease_ends;
        let version = view.version;
        if !self.history.adopt(now, view, lease_held) {
            return;
        }
        let draft = EventDraft::new(EventKind::ViewAdopted).with_version(version);
        actions.push(RosterAction::Note(draft));
        let names: Vec<_> = self.rows.keys().cloned().collect();
        for replica in names {
            self.refresh_row(now, &replica, actions);
        }
        self.tick_all(now, actions);
    }

    /// Works out anew whether and from when on a replica is kept.
    fn refresh_row(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        actions: &mut Vec<RosterAction>,
    ) {
        let Some(row) = self.rows.get_mut(replica) else {
            return;
        };
        let centre = row.keeper.announcement().data_centre.clone();
        let keeps = self.history.keeps(&centre, replica);
        let opens = self.history.opens(&centre, replica);
        row.centre_in = centre_takes_work(self.history.view(), self.history.identity(), &centre);
        row.opens = opens;
        let kept = row.keeps;
        row.keeps = keeps;
        if keeps && !kept && now < opens {
            row.started = false;
            let draft = EventDraft::new(EventKind::KeepWaiting).with_replica(replica);
            actions.push(RosterAction::Note(draft));
        } else if !keeps {
            row.started = false;
        }
    }

    fn tick_all(&mut self, now: MonotonicTime, actions: &mut Vec<RosterAction>) {
        let names: Vec<_> = self.rows.keys().cloned().collect();
        for replica in names {
            self.step_replica(now, &replica, KeeperEvent::Tick, actions);
            self.note_start(now, &replica, actions);
            self.remove_if_done(now, &replica, actions);
        }
    }

    fn note_start(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        actions: &mut Vec<RosterAction>,
    ) {
        let Some(row) = self.rows.get_mut(replica) else {
            return;
        };
        if row.keeps && !row.started && now >= row.opens {
            row.started = true;
            let draft = EventDraft::new(EventKind::KeepStarted).with_replica(replica);
            actions.push(RosterAction::Note(draft));
        }
    }

    fn remove_if_done(
        &mut self,
        now: MonotonicTime,
        replica: &ReplicaName,
        actions: &mut Vec<RosterAction>,
    ) {
        let Some(row) = self.rows.get(replica) else {
            return;
        };
        let load = row.keeper.load();
        let lost = !row.keeps && load.running == 0 && load.queued == 0;
        if !lost && !row.keeper.is_idle(now) {
            return;
        }
        if let Some(row) = self.rows.remove(replica) {
            self.partitions.remove(row.keeper.announcement());
            self.table.remove(replica);
            let draft = EventDraft::new(EventKind::KeepReleased).with_replica(replica);
            actions.push(RosterAction::Note(draft));
        }
    }
}

fn centre_takes_work(
    view: Option<&Arc<ControlView>>,
    identity: &EntryIdentity,
    centre: &CentreName,
) -> bool {
    let document = view.and_then(|view| view.environments.get(&identity.environment));
    document
        .and_then(|document| document.find_centre(centre))
        .is_some_and(|centre| centre.state == CentreState::In)
}
