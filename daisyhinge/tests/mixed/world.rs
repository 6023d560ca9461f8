//! A run as a whole, and the queue by which its virtual time goes on.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::change::ChangeRequest;
use daisyhinge::vocabulary::view::ControlView;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cluster::SimCluster;
pub use crate::item::*;
pub use crate::parts::*;
use crate::record::RunCounts;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;
pub const ENVIRONMENT: &str = "production";
pub const CENTRES: [&str; 2] = ["lagos-1", "abuja-1"];
pub const SEARCH: &str = "label-desk";
pub const PRINT: &str = "print-queue";
pub const ENTRIES: usize = 4;
pub const SEARCH_SERVERS: usize = 6;
pub const SERVERS: usize = 8;
pub const SLOTS: u32 = 2;
pub const POISONS: u64 = 20;
/// Length of the part with faults.
pub const FAULT_SPAN: u64 = 40 * SECOND;
/// Within this all must be whole again once the faults end.
pub const SETTLE_SPAN: u64 = 90 * SECOND;

pub struct World {
    pub random: ChaCha8Rng,
    pub now: u64,
    pub sequence: u64,
    pub queue: BTreeMap<(u64, u64), (Option<EntryStart>, Item)>,
    pub cluster: SimCluster,
    pub askers: HashMap<u64, Asker>,
    pub entries: Vec<Entry>,
    pub servers: Vec<Server>,
    pub snapshots: BTreeMap<u64, ModelSnapshot>,
    pub submissions: BTreeMap<u64, Submission>,
    /// Submissions of each request.
    pub sent: HashMap<RequestId, Vec<u64>>,
    pub dispatches: HashMap<AttemptId, Dispatch>,
    pub print_runs: HashMap<RequestId, u64>,
    pub poisons: BTreeMap<u64, PoisonRecord>,
    pub accepted: Vec<AcceptedChange>,
    pub answered_changes: BTreeMap<ChangeId, VersionNumber>,
    pub recent_changes: Vec<ChangeRequest>,
    pub views: BTreeMap<VersionNumber, Arc<ControlView>>,
    pub cuts: BTreeSet<(Place, Place)>,
    pub written: HashSet<AttemptId>,
    pub calm_since: Option<u64>,
    /// Entries that answered a search and a print whole since all faults ended.
    pub well: BTreeSet<(usize, ServiceName)>,
    pub document_number: u32,
    /// Also asserts what KNOWN-RED.txt lists.
    pub strict: bool,
    pub counts: RunCounts,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut cluster = SimCluster::new(seed);
        cluster.keeps_replies = true;
        let now = cluster.now;
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x6d69_7865_6400),
            now,
            sequence: 0,
            queue: BTreeMap::new(),
            cluster,
            askers: HashMap::new(),
            entries: Vec::new(),
            servers: Vec::new(),
            snapshots: BTreeMap::new(),
            submissions: BTreeMap::new(),
            sent: HashMap::new(),
            dispatches: HashMap::new(),
            print_runs: HashMap::new(),
            poisons: BTreeMap::new(),
            accepted: Vec::new(),
            answered_changes: BTreeMap::new(),
            recent_changes: Vec::new(),
            views: BTreeMap::new(),
            cuts: BTreeSet::new(),
            written: HashSet::new(),
            calm_since: None,
            well: BTreeSet::new(),
            document_number: 0,
            strict: std::env::var("DAISYHINGE_MIXED_STRICT").is_ok(),
            counts: RunCounts::default(),
        };
        world.cut_snapshot(3, true);
        (0..ENTRIES).for_each(|index| world.add_entry(index));
        (0..SERVERS).for_each(|index| world.add_server(index));
        for item in [Item::Operate, Item::Check] {
            world.push(0, None, item);
        }
        world.push(SECOND, None, Item::Ask);
        world.push(9 * SECOND, None, Item::Fault);
        world
    }

    /// Runs to the end, where all must be whole again.
    pub fn run(mut self) -> RunCounts {
        let faults_end = self.now + FAULT_SPAN;
        let mut settled = None;
        loop {
            self.cluster.advance();
            self.take_control_replies();
            let until = self.cluster.now;
            self.run_until(until);
            if self.calm_since.is_none() && self.now >= faults_end {
                self.end_faults();
            }
            let Some(calm) = self.calm_since else {
                continue;
            };
            if settled.is_none() && self.is_whole() {
                self.counts.settle_ms_max = (self.now - calm) / MS;
                settled = Some(self.now);
            }
            if settled.is_some_and(|at| self.now > at + 4 * SECOND) {
                self.judge_end();
                return self.counts;
            }
            assert!(
                settled.is_some() || self.now < calm + SETTLE_SPAN,
                "not whole again though all faults have ended: {:?} {}",
                self.well,
                self.describe()
            );
        }
    }

    fn run_until(&mut self, until: u64) {
        while let Some(next) = self.queue.first_entry() {
            if next.key().0 > until {
                break;
            }
            let ((at, _), (to, item)) = next.remove_entry();
            self.now = self.now.max(at);
            let Some(to) = to else {
                self.take(item);
                continue;
            };
            let entry = &self.entries[to.index];
            if entry.start != to.start || !entry.alive {
                continue;
            }
            if entry.frozen > self.now {
                let delay = entry.frozen - self.now;
                self.push(delay, Some(to), item);
                continue;
            }
            self.take_at_entry(to.index, item);
        }
        self.now = until;
    }

    pub fn push(&mut self, delay: u64, to: Option<EntryStart>, item: Item) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), (to, item));
    }

    pub fn start_of(&self, index: usize) -> EntryStart {
        EntryStart {
            index,
            start: self.entries[index].start,
        }
    }

    /// Pushes something that happens at the entry's present start.
    pub fn push_at(&mut self, delay: u64, index: usize, item: Item) {
        let to = self.start_of(index);
        self.push(delay, Some(to), item);
    }

    /// Pushes something for when the entry's own clock shows `at`.
    pub fn push_when(&mut self, at: MonotonicTime, index: usize, item: Item) {
        let left = at.since(self.entries[index].local(self.now));
        let left = u64::try_from(left.as_micros()).expect("a short time");
        self.push_at(left + left / 900 + 1, index, item);
    }

    pub fn chance(&mut self, per_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < per_thousand
    }

    /// A delay on the way from one place to another; unset if the message is lost.
    pub fn transit(&mut self, from: Place, to: Place) -> Option<u64> {
        if self.cuts.contains(&(from, to)) {
            return None;
        }
        let calm = self.calm_since.is_some();
        if !calm && self.chance(3) {
            return None;
        }
        let late = !calm && self.chance(10);
        let range = if late { 200..400 * MS } else { 200..2 * MS };
        Some(self.random.random_range(range))
    }

    fn take(&mut self, item: Item) {
        match item {
            Item::Control { place, ask, asker } => self.ask_control(place, ask, asker),
            Item::Arrive(run) => self.arrive(run),
            Item::Stop {
                server,
                attempt,
                answers,
            } => self.stop(server, attempt, answers),
            Item::CancelArrive {
                by,
                server,
                attempt,
            } => self.cancel_at_server(by, server, attempt),
            Item::Announce(server) => self.announce(server),
            Item::Restart(server) => self.restart(server),
            Item::TurnReady {
                server,
                incarnation,
            } => self.turn_ready(server, incarnation),
            Item::Hold { server, snapshot } => self.hold(server, snapshot),
            Item::Ask => self.ask(),
            Item::Resend(submission) => self.resend(submission),
            Item::Operate => self.operate(),
            Item::Fault => self.fault(),
            Item::Heal(from, to) => {
                self.cuts.remove(&(from, to));
            }
            Item::Revive(index) => self.revive(index),
            Item::StartControl(place) => self.start_control(place),
            Item::Check => self.check(),
            item => unreachable!("{item:?} is for an entry"),
        }
    }

    pub fn span(micros: u64) -> Duration {
        Duration::from_micros(micros)
    }
}
