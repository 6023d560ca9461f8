//! The ports of a control process beside the one for other processes.

use std::time::Duration;

use prometheus_client::registry::Registry;
use tokio::task::JoinHandle;

use crate::metric::ControlMetrics;
use crate::prelude::*;
use crate::shell::control::ControlShell;
use crate::shell::metric::MetricPort;
use crate::shell::operator::calls::OperatorCalls;
use crate::shell::operator::client::is_leading;
use crate::shell::operator::{OperatorPort, OperatorToken};
use crate::shell::timeline::EventLog;
use crate::vocabulary::control::{ControlRole, ControlStatus};
use crate::vocabulary::setting::ControlSettings;

/// How often the metrics follow the state.
const REFRESH_PAUSE: Duration = Duration::from_secs(1);

/// The running ports of operators and of metrics.
#[derive(Debug)]
pub struct ControlPorts {
    /// Where operators connect.
    pub operator: OperatorPort,
    /// Where metrics and the time line are served.
    pub metric: MetricPort,
    refresh: JoinHandle<()>,
}

impl ControlPorts {
    /// Binds both ports for a running control process.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`].
    pub async fn bind(
        settings: &ControlSettings,
        token: OperatorToken,
        shell: &ControlShell,
        log: EventLog,
    ) -> Result<Self, ResultCode> {
        let mut registry = Registry::default();
        let metrics = ControlMetrics::register(&mut registry);
        let calls = OperatorCalls::new(shell, &metrics);
        let operator = OperatorPort::bind(settings.operator_address, token, calls).await?;
        let vm = settings.vm.clone();
        let progress = move || vm.clone();
        let metric = MetricPort::bind(settings.metrics_address, log, registry, progress).await?;
        let refresh = tokio::spawn(refresh_metrics(shell.clone(), metrics));
        Ok(Self {
            operator,
            metric,
            refresh,
        })
    }

    /// Stops listening and waits a few seconds for requests that run.
    pub async fn close(self) {
        self.refresh.abort();
        self.operator.close().await;
        self.metric.close().await;
    }
}

async fn refresh_metrics(shell: ControlShell, metrics: ControlMetrics) {
    while let Some(status) = shell.status().await {
        show_status(&metrics, &status);
        tokio::time::sleep(REFRESH_PAUSE).await;
    }
}

fn show_status(metrics: &ControlMetrics, status: &ControlStatus) {
    let voters = status.voters.iter().filter(|voter| !voter.learner).count();
    metrics.leading.set(i64::from(is_leading(status)));
    metrics
        .member
        .set(i64::from(status.role != ControlRole::Outside));
    metrics.voters.set(count_to_gauge(voters));
    metrics.entries.set(count_to_gauge(status.entries.len()));
    metrics
        .claims
        .set(i64::try_from(status.claims).unwrap_or(i64::MAX));
    metrics.show_log(status.commit, status.snapshot);
    metrics.show_state(status.term, status.version);
}

fn count_to_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
