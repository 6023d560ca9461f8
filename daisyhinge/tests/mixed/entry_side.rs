//! Entries: starts, announcements, tables, and what reaches them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use daisyhinge::keeper::keeper_set::{KeeperSet, KeeperSetEvent};
use daisyhinge::keeper::view_history::EntryIdentity;
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::rendezvous::find_keeper;
use daisyhinge::search::SearchEvent;
use daisyhinge::search::route::RouteTable;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaDeparture, ServerState};
use daisyhinge::vocabulary::replica::{TableDelta, TableRequest};
use daisyhinge::vocabulary::view::ControlView;
use rand::RngExt;

use crate::world::{CENTRES, ENVIRONMENT, Entry, EntryStart, Item, MS, Place, SECOND, World};

/// How long a shutdown lasts at most.
const SHUTDOWN_MAX_SPAN: u64 = 30 * SECOND;
/// How long callers may use an entry after it began to leave.
pub const KEEP_ADDRESS_SPAN: u64 = 8 * SECOND;

impl World {
    pub fn add_entry(&mut self, index: usize) {
        let vm: VmName = format!("vm-{index}").as_str().into();
        let entry = Entry {
            centre: CENTRES[index % CENTRES.len()].into(),
            start: 0,
            alive: false,
            frozen: 0,
            offset: self.random.random_range(0..100 * SECOND),
            drift_ppm: self.random.random_range(-1_000..=1_000),
            keeper_set: make_roster(&vm, 0, 0),
            routes: RouteTable::seeded(0),
            vm,
            lease: FreshnessLease::default(),
            view: Arc::new(ControlView::default()),
            leaving: false,
            released: false,
            left_at: 0,
            control: index,
            calls: HashMap::new(),
            searches: BTreeMap::new(),
            waiters: HashMap::new(),
            sequence: 0,
            origin: 0,
            knows_cold: HashMap::new(),
        };
        self.entries.push(entry);
        self.revive(index);
    }

    /// Starts an entry that is down.
    pub fn revive(&mut self, index: usize) {
        if self.entries[index].alive {
            return;
        }
        let (table, seed, origin) = (
            self.random.random_range(1..u64::MAX),
            self.random.random(),
            self.random.random(),
        );
        let entry = &mut self.entries[index];
        entry.start += 1;
        entry.alive = true;
        entry.frozen = 0;
        entry.keeper_set = make_roster(&entry.vm, entry.start, table);
        entry.routes = RouteTable::seeded(seed);
        entry.lease = FreshnessLease::default();
        entry.view = Arc::new(ControlView::default());
        entry.leaving = false;
        entry.released = false;
        entry.calls.clear();
        entry.searches.clear();
        entry.waiters.clear();
        entry.origin = origin;
        entry.knows_cold.clear();
        for item in [Item::Renew, Item::Tick, Item::Tables] {
            self.push_at(0, index, item);
        }
    }

    pub fn kill(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.alive = false;
        entry.searches.clear();
        self.counts.restarts += 1;
        let down = self.random.random_range(100 * MS..6 * SECOND);
        self.push(down, None, Item::Revive(index));
    }

    pub fn take_at_entry(&mut self, index: usize, item: Item) {
        match item {
            Item::Renew => self.renew(index),
            Item::Tick => self.tick(index),
            Item::Tables => self.ask_tables(index),
            Item::CallTimeout(call) => self.time_out_call(index, call),
            Item::ControlReply { call, reply } => self.take_control_reply(index, call, reply),
            Item::AskTable { from, ask } => self.tell_table(index, from, ask),
            Item::Table { from, delta } => self.take_table(index, from, delta),
            Item::Announced(announcement) => self.hear(index, announcement),
            Item::Left { leave, server } => self.hear_leave(index, leave, server),
            Item::Query { submission } => self.start_search(index, submission),
            Item::Wake(search) => self.wake_search(index, search),
            Item::CallKeeper { search, sub } => self.call_keeper(index, search, &sub),
            Item::SubTimeout { search, attempt } => self.time_out_sub(index, search, attempt),
            Item::Sub { from, search, ask } => self.run_sub(index, from, search, ask),
            Item::SubReplied {
                search,
                attempt,
                reply,
            } => self.step_search(index, search, SearchEvent::SubEnded { attempt, reply }),
            Item::Dropped { replica, attempt } => self.drop_sub(index, replica, attempt),
            Item::Write(attempt) => self.write(index, attempt),
            Item::Expired(attempt) => self.expire(index, attempt),
            Item::Ended { attempt, end, body } => self.end_run(index, attempt, end, body),
            Item::CancelEnded {
                replica,
                attempt,
                stopped,
            } => self.end_cancel(index, replica, attempt, stopped),
            item => unreachable!("{item:?} is not for an entry"),
        }
    }

    fn tick(&mut self, index: usize) {
        self.step_roster(index, KeeperSetEvent::Tick);
        let gap = self.random.random_range(5 * MS..20 * MS);
        self.push_at(gap, index, Item::Tick);
        let now = self.now;
        let entry = &self.entries[index];
        let waited = now.saturating_sub(entry.left_at);
        // One that was struck off the list before it left is not told that it may stop early.
        let slow = waited > SHUTDOWN_MAX_SPAN;
        let over = (entry.released && waited > KEEP_ADDRESS_SPAN) || slow;
        if entry.leaving && over && entry.searches.is_empty() {
            assert!(entry.waiters.is_empty(), "a graceful leave cut work");
            self.counts.leaves += 1;
            self.counts.slow_leaves += u64::from(slow);
            self.kill(index);
        }
    }

    fn ask_tables(&mut self, index: usize) {
        self.push_at(100 * MS, index, Item::Tables);
        let view = Arc::clone(&self.entries[index].view);
        for keeper in self.entries[index].routes.keepers() {
            if !view.entries.iter().any(|entry| entry.vm == keeper) {
                self.entries[index].routes.drop_keeper(&keeper);
            }
        }
        let from = self.start_of(index);
        for record in &view.entries {
            let ask = self.entries[index].routes.table_request(&record.vm);
            let Some(other) = self.find_entry(&record.vm) else {
                continue;
            };
            if other == index {
                self.tell_table(index, from, ask);
            } else if let Some(delay) = self.transit(Place::Entry(index), Place::Entry(other)) {
                self.push_at(delay, other, Item::AskTable { from, ask });
            }
        }
    }

    fn tell_table(&mut self, index: usize, from: EntryStart, ask: TableRequest) {
        let entry = &self.entries[index];
        let delta = entry.keeper_set.delta(entry.local(self.now), ask);
        if from.index == index {
            self.take_table(index, index, delta);
        } else if let Some(delay) = self.transit(Place::Entry(index), Place::Entry(from.index)) {
            self.push(delay, Some(from), Item::Table { from: index, delta });
        }
    }

    fn take_table(&mut self, index: usize, from: usize, delta: TableDelta) {
        let vm = self.entries[from].vm.clone();
        if from != index {
            let event = KeeperSetEvent::Crashes {
                keeper: vm.clone(),
                table: delta.table,
                records: delta.crashes.clone(),
            };
            self.step_roster(index, event);
        }
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.routes.advance(entry.local(now));
        entry.routes.apply_delta(&vm, delta);
    }

    pub fn find_entry(&self, vm: &VmName) -> Option<usize> {
        self.entries.iter().position(|entry| entry.vm == *vm)
    }

    /// Who keeps a server's replica as this entry sees it.
    pub fn keeper_of(&self, index: usize, server: usize) -> Option<usize> {
        let announcement = &self.servers[server].announcement;
        let (centre, replica) = (&announcement.data_centre, &announcement.replica);
        let view = &self.entries[index].view;
        let record = find_keeper(view, &ENVIRONMENT.into(), centre, replica)?;
        self.find_entry(&record.vm)
    }

    fn hear(&mut self, index: usize, announcement: ReplicaAnnouncement) {
        let server = self.find_server(&announcement.replica);
        match self.keeper_of(index, server) {
            Some(keeper) if keeper == index => {
                let (state, incarnation) = (announcement.state, announcement.incarnation);
                let reply = self.step_roster(index, KeeperSetEvent::Announced(announcement));
                if reply == Some(ResultCode::Ok) && state == ServerState::Cold {
                    self.entries[index].knows_cold.insert(server, incarnation);
                }
            }
            Some(keeper) => {
                if let Some(delay) = self.transit(Place::Entry(index), Place::Entry(keeper)) {
                    self.push_at(delay, keeper, Item::Announced(announcement));
                }
            }
            None => {}
        }
    }

    fn hear_leave(&mut self, index: usize, leave: ReplicaDeparture, server: usize) {
        let held = self.entries[index].keeper_set.announcement(&leave.replica);
        if held.is_some() {
            let incarnation = leave.incarnation;
            if self.step_roster(index, KeeperSetEvent::Left(leave)) == Some(ResultCode::Ok) {
                let server = &mut self.servers[server];
                if server.left && server.announcement.incarnation == incarnation {
                    server.leave_accepted.get_or_insert(self.now);
                }
            }
            return;
        }
        if let Some(keeper) = self.keeper_of(index, server)
            && keeper != index
            && let Some(delay) = self.transit(Place::Entry(index), Place::Entry(keeper))
        {
            self.push_at(delay, keeper, Item::Left { leave, server });
        }
    }
}

fn make_roster(vm: &VmName, start: u64, table: u64) -> KeeperSet {
    let identity = EntryIdentity {
        vm: vm.clone(),
        incarnation: IncarnationNumber(start),
        environment: ENVIRONMENT.into(),
    };
    KeeperSet::new(identity, table, 100)
}
