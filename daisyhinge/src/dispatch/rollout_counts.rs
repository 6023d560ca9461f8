//! Outcomes of attempts at the services with a rollout in progress, by route and version.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::fleet::ReplicaIndex;
use super::request::AttemptEnd;
use crate::prelude::*;
use crate::vocabulary::rollout::{LatencyHistogram, RouteCounts, ServiceCounts};
use crate::vocabulary::site::SiteRoute;

/// An attempt in flight that is counted. The replica may be gone when it ends.
#[derive(Clone, Debug)]
struct CountedAttempt {
    service: ServiceName,
    number: u64,
    route: Arc<str>,
    version: VersionName,
    /// Whether the replica was cold when the attempt began.
    is_cold: bool,
}

/// Outcomes counted by one entry process since the rollouts in progress were ordered.
#[derive(Clone, Debug, Default)]
pub struct RolloutCounts {
    services: BTreeMap<ServiceName, ServiceCounts>,
    running: HashMap<u64, CountedAttempt>,
    has_changed: bool,
}

impl RolloutCounts {
    fn begin(&mut self, attempt: u64, counted: CountedAttempt) {
        let service = self
            .services
            .entry(counted.service.clone())
            .or_insert_with(|| new_counts(counted.number));
        if service.number != counted.number {
            *service = new_counts(counted.number);
        }
        find_route(service, &counted).sent += 1;
        self.running.insert(attempt, counted);
        self.has_changed = true;
    }

    fn end(&mut self, attempt: u64, record: impl FnOnce(&mut RouteCounts, &CountedAttempt)) {
        let Some(counted) = self.running.remove(&attempt) else {
            return;
        };
        let service = self.services.get_mut(&counted.service);
        if let Some(service) = service.filter(|service| service.number == counted.number) {
            record(find_route(service, &counted), &counted);
            self.has_changed = true;
        }
    }

    /// Drops the outcomes of rollouts that are no longer in progress.
    pub fn retain(&mut self, is_in_progress: impl Fn(&ServiceName, u64) -> bool) {
        let before = self.services.len();
        self.services
            .retain(|service, counts| is_in_progress(service, counts.number));
        self.has_changed |= self.services.len() != before;
    }

    /// Returns whether outcomes have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Returns the outcomes by service.
    pub fn services(&self) -> &BTreeMap<ServiceName, ServiceCounts> {
        &self.services
    }

    /// Returns the number of counted attempts that have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }
}

fn new_counts(number: u64) -> ServiceCounts {
    ServiceCounts {
        number,
        routes: Vec::new(),
    }
}

/// Returns the outcomes of an attempt's route and version, which are inserted if missing.
fn find_route<'counts>(
    service: &'counts mut ServiceCounts,
    counted: &CountedAttempt,
) -> &'counts mut RouteCounts {
    let routes = &mut service.routes;
    let found = routes
        .iter()
        .position(|counts| counts.route == counted.route && counts.version == counted.version);
    let index = found.unwrap_or_else(|| {
        routes.push(RouteCounts {
            route: Arc::clone(&counted.route),
            version: counted.version.clone(),
            sent: 0,
            answered: 0,
            failed: 0,
            latency: LatencyHistogram::empty(),
        });
        routes.len() - 1
    });
    &mut routes[index]
}

fn record_latency(counts: &mut RouteCounts, counted: &CountedAttempt, took: Duration) {
    if !counted.is_cold {
        counts.latency.record(took.as_secs_f64() * 1_000.0);
    }
}

impl Dispatcher {
    /// Records that an attempt at a replica begins.
    pub(super) fn begin_attempt(
        &mut self,
        now: MonotonicTime,
        replica: ReplicaIndex,
        attempt: u64,
        route: &SiteRoute,
    ) {
        self.fleet.begin(now, replica, attempt);
        let known = self.fleet.replica(replica);
        let Some(known) = known.filter(|_| self.fleet.has_rollouts()) else {
            return;
        };
        let service = &known.record.service;
        if let Some(number) = self.fleet.rollout_number(service) {
            let counted = CountedAttempt {
                service: service.clone(),
                number,
                route: Arc::clone(&route.name),
                version: known.record.version.clone(),
                is_cold: known.is_cold(now),
            };
            self.rollouts.begin(attempt, counted);
        }
    }

    /// Counts the end of an attempt. Refusals and attempts that reached no replica have no outcome.
    pub(super) fn count_end(
        &mut self,
        replica: ReplicaIndex,
        attempt: u64,
        end: AttemptEnd,
        took: Duration,
    ) {
        if !self.rollouts.running.contains_key(&attempt) {
            return;
        }
        match end {
            AttemptEnd::NotSent | AttemptEnd::Withdrawn | AttemptEnd::PeerBusy => {
                self.fleet.record_unsent(replica);
            }
            _ => {}
        }
        self.rollouts.end(attempt, |counts, counted| match end {
            AttemptEnd::Answered => {
                counts.answered += 1;
                record_latency(counts, counted, took);
            }
            AttemptEnd::Failed | AttemptEnd::Lost | AttemptEnd::Reset => counts.failed += 1,
            AttemptEnd::NotRun
            | AttemptEnd::NotSent
            | AttemptEnd::Withdrawn
            | AttemptEnd::WrongServer
            | AttemptEnd::PeerBusy => {}
        });
    }

    /// Ends an attempt that was superseded before it was written.
    pub(super) fn count_superseded(&mut self, replica: ReplicaIndex, attempt: u64) {
        if self.rollouts.running.remove(&attempt).is_some() {
            self.fleet.record_unsent(replica);
        }
    }

    /// Counts a cancelled attempt. One that was late enough to be hedged counts with the time that it
    /// has taken so far: hedges would otherwise hide a slow version.
    pub(super) fn count_cancelled(&mut self, attempt: u64, is_late: bool, took: Duration) {
        if self.rollouts.running.is_empty() {
            return;
        }
        self.rollouts.end(attempt, |counts, counted| {
            if is_late {
                record_latency(counts, counted, took);
            }
        });
    }

    /// Drops the outcomes of rollouts that are no longer in progress.
    pub fn retain_rollouts(&mut self) {
        let fleet = &self.fleet;
        self.rollouts
            .retain(|service, number| fleet.rollout_number(service) == Some(number));
    }
}
