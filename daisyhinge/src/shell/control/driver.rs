//! Driver: the task that owns [`ControlCore`] and performs its actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use super::codec::STATE_CODEC;
use super::confirmations::StateConfirmations;
use super::disk::{DiskJob, DiskThread, spawn_disk};
use super::folder::DataFolder;
use super::input::DriverInput;
use super::peer::{PEER_QUEUE_MAX, PeerSender};
use super::{ControlError, EventSink};
use crate::control::core::{ControlCore, CoreAction, CoreEvent, CoreReply};
use crate::control::limits::LogLimits;
use crate::control::member::VoterId;
use crate::control::message::{VoterBody, VoterMessage};
use crate::control::store::OpenedStore;
use crate::control::voter::VoterMachine;
use crate::prelude::*;
use crate::shell::clock::ProcessClock;
use crate::vocabulary::site::SiteState;

/// Interval at which the core receives a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of inputs handled before the driver starts to save the resulting state and to
/// send the resulting messages.
const INPUTS_PER_FLUSH: usize = 512;
/// Maximum number of stored addresses that control VMs reported.
const ADDRESSES_MAX: usize = 1_024;

/// State of the deployment as applied on this VM, shared by the control task with the other
/// tasks of the process.
#[derive(Debug, Default)]
pub struct PublishedSiteState {
    /// Latest state applied on this VM.
    pub state: watch::Sender<Arc<SiteState>>,
    /// Addresses of the members.
    pub members: watch::Sender<Vec<SocketAddr>>,
    /// When a quorum last confirmed the latest states.
    pub confirmations: Mutex<StateConfirmations>,
    /// Whether a quorum has confirmed the state since the process started.
    pub has_quorum: watch::Sender<bool>,
    /// Time of the log clock in milliseconds; advances only while this VM leads.
    pub log_clock_ms: AtomicU64,
    /// Index of the last log entry that is applied on this VM.
    pub commit: AtomicU64,
    /// Index of the last committed log entry that the leader stated to this VM, or the own one
    /// while this VM leads; 0 if no leader stated any.
    pub leader_commit: AtomicU64,
}

/// Arguments of [`ControlDriver::open`].
pub(super) struct DriverParts {
    pub clock: ProcessClock,
    pub published_site: Arc<PublishedSiteState>,
    pub address: SocketAddr,
    pub operator_address: SocketAddr,
    pub limits: LogLimits,
    pub folder: DataFolder,
    pub opened: OpenedStore,
    pub rng: ChaCha8Rng,
    pub inputs: mpsc::Sender<DriverInput>,
    pub failed: watch::Sender<Option<ControlError>>,
    pub sink: EventSink,
}

/// Queue of messages to another control VM.
struct PeerQueue {
    address: SocketAddr,
    queue: mpsc::Sender<VoterMessage>,
}

/// Owner of the core; only the task of the driver calls [`ControlCore::step`].
pub(super) struct ControlDriver {
    core: ControlCore,
    clock: ProcessClock,
    published_site: Arc<PublishedSiteState>,
    address: SocketAddr,
    disk: DiskThread,
    inputs: mpsc::Sender<DriverInput>,
    failed: watch::Sender<Option<ControlError>>,
    sink: EventSink,
    req_id: u64,
    replies: HashMap<u64, oneshot::Sender<CoreReply>>,
    /// Addresses that VMs reported; the address of a member takes precedence.
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
            published_site: parts.published_site,
            address: parts.address,
            disk: spawn_disk(parts.folder, parts.opened.writer, parts.inputs.clone()),
            inputs: parts.inputs,
            failed: parts.failed,
            sink: parts.sink,
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
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let running = tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_all(input, &mut inputs),
                    None => false,
                },
                _ = ticks.tick() => {
                    self.step(CoreEvent::Tick);
                    self.drop_abandoned();
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
        // Closed first, so that the disk thread does not block on sending an input.
        drop(inputs);
        self.disk.stop().await;
    }

    /// Publishes the applied state, the members and the last quorum confirmation.
    fn publish(&self) {
        let site = &self.core.state_machine().state().site;
        self.published_site.state.send_if_modified(|published| {
            let newer = site.revision > published.revision;
            if newer {
                *published = Arc::clone(site);
            }
            newer
        });
        let voter = self.core.voter();
        let confirmed = voter.last_quorum_contact();
        if let Some(at) = confirmed {
            let mut confirmations = self.published_site.confirmations.lock();
            confirmations.record(site.revision, at);
        }
        let log_clock_ms = self.core.log_clock_ms(self.now());
        self.published_site
            .log_clock_ms
            .store(log_clock_ms, Ordering::Relaxed);
        self.published_site
            .commit
            .store(voter.commit(), Ordering::Relaxed);
        if voter.is_leader() {
            self.published_site
                .leader_commit
                .store(voter.commit(), Ordering::Relaxed);
        }
        let members = &voter.voters().members;
        self.published_site.members.send_if_modified(|published| {
            let same = published.len() == members.len()
                && published
                    .iter()
                    .zip(members)
                    .all(|(address, member)| *address == member.address);
            if !same {
                *published = members.iter().map(|member| member.address).collect();
            }
            !same
        });
        // Last: the stored replicas are used as soon as the members of the newest log are known.
        self.published_site.has_quorum.send_if_modified(|known| {
            let is_first = !*known && confirmed.is_some();
            *known |= is_first;
            is_first
        });
    }

    /// Handles `first` and other queued inputs. Returns `false` if the driver must stop.
    fn handle_all(&mut self, first: DriverInput, inputs: &mut mpsc::Receiver<DriverInput>) -> bool {
        let mut next = Some(first);
        for _ in 0..INPUTS_PER_FLUSH {
            let Some(input) = next else {
                return true;
            };
            if !self.handle(input) {
                return false;
            }
            next = inputs.try_recv().ok();
        }
        next.is_none_or(|input| self.handle(input))
    }

    fn step(&mut self, event: CoreEvent) {
        let now = self.now();
        self.core.step(now, event, &mut self.actions);
    }

    fn handle(&mut self, input: DriverInput) -> bool {
        match input {
            DriverInput::Request { request, reply } => {
                self.req_id += 1;
                let req_id = self.req_id;
                self.replies.insert(req_id, reply);
                self.step(CoreEvent::Request { req_id, request });
            }
            // The receiver may have been dropped.
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
                    self.record_leader_commit(&message);
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
            DriverInput::DiskFailed(error) => {
                self.failed.send_replace(Some(error));
                return false;
            }
            DriverInput::Stop => return false,
        }
        true
    }

    /// Records the commit index that a leader states, for logs and metrics only.
    fn record_leader_commit(&self, message: &VoterMessage) {
        let voter = self.core.voter();
        if message.to != *voter.id() || message.term < voter.term() {
            return;
        }
        let stated = match &message.body {
            VoterBody::Append(request) => request.commit,
            VoterBody::SnapshotPart(part) => part.index,
            _ => return,
        };
        self.published_site
            .leader_commit
            .store(stated, Ordering::Relaxed);
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
                    if let Some(sender) = self.replies.remove(&req_id) {
                        // The receiver may have been dropped.
                        drop(sender.send(reply));
                    }
                }
                CoreAction::RecordEvent(draft) => (self.sink)(draft),
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
            .is_some_and(|queue| queue.address == address);
        if !open {
            let queue = self.open_queue(peer.clone(), address);
            self.peers.insert(peer.clone(), queue);
        }
        if let Some(peer_queue) = self.peers.get(&peer) {
            // If the queue is full, the message is dropped; the voter sends it again.
            drop(peer_queue.queue.try_send(message));
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

    /// Drops requests whose callers no longer wait for the reply.
    fn drop_abandoned(&mut self) {
        let abandoned: Vec<u64> = self
            .replies
            .iter()
            .filter(|(_, reply)| reply.is_closed())
            .map(|(req_id, _)| *req_id)
            .collect();
        for req_id in abandoned {
            self.replies.remove(&req_id);
            self.step(CoreEvent::Abandoned { req_id });
        }
    }
}
