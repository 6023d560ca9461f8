//! Dispatch of a request to one replica of a service, or of each shard, without I/O.
//!
//! An entry sends directly to the replicas that it knows. The connections of a replica and the
//! extra requests of a service are limited across all entries. Each entry computes its share of
//! these limits from the number of entries, so that entries need not coordinate.

pub mod admission;
pub mod budget;
pub mod caller;
pub mod crash;
pub mod fleet;
pub mod merge;
pub mod planned_stop;
pub mod reach;
pub mod request;
pub mod rollout_counts;
pub mod share;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::routing::WeightedRoundRobin;
use crate::search::estimate::LatencyEstimate;
use crate::vocabulary::site::{RoutePlace, RouteTarget, SiteConfig, SiteRoute};
use admission::AdmissionQueue;
use budget::{BudgetLimits, RetryBudget};
use caller::CallerEstimate;
use crash::CrashMonitor;
use fleet::{Fleet, FleetLocation, ReplicaIndex, ReplicaOutcome, ReplicaReach};
use reach::ReachMonitor;
use rollout_counts::RolloutCounts;

/// Upper bound of the hedging delay as a percentage of the objective, round trip excluded.
const HEDGE_OBJECTIVE_PERCENT: u32 = 22;
/// Quantile of the latencies of a route, in percent, that is taken for its usual duration.
const USUAL_PERCENT: u32 = 99;
/// Lower bound of the hedging delay, round trip excluded.
const HEDGING_DELAY_MIN: Duration = Duration::from_millis(6);

/// State shared by all requests of an entry: the fleet, the retry budgets and the latency
/// estimates.
#[derive(Debug)]
pub struct Dispatcher {
    /// Replicas known to the entry, and its share of their limits.
    pub fleet: Fleet,
    /// Requests that wait for capacity.
    pub admission: AdmissionQueue,
    /// Estimates of the callers' round trip and time already spent.
    pub callers: CallerEstimate,
    /// Records of requests that crash replicas.
    pub crashes: CrashMonitor,
    /// Evidence of how this entry reaches replicas.
    pub reach: ReachMonitor,
    /// Outcomes of attempts at services with a rollout in progress.
    pub rollouts: RolloutCounts,
    limits: BudgetLimits,
    budgets: HashMap<ServiceName, RetryBudget>,
    round_robins: HashMap<RoutePlace, WeightedRoundRobin>,
    /// Latencies of single attempts by route, without the round trip to the replica.
    latencies: HashMap<RoutePlace, LatencyEstimate>,
    attempts: u64,
}

impl Dispatcher {
    /// Creates the dispatcher of an entry at `location`.
    pub fn open(location: FleetLocation, limits: BudgetLimits) -> Self {
        Self {
            fleet: Fleet::open(location),
            admission: AdmissionQueue::default(),
            callers: CallerEstimate::default(),
            crashes: CrashMonitor::default(),
            reach: ReachMonitor::default(),
            rollouts: RolloutCounts::default(),
            limits,
            budgets: HashMap::new(),
            round_robins: HashMap::new(),
            latencies: HashMap::new(),
            attempts: 0,
        }
    }

    /// Applies a new configuration and drops the state of routes that it no longer has.
    pub fn apply_config(&mut self, config: &SiteConfig) {
        self.fleet.update_services(config);
        let places: HashSet<RoutePlace> = config.routes.iter().map(|route| route.place()).collect();
        self.round_robins.retain(|place, _| places.contains(place));
        self.latencies.retain(|place, _| places.contains(place));
        self.callers.retain(|place| places.contains(place));
    }

    /// Picks the target services of a request: one of a split, or every shard of a gather.
    pub fn pick_targets(&mut self, route: &SiteRoute) -> Arc<[ServiceName]> {
        match &route.target {
            RouteTarget::Gather(plan) => Arc::clone(&plan.shards),
            RouteTarget::Split(parts) => {
                let round_robin = self.round_robins.entry(route.place()).or_default();
                let part = round_robin.next_part(parts);
                parts
                    .get(part)
                    .map(|part| part.service.clone())
                    .into_iter()
                    .collect()
            }
        }
    }

    /// Returns the retry budget of a service.
    ///
    /// # Panics
    /// Never: a missing budget is created first.
    pub fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            let budget = RetryBudget::open(self.limits);
            self.budgets.insert(service.clone(), budget);
        }
        self.budgets
            .get_mut(service)
            .expect("a missing budget was inserted above")
    }

    /// Records the latency of an attempt.
    fn record_latency(&mut self, route: &SiteRoute, replica: ReplicaIndex, took: Duration) {
        let round_trip = self.assumed_round_trip(replica);
        let estimate = self.latencies.entry(route.place()).or_default();
        estimate.record(took.saturating_sub(round_trip));
    }

    /// Returns how long an attempt runs before it is hedged.
    fn hedging_delay(
        &self,
        now: MonotonicTime,
        route: &SiteRoute,
        replica: ReplicaIndex,
    ) -> Duration {
        let longest = route.objective * HEDGE_OBJECTIVE_PERCENT / 100;
        let known = self.latencies.get(&route.place());
        let known = known.and_then(LatencyEstimate::hedge_delay);
        let round_trip = self.assumed_round_trip(replica);
        let delay = known.unwrap_or_else(|| {
            self.fleet
                .hedging_delay(now, replica)
                .saturating_sub(round_trip)
        });
        delay.clamp(HEDGING_DELAY_MIN, longest.max(HEDGING_DELAY_MIN)) + round_trip
    }

    /// Returns how long requests of a route usually take; its objective if that is not known.
    pub fn usual_duration(&self, route: &SiteRoute) -> Duration {
        let known = self.latencies.get(&route.place());
        let known = known.and_then(|known| known.quantile(USUAL_PERCENT));
        known.unwrap_or(route.objective).min(route.timeout)
    }

    /// Ends an attempt at a replica, whose capacity becomes free.
    pub fn finish_attempt(
        &mut self,
        now: MonotonicTime,
        replica: ReplicaIndex,
        attempt: u64,
        outcome: ReplicaOutcome,
    ) {
        let known = self.fleet.replica(replica).and_then(|known| {
            let since = known.running_since(attempt)?;
            Some((known.record.service.clone(), now.since(since)))
        });
        self.fleet.finish(now, replica, attempt, outcome);
        if let Some((service, held)) = known {
            // Failures to connect say nothing about how long answers take.
            let is_typical = !matches!(
                outcome,
                ReplicaOutcome::Unreachable | ReplicaOutcome::WrongServer
            );
            self.admission
                .record_freed(now, &service, is_typical.then_some(held));
        }
    }

    fn assumed_round_trip(&self, replica: ReplicaIndex) -> Duration {
        let known = self.fleet.replica(replica);
        known.map_or(Duration::ZERO, |replica| {
            replica.locality().assumed_round_trip()
        })
    }

    /// Returns how this entry reaches replicas.
    pub fn reach(&self, now: MonotonicTime) -> ReplicaReach {
        self.reach.reach(now, self.fleet.len())
    }

    /// Allocates the number of a new attempt.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        self.attempts
    }
}
