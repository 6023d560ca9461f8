//! The simulation: state of a run, its event queue and its virtual time.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::change::ChangeRequest;
use daisyhinge::vocabulary::view::ControlView;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cluster::SimCluster;
pub use crate::event::*;
pub use crate::participants::*;
use crate::run_counts::RunCounts;

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
/// Requests whose digest is below this number crash the backend servers that run them.
pub const POISON_DIGESTS: u64 = 20;
/// Duration of the phase with injected faults.
pub const FAULT_PHASE: u64 = 40 * SECOND;
/// Time within which the system must recover once the faults end.
pub const RECOVERY_TIMEOUT: u64 = 90 * SECOND;

/// State of a simulated run. All times are in microseconds.
pub struct World {
    pub random: ChaCha8Rng,
    pub now: u64,
    pub sequence: u64,
    pub queue: BTreeMap<(u64, u64), (Option<EntryStart>, SimEvent)>,
    pub cluster: SimCluster,
    pub requesters: HashMap<u64, Requester>,
    pub entries: Vec<Entry>,
    pub servers: Vec<Server>,
    pub snapshots: BTreeMap<u64, ModelSnapshot>,
    pub submissions: BTreeMap<u64, Submission>,
    /// Submissions of each request, by number.
    pub submissions_by_request: HashMap<RequestId, Vec<u64>>,
    pub dispatches: HashMap<AttemptId, Dispatch>,
    pub print_runs: HashMap<RequestId, u64>,
    pub poisons: BTreeMap<u64, PoisonRecord>,
    pub accepted: Vec<AcceptedChange>,
    pub answered_changes: BTreeMap<ChangeId, VersionNumber>,
    pub recent_changes: Vec<ChangeRequest>,
    pub views: BTreeMap<VersionNumber, Arc<ControlView>>,
    pub partitions: BTreeSet<(Endpoint, Endpoint)>,
    pub sent_attempts: HashSet<AttemptId>,
    pub faults_ended_at: Option<u64>,
    /// Entries and services with a complete answer since all faults ended.
    pub recovered: BTreeSet<(usize, ServiceName)>,
    pub document_number: u32,
    /// Whether failures listed in KNOWN-RED.txt are asserted as well.
    pub strict: bool,
    pub counts: RunCounts,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut cluster = SimCluster::new(seed);
        cluster.records_replies = true;
        let now = cluster.now;
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x6d69_7865_6400),
            now,
            sequence: 0,
            queue: BTreeMap::new(),
            cluster,
            requesters: HashMap::new(),
            entries: Vec::new(),
            servers: Vec::new(),
            snapshots: BTreeMap::new(),
            submissions: BTreeMap::new(),
            submissions_by_request: HashMap::new(),
            dispatches: HashMap::new(),
            print_runs: HashMap::new(),
            poisons: BTreeMap::new(),
            accepted: Vec::new(),
            answered_changes: BTreeMap::new(),
            recent_changes: Vec::new(),
            views: BTreeMap::new(),
            partitions: BTreeSet::new(),
            sent_attempts: HashSet::new(),
            faults_ended_at: None,
            recovered: BTreeSet::new(),
            document_number: 0,
            strict: std::env::var("DAISYHINGE_MIXED_STRICT").is_ok(),
            counts: RunCounts::default(),
        };
        world.publish_snapshot(3, true);
        (0..ENTRIES).for_each(|index| world.add_entry(index));
        (0..SERVERS).for_each(|index| world.add_server(index));
        for event in [SimEvent::OperatorStep, SimEvent::Check] {
            world.push(0, None, event);
        }
        world.push(SECOND, None, SimEvent::SendQuery);
        world.push(9 * SECOND, None, SimEvent::InjectFault);
        world
    }

    /// Runs until the system has recovered from all faults.
    ///
    /// # Panics
    ///
    /// If an invariant is violated or the system does not recover in time.
    pub fn run(mut self) -> RunCounts {
        let faults_end = self.now + FAULT_PHASE;
        let mut settled = None;
        loop {
            self.cluster.advance();
            self.handle_control_replies();
            let until = self.cluster.now;
            self.run_until(until);
            if self.faults_ended_at.is_none() && self.now >= faults_end {
                self.end_faults();
            }
            let Some(ended_at) = self.faults_ended_at else {
                continue;
            };
            if settled.is_none() && self.has_recovered() {
                self.counts.settle_ms_max = (self.now - ended_at) / MS;
                settled = Some(self.now);
            }
            if settled.is_some_and(|at| self.now > at + 4 * SECOND) {
                self.check_all_answered();
                return self.counts;
            }
            assert!(
                settled.is_some() || self.now < ended_at + RECOVERY_TIMEOUT,
                "no recovery after all faults have ended: {:?} {}",
                self.recovered,
                self.describe()
            );
        }
    }

    fn run_until(&mut self, until: u64) {
        while let Some(next) = self.queue.first_entry() {
            if next.key().0 > until {
                break;
            }
            let ((at, sequence), (to, event)) = next.remove_entry();
            self.now = self.now.max(at);
            self.counts.trace_event(at, sequence, to);
            let Some(to) = to else {
                self.handle_event(event);
                continue;
            };
            let entry = &self.entries[to.index];
            if entry.start != to.start || !entry.alive {
                continue;
            }
            if entry.frozen_until > self.now {
                let delay = entry.frozen_until - self.now;
                self.push(delay, Some(to), event);
                continue;
            }
            self.handle_entry_event(to.index, event);
        }
        self.now = until;
    }

    pub fn push(&mut self, delay: u64, to: Option<EntryStart>, event: SimEvent) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), (to, event));
    }

    pub fn start_of(&self, index: usize) -> EntryStart {
        EntryStart {
            index,
            start: self.entries[index].start,
        }
    }

    /// Queues an event for an entry. The event is dropped if the entry restarts first.
    pub fn push_to(&mut self, delay: u64, index: usize, event: SimEvent) {
        let to = self.start_of(index);
        self.push(delay, Some(to), event);
    }

    /// Queues an event for the time at which the entry's own clock shows `at`.
    pub fn push_when(&mut self, at: MonotonicTime, index: usize, event: SimEvent) {
        let remaining = at.since(self.entries[index].local_time(self.now));
        let remaining = u64::try_from(remaining.as_micros()).expect("fits in u64");
        self.push_to(remaining + remaining / 900 + 1, index, event);
    }

    pub fn chance(&mut self, per_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < per_thousand
    }

    /// Returns the delay of a message, or `None` if the message is lost.
    pub fn transit(&mut self, from: Endpoint, to: Endpoint) -> Option<u64> {
        if self.partitions.contains(&(from, to)) {
            return None;
        }
        let faults_ended = self.faults_ended_at.is_some();
        if !faults_ended && self.chance(3) {
            return None;
        }
        let late = !faults_ended && self.chance(10);
        let range = if late { 200..400 * MS } else { 200..2 * MS };
        Some(self.random.random_range(range))
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Control {
                node,
                request,
                requester,
            } => self.handle_control_request(node, request, requester),
            SimEvent::Arrive(run) => self.arrive(run),
            SimEvent::Stop {
                server,
                attempt,
                answers,
            } => self.stop(server, attempt, answers),
            SimEvent::CancelArrive {
                keeper,
                server,
                attempt,
            } => self.cancel_at_server(keeper, server, attempt),
            SimEvent::Announce(server) => self.announce(server),
            SimEvent::Restart(server) => self.restart(server),
            SimEvent::MarkReady {
                server,
                incarnation,
            } => self.mark_ready(server, incarnation),
            SimEvent::LoadSnapshot { server, snapshot } => self.load_snapshot(server, snapshot),
            SimEvent::SendQuery => self.send_query(),
            SimEvent::Resend(submission) => self.resend(submission),
            SimEvent::OperatorStep => self.step_operators(),
            SimEvent::InjectFault => self.inject_fault(),
            SimEvent::Heal(from, to) => {
                self.partitions.remove(&(from, to));
            }
            SimEvent::StartEntry(index) => self.start_entry(index),
            SimEvent::StartControl(node) => self.start_control(node),
            SimEvent::Check => self.check_entries(),
            event => unreachable!("{event:?} is for an entry"),
        }
    }

    pub fn duration_from_micros(micros: u64) -> Duration {
        Duration::from_micros(micros)
    }
}
