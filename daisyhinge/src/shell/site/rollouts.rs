//! Orders of rollouts, and the task that advances them while this process leads.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;

use super::serve::SiteRegistry;
use crate::control::rollout_driver::{
    JudgeResult, JudgeStep, RolloutDecision, RolloutDriver, RolloutInputs,
};
use crate::prelude::*;
use crate::registry::ServerRegistry;
use crate::rollout::{RolloutJudge, RolloutLimits};
use crate::shell::decision::DecisionLog;
use crate::vocabulary::rollout::{RolloutOrder, RolloutPhase, RolloutRecord, SHARE_WHOLE};
use crate::vocabulary::site::{CommittedSiteChange, SiteChange, SiteDocument, SiteState};

/// Interval at which rollouts in progress are evaluated. The bound on requests to a bad version is
/// a few seconds, of which this is a small part.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Lists the services of a configuration; `None` if it cannot be decoded.
pub type ListServices = Box<dyn Fn(&SiteDocument) -> Option<BTreeSet<ServiceName>> + Send>;

impl SiteRegistry {
    /// Orders a rollout. It is accepted once a quorum has synced it to disk. A repeated order is
    /// accepted without effect.
    ///
    /// # Errors
    /// [`ResultCode::RolloutConflict`] if a rollout of the service to another version is in
    /// progress, [`ResultCode::FeatureLevelTooLow`] if not every member supports rollouts, and the
    /// errors of [`ControlShell::change_site`].
    ///
    /// [`ControlShell::change_site`]: crate::shell::control::ControlShell::change_site
    pub async fn order_rollout(
        &self,
        order: RolloutOrder,
    ) -> Result<CommittedSiteChange, ResultCode> {
        let mut stable = self.running_or_stable_version(&order);
        if stable.as_ref() == Some(&order.target) {
            // A process that has just started may not have heard of the replicas that serve, and the
            // target would get all requests at once.
            let time = self.with_registry(ServerRegistry::discovery_time);
            let passed = self.now().since(self.opened_at);
            tokio::time::sleep(time.saturating_sub(passed)).await;
            stable = self.running_or_stable_version(&order);
        }
        let change = SiteChange::Order { order, stable };
        self.shell().change_site(change).await
    }

    /// Returns the target of an order if it is running already, otherwise the version that most of
    /// the other replicas have.
    fn running_or_stable_version(&self, order: &RolloutOrder) -> Option<VersionName> {
        self.with_registry(|registry| {
            let running = registry.running_version(&order.service);
            running
                .filter(|version| *version == order.target)
                .or_else(|| registry.stable_version(&order.service, &order.target))
        })
    }

    /// Returns the latest rollout of a service, confirmed by a quorum.
    ///
    /// # Errors
    /// [`ResultCode::UnknownRollout`] if there is none, and the errors of
    /// [`ControlShell::read_site`].
    ///
    /// [`ControlShell::read_site`]: crate::shell::control::ControlShell::read_site
    pub async fn read_rollout(&self, service: &ServiceName) -> Result<RolloutRecord, ResultCode> {
        let state = self.shell().read_site().await?;
        let record = state.rollouts.get(service).cloned();
        record.ok_or(ResultCode::UnknownRollout)
    }
}

/// Services of the configuration that was decoded last.
struct KnownServices {
    list: ListServices,
    version: Option<u64>,
    services: Option<BTreeSet<ServiceName>>,
}

impl KnownServices {
    fn refresh(&mut self, site: &SiteState) -> Option<&BTreeSet<ServiceName>> {
        let document = site.document.as_ref()?;
        if self.version != Some(document.version) {
            self.version = Some(document.version);
            self.services = (self.list)(document);
        }
        self.services.as_ref()
    }
}

/// Starts the task that advances rollouts. `list` decodes configurations. Requires a tokio runtime.
pub fn spawn_rollouts(
    site_registry: SiteRegistry,
    limits: RolloutLimits,
    list: ListServices,
    log: Arc<DecisionLog>,
) -> JoinHandle<()> {
    let open_judge = move || -> JudgeStep {
        let mut judge = RolloutJudge::open(limits);
        Box::new(move |observation| {
            let advance = judge.step(observation);
            let score = judge.score();
            JudgeResult { advance, score }
        })
    };
    let driver = RolloutDriver::open(Box::new(open_judge));
    let services = KnownServices {
        list,
        version: None,
        services: None,
    };
    tokio::spawn(run_rollouts(site_registry, driver, services, log))
}

async fn run_rollouts(
    site_registry: SiteRegistry,
    mut driver: RolloutDriver,
    mut services: KnownServices,
    log: Arc<DecisionLog>,
) {
    let mut ticks = tokio::time::interval(STEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !has_rollout(&site_registry) {
            driver.reset();
            continue;
        }
        match site_registry.shell().read_site_locally().await {
            Ok(site) => {
                let known = services.refresh(&site);
                let decisions = step_driver(&site_registry, &mut driver, &site, known);
                let records = decisions
                    .iter()
                    .map(|decision| record_decision(&site_registry, decision, &log));
                futures::future::join_all(records).await;
            }
            Err(ResultCode::NotLeader) => driver.reset(),
            // Without a quorum nothing can be recorded; the judges keep their state.
            Err(_) => {}
        }
    }
}

fn has_rollout(site_registry: &SiteRegistry) -> bool {
    let state = site_registry.shell().published_site().state.borrow();
    let mut records = state.rollouts.values();
    records.any(RolloutRecord::is_in_progress)
}

fn step_driver(
    site_registry: &SiteRegistry,
    driver: &mut RolloutDriver,
    site: &SiteState,
    services: Option<&BTreeSet<ServiceName>>,
) -> Vec<RolloutDecision> {
    let shell = site_registry.shell();
    let clock_ms = shell.published_site().log_clock_ms.load(Ordering::Relaxed);
    let now = shell.clock().now();
    site_registry.with_registry(|registry| {
        driver.step(&RolloutInputs {
            now,
            clock_ms,
            site,
            services,
            registry,
        })
    })
}

/// Proposes a step and logs it once it is recorded. If it fails, the driver returns the step again.
async fn record_decision(
    site_registry: &SiteRegistry,
    decision: &RolloutDecision,
    log: &DecisionLog,
) {
    let step = &decision.step;
    let change = SiteChange::Advance(step.clone());
    let committed = site_registry.shell().change_site_locally(change).await;
    if committed.is_ok() && decision.changes {
        let reason = step
            .reason
            .map_or("-".to_owned(), |reason| format!("{reason:?}"));
        log.write_line(&format!(
            "event=rollout_advanced service={} number={} phase={} share={} requests={} \
             failures={} slow={} score={:.1} reason={reason}",
            step.service,
            step.number,
            phase_name(step.phase),
            share_of(step.phase),
            decision.requests,
            decision.failures,
            decision.slow,
            decision.score
        ));
    }
}

/// Returns the name of a phase in log lines.
fn phase_name(phase: RolloutPhase) -> &'static str {
    match phase {
        RolloutPhase::InProgress(_) => "in_progress",
        RolloutPhase::Completed => "completed",
        RolloutPhase::RolledBack => "rolled_back",
    }
}

/// Returns the share of the requests that the target version receives, in thousandths.
pub fn share_of(phase: RolloutPhase) -> u16 {
    match phase {
        RolloutPhase::InProgress(share) => share,
        RolloutPhase::Completed => SHARE_WHOLE,
        RolloutPhase::RolledBack => 0,
    }
}
