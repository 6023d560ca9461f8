//! A control VM that knows one document and whoever asks: for tests of entries alone.

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
    table: Arc<Mutex<FakeTable>>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct FakeTable {
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
            .map_err(|_fault| ResultCode::BindFailed)?;
        let address = listener
            .local_addr()
            .map_err(|_fault| ResultCode::BindFailed)?;
        let mut view = ControlView {
            version: VersionNumber(1),
            ..ControlView::default()
        };
        view.environments
            .insert(EnvironmentName::from(environment), Arc::new(document));
        let table = FakeTable {
            view: Arc::new(view),
            ..FakeTable::default()
        };
        let table = Arc::new(Mutex::new(table));
        let task = tokio::spawn(serve_entries(listener, Arc::clone(&table)));
        Ok(Self {
            address,
            table,
            task,
        })
    }

    /// Where entries connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the view and raises its version.
    pub fn change(&self, change: impl FnOnce(&mut ControlView)) {
        let mut table = self.table.lock();
        let mut view = ControlView::clone(&table.view);
        change(&mut view);
        view.version.0 += 1;
        table.view = Arc::new(view);
    }

    /// Entries listed now.
    pub fn entries(&self) -> Vec<EntryRecord> {
        self.table.lock().view.entries.clone()
    }

    /// Stops or resumes proofs of freshness and claims.
    pub fn set_silent(&self, silent: bool) {
        self.table.lock().silent = silent;
    }
}

impl Drop for FakeControl {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve_entries(listener: TcpListener, table: Arc<Mutex<FakeTable>>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let server = FakeControlServer {
            table: Arc::clone(&table),
        };
        let calls = BaseChannel::with_defaults(wrap_stream(stream)).execute(server.serve());
        connections.spawn(calls.for_each_concurrent(None, |call| call));
    }
}

#[derive(Clone, Debug)]
struct FakeControlServer {
    table: Arc<Mutex<FakeTable>>,
}

impl ControlLink for FakeControlServer {
    async fn fresh(self, _: Context, ask: FreshnessRequest) -> FreshnessReply {
        let mut table = self.table.lock();
        if table.silent {
            return Err(ResultCode::NoQuorum);
        }
        table.list_entry(&ask);
        let view = (ask.holds < table.view.version).then(|| Arc::clone(&table.view));
        Ok(FreshnessProof {
            version: table.view.version,
            age_us: 0,
            view,
        })
    }

    async fn claim(self, _: Context, ask: ClaimRequest) -> ClaimReply {
        let mut table = self.table.lock();
        if table.silent {
            return ClaimReply::Refused(ResultCode::NoQuorum);
        }
        let fresh = || FakeClaim {
            attempt: ask.attempt,
            outcome: None,
        };
        let claim = table.claims.entry(ask.request).or_insert_with(fresh);
        if claim.attempt == ask.attempt {
            ClaimReply::Won
        } else {
            ClaimReply::Lost(claim.outcome.clone())
        }
    }

    async fn end_claim(self, _: Context, end: EndClaimRequest) -> bool {
        let mut table = self.table.lock();
        match end.end {
            ClaimResult::NotRun => {
                table.claims.remove(&end.request);
            }
            ClaimResult::Answered(outcome) => {
                if let Some(claim) = table.claims.get_mut(&end.request) {
                    claim.outcome = Some(outcome);
                }
            }
        }
        true
    }
}

impl FakeTable {
    fn list_entry(&mut self, ask: &FreshnessRequest) {
        let listed = self
            .view
            .entries
            .iter()
            .find(|entry| entry.vm == ask.entry.vm);
        let unchanged = if ask.released {
            listed.is_none()
        } else {
            listed == Some(&ask.entry)
        };
        if unchanged {
            return;
        }
        let mut view = ControlView::clone(&self.view);
        view.entries.retain(|entry| entry.vm != ask.entry.vm);
        if ask.released {
            view.departed.push(DepartedEntry {
                vm: ask.entry.vm.clone(),
                released: true,
                silent_ms: 0,
            });
        } else {
            view.entries.push(ask.entry.clone());
            view.entries.sort_by(|left, right| left.vm.cmp(&right.vm));
        }
        view.version.0 += 1;
        self.view = Arc::new(view);
    }
}
