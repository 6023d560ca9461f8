//! Simulation of entries, control and backend servers around the state machines, driven by one
//! seed.
//!
//! The model knows the true time and the actual work of every backend server, and asserts the
//! invariants. Entries see drifting clocks, delayed and duplicate messages, freezes and restarts.

#[path = "world/control_side.rs"]
mod control_side;
#[path = "world/entry_side.rs"]
mod entry_side;
#[path = "world/server_side.rs"]
mod server_side;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::keeper::keeper_set::{KeeperSet, KeeperSetAction, KeeperSetEvent};
use daisyhinge::keeper::sub_request::{DispatchOutcome, SubRequestInfo};
use daisyhinge::keeper::view_history::{EntryIdentity, handover_duration};
use daisyhinge::keeper::{KeeperAction, KeeperEvent};
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::rendezvous::find_keeper;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaDeparture, ServerState};
use daisyhinge::vocabulary::environment::{CentreState, EnvironmentDocument};
use daisyhinge::vocabulary::freshness::LEASE_DURATION;
use daisyhinge::vocabulary::replica::{CrashRecord, TableRequest};
use daisyhinge::vocabulary::view::{ControlView, DepartedEntry, EntryState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{CENTRE, ENVIRONMENT, announce, entry, info, view};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const SLOTS: u32 = 2;
const SILENCE_MAX: u64 = 3 * SECOND;
const POISON_DIGESTS: u64 = 3;

/// Counts of one run, by which the tests check that the cases of interest occurred.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorldCounts {
    pub requested: u64,
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
        self.requested += other.requested;
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
enum SimEvent {
    Renew,
    Proof {
        sent_at: MonotonicTime,
        version: usize,
        age: Duration,
    },
    Announce(usize),
    Announced(ReplicaAnnouncement),
    Left(usize, IncarnationNumber),
    Request,
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
    Ended(AttemptId, DispatchOutcome),
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
    ShareCrashes,
    Crashes {
        vm: VmName,
        table: u64,
        records: Vec<CrashRecord>,
    },
    Control,
    Fault,
    Restart(usize),
    BecomeReady(usize, IncarnationNumber),
    Revive(usize),
}

/// Index and start count of the entry that receives an event; `None` for events of the simulation.
type Recipient = Option<(usize, u64)>;

#[derive(Clone, Debug)]
struct QueuedEvent {
    to: Recipient,
    sim_event: SimEvent,
}

#[derive(Clone, Copy, Debug)]
struct OpenRun {
    server: usize,
    info: SubRequestInfo,
    remaining: Duration,
    sent: u64,
    knew_cold: bool,
}

struct Entry {
    vm: VmName,
    /// Number of times the entry was started; messages to an earlier start are lost.
    start: u64,
    keepers: KeeperSet,
    lease: FreshnessLease,
    frozen_until: u64,
    /// End of the partition from control.
    partitioned_until: u64,
    alive: bool,
    offset: u64,
    drift_ppm: i64,
    last_contact: u64,
    open_runs: HashMap<AttemptId, OpenRun>,
    /// Incarnation that each server announced to this entry as cold.
    known_cold: HashMap<usize, IncarnationNumber>,
    left_replicas: HashMap<usize, (IncarnationNumber, u64)>,
}

impl Entry {
    fn local(&self, now: u64) -> MonotonicTime {
        let drift = i128::from(now) * i128::from(self.drift_ppm) / 1_000_000;
        let local = i128::from(now) + drift + i128::from(self.offset);
        MonotonicTime(u64::try_from(local).expect("a positive time"))
    }
}

struct RunningWork {
    attempt: AttemptId,
    entry: usize,
    start: u64,
    sent: u64,
}

struct Server {
    announcement: ReplicaAnnouncement,
    up: bool,
    has_left: bool,
    /// Number of sub-requests that the server can actually run at a time now.
    capacity: u32,
    working: Vec<RunningWork>,
    /// Entry that dispatched last, and the view it acted on.
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
    queue: BTreeMap<(u64, u64), QueuedEvent>,
    versions: Vec<Version>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    pending: HashMap<AttemptId, (usize, u64)>,
    written: HashSet<AttemptId>,
    crashed: HashMap<u64, u64>,
    departures: Vec<(u64, DepartedEntry)>,
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
            departures: Vec::new(),
            entry_faults,
            counts: WorldCounts::default(),
        };
        for index in 0..3 {
            let offset = world.random.random_range(0..100 * SECOND);
            let drift_ppm = world.random.random_range(-1_000..=1_000);
            let vm: VmName = format!("vm-{index}").as_str().into();
            world.entries.push(Entry {
                keepers: new_keeper_set(&vm, 1),
                vm,
                start: 1,
                lease: FreshnessLease::default(),
                frozen_until: 0,
                partitioned_until: 0,
                alive: true,
                offset,
                drift_ppm,
                last_contact: 0,
                open_runs: HashMap::new(),
                known_cold: HashMap::new(),
                left_replicas: HashMap::new(),
            });
            world.start_entry(index);
        }
        for index in 0..4 {
            let mut announcement = announce(&format!("r{index}"), 0);
            announcement.cold_allowance = u32::from(index % 2 == 0);
            world.servers.push(Server {
                announcement,
                up: true,
                has_left: false,
                capacity: SLOTS,
                working: Vec::new(),
                last: None,
            });
            world.push(0, None, SimEvent::Announce(index));
        }
        world.push(0, None, SimEvent::Request);
        world.push(0, None, SimEvent::Control);
        world.push(6 * SECOND, None, SimEvent::Fault);
        world
    }

    /// Runs the simulation until `end`, in simulated seconds.
    pub fn run(&mut self, end: u64) {
        while self.now < end * SECOND {
            let ((at, _), QueuedEvent { to, sim_event }) =
                self.queue.pop_first().expect("a queued event");
            self.now = at;
            if let Some((index, start)) = to {
                let entry = &self.entries[index];
                if entry.start != start || !entry.alive {
                    continue;
                }
                if entry.frozen_until > at {
                    let (delay, start) = (entry.frozen_until - at, entry.start);
                    self.push(delay, Some((index, start)), sim_event);
                    continue;
                }
                self.handle_at_entry(index, sim_event);
            } else {
                self.handle(sim_event);
            }
        }
        self.check_replies();
    }

    fn push(&mut self, delay: u64, to: Recipient, sim_event: SimEvent) {
        self.sequence += 1;
        self.queue.insert(
            (self.now + delay, self.sequence),
            QueuedEvent { to, sim_event },
        );
    }

    fn push_to(&mut self, delay: u64, index: usize, sim_event: SimEvent) {
        let start = self.entries[index].start;
        self.push(delay, Some((index, start)), sim_event);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Returns a delay that is usually short and occasionally up to `delay_max`.
    fn delay(&mut self, delay_max: u64) -> u64 {
        if self.chance(1) {
            self.random.random_range(0..delay_max)
        } else {
            self.random.random_range(200..2 * MS)
        }
    }

    fn start_entry(&mut self, index: usize) {
        self.push_to(0, index, SimEvent::Renew);
        self.push_to(0, index, SimEvent::Tick);
        self.push_to(0, index, SimEvent::ShareCrashes);
    }

    fn latest(&self) -> &Version {
        self.versions.last().expect("a version")
    }

    fn handle(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Announce(server) => self.announce(server),
            SimEvent::Request => self.request(),
            SimEvent::Arrive { entry, start, run } => self.arrive(entry, start, run),
            SimEvent::Stop {
                server,
                attempt,
                answers,
            } => self.stop(server, attempt, answers),
            SimEvent::CancelArrive {
                entry,
                start,
                server,
                attempt,
            } => {
                self.cancel(entry, start, server, attempt);
            }
            SimEvent::Control => self.control(),
            SimEvent::Fault => self.inject_fault(),
            SimEvent::Restart(server) => self.restart(server),
            SimEvent::BecomeReady(server, incarnation) => {
                let server = &mut self.servers[server];
                if server.announcement.incarnation == incarnation {
                    server.announcement.state = ServerState::Ready;
                    server.capacity = SLOTS;
                }
            }
            SimEvent::Revive(index) => self.revive(index),
            sim_event => unreachable!("{sim_event:?} needs a recipient entry"),
        }
    }

    fn handle_at_entry(&mut self, index: usize, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Renew => self.renew(index),
            SimEvent::Proof {
                sent_at,
                version,
                age,
            } => {
                let view = Arc::clone(&self.versions[version].view);
                let number = view.version;
                self.step(index, KeeperSetEvent::View(view));
                self.entries[index].lease.renew(number, sent_at, age);
                let lease = self.entries[index].lease;
                self.step(index, KeeperSetEvent::Lease(lease));
            }
            SimEvent::Announced(announcement) => self.receive_announcement(index, announcement),
            SimEvent::Left(server, incarnation) => {
                let replica = self.servers[server].announcement.replica.clone();
                let leave = ReplicaDeparture {
                    replica,
                    incarnation,
                };
                if self.step(index, KeeperSetEvent::Left(leave)) == Some(ResultCode::Ok) {
                    let known = self.entries[index]
                        .left_replicas
                        .entry(server)
                        .or_insert((incarnation, 0));
                    if known.1 == 0 || known.0 != incarnation {
                        *known = (incarnation, self.now);
                    }
                }
            }
            SimEvent::Write(attempt) => self.write(index, attempt),
            SimEvent::Timeout(attempt) => {
                if self.entries[index].open_runs.contains_key(&attempt) {
                    self.end(index, attempt, DispatchOutcome::Expired);
                }
            }
            SimEvent::Ended(attempt, end) => self.end(index, attempt, end),
            SimEvent::Drop(server, attempt) => {
                self.step_replica(index, server, KeeperEvent::Dropped(attempt));
            }
            SimEvent::CancelEnd {
                server,
                attempt,
                stopped,
            } => {
                let event = KeeperEvent::CancelEnded { attempt, stopped };
                self.step_replica(index, server, event);
            }
            SimEvent::Tick => {
                self.step(index, KeeperSetEvent::Tick);
                self.push_to(5 * MS, index, SimEvent::Tick);
            }
            SimEvent::ShareCrashes => self.share_crashes(index),
            SimEvent::Crashes { vm, table, records } => {
                let event = KeeperSetEvent::Crashes {
                    keeper: vm,
                    table,
                    records,
                };
                self.step(index, event);
            }
            sim_event => unreachable!("{sim_event:?} has no recipient entry"),
        }
    }

    /// Returns a view that a root entry may act on: usually the newest, sometimes an older one that
    /// was in force within the last 8 s.
    fn pick_root_view(&mut self) -> Arc<ControlView> {
        let mut index = self.versions.len() - 1;
        if self.chance(15) {
            let since = self.now.saturating_sub(8 * SECOND);
            let old = self
                .versions
                .iter()
                .filter(|version| version.committed < since)
                .count();
            index = self.random.random_range(old.saturating_sub(1)..=index);
        }
        Arc::clone(&self.versions[index].view)
    }
}

fn new_keeper_set(vm: &VmName, start: u64) -> KeeperSet {
    let identity = EntryIdentity {
        vm: vm.clone(),
        incarnation: IncarnationNumber(start),
        environment: ENVIRONMENT.into(),
    };
    KeeperSet::new(identity, start, 100)
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
