//! The control process's side: the registry, and the answers to those who follow.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use parking_lot::Mutex;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::SiteLink;
use crate::prelude::*;
use crate::registry::{HeartbeatOutcome, ServerRegistry};
use crate::shell::control::ControlShell;
use crate::vocabulary::clock::duration_to_millis;
use crate::vocabulary::registration::{
    ControlLocation, EntryPresence, ReplicaRecord, SyncCaller, SyncReply, SyncRequest,
};
use crate::vocabulary::site::SiteState;

/// Time between looks for what has fallen silent.
const EXPIRE_SPAN: Duration = Duration::from_millis(250);
/// Connections at a time.
const CONNECTIONS_MAX: usize = 1_024;
/// Pause after accepting failed, as it does while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time between two states that entries are told.
const TELL_SPAN: Duration = Duration::from_millis(250);
/// Longest wait that a caller may ask for.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Where a control process is.
#[derive(Clone, Debug)]
pub struct KeeperPlace {
    /// Where followers connect to it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CentreName,
}

/// The registry of a control process; clones share it.
#[derive(Clone, Debug)]
pub struct SiteKeeper {
    shell: ControlShell,
    place: KeeperPlace,
    registry: Arc<Mutex<ServerRegistry>>,
    /// Data centres of the control processes that have told theirs, by address.
    centres: Arc<Mutex<BTreeMap<SocketAddr, CentreName>>>,
    /// The registry's newest mark.
    mark: Arc<watch::Sender<u64>>,
    /// The state that entries are told.
    told: Arc<watch::Sender<Arc<SiteState>>>,
}

impl SiteKeeper {
    /// Serves followers at `place` and follows the other control processes, which listen on
    /// the same port. Needs a tokio runtime.
    ///
    /// # Errors
    /// [`ResultCode::BindFailed`] if the address cannot be had.
    pub async fn spawn(
        shell: ControlShell,
        place: KeeperPlace,
        beat_span: Duration,
    ) -> Result<Self, ResultCode> {
        let listener = TcpListener::bind(place.address)
            .await
            .map_err(|_error| ResultCode::BindFailed)?;
        let registry = ServerRegistry::open(rand::random(), beat_span);
        let centres = BTreeMap::from([(place.address, place.data_centre.clone())]);
        let keeper = Self {
            shell,
            place,
            registry: Arc::new(Mutex::new(registry)),
            centres: Arc::new(Mutex::new(centres)),
            mark: Arc::new(watch::Sender::new(0)),
            told: Arc::new(watch::Sender::new(Arc::default())),
        };
        let states = keeper.shell.board().state.subscribe();
        let told = Arc::clone(&keeper.told);
        tokio::spawn(async move { tell_states(states, &told, TELL_SPAN).await });
        tokio::spawn(run_server(keeper.clone(), listener));
        tokio::spawn(run_expiry(keeper.clone()));
        tokio::spawn(super::gossip::run_gossip(keeper.clone()));
        Ok(keeper)
    }

    /// The control process.
    pub fn shell(&self) -> &ControlShell {
        &self.shell
    }

    /// Where this process is.
    pub(super) fn place(&self) -> &KeeperPlace {
        &self.place
    }

    /// Notes the data centre of another control process.
    pub(super) fn note_centre(&self, address: SocketAddr, centre: CentreName) {
        self.centres.lock().insert(address, centre);
    }

    /// Forgets the data centres of all but `members` and of this process.
    pub(super) fn keep_centres(&self, members: &[SocketAddr]) {
        let own = self.place.address;
        let kept = |address: &SocketAddr| *address == own || members.contains(address);
        self.centres.lock().retain(|address, _| kept(address));
    }

    /// The members of control, as followers reach them.
    fn list_control(&self) -> Vec<ControlLocation> {
        let members = self.shell.board().members.borrow().clone();
        let centres = self.centres.lock();
        let place = |member: SocketAddr| {
            let address = SocketAddr::new(member.ip(), self.place.address.port());
            ControlLocation {
                address,
                data_centre: centres.get(&address).cloned(),
            }
        };
        members.into_iter().map(place).collect()
    }

    fn now(&self) -> MonotonicTime {
        self.shell.clock().now()
    }

    /// Changes the registry and wakes those who follow if it got a new mark.
    pub(super) fn update<T>(
        &self,
        change: impl FnOnce(MonotonicTime, &mut ServerRegistry) -> T,
    ) -> T {
        let now = self.now();
        let mut registry = self.registry.lock();
        let result = change(now, &mut registry);
        let mark = registry.mark();
        drop(registry);
        self.mark.send_if_modified(|shown| {
            let newer = mark > *shown;
            *shown = mark;
            newer
        });
        result
    }

    /// Takes a replica's heartbeat.
    pub fn record_heartbeat(&self, record: ReplicaRecord) -> HeartbeatOutcome {
        self.update(|now, registry| registry.record_heartbeat(now, record))
    }

    /// Takes a replica's departure.
    pub fn record_departure(&self, name: &ReplicaName) -> HeartbeatOutcome {
        self.update(|now, registry| registry.record_departure(now, name))
    }

    /// Looks at the registry.
    pub fn look<T>(&self, look: impl FnOnce(&ServerRegistry) -> T) -> T {
        look(&self.registry.lock())
    }

    fn epoch(&self) -> u64 {
        self.look(ServerRegistry::epoch)
    }

    fn note_caller(&self, caller: SyncCaller) {
        let SyncCaller::Entry {
            vm,
            incarnation,
            address,
            data_centre,
            phase,
        } = caller
        else {
            return;
        };
        let presence = EntryPresence {
            vm,
            incarnation,
            address,
            data_centre,
            phase,
            stamp: 0,
            holder: 0,
        };
        self.update(|now, registry| registry.record_entry(now, presence));
    }

    /// An answer that tells only of this process.
    fn answer_probe(&self) -> SyncReply {
        SyncReply {
            epoch: self.epoch(),
            mark: 0,
            replicas: Vec::new(),
            entries: Vec::new(),
            site: None,
            quorum_age_ms: self.shell.quorum_age().map(duration_to_millis),
            data_centre: self.place.data_centre.clone(),
            control: Vec::new(),
        }
    }

    async fn answer(&self, ask: SyncRequest) -> SyncReply {
        if ask.caller == SyncCaller::Probe {
            return self.answer_probe();
        }
        let is_entry = matches!(ask.caller, SyncCaller::Entry { .. });
        self.note_caller(ask.caller);
        let mark = if ask.epoch == self.epoch() {
            ask.mark
        } else {
            0
        };
        let mut marks = self.mark.subscribe();
        let mut states = self.told.subscribe();
        let newer = |state: &SiteState| is_entry && state.revision > ask.revision;
        let wait = Duration::from_millis(ask.wait_ms).min(WAIT_MAX);
        let changed = async {
            tokio::select! {
                changed = marks.wait_for(|newest| *newest > mark) => drop(changed),
                changed = states.wait_for(|state| newer(state)) => drop(changed),
            }
        };
        // Without anything new the answer still tells that this process and a quorum are there.
        let _: Result<(), _> = tokio::time::timeout(wait, changed).await;
        let site = Arc::clone(&self.told.borrow());
        let now = self.now();
        let control = self.list_control();
        let registry = self.registry.lock();
        SyncReply {
            epoch: registry.epoch(),
            mark: registry.mark(),
            replicas: registry.replicas_after(now, mark),
            entries: registry.entries_after(mark),
            site: newer(&site).then_some(site),
            quorum_age_ms: self.shell.quorum_age().map(duration_to_millis),
            data_centre: self.place.data_centre.clone(),
            control,
        }
    }
}

#[derive(Clone)]
struct SiteServer(SiteKeeper);

impl SiteLink for SiteServer {
    async fn sync(self, _: Context, ask: SyncRequest) -> SyncReply {
        self.0.answer(ask).await
    }
}

/// Passes on the state, at most once in a span: operators' changes come in series, and each
/// carries a whole configuration to every entry.
pub async fn tell_states(
    mut states: watch::Receiver<Arc<SiteState>>,
    told: &watch::Sender<Arc<SiteState>>,
    span: Duration,
) {
    loop {
        let state = Arc::clone(&states.borrow_and_update());
        told.send_replace(state);
        tokio::time::sleep(span).await;
        if states.changed().await.is_err() {
            return;
        }
    }
}

async fn run_expiry(keeper: SiteKeeper) {
    loop {
        tokio::time::sleep(EXPIRE_SPAN).await;
        keeper.update(|now, registry| registry.expire(now));
    }
}

async fn run_server(keeper: SiteKeeper, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if connections.len() < CONNECTIONS_MAX {
            connections.spawn(serve_connection(keeper.clone(), stream));
        }
    }
}

async fn serve_connection(keeper: SiteKeeper, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let transport = Transport::from((stream, Bincode::default()));
    let channel = BaseChannel::with_defaults(transport);
    let mut calls = std::pin::pin!(channel.execute(SiteServer(keeper).serve()));
    let mut running = JoinSet::new();
    while let Some(call) = calls.next().await {
        running.spawn(call);
        while running.try_join_next().is_some() {}
    }
}
