//! A stand-in for control: one VM, nothing on disk, for runs that do not measure control itself.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyhinge::prelude::*;
use daisyhinge::shell::link::ControlLink;
use daisyhinge::shell::transport::wrap_stream;
use daisyhinge::vocabulary::claim::{ClaimAsk, ClaimEnd, ClaimEnding, ClaimOutcome, ClaimReply};
use daisyhinge::vocabulary::environment::{CentreState, EnvironmentDocument};
use daisyhinge::vocabulary::freshness::{FreshAsk, FreshProof, FreshReply};
use daisyhinge::vocabulary::view::{ControlView, DepartedEntry, EntryRecord};
use futures::StreamExt;
use parking_lot::Mutex;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// Silence after which an entry is taken for lost.
const ENTRY_LOST_AFTER: Duration = Duration::from_secs(2);
/// Time for which an entry that left stays listed as departed.
const DEPARTED_KEEP: Duration = Duration::from_secs(30);
/// How often entries are reviewed.
const REVIEW_PERIOD: Duration = Duration::from_millis(100);
/// Calls in flight on one connection at most.
const CALLS_MAX: usize = 1_024;

/// A running stand-in for control. It ends when the handle is dropped.
#[derive(Debug)]
pub struct FakeControl {
    address: SocketAddr,
    state: Arc<Mutex<FakeControlState>>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct FakeControlState {
    view: Arc<ControlView>,
    heard: HashMap<VmName, Instant>,
    left: HashMap<VmName, Instant>,
    claims: HashMap<(ServiceName, RequestId), ClaimState>,
}

#[derive(Debug)]
struct ClaimState {
    digest: RequestDigest,
    attempt: AttemptId,
    outcome: Option<ClaimOutcome>,
}

impl FakeControl {
    /// Starts with one environment.
    ///
    /// # Errors
    ///
    /// `BindFailed` if no port is free.
    pub async fn spawn(
        environment: EnvironmentName,
        document: EnvironmentDocument,
    ) -> Result<Self, ResultCode> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .map_err(|_none_free| ResultCode::BindFailed)?;
        let address = listener
            .local_addr()
            .map_err(|_gone| ResultCode::BindFailed)?;
        let view = ControlView {
            version: VersionNumber(1),
            environments: BTreeMap::from([(environment, Arc::new(document))]),
            ..ControlView::default()
        };
        let state = Arc::new(Mutex::new(FakeControlState {
            view: Arc::new(view),
            heard: HashMap::new(),
            left: HashMap::new(),
            claims: HashMap::new(),
        }));
        let tasks = vec![
            tokio::spawn(serve_links(Arc::clone(&state), listener)),
            tokio::spawn(review_entries(Arc::clone(&state))),
        ];
        Ok(Self {
            address,
            state,
            tasks,
        })
    }

    /// Where entries connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The function that takes a data centre out or returns it, in all environments.
    pub fn changer(&self) -> impl Fn(&CentreName, CentreState) + Send + Sync + 'static {
        let state = Arc::clone(&self.state);
        move |centre, wanted| {
            state.lock().change(|view| {
                for document in view.environments.values_mut() {
                    set_centre(Arc::make_mut(document), centre, wanted);
                }
            });
        }
    }
}

impl Drop for FakeControl {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn set_centre(document: &mut EnvironmentDocument, name: &CentreName, state: CentreState) {
    document
        .regions
        .iter_mut()
        .flat_map(|region| &mut region.data_centres)
        .filter(|centre| centre.name == *name)
        .for_each(|centre| centre.state = state);
}

impl FakeControlState {
    fn change(&mut self, change: impl FnOnce(&mut ControlView)) {
        let view = Arc::make_mut(&mut self.view);
        change(view);
        view.version = VersionNumber(view.version.0 + 1);
    }

    fn take_ask(&mut self, ask: &FreshAsk) {
        let vm = &ask.entry.vm;
        if ask.released {
            if self.view.entries.iter().any(|entry| entry.vm == *vm) {
                self.remove(vm, true);
            }
            return;
        }
        self.heard.insert(vm.clone(), Instant::now());
        if !self.view.entries.contains(&ask.entry) {
            let entry = ask.entry.clone();
            self.change(|view| list_entry(view, entry));
        }
    }

    fn remove(&mut self, vm: &VmName, released: bool) {
        self.heard.remove(vm);
        self.left.insert(vm.clone(), Instant::now());
        self.change(|view| {
            view.entries.retain(|entry| entry.vm != *vm);
            view.departed.push(DepartedEntry {
                vm: vm.clone(),
                released,
            });
        });
    }

    fn review(&mut self) {
        let lost = self
            .heard
            .iter()
            .filter(|(_vm, heard)| heard.elapsed() > ENTRY_LOST_AFTER)
            .map(|(vm, _heard)| vm.clone())
            .collect::<Vec<_>>();
        for vm in lost {
            self.remove(&vm, false);
        }
        let left = &self.left;
        let is_old = |entry: &DepartedEntry| {
            left.get(&entry.vm)
                .is_none_or(|at| at.elapsed() > DEPARTED_KEEP)
        };
        if self.view.departed.iter().any(is_old) {
            let kept = self
                .view
                .departed
                .iter()
                .filter(|entry| !is_old(entry))
                .cloned()
                .collect();
            self.change(|view| view.departed = kept);
        }
    }

    fn claim(&mut self, ask: ClaimAsk) -> ClaimReply {
        match self.claims.entry((ask.service, ask.request)) {
            std::collections::hash_map::Entry::Vacant(vacant) => {
                let (digest, attempt) = (ask.digest, ask.attempt);
                vacant.insert(ClaimState {
                    digest,
                    attempt,
                    outcome: None,
                });
                ClaimReply::Won
            }
            std::collections::hash_map::Entry::Occupied(held) => {
                let held = held.get();
                if held.digest != ask.digest {
                    ClaimReply::Refused(ResultCode::RequestIdReused)
                } else if held.attempt == ask.attempt && held.outcome.is_none() {
                    ClaimReply::Won
                } else {
                    ClaimReply::Lost(held.outcome.clone())
                }
            }
        }
    }

    fn end_claim(&mut self, end: ClaimEnd) {
        let key = (end.service, end.request);
        let Some(held) = self
            .claims
            .get_mut(&key)
            .filter(|held| held.attempt == end.attempt)
        else {
            return;
        };
        match end.end {
            ClaimEnding::Answered(outcome) => held.outcome = Some(outcome),
            ClaimEnding::NotRun => drop(self.claims.remove(&key)),
        }
    }
}

fn list_entry(view: &mut ControlView, entry: EntryRecord) {
    view.entries.retain(|listed| listed.vm != entry.vm);
    view.departed.retain(|departed| departed.vm != entry.vm);
    view.entries.push(entry);
    view.entries.sort_by(|one, two| one.vm.cmp(&two.vm));
}

async fn review_entries(state: Arc<Mutex<FakeControlState>>) {
    loop {
        tokio::time::sleep(REVIEW_PERIOD).await;
        state.lock().review();
    }
}

async fn serve_links(state: Arc<Mutex<FakeControlState>>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _peer)) = accepted {
                    let server = FakeControlServer { state: Arc::clone(&state) };
                    let channel = BaseChannel::with_defaults(wrap_stream(stream));
                    let calls = channel.execute(server.serve());
                    connections.spawn(calls.for_each_concurrent(CALLS_MAX, |call| call));
                }
            }
            Some(_ended) = connections.join_next() => {}
        }
    }
}

#[derive(Clone, Debug)]
struct FakeControlServer {
    state: Arc<Mutex<FakeControlState>>,
}

impl ControlLink for FakeControlServer {
    async fn fresh(self, _context: Context, ask: FreshAsk) -> FreshReply {
        let mut state = self.state.lock();
        state.take_ask(&ask);
        let newer = state.view.version > ask.holds;
        Ok(FreshProof {
            version: state.view.version,
            age_us: 0,
            view: newer.then(|| Arc::clone(&state.view)),
        })
    }

    async fn claim(self, _context: Context, ask: ClaimAsk) -> ClaimReply {
        self.state.lock().claim(ask)
    }

    async fn end_claim(self, _context: Context, end: ClaimEnd) -> bool {
        self.state.lock().end_claim(end);
        true
    }
}
