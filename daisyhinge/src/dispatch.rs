//! Sends a request to one replica of a service, or of each shard, without I/O.
//!
//! An entry sends directly to the replicas that it knows of. What it may use of a replica that
//! all entries share, its connections and the extra requests of its service, is a share that
//! follows from the number of entries, so that no entry needs to ask another one.

pub mod budget;
pub mod caller;
pub mod fleet;
pub mod merge;
pub mod request;
pub mod share;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::routing::SplitTurn;
use crate::search::estimate::LatencyEstimate;
use crate::vocabulary::site::{RouteTarget, SiteConfig, SiteRoute};
use budget::{BudgetLimits, RepeatBudget};
use caller::CallerEstimate;
use fleet::{Fleet, FleetPlace, ReplicaIndex};

/// Share of the objective, in percent, that an attempt may run, besides the way to its replica,
/// before another one is asked.
const HEDGE_OBJECTIVE_PERCENT: u32 = 22;
/// Shortest time before another replica is asked.
const HEDGE_SPAN_MIN: Duration = Duration::from_millis(6);

/// What all requests of an entry share: the replicas, and the budgets of extra requests.
#[derive(Debug)]
pub struct Dispatcher {
    /// The replicas.
    pub fleet: Fleet,
    /// What is known of callers.
    pub callers: CallerEstimate,
    limits: BudgetLimits,
    budgets: HashMap<ServiceName, RepeatBudget>,
    turns: HashMap<Arc<str>, SplitTurn>,
    /// Latencies of single attempts by route, without the way to the replica.
    latencies: HashMap<Arc<str>, LatencyEstimate>,
    attempts: u64,
}

impl Dispatcher {
    /// A dispatcher of an entry at `place`.
    pub fn open(place: FleetPlace, limits: BudgetLimits) -> Self {
        Self {
            fleet: Fleet::open(place),
            callers: CallerEstimate::default(),
            limits,
            budgets: HashMap::new(),
            turns: HashMap::new(),
            latencies: HashMap::new(),
            attempts: 0,
        }
    }

    /// Takes a new configuration.
    pub fn take_config(&mut self, config: &SiteConfig) {
        self.fleet.take_services(config);
        let known = |name: &Arc<str>| config.routes.iter().any(|route| route.name == *name);
        self.turns.retain(|name, _| known(name));
        self.latencies.retain(|name, _| known(name));
        self.callers.retain(known);
    }

    /// The services that a request of `route` goes to: one, or one a shard.
    pub fn pick_targets(&mut self, route: &SiteRoute) -> Arc<[ServiceName]> {
        match &route.target {
            RouteTarget::Gather(plan) => Arc::clone(&plan.shards),
            RouteTarget::Split(parts) => {
                let turn = self.turns.entry(Arc::clone(&route.name)).or_default();
                let part = turn.next_part(parts);
                parts
                    .get(part)
                    .map(|part| part.service.clone())
                    .into_iter()
                    .collect()
            }
        }
    }

    /// The budget of extra requests of a service.
    ///
    /// # Panics
    /// Never: a missing one is made first.
    pub fn budget(&mut self, service: &ServiceName) -> &mut RepeatBudget {
        if !self.budgets.contains_key(service) {
            let budget = RepeatBudget::open(self.limits);
            self.budgets.insert(service.clone(), budget);
        }
        self.budgets
            .get_mut(service)
            .expect("it was inserted if it was missing")
    }

    /// Notes how long an attempt of a route ran.
    fn note_latency(&mut self, route: &SiteRoute, replica: ReplicaIndex, took: Duration) {
        let way = self.way_span(replica);
        let estimate = self.latencies.entry(Arc::clone(&route.name)).or_default();
        estimate.record(took.saturating_sub(way));
    }

    /// How long an attempt of a route runs before another replica is asked.
    fn hedge_span(&self, now: MonotonicTime, route: &SiteRoute, replica: ReplicaIndex) -> Duration {
        let longest = route.objective * HEDGE_OBJECTIVE_PERCENT / 100;
        let known = self.latencies.get(&route.name);
        let known = known.and_then(LatencyEstimate::hedge_delay);
        let way = self.way_span(replica);
        let span = known.unwrap_or_else(|| self.fleet.hedge_span(now, replica).saturating_sub(way));
        span.clamp(HEDGE_SPAN_MIN, longest.max(HEDGE_SPAN_MIN)) + way
    }

    fn way_span(&self, replica: ReplicaIndex) -> Duration {
        let known = self.fleet.replica(replica);
        known.map_or(Duration::ZERO, |replica| replica.nearness().way_span())
    }

    /// Number of a new attempt.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        self.attempts
    }
}
