//! Handlers of the operator port.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;

use crate::control::state_machine::EnvironmentReading;
use crate::metric::ControlMetrics;
use crate::prelude::*;
use crate::shell::control::ControlShell;
use crate::vocabulary::change::{ChangeRecord, ChangeRefusal, ChangeRequest, CommittedChange};
use crate::vocabulary::control::ControlStatus;
use crate::vocabulary::view::ControlView;

/// Handler of an operator call that may be refused.
pub type OperatorCall<A, R> =
    Arc<dyn Fn(A) -> BoxFuture<'static, Result<R, ChangeRefusal>> + Send + Sync>;

/// Handlers of the operator port; clones share them.
#[derive(Clone)]
pub struct OperatorCalls {
    /// Commits a change.
    pub change: OperatorCall<ChangeRequest, CommittedChange>,
    /// Returns the latest view, confirmed by a quorum.
    pub view: OperatorCall<(), Arc<ControlView>>,
    /// Returns the document of an environment with its version, confirmed by a quorum.
    pub environment: OperatorCall<EnvironmentName, EnvironmentReading>,
    /// Returns the accepted changes of an environment, oldest first, confirmed by a quorum.
    pub history: OperatorCall<EnvironmentName, Vec<ChangeRecord>>,
    /// Returns the status of this control VM from its own point of view; every control VM answers.
    pub status: OperatorCall<(), ControlStatus>,
}

impl OperatorCalls {
    /// Creates the handlers for a running control process. Changes are counted by outcome.
    pub fn new(shell: &ControlShell, metrics: &ControlMetrics) -> Self {
        let [change, view, environment, history, status] = [shell; 5].map(ControlShell::clone);
        let metrics = metrics.clone();
        Self {
            change: Arc::new(move |request| {
                let (shell, metrics) = (change.clone(), metrics.clone());
                Box::pin(async move { commit_change(&shell, &metrics, request).await })
            }),
            view: Arc::new(move |()| {
                let shell = view.clone();
                Box::pin(async move { shell.read_view().await })
            }),
            environment: Arc::new(move |name| {
                let shell = environment.clone();
                Box::pin(async move { shell.read_environment(&name).await })
            }),
            history: Arc::new(move |name| {
                let shell = history.clone();
                Box::pin(async move { shell.history(&name).await })
            }),
            status: Arc::new(move |()| {
                let shell = status.clone();
                Box::pin(async move { shell.status().await.ok_or_else(refuse_stopped) })
            }),
        }
    }
}

async fn commit_change(
    shell: &ControlShell,
    metrics: &ControlMetrics,
    request: ChangeRequest,
) -> Result<CommittedChange, ChangeRefusal> {
    let reply = shell.change(request).await;
    metrics.record_change(
        reply
            .as_ref()
            .err()
            .map_or(ResultCode::Ok, |refusal| refusal.code),
    );
    reply
}

fn refuse_stopped() -> ChangeRefusal {
    ChangeRefusal {
        code: ResultCode::ShuttingDown,
        current: VersionNumber(0),
        winner: None,
        leader: None,
    }
}

impl fmt::Debug for OperatorCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorCalls").finish_non_exhaustive()
    }
}
