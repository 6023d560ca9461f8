//! A model of entries, control and backend servers around the machines, driven by one seed.
//!
//! The model knows the true time and what every backend server really works on, and asserts what
//! must hold. Entries see drifting clocks, late and repeated messages, freezes and restarts.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::keeper::history::{EntryIdentity, handover_span};
use daisyhinge::keeper::roster::{KeeperRoster, RosterAction, RosterEvent};
use daisyhinge::keeper::ticket::{RunEnd, SubTicket};
use daisyhinge::keeper::{KeeperAction, KeeperEvent};
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::rendezvous::find_keeper;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaLeave, ServerState};
use daisyhinge::vocabulary::environment::{CentreState, EnvironmentDocument};
use daisyhinge::vocabulary::freshness::LEASE_SPAN;
use daisyhinge::vocabulary::replica::{CrashRecord, TableAsk};
use daisyhinge::vocabulary::view::{ControlView, DepartedEntry, EntryState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{CENTRE, ENVIRONMENT, announce, entry, ticket, view};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const SLOTS: u32 = 2;
const SILENCE_MAX: u64 = 3 * SECOND;
const POISONS: u64 = 3;

/// What one run did, to see that it was worth something.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorldCounts {
    pub asked: u64,
    pub answered: u64,
    pub refused: u64,
    pub not_sent: u64,
    pub cold_arrivals: u64,
    pub keeper_changes: u64,
    pub crashes: u64,
    pub poison_refusals: u64,
    pub cancels: u64,
    pub capped: u64,
}

impl WorldCounts {
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.answered += other.answered;
        self.refused += other.refused;
        self.not_sent += other.not_sent;
        self.cold_arrivals += other.cold_arrivals;
        self.keeper_changes += other.keeper_changes;
        self.crashes += other.crashes;
        self.poison_refusals += other.poison_refusals;
        self.cancels += other.cancels;
        self.capped += other.capped;
    }
}

#[derive(Clone, Debug)]
enum Item {
    Renew,
    Proof {
        asked: MonotonicTime,
        version: usize,
        age: Duration,
    },
    Announce(usize),
    Announced(ReplicaAnnouncement),
    Left(usize, IncarnationNumber),
    Ask,
    Write(AttemptId),
    Arrive {
        entry: usize,
        start: u64,
        run: OpenRun,
    },
    Stop {
        server: usize,
        attempt: AttemptId,
        answers: bool,
    },
    Timeout(AttemptId),
    Ended(AttemptId, RunEnd),
    Drop(usize, AttemptId),
    CancelArrive {
        entry: usize,
        start: u64,
        server: usize,
        attempt: AttemptId,
    },
    CancelEnd {
        server: usize,
        attempt: AttemptId,
        stopped: bool,
    },
    Tick,
    Spread,
    Crashes {
        vm: VmName,
        table: u64,
        records: Vec<CrashRecord>,
    },
    Control,
    Fault,
    Restart(usize),
    TurnReady(usize, IncarnationNumber),
    Revive(usize),
}

/// A start of an entry, by its place.
type Recipient = Option<(usize, u64)>;

#[derive(Clone, Debug)]
struct QueuedItem {
    to: Recipient,
    item: Item,
}

#[derive(Clone, Copy, Debug)]
struct OpenRun {
    server: usize,
    ticket: SubTicket,
    left: Duration,
    sent: u64,
    knew_cold: bool,
}

struct Entry {
    vm: VmName,
    /// Counts starts; messages to an earlier one are lost.
    start: u64,
    roster: KeeperRoster,
    lease: FreshnessLease,
    frozen: u64,
    alive: bool,
    offset: u64,
    drift_ppm: i64,
    heard: u64,
    open: HashMap<AttemptId, OpenRun>,
    /// Cold incarnation that each server announced here.
    knows_cold: HashMap<usize, IncarnationNumber>,
    left: HashMap<usize, (IncarnationNumber, u64)>,
}

impl Entry {
    fn local(&self, now: u64) -> MonotonicTime {
        let drift = i128::from(now) * i128::from(self.drift_ppm) / 1_000_000;
        let local = i128::from(now) + drift + i128::from(self.offset);
        MonotonicTime(u64::try_from(local).expect("a positive time"))
    }
}

struct Work {
    attempt: AttemptId,
    entry: usize,
    start: u64,
    sent: u64,
}

struct Server {
    announcement: ReplicaAnnouncement,
    up: bool,
    left: bool,
    /// What it really bears now.
    bears: u32,
    working: Vec<Work>,
    /// Entry and version of the last dispatch.
    last: Option<(usize, VersionNumber)>,
}

struct Version {
    committed: u64,
    view: Arc<ControlView>,
}

pub struct World {
    random: ChaCha8Rng,
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), QueuedItem>,
    versions: Vec<Version>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    pending: HashMap<AttemptId, (usize, u64)>,
    written: HashSet<AttemptId>,
    crashed: HashMap<u64, u64>,
    gone: Vec<(u64, DepartedEntry)>,
    entry_faults: bool,
    pub counts: WorldCounts,
}

impl World {
    pub fn new(seed: u64, entry_faults: bool) -> Self {
        let records: Vec<_> = (0..3)
            .map(|number| entry(&format!("vm-{number}"), 1))
            .collect();
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            versions: vec![Version {
                committed: 0,
                view: view(1, &records, &[], None),
            }],
            entries: Vec::new(),
            servers: Vec::new(),
            pending: HashMap::new(),
            written: HashSet::new(),
            crashed: HashMap::new(),
            gone: Vec::new(),
            entry_faults,
            counts: WorldCounts::default(),
        };
        for index in 0..3 {
            let offset = world.random.random_range(0..100 * SECOND);
            let drift_ppm = world.random.random_range(-1_000..=1_000);
            let vm: VmName = format!("vm-{index}").as_str().into();
            world.entries.push(Entry {
                roster: new_roster(&vm, 1),
                vm,
                start: 1,
                lease: FreshnessLease::default(),
                frozen: 0,
                alive: true,
                offset,
                drift_ppm,
                heard: 0,
                open: HashMap::new(),
                knows_cold: HashMap::new(),
                left: HashMap::new(),
            });
            world.start_entry(index);
        }
        for index in 0..4 {
            let mut announcement = announce(&format!("r{index}"), 0);
            announcement.cold_allowance = u32::from(index % 2 == 0);
            world.servers.push(Server {
                announcement,
                up: true,
                left: false,
                bears: SLOTS,
                working: Vec::new(),
                last: None,
            });
            world.push(0, None, Item::Announce(index));
        }
        world.push(0, None, Item::Ask);
        world.push(0, None, Item::Control);
        world.push(6 * SECOND, None, Item::Fault);
        world
    }

    /// Runs until `end`, in seconds.
    pub fn run(&mut self, end: u64) {
        while self.now < end * SECOND {
            let ((at, _), QueuedItem { to, item }) = self.queue.pop_first().expect("an item");
            self.now = at;
            if let Some((index, start)) = to {
                let entry = &self.entries[index];
                if entry.start != start || !entry.alive {
                    continue;
                }
                if entry.frozen > at {
                    let (delay, start) = (entry.frozen - at, entry.start);
                    self.push(delay, Some((index, start)), item);
                    continue;
                }
                self.take_at_entry(index, item);
            } else {
                self.take(item);
            }
        }
        self.check_replies();
    }

    fn push(&mut self, delay: u64, to: Recipient, item: Item) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), QueuedItem { to, item });
    }

    fn push_to(&mut self, delay: u64, index: usize, item: Item) {
        let start = self.entries[index].start;
        self.push(delay, Some((index, start)), item);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// A delay that is mostly short and sometimes up to `late`.
    fn delay(&mut self, late: u64) -> u64 {
        if self.chance(1) {
            self.random.random_range(0..late)
        } else {
            self.random.random_range(200..2 * MS)
        }
    }

    fn start_entry(&mut self, index: usize) {
        self.push_to(0, index, Item::Renew);
        self.push_to(0, index, Item::Tick);
        self.push_to(0, index, Item::Spread);
    }

    fn latest(&self) -> &Version {
        self.versions.last().expect("a version")
    }

    fn take(&mut self, item: Item) {
        match item {
            Item::Announce(server) => self.announce(server),
            Item::Ask => self.ask(),
            Item::Arrive { entry, start, run } => self.arrive(entry, start, run),
            Item::Stop {
                server,
                attempt,
                answers,
            } => self.stop(server, attempt, answers),
            Item::CancelArrive {
                entry,
                start,
                server,
                attempt,
            } => {
                self.cancel(entry, start, server, attempt);
            }
            Item::Control => self.control(),
            Item::Fault => self.fault(),
            Item::Restart(server) => self.restart(server),
            Item::TurnReady(server, incarnation) => {
                let server = &mut self.servers[server];
                if server.announcement.incarnation == incarnation {
                    server.announcement.state = ServerState::Ready;
                    server.bears = SLOTS;
                }
            }
            Item::Revive(index) => self.revive(index),
            item => unreachable!("{item:?} is for an entry"),
        }
    }

    fn take_at_entry(&mut self, index: usize, item: Item) {
        match item {
            Item::Renew => self.renew(index),
            Item::Proof {
                asked,
                version,
                age,
            } => {
                let view = Arc::clone(&self.versions[version].view);
                let number = view.version;
                self.step(index, RosterEvent::View(view));
                self.entries[index].lease.renew(number, asked, age);
                let lease = self.entries[index].lease;
                self.step(index, RosterEvent::Lease(lease));
            }
            Item::Announced(announcement) => self.hear(index, announcement),
            Item::Left(server, incarnation) => {
                let replica = self.servers[server].announcement.replica.clone();
                let leave = ReplicaLeave {
                    replica,
                    incarnation,
                };
                if self.step(index, RosterEvent::Left(leave)) == Some(ResultCode::Ok) {
                    let known = self.entries[index]
                        .left
                        .entry(server)
                        .or_insert((incarnation, 0));
                    if known.1 == 0 || known.0 != incarnation {
                        *known = (incarnation, self.now);
                    }
                }
            }
            Item::Write(attempt) => self.write(index, attempt),
            Item::Timeout(attempt) => {
                if self.entries[index].open.contains_key(&attempt) {
                    self.end(index, attempt, RunEnd::Expired);
                }
            }
            Item::Ended(attempt, end) => self.end(index, attempt, end),
            Item::Drop(server, attempt) => {
                self.step_replica(index, server, KeeperEvent::Dropped(attempt));
            }
            Item::CancelEnd {
                server,
                attempt,
                stopped,
            } => {
                let event = KeeperEvent::CancelEnded { attempt, stopped };
                self.step_replica(index, server, event);
            }
            Item::Tick => {
                self.step(index, RosterEvent::Tick);
                self.push_to(5 * MS, index, Item::Tick);
            }
            Item::Spread => self.spread(index),
            Item::Crashes { vm, table, records } => {
                let event = RosterEvent::Crashes {
                    keeper: vm,
                    table,
                    records,
                };
                self.step(index, event);
            }
            item => unreachable!("{item:?} is not for an entry"),
        }
    }

    fn step(&mut self, index: usize, event: RosterEvent) -> Option<ResultCode> {
        let mut actions = Vec::new();
        let entry = &mut self.entries[index];
        let local = entry.local(self.now);
        entry.roster.step(local, event, &mut actions);
        let mut reply = None;
        for action in actions {
            match action {
                RosterAction::Replica { replica, action } => self.act(index, &replica, &action),
                RosterAction::Announced { code, .. } => reply = Some(code),
                RosterAction::Note(_) => {}
            }
        }
        reply
    }

    fn step_replica(&mut self, index: usize, server: usize, event: KeeperEvent) {
        let replica = self.servers[server].announcement.replica.clone();
        self.step(index, RosterEvent::Replica { replica, event });
    }

    fn act(&mut self, index: usize, replica: &ReplicaName, action: &KeeperAction) {
        let named = |server: &Server| server.announcement.replica == *replica;
        let server = self.servers.iter().position(named).expect("a server");
        match *action {
            KeeperAction::Send(attempt) => {
                assert!(
                    self.pending.remove(&attempt).is_some(),
                    "sent or refused twice"
                );
                let delay = self.delay(300 * MS);
                self.push_to(delay, index, Item::Write(attempt));
            }
            KeeperAction::Refuse { attempt, refusal } => {
                assert_eq!(refusal.run, RunState::NotRun);
                assert!(
                    !self.written.contains(&attempt),
                    "refused though it was sent"
                );
                assert!(
                    self.pending.remove(&attempt).is_some(),
                    "sent or refused twice"
                );
                self.entries[index].open.remove(&attempt);
                self.counts.refused += 1;
                let poison = refusal.code == ResultCode::RequestPoisoned;
                self.counts.poison_refusals += u64::from(poison);
                self.counts.capped += u64::from(refusal.code == ResultCode::PowerCapReached);
            }
            KeeperAction::SendCancel(attempt) => {
                let start = self.entries[index].start;
                let delay = self.delay(100 * MS);
                self.push(
                    delay,
                    None,
                    Item::CancelArrive {
                        entry: index,
                        start,
                        server,
                        attempt,
                    },
                );
            }
            KeeperAction::Publish | KeeperAction::Note(_) => {}
        }
    }

    fn ask(&mut self) {
        let gap = self.random.random_range(200..4 * MS);
        self.push(gap, None, Item::Ask);
        let server = self.random.random_range(0..self.servers.len());
        let back = usize::from(self.chance(5)).min(self.versions.len() - 1);
        let stale = &self.versions[self.versions.len() - 1 - back];
        let name = self.servers[server].announcement.replica.clone();
        let keeper = find_keeper(&stale.view, &ENVIRONMENT.into(), &CENTRE.into(), &name);
        let Some(vm) = keeper.map(|entry| entry.vm.clone()) else {
            return;
        };
        let index = self
            .entries
            .iter()
            .position(|entry| entry.vm == vm)
            .expect("an entry");
        if !self.entries[index].alive || self.entries[index].frozen > self.now {
            return;
        }
        self.counts.asked += 1;
        let number = self.counts.asked;
        let span = self.random.random_range(10 * MS..400 * MS);
        let local = self.entries[index].local(self.now);
        let mut ticket = ticket(number, local + Duration::from_micros(span));
        ticket.hedge = self.chance(10);
        ticket.digest = RequestDigest(1_000 + number % 50);
        if number.is_multiple_of(400) {
            ticket.digest = RequestDigest(number / 400 % POISONS);
        }
        self.pending
            .insert(ticket.attempt, (index, self.now + span));
        let run = OpenRun {
            server,
            ticket,
            left: Duration::ZERO,
            sent: 0,
            knew_cold: false,
        };
        self.entries[index].open.insert(ticket.attempt, run);
        if self.chance(10) {
            let delay = self.random.random_range(0..span);
            self.push_to(delay, index, Item::Drop(server, ticket.attempt));
        }
        self.step(
            index,
            RosterEvent::Asked {
                replica: name,
                ticket,
            },
        );
    }

    /// The shell's last look, and the dispatch.
    fn write(&mut self, index: usize, attempt: AttemptId) {
        let entry = &self.entries[index];
        let local = entry.local(self.now);
        let Some(run) = entry.open.get(&attempt).copied() else {
            return;
        };
        let replica = self.servers[run.server].announcement.replica.clone();
        let closed = entry
            .roster
            .gate(&replica)
            .is_none_or(|gate| gate.refuse_reason(local).is_some());
        if closed || local >= run.ticket.expires {
            self.counts.not_sent += 1;
            self.end(index, attempt, RunEnd::NotSent);
            return;
        }
        self.check_write(index, run.server);
        assert!(self.written.insert(attempt), "written twice");
        let server = &self.servers[run.server];
        let known = self.entries[index].knows_cold.get(&run.server);
        let run = OpenRun {
            left: run.ticket.expires.since(local),
            sent: self.now,
            knew_cold: known == Some(&server.announcement.incarnation),
            ..run
        };
        let entry = &mut self.entries[index];
        entry.open.insert(attempt, run);
        let start = entry.start;
        let delay = self.delay(200 * MS);
        self.push(
            delay,
            None,
            Item::Arrive {
                entry: index,
                start,
                run,
            },
        );
        let left = u64::try_from(run.left.as_micros()).expect("a short time");
        self.push_to(left, index, Item::Timeout(attempt));
        self.step_replica(index, run.server, KeeperEvent::Written(attempt));
    }

    fn check_write(&mut self, index: usize, server: usize) {
        let entry = &self.entries[index];
        let in_force = Arc::clone(entry.roster.view().expect("a view"));
        let next = self
            .versions
            .iter()
            .find(|next| next.view.version > in_force.version);
        let lease = u64::try_from(LEASE_SPAN.as_micros()).expect("a short time");
        let lease = lease + lease / 500 + MS;
        assert!(
            next.is_none_or(|next| self.now <= next.committed + lease),
            "work was sent on a version that was superseded long ago"
        );
        let replica = &self.servers[server].announcement.replica;
        let document = &in_force.environments[&ENVIRONMENT.into()];
        let centre = document
            .find_centre(&CENTRE.into())
            .expect("the data centre");
        assert_eq!(
            centre.state,
            CentreState::In,
            "work was sent to a data centre taken out"
        );
        let keeper = find_keeper(&in_force, &ENVIRONMENT.into(), &CENTRE.into(), replica);
        assert_eq!(keeper.map(|keeper| &keeper.vm), Some(&entry.vm));
        if let Some((incarnation, at)) = entry.left.get(&server) {
            let same = *incarnation == self.servers[server].announcement.incarnation;
            assert!(
                !same || self.now < at + 500 * MS,
                "work was sent to one that left"
            );
        }
        let last = &mut self.servers[server].last;
        if let Some((former, version)) = *last
            && former != index
        {
            assert!(version < in_force.version, "two keepers at a time");
            self.counts.keeper_changes += 1;
        }
        *last = Some((index, in_force.version));
    }

    fn arrive(&mut self, index: usize, start: u64, run: OpenRun) {
        let attempt = run.ticket.attempt;
        let to = Some((index, start));
        if !self.servers[run.server].up {
            let end = if self.chance(50) {
                RunEnd::ConnectFailed
            } else {
                RunEnd::Reset
            };
            self.push(MS, to, Item::Ended(attempt, end));
            return;
        }
        let drift = self.random.random_range(0..=1_000);
        let (answer_delay, slow) = (self.random.random_range(2 * MS..8 * MS), self.chance(5));
        let server = &mut self.servers[run.server];
        let running = u32::try_from(server.working.len()).expect("a few") + 1;
        assert!(running <= SLOTS, "a backend server got more than its slots");
        if run.knew_cold && server.announcement.state == ServerState::Cold {
            self.counts.cold_arrivals += 1;
            let bears = server.announcement.cold_allowance.max(1);
            let strict = server.announcement.cold_allowance > 0;
            assert!(
                !strict || running <= bears,
                "a cold server got more than it bears"
            );
        }
        if running > server.bears {
            let shed = RunEnd::Shed {
                retry: Duration::ZERO,
            };
            self.push(MS, to, Item::Ended(attempt, shed));
            return;
        }
        server.working.push(Work {
            attempt,
            entry: index,
            start,
            sent: run.sent,
        });
        self.check_power();
        if run.ticket.digest.0 < POISONS {
            let count = self.crashed.entry(run.ticket.digest.0).or_default();
            *count += 1;
            assert!(
                self.entry_faults || *count <= 2,
                "a request crashed three servers"
            );
            self.crash(run.server);
            return;
        }
        let left = u64::try_from(run.left.as_micros()).expect("a short time");
        let stops = left + left * drift / 1_000_000;
        let done = if slow {
            answer_delay * 20
        } else {
            answer_delay
        };
        let item = Item::Stop {
            server: run.server,
            attempt,
            answers: done < stops,
        };
        self.push(done.min(stops), None, item);
    }

    fn check_power(&self) {
        let span = u64::try_from(handover_span().as_micros()).expect("a few seconds") + SECOND;
        let mut cap = Some(0);
        for (at, version) in self.versions.iter().enumerate() {
            let superseded = self.versions.get(at + 1).map(|next| next.committed);
            if superseded.is_none_or(|superseded| self.now < superseded + span) {
                let document = &version.view.environments[&ENVIRONMENT.into()];
                let centre = document
                    .find_centre(&CENTRE.into())
                    .expect("the data centre");
                cap = cap
                    .zip(centre.power_cap)
                    .map(|(first, second)| first.max(second));
            }
        }
        let running: usize = self.servers.iter().map(|server| server.working.len()).sum();
        assert!(
            cap.is_none_or(|cap| running <= cap as usize),
            "more runs than the power cap"
        );
    }

    fn stop(&mut self, server: usize, attempt: AttemptId, answers: bool) {
        let working = &mut self.servers[server].working;
        let Some(at) = working.iter().position(|work| work.attempt == attempt) else {
            return;
        };
        let work = working.swap_remove(at);
        if !answers {
            return;
        }
        let took = Duration::from_micros(self.now - work.sent);
        let end = match self.random.random_range(0..400) {
            0 => RunEnd::Reset,
            1 => RunEnd::BadAnswer(ResultCode::AnswerMismatch),
            2..5 => RunEnd::Failed,
            _ => RunEnd::Answered { took },
        };
        let delay = self.delay(400 * MS);
        self.push(
            delay,
            Some((work.entry, work.start)),
            Item::Ended(attempt, end),
        );
        if self.chance(5) {
            // Late repetitions of an end must not free another slot.
            self.push(
                delay + MS,
                Some((work.entry, work.start)),
                Item::Ended(attempt, end),
            );
        }
    }

    fn end(&mut self, index: usize, attempt: AttemptId, end: RunEnd) {
        let Some(run) = self.entries[index].open.remove(&attempt) else {
            return;
        };
        self.counts.answered += u64::from(matches!(end, RunEnd::Answered { .. }));
        let event = KeeperEvent::Ended { attempt, end };
        self.step_replica(index, run.server, event.clone());
        if self.chance(5) {
            self.step_replica(index, run.server, event);
        }
    }

    fn cancel(&mut self, entry: usize, start: u64, server: usize, attempt: AttemptId) {
        let row = &mut self.servers[server];
        let before = row.working.len();
        row.working.retain(|work| work.attempt != attempt);
        // One that is not known may still be on its way.
        let stopped = row.up && row.working.len() < before;
        self.counts.cancels += u64::from(stopped);
        let delay = self.delay(100 * MS);
        self.push(
            delay,
            Some((entry, start)),
            Item::CancelEnd {
                server,
                attempt,
                stopped,
            },
        );
    }

    fn announce(&mut self, index: usize) {
        let gap = self.random.random_range(400 * MS..500 * MS);
        self.push(gap, None, Item::Announce(index));
        if !self.servers[index].up {
            return;
        }
        let server = &mut self.servers[index];
        server.announcement.sequence += 1;
        let announcement = server.announcement.clone();
        let left = server.left;
        let view = Arc::clone(&self.latest().view);
        let name = &announcement.replica;
        let keeper = find_keeper(&view, &ENVIRONMENT.into(), &CENTRE.into(), name);
        let Some(vm) = keeper.map(|entry| entry.vm.clone()) else {
            return;
        };
        let keeper = self
            .entries
            .iter()
            .position(|entry| entry.vm == vm)
            .expect("an entry");
        let delay = self.delay(6 * SECOND);
        self.push_to(delay, keeper, Item::Announced(announcement.clone()));
        if left {
            let delay = self.delay(SECOND);
            self.push_to(delay, keeper, Item::Left(index, announcement.incarnation));
        }
        if self.chance(10) {
            let (delay, other) = (self.delay(6 * SECOND), self.random.random_range(0..3));
            self.push_to(delay, other, Item::Announced(announcement));
        }
    }

    fn hear(&mut self, index: usize, announcement: ReplicaAnnouncement) {
        let named = |server: &Server| server.announcement.replica == announcement.replica;
        let server = self.servers.iter().position(named).expect("a server");
        let (state, incarnation) = (announcement.state, announcement.incarnation);
        let reply = self.step(index, RosterEvent::Announced(announcement));
        if reply == Some(ResultCode::Ok) && state == ServerState::Cold {
            self.entries[index].knows_cold.insert(server, incarnation);
        }
    }

    fn spread(&mut self, index: usize) {
        self.push_to(100 * MS, index, Item::Spread);
        let entry = &self.entries[index];
        let ask = TableAsk {
            table: 0,
            cursor: 0,
        };
        let delta = entry.roster.delta(entry.local(self.now), ask);
        let (vm, table) = (entry.vm.clone(), delta.table);
        for other in (0..3).filter(|other| *other != index) {
            let records = delta.crashes.clone();
            let delay = self.random.random_range(200..2 * MS);
            self.push_to(
                delay,
                other,
                Item::Crashes {
                    vm: vm.clone(),
                    table,
                    records,
                },
            );
        }
    }

    fn renew(&mut self, index: usize) {
        let gap = self.random.random_range(400 * MS..600 * MS);
        self.push_to(gap, index, Item::Renew);
        if self.chance(5) {
            return;
        }
        let entry = &mut self.entries[index];
        entry.heard = self.now;
        let asked = entry.local(self.now);
        let record = crate::support::entry(entry.vm.as_str(), entry.start);
        let released = entry.roster.is_released();
        let seen = entry.roster.view().map(|view| view.version);
        let listed = self
            .latest()
            .view
            .entries
            .iter()
            .find(|row| row.vm == record.vm)
            .cloned();
        match listed {
            None => self.commit(|view| view.entries.push(record)),
            Some(row) if row.incarnation != record.incarnation => self.commit(|view| {
                let row = view.entries.iter_mut().find(|row| row.vm == record.vm);
                *row.expect("the entry") = record;
            }),
            Some(row) if row.state == EntryState::Leaving => {
                if released && seen == Some(self.latest().view.version) {
                    self.depart(index, true);
                    self.entries[index].alive = false;
                    self.push(SECOND, None, Item::Revive(index));
                    return;
                }
            }
            Some(_) => {}
        }
        let version = self.versions.len() - 1;
        let (age, delay) = (self.delay(500 * MS), self.delay(2 * SECOND));
        let age = age.min(self.now - self.versions[version].committed);
        let age = Duration::from_micros(age);
        self.push_to(
            delay,
            index,
            Item::Proof {
                asked,
                version,
                age,
            },
        );
    }

    fn control(&mut self) {
        self.push(200 * MS, None, Item::Control);
        let now = self.now;
        self.gone.retain(|(at, _)| now < at + 20 * SECOND);
        if self.chance(10) {
            self.return_centre();
        }
        for index in 0..3 {
            let entry = &self.entries[index];
            let member = self
                .latest()
                .view
                .entries
                .iter()
                .any(|row| row.vm == entry.vm);
            if member && entry.heard + SILENCE_MAX < self.now {
                self.depart(index, false);
            }
        }
    }

    fn return_centre(&mut self) {
        let document = &self.latest().view.environments[&ENVIRONMENT.into()];
        let centre = document.find_centre(&CENTRE.into());
        if centre.is_some_and(|centre| centre.state == CentreState::Out) {
            self.commit(|view| change_centre(view, |centre| centre.state = CentreState::In));
        }
    }

    fn depart(&mut self, index: usize, released: bool) {
        let vm = self.entries[index].vm.clone();
        self.gone.push((
            self.now,
            DepartedEntry {
                vm: vm.clone(),
                released,
            },
        ));
        self.commit(|view| view.entries.retain(|row| row.vm != vm));
    }

    fn commit(&mut self, change: impl FnOnce(&mut ControlView)) {
        let mut next = ControlView::clone(&self.latest().view);
        next.version.0 += 1;
        next.departed = self.gone.iter().map(|(_, gone)| gone.clone()).collect();
        change(&mut next);
        next.entries
            .sort_by(|first, second| first.vm.cmp(&second.vm));
        self.versions.push(Version {
            committed: self.now,
            view: Arc::new(next),
        });
    }

    fn fault(&mut self) {
        let gap = self.random.random_range(100 * MS..3 * SECOND);
        self.push(gap, None, Item::Fault);
        let (index, server) = (
            self.random.random_range(0..3),
            self.random.random_range(0..4),
        );
        match self.random.random_range(0..10) {
            0 => self.crash(server),
            1 => self.servers[server].bears = 1,
            2 => self.servers[server].bears = SLOTS,
            3 if !self.servers[server].left && self.servers[server].up => {
                self.servers[server].left = true;
                self.push(3 * SECOND, None, Item::Restart(server));
            }
            4 => self.commit(|view| {
                change_centre(view, |centre| {
                    let out = centre.state == CentreState::In;
                    centre.state = if out {
                        CentreState::Out
                    } else {
                        CentreState::In
                    };
                });
            }),
            5 => {
                let cap = self.random.random_range(0..10);
                let cap = (cap > 2).then_some(cap);
                self.commit(|view| change_centre(view, |centre| centre.power_cap = cap));
            }
            6 => self.commit(|view| change_centre(view, |centre| centre.power_cap = None)),
            7 if self.entry_faults => {
                let span = self.random.random_range(0..9 * SECOND);
                self.entries[index].frozen = self.now + span;
            }
            8 if self.entry_faults && self.entries[index].alive => {
                self.entries[index].alive = false;
                self.push(SECOND, None, Item::Revive(index));
            }
            9 if self.entry_faults => {
                let vm = self.entries[index].vm.clone();
                self.commit(|view| {
                    for row in view.entries.iter_mut().filter(|row| row.vm == vm) {
                        row.state = EntryState::Leaving;
                    }
                });
            }
            _ => {}
        }
    }

    fn crash(&mut self, index: usize) {
        if !self.servers[index].up {
            return;
        }
        self.counts.crashes += 1;
        let server = &mut self.servers[index];
        server.up = false;
        for work in std::mem::take(&mut server.working) {
            let item = Item::Ended(work.attempt, RunEnd::Reset);
            self.push(MS, Some((work.entry, work.start)), item);
        }
        let down = self.random.random_range(100 * MS..2 * SECOND);
        self.push(down, None, Item::Restart(index));
    }

    fn restart(&mut self, index: usize) {
        if self.servers[index].up && !self.servers[index].left {
            return;
        }
        let cut = std::mem::take(&mut self.servers[index].working);
        for work in cut {
            let item = Item::Ended(work.attempt, RunEnd::Reset);
            self.push(MS, Some((work.entry, work.start)), item);
        }
        let silent = self.chance(30);
        let server = &mut self.servers[index];
        server.up = true;
        server.left = false;
        server.announcement.incarnation.0 += 1;
        server.announcement.sequence = 0;
        server.announcement.state = if silent {
            ServerState::Ready
        } else {
            ServerState::Cold
        };
        server.bears = 1;
        let item = Item::TurnReady(index, server.announcement.incarnation);
        let span = self.random.random_range(500 * MS..4 * SECOND);
        self.push(span, None, item);
    }

    fn revive(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.start += 1;
        entry.alive = true;
        entry.frozen = 0;
        entry.lease = FreshnessLease::default();
        entry.roster = new_roster(&entry.vm, entry.start);
        entry.open.clear();
        entry.knows_cold.clear();
        entry.left.clear();
        self.pending.retain(|_, (at, _)| *at != index);
        self.start_entry(index);
    }

    /// Every ask was sent or refused by its expiry, unless its entry is frozen.
    fn check_replies(&self) {
        for (attempt, (index, expires)) in &self.pending {
            let entry = &self.entries[*index];
            let waits = entry.frozen + SECOND > self.now || !entry.alive;
            let late = self.now > expires + 20 * MS;
            assert!(waits || !late, "{attempt} got no reply");
        }
    }
}

fn new_roster(vm: &VmName, start: u64) -> KeeperRoster {
    let identity = EntryIdentity {
        vm: vm.clone(),
        incarnation: IncarnationNumber(start),
        environment: ENVIRONMENT.into(),
    };
    KeeperRoster::new(identity, start, 100)
}

fn change_centre(
    view: &mut ControlView,
    change: impl FnOnce(&mut daisyhinge::vocabulary::environment::CentreEntry),
) {
    let document = view
        .environments
        .get_mut(&ENVIRONMENT.into())
        .expect("the document");
    let mut next = EnvironmentDocument::clone(document);
    change(&mut next.regions[0].data_centres[0]);
    *document = Arc::new(next);
}
