//! Model of the entries: starts, announcements, route tables and incoming events.

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

use crate::world::{
    CENTRES, ENVIRONMENT, Endpoint, Entry, EntryStart, MS, SECOND, SimEvent, World,
};

/// Maximum duration of a shutdown.
const SHUTDOWN_TIMEOUT: u64 = 30 * SECOND;
/// Time for which callers may still use an entry that has started to leave.
pub const ADDRESS_KEEP_TIME: u64 = 8 * SECOND;

impl World {
    pub fn add_entry(&mut self, index: usize) {
        let vm: VmName = format!("vm-{index}").as_str().into();
        let entry = Entry {
            centre: CENTRES[index % CENTRES.len()].into(),
            start: 0,
            alive: false,
            frozen_until: 0,
            offset: self.random.random_range(0..100 * SECOND),
            drift_ppm: self.random.random_range(-1_000..=1_000),
            keeper_set: make_keeper_set(&vm, 0, 0),
            routes: RouteTable::seeded(0),
            vm,
            lease: FreshnessLease::default(),
            view: Arc::new(ControlView::default()),
            leaving: false,
            released: false,
            leaving_since: 0,
            control: index,
            calls: HashMap::new(),
            searches: BTreeMap::new(),
            waiters: HashMap::new(),
            sequence: 0,
            origin: 0,
            cold_servers: HashMap::new(),
        };
        self.entries.push(entry);
        self.start_entry(index);
    }

    /// Starts an entry unless it is running.
    pub fn start_entry(&mut self, index: usize) {
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
        entry.frozen_until = 0;
        entry.keeper_set = make_keeper_set(&entry.vm, entry.start, table);
        entry.routes = RouteTable::seeded(seed);
        entry.lease = FreshnessLease::default();
        entry.view = Arc::new(ControlView::default());
        entry.leaving = false;
        entry.released = false;
        entry.calls.clear();
        entry.searches.clear();
        entry.waiters.clear();
        entry.origin = origin;
        entry.cold_servers.clear();
        for event in [SimEvent::Renew, SimEvent::Tick, SimEvent::Tables] {
            self.push_to(0, index, event);
        }
    }

    pub fn kill(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.alive = false;
        entry.searches.clear();
        self.counts.restarts += 1;
        let down = self.random.random_range(100 * MS..6 * SECOND);
        self.push(down, None, SimEvent::StartEntry(index));
    }

    pub fn handle_entry_event(&mut self, index: usize, event: SimEvent) {
        match event {
            SimEvent::Renew => self.renew(index),
            SimEvent::Tick => self.tick(index),
            SimEvent::Tables => self.request_tables(index),
            SimEvent::CallTimeout(call) => self.time_out_call(index, call),
            SimEvent::ControlReply { call, reply } => self.handle_control_reply(index, call, reply),
            SimEvent::TableRequested { from, request } => self.send_table(index, from, request),
            SimEvent::Table { from, delta } => self.apply_table(index, from, delta),
            SimEvent::Announced(announcement) => self.apply_announcement(index, announcement),
            SimEvent::Left { departure, server } => self.apply_departure(index, departure, server),
            SimEvent::Query { submission } => self.start_search(index, submission),
            SimEvent::Wake(search) => self.wake_search(index, search),
            SimEvent::CallKeeper { search, sub } => self.call_keeper(index, search, &sub),
            SimEvent::SubTimeout { search, attempt } => self.time_out_sub(index, search, attempt),
            SimEvent::SubRequested {
                from,
                search,
                request,
            } => self.accept_sub_request(index, from, search, request),
            SimEvent::SubReplied {
                search,
                attempt,
                reply,
            } => self.step_search(index, search, SearchEvent::SubEnded { attempt, reply }),
            SimEvent::Dropped { replica, attempt } => self.drop_sub(index, replica, attempt),
            SimEvent::Write(attempt) => self.dispatch_sub_request(index, attempt),
            SimEvent::Expired(attempt) => self.expire(index, attempt),
            SimEvent::Ended { attempt, end, body } => self.end_run(index, attempt, end, body),
            SimEvent::CancelEnded {
                replica,
                attempt,
                stopped,
            } => self.end_cancel(index, replica, attempt, stopped),
            event => unreachable!("{event:?} is not for an entry"),
        }
    }

    fn tick(&mut self, index: usize) {
        self.step_keeper_set(index, KeeperSetEvent::Tick);
        let interval = self.random.random_range(5 * MS..20 * MS);
        self.push_to(interval, index, SimEvent::Tick);
        let now = self.now;
        let entry = &self.entries[index];
        let waited = now.saturating_sub(entry.leaving_since);
        // An entry that was removed from the view before it started to leave never learns that
        // it may stop early.
        let slow = waited > SHUTDOWN_TIMEOUT;
        let may_stop = (entry.released && waited > ADDRESS_KEEP_TIME) || slow;
        if entry.leaving && may_stop && entry.searches.is_empty() {
            assert!(entry.waiters.is_empty(), "a graceful leave aborted work");
            self.counts.leaves += 1;
            self.counts.slow_leaves += u64::from(slow);
            self.kill(index);
        }
    }

    fn request_tables(&mut self, index: usize) {
        self.push_to(100 * MS, index, SimEvent::Tables);
        let view = Arc::clone(&self.entries[index].view);
        for keeper in self.entries[index].routes.keepers() {
            if !view.entries.iter().any(|entry| entry.vm == keeper) {
                self.entries[index].routes.drop_keeper(&keeper);
            }
        }
        let from = self.start_of(index);
        for record in &view.entries {
            let request = self.entries[index].routes.table_request(&record.vm);
            let Some(other) = self.find_entry(&record.vm) else {
                continue;
            };
            if other == index {
                self.send_table(index, from, request);
            } else if let Some(delay) = self.transit(Endpoint::Entry(index), Endpoint::Entry(other))
            {
                self.push_to(delay, other, SimEvent::TableRequested { from, request });
            }
        }
    }

    fn send_table(&mut self, index: usize, from: EntryStart, request: TableRequest) {
        let entry = &self.entries[index];
        let delta = entry.keeper_set.delta(entry.local_time(self.now), request);
        if from.index == index {
            self.apply_table(index, index, delta);
        } else if let Some(delay) =
            self.transit(Endpoint::Entry(index), Endpoint::Entry(from.index))
        {
            self.push(delay, Some(from), SimEvent::Table { from: index, delta });
        }
    }

    fn apply_table(&mut self, index: usize, from: usize, delta: TableDelta) {
        let vm = self.entries[from].vm.clone();
        if from != index {
            let event = KeeperSetEvent::Crashes {
                keeper: vm.clone(),
                table: delta.table,
                records: delta.crashes.clone(),
            };
            self.step_keeper_set(index, event);
        }
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.routes.advance(entry.local_time(now));
        entry.routes.apply_delta(&vm, delta);
    }

    pub fn find_entry(&self, vm: &VmName) -> Option<usize> {
        self.entries.iter().position(|entry| entry.vm == *vm)
    }

    /// Returns the keeper of a server's replica according to this entry's view.
    pub fn keeper_of(&self, index: usize, server: usize) -> Option<usize> {
        let announcement = &self.servers[server].announcement;
        let (centre, replica) = (&announcement.data_centre, &announcement.replica);
        let view = &self.entries[index].view;
        let record = find_keeper(view, &ENVIRONMENT.into(), centre, replica)?;
        self.find_entry(&record.vm)
    }

    fn apply_announcement(&mut self, index: usize, announcement: ReplicaAnnouncement) {
        let server = self.find_server(&announcement.replica);
        match self.keeper_of(index, server) {
            Some(keeper) if keeper == index => {
                let (state, incarnation) = (announcement.state, announcement.incarnation);
                let reply = self.step_keeper_set(index, KeeperSetEvent::Announced(announcement));
                if reply == Some(ResultCode::Ok) && state == ServerState::Cold {
                    self.entries[index].cold_servers.insert(server, incarnation);
                }
            }
            Some(keeper) => {
                if let Some(delay) = self.transit(Endpoint::Entry(index), Endpoint::Entry(keeper)) {
                    self.push_to(delay, keeper, SimEvent::Announced(announcement));
                }
            }
            None => {}
        }
    }

    fn apply_departure(&mut self, index: usize, departure: ReplicaDeparture, server: usize) {
        let announcement = self.entries[index]
            .keeper_set
            .announcement(&departure.replica);
        if announcement.is_some() {
            let incarnation = departure.incarnation;
            if self.step_keeper_set(index, KeeperSetEvent::Left(departure)) == Some(ResultCode::Ok)
            {
                let server = &mut self.servers[server];
                if server.draining && server.announcement.incarnation == incarnation {
                    server.leave_accepted.get_or_insert(self.now);
                }
            }
            return;
        }
        if let Some(keeper) = self.keeper_of(index, server)
            && keeper != index
            && let Some(delay) = self.transit(Endpoint::Entry(index), Endpoint::Entry(keeper))
        {
            self.push_to(delay, keeper, SimEvent::Left { departure, server });
        }
    }
}

fn make_keeper_set(vm: &VmName, start: u64, table: u64) -> KeeperSet {
    let identity = EntryIdentity {
        vm: vm.clone(),
        incarnation: IncarnationNumber(start),
        environment: ENVIRONMENT.into(),
    };
    KeeperSet::new(identity, table, 100)
}
