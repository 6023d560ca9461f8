//! Control VMs with a fake disk and a network that loses, duplicates and reorders messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use daisyhinge::control::core::{ControlCore, CoreAction, CoreEvent, CoreReply, CoreRequest};
use daisyhinge::control::limits::LogLimits;
use daisyhinge::control::log::LogSnapshot;
use daisyhinge::control::member::{VoterId, VoterMember, VoterSet};
use daisyhinge::control::message::VoterMessage;
use daisyhinge::control::store::{DiskOp, StoreWriter, open_store};
use daisyhinge::control::voter::{SaveBatch, VoterMachine};
use daisyhinge::prelude::*;
use daisyhinge::shell::control::codec::STATE_CODEC;
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
    silent_timeout: None,
};

/// Time that a message may take, and for which a leader without a quorum may go on sending.
const CONTACT_TOLERANCE_US: u64 = 400_000 + 900_000;

#[derive(Debug)]
enum DiskJob {
    Save(SaveBatch),
    Snapshot(u64, LogSnapshot, bool),
}

/// A simulated control VM with its disk and, while it runs, its process.
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
    /// Time at which the process last ran.
    ran_at: u64,
    /// Contact by a message that waited on although the process ran again, or crashed. On real VMs it
    /// is read at once, or lost with the connection.
    unreal_contact: Option<MonotonicTime>,
    checked_index: u64,
}

#[derive(Debug)]
struct SimMessage {
    deliver_at: u64,
    from: usize,
    to: usize,
    message: VoterMessage,
    /// Time since which the message waits for a frozen process.
    waits_since: Option<u64>,
}

/// A request that waits for its reply, and the time at which it was sent.
#[derive(Clone, Debug)]
pub struct SimRequest {
    pub request: CoreRequest,
    pub sent_at: u64,
}

/// Reply to the request `req_id`.
#[derive(Debug)]
pub struct SimReply {
    pub req_id: u64,
    pub reply: CoreReply,
}

#[derive(Debug)]
pub struct SimCluster {
    pub now: u64,
    pub vms: Vec<SimVm>,
    pub oracle: PlainOracle,
    pub requests: BTreeMap<u64, SimRequest>,
    pub partitioned_links: BTreeSet<(usize, usize)>,
    pub rng: ChaCha8Rng,
    pub fault_free: bool,
    /// Time at which a disk was last lost.
    pub disk_lost_at: u64,
    /// Number of events by kind.
    pub counts: BTreeMap<&'static str, u64>,
    network: Vec<SimMessage>,
    req_id: u64,
    /// Replies received while `records_replies` is set.
    pub replies: Vec<SimReply>,
    pub records_replies: bool,
    /// Newest version of each environment, as reported in version conflicts.
    pub versions: BTreeMap<EnvironmentName, u64>,
}

pub fn address_of(node: usize) -> SocketAddr {
    let port = u16::try_from(7_000 + node).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl SimCluster {
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = (0..VMS)
            .map(|node| SimVm {
                name: VmName::from(format!("control-{node}")),
                number: rng.random(),
                disk: FakeDisk::default(),
                core: None,
                writer: None,
                jobs: VecDeque::new(),
                plan: VecDeque::new(),
                plan_sequence: 0,
                offset: rng.random_range(0..10_000_000_000),
                frozen_until: 0,
                ran_at: 0,
                unreal_contact: None,
                checked_index: 0,
            })
            .collect();
        let mut cluster = Self {
            now: 0,
            vms,
            oracle: PlainOracle::default(),
            requests: BTreeMap::new(),
            partitioned_links: BTreeSet::new(),
            rng,
            fault_free: true,
            disk_lost_at: 0,
            counts: BTreeMap::new(),
            network: Vec::new(),
            req_id: 0,
            replies: Vec::new(),
            records_replies: false,
            versions: BTreeMap::new(),
        };
        for node in 0..VMS {
            cluster.start(node);
        }
        let members = (0..FIRST_VOTERS).map(|node| VoterMember {
            id: cluster.id_of(node),
            address: address_of(node),
            learner: false,
            replaces: None,
        });
        let set = VoterSet {
            members: members.collect(),
        };
        cluster.step(0, CoreEvent::Bootstrap(set));
        while !cluster.is_recovered() {
            cluster.advance();
        }
        cluster.fault_free = false;
        cluster
    }

    pub fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    pub fn id_of(&self, node: usize) -> VoterId {
        VoterId {
            vm: self.vms[node].name.clone(),
            number: self.vms[node].number,
        }
    }

    fn clock(&self, node: usize) -> MonotonicTime {
        MonotonicTime(self.now + self.vms[node].offset)
    }

    /// Starts a VM from its disk.
    pub fn start(&mut self, node: usize) {
        let now = self.clock(node);
        let mut rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        let vm = &mut self.vms[node];
        assert!(vm.core.is_none());
        let files = vm.disk.files();
        let opened = open_store(&vm.name, vm.number, LIMITS.segment_bytes, &files)
            .unwrap_or_else(|error| panic!("{}: {error}", vm.name));
        for (completed, op) in opened.ops.iter().enumerate() {
            if !self.fault_free && self.rng.random_bool(0.01) {
                // The process crashes again before this operation of its recovery.
                assert!(completed < opened.ops.len());
                vm.disk.crash(&mut self.rng);
                return;
            }
            vm.disk.run(op);
        }
        vm.number = opened.id.number;
        vm.ran_at = self.now;
        vm.checked_index = 0;
        let mut opening_actions = Vec::new();
        let operator_address = address_of(node + 100);
        let voter_rng = ChaCha8Rng::seed_from_u64(rng.random());
        let voter = VoterMachine::open(
            now,
            opened.id,
            operator_address,
            LIMITS,
            opened.stored,
            voter_rng,
            &mut opening_actions,
        );
        let mut actions = Vec::new();
        let core = ControlCore::open(now, voter, opening_actions, STATE_CODEC, &mut actions);
        vm.core = Some(core);
        vm.writer = Some(opened.writer);
        self.handle_actions(node, actions);
    }

    /// Crashes a VM at any byte of its pending writes.
    pub fn crash(&mut self, node: usize) {
        self.count("crashes");
        let vm = &mut self.vms[node];
        vm.core = None;
        vm.writer = None;
        vm.jobs.clear();
        vm.plan.clear();
        vm.frozen_until = 0;
        vm.disk.crash(&mut self.rng);
    }

    /// Loses a VM's disk; the VM restarts with a new identity.
    pub fn lose_disk(&mut self, node: usize) {
        self.crash(node);
        self.count("disks lost");
        self.disk_lost_at = self.now;
        self.vms[node].disk = FakeDisk::default();
        self.vms[node].number = self.rng.random();
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |vm: &SimVm| {
            vm.core
                .as_ref()
                .is_some_and(|core| core.voter().is_leader())
        };
        let leaders = (0..VMS).filter(|node| leads(&self.vms[*node]));
        leaders.max_by_key(|node| {
            self.vms[*node]
                .core
                .as_ref()
                .map(|core| core.voter().term())
        })
    }

    /// Returns whether this VM's disk may be lost: all other members are committed voters under
    /// their current identities and form a quorum without it.
    pub fn may_lose_disk(&self, node: usize) -> bool {
        let Some(core) = self
            .leader()
            .and_then(|leader| self.vms[leader].core.as_ref())
        else {
            return false;
        };
        let voter = core.voter();
        let set = voter.voters();
        let current: Vec<VoterId> = (0..VMS).map(|node| self.id_of(node)).collect();
        let mut others = set
            .members
            .iter()
            .filter(|member| member.id.vm != self.vms[node].name);
        let count = others.clone().count();
        // The learner of this VM may be promoted at this moment.
        let own_learner =
            |member: &&VoterMember| member.learner && member.id.vm == self.vms[node].name;
        let voters = set.voters().count() + set.members.iter().filter(own_learner).count();
        let confirmed = self.leader().and_then(|leader| {
            let at = voter.confirmed_at()?;
            Some(self.clock(leader).since(at).as_millis() < 200)
        });
        confirmed == Some(true)
            && voter.commit() == voter.log().last_index()
            && count > voters / 2
            && others.all(|member| !member.learner && current.contains(&member.id))
    }

    /// Returns whether the committed members of the log are exactly the current identities of VMs.
    pub fn is_recovered(&self) -> bool {
        let Some(node) = self.leader() else {
            return false;
        };
        let Some(core) = &self.vms[node].core else {
            return false;
        };
        let voter = core.voter();
        let confirmed = voter.confirmed_at();
        let current: Vec<VoterId> = (0..VMS).map(|node| self.id_of(node)).collect();
        let members = &voter.voters().members;
        confirmed.is_some_and(|at| self.clock(node).since(at).as_millis() < 200)
            && voter.commit() == voter.log().last_index()
            && members.len() >= FIRST_VOTERS
            && members
                .iter()
                .all(|member| !member.learner && current.contains(&member.id))
    }

    /// Sends a request to a VM. Returns `None` if the VM is down or frozen.
    pub fn send_request(&mut self, node: usize, request: CoreRequest) -> Option<u64> {
        if self.vms[node].core.is_none() || self.vms[node].frozen_until > self.now {
            return None;
        }
        self.req_id += 1;
        let req_id = self.req_id;
        let sent_at = self.now;
        self.requests.insert(
            req_id,
            SimRequest {
                request: request.clone(),
                sent_at,
            },
        );
        self.step(node, CoreEvent::Request { req_id, request });
        Some(req_id)
    }

    pub fn step(&mut self, node: usize, event: CoreEvent) {
        let now = self.clock(node);
        let mut actions = Vec::new();
        if let Some(core) = &mut self.vms[node].core {
            core.step(now, event, &mut actions);
        }
        self.handle_actions(node, actions);
    }

    fn handle_actions(&mut self, node: usize, actions: Vec<CoreAction>) {
        self.check_committed(node);
        for action in actions {
            match action {
                CoreAction::Send(message) => self.send(node, &message),
                CoreAction::Save(batch) => self.vms[node].jobs.push_back(DiskJob::Save(batch)),
                CoreAction::SaveSnapshot {
                    sequence,
                    snapshot,
                    reset,
                } => {
                    PlainOracle::check_snapshot(&snapshot.bytes);
                    self.count(if reset {
                        "snapshots installed"
                    } else {
                        "snapshots taken"
                    });
                    let job = DiskJob::Snapshot(sequence, snapshot, reset);
                    self.vms[node].jobs.push_back(job);
                }
                CoreAction::Reply { req_id, reply } => {
                    self.check_reply(req_id, &reply);
                    if self.records_replies {
                        self.replies.push(SimReply { req_id, reply });
                    }
                }
                CoreAction::RecordEvent(draft) => {
                    if draft.kind == EventKind::LeaderElected {
                        self.count("leaders");
                        let id = self.id_of(node);
                        self.oracle.check_leader(draft.value, &id);
                    }
                }
            }
        }
    }

    /// Reports newly committed entries of a VM to the oracle.
    fn check_committed(&mut self, node: usize) {
        let vm = &mut self.vms[node];
        let Some(core) = &vm.core else {
            return;
        };
        let voter = core.voter();
        for index in vm.checked_index + 1..=voter.commit() {
            if let Some(entry) = voter.log().entry_at(index) {
                self.oracle.record_committed(entry);
            }
        }
        vm.checked_index = voter.commit();
        for (name, environment) in &core.state_machine().state().environments {
            let number = environment.document.addresses.count;
            self.oracle
                .record_version(name, number, environment.changed.0);
        }
    }

    fn check_reply(&mut self, req_id: u64, reply: &CoreReply) {
        let Some(sent_request) = self.requests.remove(&req_id) else {
            panic!("a reply without a pending request");
        };
        let age = self.now - sent_request.sent_at;
        match (&sent_request.request, reply) {
            (CoreRequest::Change(request, _), CoreReply::Change(reply)) => {
                self.oracle.check_change_reply(self.now, request, reply);
                if reply.is_ok() && request.base.is_none() {
                    self.count("membership changes");
                }
                if let Err(refusal) = reply
                    && refusal.code == ResultCode::VersionConflict
                    && let daisyhinge::vocabulary::change::ChangeKind::Apply { environment, .. } =
                        &request.kind
                {
                    self.versions.insert(environment.clone(), refusal.current.0);
                }
            }
            (CoreRequest::View, CoreReply::View(Ok(view))) => {
                self.oracle.check_read_version(self.now, age, view.version);
                self.oracle.check_view(view);
            }
            (CoreRequest::Fresh(_), CoreReply::Fresh(Ok(proof))) => {
                self.oracle
                    .check_read_version(self.now, proof.age_us, proof.version);
            }
            (CoreRequest::Claim(request), CoreReply::Claim(reply)) => {
                self.oracle.check_claim_reply(request, reply);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, message: &VoterMessage) {
        let Some(to) = (0..VMS).find(|node| self.vms[*node].name == message.to.vm) else {
            return;
        };
        let copies = match self.rng.random_range(0..100) {
            0..4 if !self.fault_free => 0,
            4..8 if !self.fault_free => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = match self.rng.random_range(0..20) {
                0 if !self.fault_free => self.rng.random_range(0..400_000),
                _ => self.rng.random_range(200..5_000),
            };
            self.network.push(SimMessage {
                deliver_at: self.now + delay,
                from,
                to,
                message: message.clone(),
                waits_since: None,
            });
        }
    }

    /// Advances simulated time by a random step: delivers messages, runs the disks and ticks all
    /// VMs.
    pub fn advance(&mut self) {
        self.now += self.rng.random_range(1_000..12_000);
        let (arrived, in_transit) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|sent| sent.deliver_at <= self.now);
        self.network = in_transit;
        for sent in arrived {
            self.deliver(sent);
        }
        for node in 0..VMS {
            if self.vms[node].frozen_until > self.now || self.vms[node].core.is_none() {
                continue;
            }
            self.vms[node].ran_at = self.now;
            self.run_disk(node);
            self.step(node, CoreEvent::Tick);
            self.step(node, CoreEvent::Flush);
            self.check_contact(node);
        }
    }

    fn last_contact(&self, node: usize) -> Option<MonotonicTime> {
        let core = self.vms[node].core.as_ref()?;
        core.voter().last_quorum_contact()
    }

    /// Checks that a VM has what was accepted before the time at which its state was confirmed.
    fn check_contact(&self, node: usize) {
        let vm = &self.vms[node];
        if let Some(core) = &vm.core
            && let Some(contact) = core.voter().last_quorum_contact()
            && vm.unreal_contact != Some(contact)
        {
            let at = contact.0 - vm.offset;
            let version = core.state_machine().state().version;
            self.oracle
                .check_read_version(at, CONTACT_TOLERANCE_US, version);
        }
    }

    fn deliver(&mut self, sent: SimMessage) {
        let SimMessage {
            from,
            to,
            message,
            waits_since,
            ..
        } = sent;
        if self.partitioned_links.contains(&(from, to)) || self.vms[to].core.is_none() {
            return;
        }
        if self.vms[to].frozen_until > self.now {
            let deliver_at = self.vms[to].frozen_until;
            self.network.push(SimMessage {
                deliver_at,
                from,
                to,
                message,
                waits_since: waits_since.or(Some(self.now)),
            });
            return;
        }
        if message.to.number != self.vms[to].number {
            let id = self.id_of(to);
            let address = address_of(to);
            self.step(from, CoreEvent::IdentityChanged { id, address });
        }
        self.step(to, CoreEvent::Received(message));
        if waits_since.is_some_and(|since| self.vms[to].ran_at >= since) {
            self.vms[to].unreal_contact = self.last_contact(to);
        }
        if self.rng.random_bool(0.5) {
            self.step(to, CoreEvent::Flush);
        }
    }

    fn run_disk(&mut self, node: usize) {
        let max_ops = if self.fault_free { 50 } else { 6 };
        for _ in 0..self.rng.random_range(0..max_ops) {
            let vm = &mut self.vms[node];
            if let Some(op) = vm.plan.pop_front() {
                vm.disk.run(&op);
                if vm.plan.is_empty() {
                    let sequence = vm.plan_sequence;
                    self.step(node, CoreEvent::Saved(sequence));
                }
            } else if !plan_next(vm) {
                return;
            }
        }
    }
}

/// Plans all waiting saves as one batch or, if there are none, a snapshot. Returns whether there
/// was anything to plan.
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
