//! Operator port and metrics port of a control process.

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

/// Interval at which the metrics are updated.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Running ports for operators and metrics.
#[derive(Debug)]
pub struct ControlPorts {
    /// Port for operators.
    pub operator: OperatorPort,
    /// Port for metrics and the timeline.
    pub metric: MetricPort,
    refresh: JoinHandle<()>,
}

impl ControlPorts {
    /// Binds both ports for a running control process.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if one of the addresses cannot be bound.
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

    /// Stops listening and waits a few seconds for running requests.
    pub async fn close(self) {
        self.refresh.abort();
        self.operator.close().await;
        self.metric.close().await;
    }
}

async fn refresh_metrics(shell: ControlShell, metrics: ControlMetrics) {
    while let Some(status) = shell.status().await {
        set_status_metrics(&metrics, &status);
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

fn set_status_metrics(metrics: &ControlMetrics, status: &ControlStatus) {
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
    metrics.set_log_progress(status.commit, status.snapshot);
    metrics.set_term_and_version(status.term, status.version);
}

fn count_to_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
