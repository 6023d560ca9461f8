//! Which replica of a shard gets a sub-request.

use std::time::Duration;

use rand::RngExt;

use crate::prelude::*;
use crate::search::plan::PartitionKey;
use crate::search::route::{RouteKey, RouteState, RouteTable};
use crate::vocabulary::clock::span_to_micros;
use crate::vocabulary::replica::UseState;

/// Replicas of one shard that one request tries at most.
pub const TRIES_MAX: usize = 4;

/// Distance of data centres in the same region.
pub const REGION_DISTANCE: u8 = 1;

/// Distance of data centres in other regions.
pub const FAR_DISTANCE: u8 = 2;

/// Cost of the way to another data centre, there and back, by distance, in microseconds.
const DISTANCE_US: [u64; 3] = [0, 3_000, 24_000];

/// Service time that is assumed where nothing is known, in microseconds.
const SERVICE_DEFAULT_US: u64 = 5_000;

/// A latency measured longer ago is not held against a replica any more.
const LATENCY_STALE: Duration = Duration::from_secs(5);

/// Scores are raised by up to this part at random, so that entries do not all choose alike.
const SPREAD_DIVISOR: u64 = 8;

/// A warm replica with more than this many times its limit under way is full.
const FULL_FACTOR: u64 = 2;

/// One choice in so many prefers an idle cold replica, so that it warms up in bounded time though
/// warm ones could take the work.
const WARM_UP_ONE_IN: u64 = 8;

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceNeed<'tried> {
    /// Rows that were tried before.
    pub(super) tried: &'tried [u32],
    /// Only a warm replica with a free slot will do.
    pub(super) needs_free_slot: bool,
    /// Whether the request may run more than once.
    pub(super) repeatable: bool,
    /// Largest distance.
    pub(super) reach: u8,
}

/// A chosen replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteChoice {
    /// The replica.
    pub(super) key: RouteKey,
    /// Time until its answer in microseconds; 0 if the service's latency is not known yet.
    pub(super) expected_us: u64,
}

/// How suitable a replica is; the lowest class is chosen from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RouteClass {
    /// Cold, idle, and its turn to get a little work.
    WarmingUp,
    Warm,
    /// Bears a little; gets work that may be repeated, when no warm replica can take it.
    Cold,
    Full,
    BackingOff,
    /// Cold and the work may not be repeated, or cold and full.
    Last,
}

impl RouteTable {
    /// Chooses among the usable replicas of a shard: the suitable one with the least expected
    /// time, which counts the way, the keeper's queue and what this entry has under way.
    pub(super) fn choose_route(
        &mut self,
        service: u32,
        key: PartitionKey,
        shard: ShardNumber,
        need: ChoiceNeed<'_>,
    ) -> Option<RouteChoice> {
        let median = self.services[service as usize].latency.median();
        let usual_us = median.map_or(SERVICE_DEFAULT_US, span_to_micros);
        let mut random_bits: u64 = self.generator.random();
        let warms_up = need.repeatable
            && !need.needs_free_slot
            && need.tried.is_empty()
            && random_bits.is_multiple_of(WARM_UP_ONE_IN);
        let mut best: Option<(RouteClass, u64, u32, u64)> = None;
        let partition = self.find_partition(service, key)?;
        for row in partition.replicas(shard) {
            let state = &self.states[*row as usize];
            let centre = &self.centres[state.centre as usize];
            if centre.distance > need.reach || need.tried.contains(row) {
                continue;
            }
            let mut class = self.classify(state, need, usual_us);
            if warms_up && class == RouteClass::Cold && self.is_idle(state, usual_us) {
                class = RouteClass::WarmingUp;
            }
            if need.needs_free_slot && class != RouteClass::Warm {
                continue;
            }
            let service_us = self.service_us(state, usual_us);
            let under_way = self.under_way(state, service_us);
            if need.needs_free_slot && under_way >= u64::from(state.load.limit) {
                continue;
            }
            let waits_us = service_us * under_way / u64::from(state.load.limit).max(1);
            let way_us = DISTANCE_US[usize::from(centre.distance.min(FAR_DISTANCE))];
            let expected_us = service_us + waits_us + way_us;
            random_bits = random_bits.rotate_left(13);
            let random = random_bits % 1_024;
            let likely_us = expected_us + self.excess_us(state);
            let score = likely_us + likely_us / SPREAD_DIVISOR * random / 1_024;
            if best.is_none_or(|held| (class, score) < (held.0, held.1)) {
                best = Some((class, score, *row, expected_us));
            }
        }
        best.map(|(_, _, row, expected_us)| RouteChoice {
            key: self.key_of(row),
            expected_us: if median.is_some() { expected_us } else { 0 },
        })
    }

    fn classify(&self, state: &RouteState, need: ChoiceNeed<'_>, usual_us: u64) -> RouteClass {
        let keeper = &self.keepers[state.keeper as usize];
        let is_backing_off =
            self.now < state.estimate.backoff_until || self.now < keeper.backoff_until;
        let limit = u64::from(state.load.limit.max(1));
        let under_way = self.under_way(state, self.service_us(state, usual_us));
        match state.state {
            UseState::Cold if need.repeatable && !is_backing_off && under_way < limit => {
                RouteClass::Cold
            }
            UseState::Cold | UseState::Closed => RouteClass::Last,
            UseState::Warm if is_backing_off => RouteClass::BackingOff,
            UseState::Warm if under_way >= limit * FULL_FACTOR => RouteClass::Full,
            UseState::Warm => RouteClass::Warm,
        }
    }

    fn is_idle(&self, state: &RouteState, usual_us: u64) -> bool {
        self.under_way(state, self.service_us(state, usual_us)) == 0
    }

    /// Sub-requests before a new one: what the keeper told, less what was done since at its pace,
    /// and what this entry sent since.
    fn under_way(&self, state: &RouteState, service_us: u64) -> u64 {
        let own = state.estimate.in_flight;
        let since = own.saturating_sub(state.estimate.in_flight_at_load);
        let told = u64::from(state.load.running) + u64::from(state.load.queued);
        let elapsed_us = self.now.0.saturating_sub(state.load_at.0);
        let done = elapsed_us.saturating_mul(state.load.limit.into()) / service_us.max(1);
        told.saturating_sub(done) + u64::from(since)
    }

    /// Service time without the wait for a slot: the keeper's figure. This entry's own latency
    /// contains the wait, which would be counted twice; it stands in until the keeper knows.
    fn service_us(&self, state: &RouteState, usual_us: u64) -> u64 {
        if state.load.service_us > 0 {
            return state.load.service_us.into();
        }
        let is_recent = self.now.since(state.estimate.latency_at) < LATENCY_STALE;
        if is_recent && state.estimate.latency_us > 0 {
            return state.estimate.latency_us.into();
        }
        usual_us
    }

    /// Time beyond what was expected, as this entry measured it lately. Only compares replicas:
    /// nothing is refused by it, since it may be out of date.
    fn excess_us(&self, state: &RouteState) -> u64 {
        let is_recent = self.now.since(state.estimate.excess_at) < LATENCY_STALE;
        if is_recent {
            state.estimate.excess_us.into()
        } else {
            0
        }
    }
}
