//! A fake control VM that serves one environment document and lists the entries that call it, for
//! tests of entries without real control processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use daisyhinge::prelude::*;
use daisyhinge::shell::link::ControlLink;
use daisyhinge::shell::transport::wrap_stream;
use daisyhinge::vocabulary::claim::{
    ClaimOutcome, ClaimReply, ClaimRequest, ClaimResult, EndClaimRequest,
};
use daisyhinge::vocabulary::environment::EnvironmentDocument;
use daisyhinge::vocabulary::freshness::{FreshnessProof, FreshnessReply, FreshnessRequest};
use daisyhinge::vocabulary::view::{ControlView, DepartedEntry, EntryRecord};
use futures::StreamExt;
use parking_lot::Mutex;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A running fake control VM.
#[derive(Debug)]
pub struct FakeControl {
    address: SocketAddr,
    state: Arc<Mutex<FakeControlState>>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct FakeControlState {
    view: Arc<ControlView>,
    claims: HashMap<RequestId, FakeClaim>,
    silent: bool,
}

#[derive(Debug)]
struct FakeClaim {
    attempt: AttemptId,
    outcome: Option<ClaimOutcome>,
}

impl FakeControl {
    /// Serves `document` as `environment` on a free loopback port.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`].
    pub async fn spawn(
        environment: &str,
        document: EnvironmentDocument,
    ) -> Result<Self, ResultCode> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|_error| ResultCode::BindFailed)?;
        let address = listener
            .local_addr()
            .map_err(|_error| ResultCode::BindFailed)?;
        let mut view = ControlView {
            version: VersionNumber(1),
            ..ControlView::default()
        };
        view.environments
            .insert(EnvironmentName::from(environment), Arc::new(document));
        let state = FakeControlState {
            view: Arc::new(view),
            ..FakeControlState::default()
        };
        let state = Arc::new(Mutex::new(state));
        let task = tokio::spawn(serve_entries(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Address that entries connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies `change` to the view and increments its version.
    pub fn change(&self, change: impl FnOnce(&mut ControlView)) {
        let mut state = self.state.lock();
        let mut view = ControlView::clone(&state.view);
        change(&mut view);
        view.version.0 += 1;
        state.view = Arc::new(view);
    }

    /// Entries that the view currently lists.
    pub fn entries(&self) -> Vec<EntryRecord> {
        self.state.lock().view.entries.clone()
    }

    /// Refuses freshness proofs and claims with `NoQuorum` while `silent`.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().silent = silent;
    }
}

impl Drop for FakeControl {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve_entries(listener: TcpListener, state: Arc<Mutex<FakeControlState>>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let server = FakeControlServer {
            state: Arc::clone(&state),
        };
        let calls = BaseChannel::with_defaults(wrap_stream(stream)).execute(server.serve());
        connections.spawn(calls.for_each_concurrent(None, |call| call));
    }
}

#[derive(Clone, Debug)]
struct FakeControlServer {
    state: Arc<Mutex<FakeControlState>>,
}

impl ControlLink for FakeControlServer {
    async fn fresh(self, _: Context, request: FreshnessRequest) -> FreshnessReply {
        let mut state = self.state.lock();
        if state.silent {
            return Err(ResultCode::NoQuorum);
        }
        state.update_entry(&request);
        let view = (request.holds < state.view.version).then(|| Arc::clone(&state.view));
        Ok(FreshnessProof {
            version: state.view.version,
            age_us: 0,
            view,
        })
    }

    async fn claim(self, _: Context, request: ClaimRequest) -> ClaimReply {
        let mut state = self.state.lock();
        if state.silent {
            return ClaimReply::Refused(ResultCode::NoQuorum);
        }
        let new_claim = || FakeClaim {
            attempt: request.attempt,
            outcome: None,
        };
        let claim = state
            .claims
            .entry(request.request)
            .or_insert_with(new_claim);
        if claim.attempt == request.attempt {
            ClaimReply::Won
        } else {
            ClaimReply::Lost(claim.outcome.clone())
        }
    }

    async fn end_claim(self, _: Context, end: EndClaimRequest) -> bool {
        let mut state = self.state.lock();
        match end.end {
            ClaimResult::NotRun => {
                state.claims.remove(&end.request);
            }
            ClaimResult::Answered(outcome) => {
                if let Some(claim) = state.claims.get_mut(&end.request) {
                    claim.outcome = Some(outcome);
                }
            }
        }
        true
    }
}

impl FakeControlState {
    fn update_entry(&mut self, request: &FreshnessRequest) {
        let listed = self
            .view
            .entries
            .iter()
            .find(|entry| entry.vm == request.entry.vm);
        let unchanged = if request.released {
            listed.is_none()
        } else {
            listed == Some(&request.entry)
        };
        if unchanged {
            return;
        }
        let mut view = ControlView::clone(&self.view);
        view.entries.retain(|entry| entry.vm != request.entry.vm);
        if request.released {
            view.departed.push(DepartedEntry {
                vm: request.entry.vm.clone(),
                released: true,
                silent_ms: 0,
            });
        } else {
            view.entries.push(request.entry.clone());
            view.entries.sort_by(|left, right| left.vm.cmp(&right.vm));
        }
        view.version.0 += 1;
        self.view = Arc::new(view);
    }
}
