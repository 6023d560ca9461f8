//! Control VMs with a fake disk and a network that loses, duplicates and reorders messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use daisyhinge::control::core::{ControlCore, CoreAction, CoreAsk, CoreEvent, CoreReply};
use daisyhinge::control::limits::LogLimits;
use daisyhinge::control::log::LogSnapshot;
use daisyhinge::control::member::{VoterId, VoterMember, VoterSet};
use daisyhinge::control::message::VoterMessage;
use daisyhinge::control::store::{DiskOp, StoreWriter, open_store};
use daisyhinge::control::voter::{SaveBatch, VoterMachine};
use daisyhinge::prelude::*;
use daisyhinge::shell::control::codec::BOOK_CODEC;
use daisyhinge::vocabulary::event::EventKind;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::disk::FakeDisk;
use crate::oracle::PlainOracle;

pub const VMS: usize = 5;
const FIRST_VOTERS: usize = 3;
const LIMITS: LogLimits = LogLimits {
    append_bytes: 600,
    part_bytes: 300,
    tail_entries: 6,
    compact_entries: 25,
    compact_bytes: 1 << 20,
    segment_bytes: 2_000,
    silent_span: None,
};

#[derive(Debug)]
enum DiskJob {
    Save(SaveBatch),
    Snapshot(u64, LogSnapshot, bool),
}

/// One simulated control VM.
#[derive(Debug)]
pub struct SimVm {
    name: VmName,
    number: u64,
    pub disk: FakeDisk,
    /// `None` while the process is down.
    pub core: Option<ControlCore>,
    writer: Option<StoreWriter>,
    jobs: VecDeque<DiskJob>,
    plan: VecDeque<DiskOp>,
    plan_sequence: u64,
    /// Offset of the VM's clock from simulated time, in microseconds.
    offset: u64,
    pub frozen_until: u64,
    checked: u64,
}

#[derive(Debug)]
struct SimMessage {
    due: u64,
    from: usize,
    to: usize,
    message: VoterMessage,
}

/// A request that waits for its reply, and the time at which it was sent.
#[derive(Clone, Debug)]
pub struct SimAsk {
    pub ask: CoreAsk,
    pub asked: u64,
}

/// The reply to a request.
#[derive(Debug)]
pub struct SimReply {
    pub ticket: u64,
    pub reply: CoreReply,
}

#[derive(Debug)]
pub struct SimCluster {
    pub now: u64,
    pub vms: Vec<SimVm>,
    pub oracle: PlainOracle,
    pub asks: BTreeMap<u64, SimAsk>,
    pub cuts: BTreeSet<(usize, usize)>,
    pub rng: ChaCha8Rng,
    pub calm: bool,
    /// Time at which a disk was last lost.
    pub disk_lost: u64,
    /// Number of events by kind.
    pub tally: BTreeMap<&'static str, u64>,
    network: Vec<SimMessage>,
    ticket: u64,
    /// Replies received while `keeps_replies` is set.
    pub replies: Vec<SimReply>,
    pub keeps_replies: bool,
    /// Newest version of each environment, as reported in replies.
    pub versions: BTreeMap<EnvironmentName, u64>,
}

pub fn address_of(place: usize) -> SocketAddr {
    let port = u16::try_from(7_000 + place).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl SimCluster {
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = (0..VMS)
            .map(|place| SimVm {
                name: VmName::from(format!("control-{place}")),
                number: rng.random(),
                disk: FakeDisk::default(),
                core: None,
                writer: None,
                jobs: VecDeque::new(),
                plan: VecDeque::new(),
                plan_sequence: 0,
                offset: rng.random_range(0..10_000_000_000),
                frozen_until: 0,
                checked: 0,
            })
            .collect();
        let mut cluster = Self {
            now: 0,
            vms,
            oracle: PlainOracle::default(),
            asks: BTreeMap::new(),
            cuts: BTreeSet::new(),
            rng,
            calm: true,
            disk_lost: 0,
            tally: BTreeMap::new(),
            network: Vec::new(),
            ticket: 0,
            replies: Vec::new(),
            keeps_replies: false,
            versions: BTreeMap::new(),
        };
        for place in 0..VMS {
            cluster.start(place);
        }
        let members = (0..FIRST_VOTERS).map(|place| VoterMember {
            id: cluster.id_of(place),
            address: address_of(place),
            learner: false,
            replaces: None,
        });
        let set = VoterSet {
            members: members.collect(),
        };
        cluster.step(0, CoreEvent::Found(set));
        while !cluster.is_whole() {
            cluster.advance();
        }
        cluster.calm = false;
        cluster
    }

    pub fn count(&mut self, what: &'static str) {
        *self.tally.entry(what).or_default() += 1;
    }

    pub fn id_of(&self, place: usize) -> VoterId {
        VoterId {
            vm: self.vms[place].name.clone(),
            number: self.vms[place].number,
        }
    }

    fn clock(&self, place: usize) -> MonotonicTime {
        MonotonicTime(self.now + self.vms[place].offset)
    }

    /// Starts a VM from its disk.
    pub fn start(&mut self, place: usize) {
        let now = self.clock(place);
        let mut rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        let vm = &mut self.vms[place];
        assert!(vm.core.is_none());
        let files = vm.disk.files();
        let opened = open_store(&vm.name, vm.number, LIMITS.segment_bytes, &files)
            .unwrap_or_else(|fault| panic!("{}: {fault}", vm.name));
        for (done, op) in opened.ops.iter().enumerate() {
            if !self.calm && self.rng.random_bool(0.01) {
                // The process crashes again during recovery, before any operation.
                assert!(done < opened.ops.len());
                vm.disk.crash(&mut self.rng);
                return;
            }
            vm.disk.run(op);
        }
        vm.number = opened.id.number;
        vm.checked = 0;
        let mut first = Vec::new();
        let operator = address_of(place + 100);
        let seed = ChaCha8Rng::seed_from_u64(rng.random());
        let voter = VoterMachine::open(
            now,
            opened.id,
            operator,
            LIMITS,
            opened.stored,
            seed,
            &mut first,
        );
        let mut actions = Vec::new();
        let core = ControlCore::open(now, voter, first, BOOK_CODEC, &mut actions);
        vm.core = Some(core);
        vm.writer = Some(opened.writer);
        self.take_actions(place, actions);
    }

    /// Crashes a VM at any byte of its pending writes.
    pub fn crash(&mut self, place: usize) {
        self.count("crashes");
        let vm = &mut self.vms[place];
        vm.core = None;
        vm.writer = None;
        vm.jobs.clear();
        vm.plan.clear();
        vm.frozen_until = 0;
        vm.disk.crash(&mut self.rng);
    }

    /// Loses a VM's disk; the VM restarts with a new identity.
    pub fn lose_disk(&mut self, place: usize) {
        self.crash(place);
        self.count("disks lost");
        self.disk_lost = self.now;
        self.vms[place].disk = FakeDisk::default();
        self.vms[place].number = self.rng.random();
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |vm: &SimVm| {
            vm.core
                .as_ref()
                .is_some_and(|core| core.voter().is_leader())
        };
        let leaders = (0..VMS).filter(|place| leads(&self.vms[*place]));
        leaders.max_by_key(|place| {
            self.vms[*place]
                .core
                .as_ref()
                .map(|core| core.voter().term())
        })
    }

    /// Whether this VM's disk may be lost: all other members are committed voters under their
    /// current identities and form a quorum without it.
    pub fn may_lose(&self, place: usize) -> bool {
        let Some(core) = self
            .leader()
            .and_then(|leader| self.vms[leader].core.as_ref())
        else {
            return false;
        };
        let voter = core.voter();
        let set = voter.voters();
        let current: Vec<VoterId> = (0..VMS).map(|place| self.id_of(place)).collect();
        let mut others = set
            .members
            .iter()
            .filter(|member| member.id.vm != self.vms[place].name);
        let count = others.clone().count();
        // The learner of this VM may be promoted at this moment.
        let own = |member: &&VoterMember| member.learner && member.id.vm == self.vms[place].name;
        let voters = set.voters().count() + set.members.iter().filter(own).count();
        let confirmed = self.leader().and_then(|leader| {
            let at = voter.confirmed_at()?;
            Some(self.clock(leader).since(at).as_millis() < 200)
        });
        confirmed == Some(true)
            && voter.commit() == voter.log().last_index()
            && count > voters / 2
            && others.all(|member| !member.learner && current.contains(&member.id))
    }

    /// Whether the committed members of the log are exactly the current identities of VMs.
    pub fn is_whole(&self) -> bool {
        let Some(place) = self.leader() else {
            return false;
        };
        let Some(core) = &self.vms[place].core else {
            return false;
        };
        let voter = core.voter();
        let confirmed = voter.confirmed_at();
        let current: Vec<VoterId> = (0..VMS).map(|place| self.id_of(place)).collect();
        let members = &voter.voters().members;
        confirmed.is_some_and(|at| self.clock(place).since(at).as_millis() < 200)
            && voter.commit() == voter.log().last_index()
            && members.len() >= FIRST_VOTERS
            && members
                .iter()
                .all(|member| !member.learner && current.contains(&member.id))
    }

    /// Sends a request to a VM. Returns `None` if the VM is down or frozen.
    pub fn ask(&mut self, place: usize, ask: CoreAsk) -> Option<u64> {
        if self.vms[place].core.is_none() || self.vms[place].frozen_until > self.now {
            return None;
        }
        self.ticket += 1;
        let ticket = self.ticket;
        let asked = self.now;
        self.asks.insert(
            ticket,
            SimAsk {
                ask: ask.clone(),
                asked,
            },
        );
        self.step(place, CoreEvent::Asked { ticket, ask });
        Some(ticket)
    }

    pub fn step(&mut self, place: usize, event: CoreEvent) {
        let now = self.clock(place);
        let mut actions = Vec::new();
        if let Some(core) = &mut self.vms[place].core {
            core.step(now, event, &mut actions);
        }
        self.take_actions(place, actions);
    }

    fn take_actions(&mut self, place: usize, actions: Vec<CoreAction>) {
        self.check_committed(place);
        for action in actions {
            match action {
                CoreAction::Send(message) => self.send(place, &message),
                CoreAction::Save(batch) => self.vms[place].jobs.push_back(DiskJob::Save(batch)),
                CoreAction::SaveSnapshot {
                    sequence,
                    snapshot,
                    reset,
                } => {
                    PlainOracle::note_snapshot(&snapshot.bytes);
                    self.count(if reset {
                        "snapshots installed"
                    } else {
                        "snapshots taken"
                    });
                    let job = DiskJob::Snapshot(sequence, snapshot, reset);
                    self.vms[place].jobs.push_back(job);
                }
                CoreAction::Reply { ticket, reply } => {
                    self.take_reply(ticket, &reply);
                    if self.keeps_replies {
                        self.replies.push(SimReply { ticket, reply });
                    }
                }
                CoreAction::Note(draft) => {
                    if draft.kind == EventKind::LeaderElected {
                        self.count("leaders");
                        let id = self.id_of(place);
                        self.oracle.note_leader(draft.value, &id);
                    }
                }
            }
        }
    }

    /// Reports newly committed entries of a VM to the oracle.
    fn check_committed(&mut self, place: usize) {
        let vm = &mut self.vms[place];
        let Some(core) = &vm.core else {
            return;
        };
        let voter = core.voter();
        for index in vm.checked + 1..=voter.commit() {
            if let Some(entry) = voter.log().entry_at(index) {
                self.oracle.note_committed(entry);
            }
        }
        vm.checked = voter.commit();
        for (name, environment) in &core.book().state().environments {
            let number = environment.document.addresses.count;
            self.oracle
                .note_version(name, number, environment.changed.0);
        }
    }

    fn take_reply(&mut self, ticket: u64, reply: &CoreReply) {
        let Some(waiting) = self.asks.remove(&ticket) else {
            panic!("a reply to nobody");
        };
        let age = self.now - waiting.asked;
        match (&waiting.ask, reply) {
            (CoreAsk::Change(ask, _), CoreReply::Change(reply)) => {
                self.oracle.note_change_reply(self.now, ask, reply);
                if reply.is_ok() && ask.base.is_none() {
                    self.count("changes of members");
                }
                if let Err(refusal) = reply
                    && refusal.code == ResultCode::VersionConflict
                    && let daisyhinge::vocabulary::change::ChangeKind::Apply { environment, .. } =
                        &ask.kind
                {
                    self.versions.insert(environment.clone(), refusal.current.0);
                }
            }
            (CoreAsk::View, CoreReply::View(Ok(view))) => {
                self.oracle.note_shown(self.now, age, view.version);
                self.oracle.note_view(view);
            }
            (CoreAsk::Fresh(_), CoreReply::Fresh(Ok(proof))) => {
                self.oracle
                    .note_shown(self.now, proof.age_us, proof.version);
            }
            (CoreAsk::Claim(ask), CoreReply::Claim(reply)) => {
                self.oracle.note_claim_reply(ask, reply);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, message: &VoterMessage) {
        let Some(to) = (0..VMS).find(|place| self.vms[*place].name == message.to.vm) else {
            return;
        };
        let copies = match self.rng.random_range(0..100) {
            0..4 if !self.calm => 0,
            4..8 if !self.calm => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = match self.rng.random_range(0..20) {
                0 if !self.calm => self.rng.random_range(0..400_000),
                _ => self.rng.random_range(200..5_000),
            };
            self.network.push(SimMessage {
                due: self.now + delay,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    /// Advances simulated time.
    pub fn advance(&mut self) {
        self.now += self.rng.random_range(1_000..12_000);
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|sent| sent.due <= self.now);
        self.network = later;
        for sent in due {
            self.deliver(sent);
        }
        for place in 0..VMS {
            if self.vms[place].frozen_until > self.now || self.vms[place].core.is_none() {
                continue;
            }
            self.run_disk(place);
            self.step(place, CoreEvent::Tick);
            self.step(place, CoreEvent::Flush);
        }
    }

    fn deliver(&mut self, sent: SimMessage) {
        let SimMessage {
            from, to, message, ..
        } = sent;
        if self.cuts.contains(&(from, to)) || self.vms[to].core.is_none() {
            return;
        }
        if self.vms[to].frozen_until > self.now {
            let due = self.vms[to].frozen_until;
            self.network.push(SimMessage {
                due,
                from,
                to,
                message,
            });
            return;
        }
        if message.to.number != self.vms[to].number {
            let id = self.id_of(to);
            let address = address_of(to);
            self.step(from, CoreEvent::IdentityChanged { id, address });
        }
        self.step(to, CoreEvent::Received(message));
        if self.rng.random_bool(0.5) {
            self.step(to, CoreEvent::Flush);
        }
    }

    fn run_disk(&mut self, place: usize) {
        let most = if self.calm { 50 } else { 6 };
        for _ in 0..self.rng.random_range(0..most) {
            let vm = &mut self.vms[place];
            if let Some(op) = vm.plan.pop_front() {
                vm.disk.run(&op);
                if vm.plan.is_empty() {
                    let sequence = vm.plan_sequence;
                    self.step(place, CoreEvent::Saved(sequence));
                }
            } else if !plan_next(vm) {
                return;
            }
        }
    }
}

/// Plans all waiting saves as one batch, or a snapshot.
fn plan_next(vm: &mut SimVm) -> bool {
    let Some(writer) = &mut vm.writer else {
        return false;
    };
    let mut saves = Vec::new();
    while let Some(DiskJob::Save(_)) = vm.jobs.front() {
        let Some(DiskJob::Save(save)) = vm.jobs.pop_front() else {
            break;
        };
        vm.plan_sequence = save.sequence;
        saves.push(save);
    }
    if !saves.is_empty() {
        vm.plan = writer.plan_saves(&saves).into();
        return true;
    }
    if let Some(DiskJob::Snapshot(sequence, snapshot, reset)) = vm.jobs.pop_front() {
        vm.plan_sequence = sequence;
        vm.plan = writer.plan_snapshot(&snapshot, reset).into();
        return true;
    }
    false
}
