//! Reports of the outcomes of rollouts for control, with their log lines and metrics.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::state::ForwardState;
use crate::dispatch::fleet::ReplicaIndex;
use crate::metric::forward::RolloutLabels;
use crate::prelude::*;
use crate::vocabulary::rollout::{RolloutPhase, RolloutRecord, RolloutReport};

/// Time between two reviews of the outcomes.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Publishes the outcomes of rollouts in progress when they have changed. Returns at once if the
/// deployment has no rollouts, otherwise never.
pub async fn run_rollout_reports(state: Arc<ForwardState>) {
    if !state.has_rollouts {
        return;
    }
    let mut is_suspended = false;
    loop {
        tokio::time::sleep(REVIEW_INTERVAL).await;
        is_suspended = state.review_rollout_contact(is_suspended);
        if state.publish_rollouts() {
            tokio::time::sleep(REPORT_INTERVAL.saturating_sub(REVIEW_INTERVAL)).await;
        }
    }
}

fn phase_text(phase: RolloutPhase) -> (&'static str, u16) {
    match phase {
        RolloutPhase::InProgress(share) => ("in_progress", share),
        RolloutPhase::Completed => ("completed", 1_000),
        RolloutPhase::RolledBack => ("rolled_back", 0),
    }
}

impl ForwardState {
    /// Returns a receiver of this entry's reports on rollouts.
    pub fn rollout_reports(&self) -> watch::Receiver<RolloutReport> {
        self.rollout_reporter.reports.subscribe()
    }

    /// Whether rollouts allow that a request is still sent to a replica that was chosen before.
    pub(super) fn allows_version(&self, replica: ReplicaIndex) -> bool {
        let now = self.clock.now();
        !self.has_rollouts || self.dispatcher.lock().fleet.allows_version(now, replica)
    }

    /// Logs the adoption of new phases and shares.
    pub(super) fn log_rollouts(&self, changed: &[RolloutRecord]) {
        for record in changed {
            let (phase, share) = phase_text(record.phase);
            let stable = record.stable.as_ref().map_or("-", VersionName::as_str);
            self.log.write_line(&format!(
                "event=rollout_adopted service={} number={} target={} stable={stable} \
                 phase={phase} share={share}",
                record.order.service, record.number, record.order.target
            ));
        }
    }

    /// Logs for each rollout in progress if its target gets nothing any more, or again, because
    /// contact with control was lost or regained. Returns whether it gets nothing.
    fn review_rollout_contact(&self, was_suspended: bool) -> bool {
        let now = self.clock.now();
        let (is_suspended, records) = {
            let fleet = &self.dispatcher.lock().fleet;
            let records: Vec<_> = fleet.rollouts_in_progress().cloned().collect();
            (!fleet.has_rollout_contact(now), records)
        };
        if records.is_empty() {
            return false;
        }
        if is_suspended != was_suspended {
            let event = if is_suspended {
                "rollout_suspended"
            } else {
                "rollout_resumed"
            };
            for record in records {
                self.log.write_line(&format!(
                    "event={event} service={} number={} target={}",
                    record.order.service, record.number, record.order.target
                ));
            }
        }
        is_suspended
    }

    /// Publishes the outcomes, if they have changed. Returns whether they have.
    fn publish_rollouts(&self) -> bool {
        let services = {
            let mut dispatcher = self.dispatcher.lock();
            dispatcher.retain_rollouts();
            if !dispatcher.rollouts.take_changed() {
                return false;
            }
            dispatcher.rollouts.services().clone()
        };
        self.counters.rollout_requests.clear();
        self.counters.rollout_failures.clear();
        for (service, counts) in &services {
            for route in &counts.routes {
                let labels = RolloutLabels {
                    service: service.clone(),
                    version: route.version.clone(),
                };
                let gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
                let requests = self.counters.rollout_requests.get_or_create(&labels);
                requests.inc_by(gauge(route.sent));
                let failures = self.counters.rollout_failures.get_or_create(&labels);
                failures.inc_by(gauge(route.failed));
            }
        }
        self.rollout_reporter
            .publish(services.into_values().collect());
        true
    }
}
