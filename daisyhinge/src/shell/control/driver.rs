//! The task that owns the core.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use super::codec::STATE_CODEC;
use super::disk::{DiskJob, DiskThread, spawn_disk};
use super::folder::DataFolder;
use super::input::DriverInput;
use super::peer::{PEER_QUEUE_MAX, PeerSender};
use super::{ControlFault, EventSink};
use crate::control::core::{ControlCore, CoreAction, CoreEvent, CoreReply};
use crate::control::limits::LogLimits;
use crate::control::member::VoterId;
use crate::control::message::VoterMessage;
use crate::control::store::OpenedStore;
use crate::control::voter::VoterMachine;
use crate::prelude::*;
use crate::shell::clock::ProcessClock;
use crate::vocabulary::site::SiteState;

/// Time between ticks.
const TICK_SPAN: Duration = Duration::from_millis(20);
/// Inputs taken before what is due is saved and sent.
const DRAIN_MAX: usize = 512;
/// Addresses of control VMs that are remembered besides the members'.
const ADDRESSES_MAX: usize = 1_024;

/// What a control process shows of the deployment without asking its task.
#[derive(Debug, Default)]
pub struct SiteBoard {
    /// The newest state that is applied here.
    pub state: watch::Sender<Arc<SiteState>>,
    /// Where the members are reached.
    pub members: watch::Sender<Vec<SocketAddr>>,
    /// When a quorum was last known to stand behind the state, in microseconds of the process's
    /// clock; 0 if it never was.
    pub quorum_us: AtomicU64,
}

/// What a driver is made of.
pub(super) struct DriverParts {
    pub clock: ProcessClock,
    pub board: Arc<SiteBoard>,
    pub address: SocketAddr,
    pub operator_address: SocketAddr,
    pub limits: LogLimits,
    pub folder: DataFolder,
    pub opened: OpenedStore,
    pub rng: ChaCha8Rng,
    pub inputs: mpsc::Sender<DriverInput>,
    pub failed: watch::Sender<Option<ControlFault>>,
    pub note: EventSink,
}

/// A queue of messages to another control VM.
struct PeerQueue {
    address: SocketAddr,
    queue: mpsc::Sender<VoterMessage>,
}

/// Owns the core; its task alone steps it.
pub(super) struct ControlDriver {
    core: ControlCore,
    clock: ProcessClock,
    board: Arc<SiteBoard>,
    address: SocketAddr,
    disk: DiskThread,
    inputs: mpsc::Sender<DriverInput>,
    failed: watch::Sender<Option<ControlFault>>,
    note: EventSink,
    req_id: u64,
    replies: HashMap<u64, oneshot::Sender<CoreReply>>,
    /// Where VMs are reached, as they said; the members' addresses go before.
    addresses: HashMap<VoterId, SocketAddr>,
    peers: HashMap<VoterId, PeerQueue>,
    actions: Vec<CoreAction>,
}

impl ControlDriver {
    pub(super) fn open(parts: DriverParts) -> Self {
        let clock = parts.clock;
        let now = clock.now();
        let mut opened = Vec::new();
        let voter = VoterMachine::open(
            now,
            parts.opened.id,
            parts.operator_address,
            parts.limits,
            parts.opened.stored,
            parts.rng,
            &mut opened,
        );
        let mut actions = Vec::new();
        let core = ControlCore::open(now, voter, opened, STATE_CODEC, &mut actions);
        Self {
            core,
            clock,
            board: parts.board,
            address: parts.address,
            disk: spawn_disk(parts.folder, parts.opened.writer, parts.inputs.clone()),
            inputs: parts.inputs,
            failed: parts.failed,
            note: parts.note,
            req_id: 0,
            replies: HashMap::new(),
            addresses: HashMap::new(),
            peers: HashMap::new(),
            actions,
        }
    }

    fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    pub(super) async fn run(mut self, mut inputs: mpsc::Receiver<DriverInput>) {
        let mut ticks = tokio::time::interval(TICK_SPAN);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let running = tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.take_all(input, &mut inputs),
                    None => false,
                },
                _ = ticks.tick() => {
                    self.step(CoreEvent::Tick);
                    self.forget_given_up();
                    true
                }
            };
            self.step(CoreEvent::Flush);
            self.run_actions();
            self.publish();
            if !running {
                break;
            }
        }
        // Closed first, so that the thread waits for nobody.
        drop(inputs);
        self.disk.stop().await;
    }

    /// Shows the state on the board.
    fn publish(&self) {
        let site = &self.core.state_machine().state().site;
        self.board.state.send_if_modified(|shown| {
            let newer = site.revision > shown.revision;
            if newer {
                *shown = Arc::clone(site);
            }
            newer
        });
        let voter = self.core.voter();
        let seen = voter.last_quorum_contact().map_or(0, |seen| seen.0);
        self.board.quorum_us.store(seen, Ordering::Relaxed);
        let members = &voter.voters().members;
        self.board.members.send_if_modified(|shown| {
            let same = shown.len() == members.len()
                && shown
                    .iter()
                    .zip(members)
                    .all(|(address, member)| *address == member.address);
            if !same {
                *shown = members.iter().map(|member| member.address).collect();
            }
            !same
        });
    }

    /// Takes `first` and what else waits. `false` to stop.
    fn take_all(&mut self, first: DriverInput, inputs: &mut mpsc::Receiver<DriverInput>) -> bool {
        let mut next = Some(first);
        for _ in 0..DRAIN_MAX {
            let Some(input) = next else {
                return true;
            };
            if !self.take(input) {
                return false;
            }
            next = inputs.try_recv().ok();
        }
        next.is_none_or(|input| self.take(input))
    }

    fn step(&mut self, event: CoreEvent) {
        let now = self.now();
        self.core.step(now, event, &mut self.actions);
    }

    fn take(&mut self, input: DriverInput) -> bool {
        match input {
            DriverInput::Ask { ask, reply } => {
                self.req_id += 1;
                let req_id = self.req_id;
                self.replies.insert(req_id, reply);
                self.step(CoreEvent::Request { req_id, ask });
            }
            // Whoever asked may have gone.
            DriverInput::Status(reply) => drop(reply.send(self.core.status(self.now()))),
            DriverInput::Leader(reply) => drop(reply.send(self.find_leader())),
            DriverInput::Delivered {
                from,
                address,
                messages,
            } => {
                if self.addresses.len() < ADDRESSES_MAX || self.addresses.contains_key(&from) {
                    self.addresses.insert(from, address);
                }
                for message in messages {
                    self.step(CoreEvent::Received(message));
                }
            }
            DriverInput::IdentityChanged { id, address } => {
                self.step(CoreEvent::IdentityChanged { id, address });
            }
            DriverInput::JoinRequest { id, address } => {
                self.step(CoreEvent::JoinRequest { id, address });
            }
            DriverInput::Bootstrap(set) => self.step(CoreEvent::Bootstrap(set)),
            DriverInput::Saved(sequence) => self.step(CoreEvent::Saved(sequence)),
            DriverInput::DiskFailed(fault) => {
                self.failed.send_replace(Some(fault));
                return false;
            }
            DriverInput::Stop => return false,
        }
        true
    }

    fn find_leader(&self) -> Option<SocketAddr> {
        let voter = self.core.voter();
        let leader = voter.leader().filter(|leader| *leader != voter.id())?;
        self.find_address(leader)
    }

    fn find_address(&self, id: &VoterId) -> Option<SocketAddr> {
        let member = self.core.voter().voters().find_member(id);
        member
            .map(|member| member.address)
            .or_else(|| self.addresses.get(id).copied())
    }

    fn run_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                CoreAction::Send(message) => self.send(message),
                CoreAction::Save(batch) => self.disk.write(DiskJob::Save(batch)),
                CoreAction::SaveSnapshot {
                    sequence,
                    snapshot,
                    reset,
                } => self.disk.write(DiskJob::Snapshot {
                    sequence,
                    snapshot,
                    reset,
                }),
                CoreAction::Reply { req_id, reply } => {
                    if let Some(waiting) = self.replies.remove(&req_id) {
                        // Whoever asked may have gone.
                        drop(waiting.send(reply));
                    }
                }
                CoreAction::Note(draft) => (self.note)(draft),
            }
        }
    }

    fn send(&mut self, message: VoterMessage) {
        let Some(address) = self.find_address(&message.to) else {
            return;
        };
        let peer = message.to.clone();
        let open = self
            .peers
            .get(&peer)
            .is_some_and(|held| held.address == address);
        if !open {
            let queue = self.open_queue(peer.clone(), address);
            self.peers.insert(peer.clone(), queue);
        }
        if let Some(held) = self.peers.get(&peer) {
            // A full queue drops the message; its sender sends it again.
            drop(held.queue.try_send(message));
        }
    }

    fn open_queue(&self, peer: VoterId, peer_address: SocketAddr) -> PeerQueue {
        let (queue, receiver) = mpsc::channel(PEER_QUEUE_MAX);
        let sender = PeerSender {
            id: self.core.voter().id().clone(),
            address: self.address,
            peer,
            peer_address,
            inputs: self.inputs.clone(),
        };
        tokio::spawn(sender.run(receiver));
        PeerQueue {
            address: peer_address,
            queue,
        }
    }

    /// Forgets asks whose askers have gone.
    fn forget_given_up(&mut self) {
        let gone: Vec<u64> = self
            .replies
            .iter()
            .filter(|(_, reply)| reply.is_closed())
            .map(|(req_id, _)| *req_id)
            .collect();
        for req_id in gone {
            self.replies.remove(&req_id);
            self.step(CoreEvent::Abandoned { req_id });
        }
    }
}
