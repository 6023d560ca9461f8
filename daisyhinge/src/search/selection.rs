//! Selects the replica of a shard that a sub-request is sent to.

use std::time::Duration;

use rand::RngExt;

use crate::prelude::*;
use crate::search::plan::PartitionKey;
use crate::search::route::{RouteKey, RouteState, RouteTable};
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::replica::ReplicaAvailability;

/// Maximum attempts of one request for one shard, each on a different replica.
pub const ATTEMPTS_MAX: usize = 4;

/// Distance between data centres in the same region.
pub const SAME_REGION_DISTANCE: u8 = 1;

/// Distance between data centres in different regions.
pub const OTHER_REGION_DISTANCE: u8 = 2;

/// Assumed network round trip by distance, in microseconds.
const ROUND_TRIP_US: [u64; 3] = [0, 3_000, 24_000];

/// Assumed service time without measurements, in microseconds.
const SERVICE_DEFAULT_US: u64 = 5_000;

/// Age after which a measured latency is ignored.
const LATENCY_STALE: Duration = Duration::from_secs(5);

/// Scores are raised at random by up to 1/8, so that entries do not all select the same replica.
const JITTER_DIVISOR: u64 = 8;

/// A warm replica is full when its outstanding sub-requests reach this multiple of its limit.
const FULL_FACTOR: u64 = 2;

/// One selection in this many prefers an idle cold replica, so that it warms up in bounded time
/// even if warm replicas have capacity.
const WARM_UP_ONE_IN: u64 = 8;

/// Constraints of one selection.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionCriteria<'tried> {
    /// Rows of the replicas already tried.
    pub(super) tried: &'tried [u32],
    /// Selects only warm replicas with a free slot.
    pub(super) needs_free_slot: bool,
    /// Whether the request may run more than once.
    pub(super) repeatable: bool,
    /// Largest allowed distance.
    pub(super) max_distance: u8,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct RouteChoice {
    pub(super) key: RouteKey,
    /// Expected time until the answer in microseconds; 0 if the service's latency is unknown.
    pub(super) expected_us: u64,
}

/// Suitability of a replica, best class first. A replica is selected from the best class that is
/// available.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RouteClass {
    /// Cold and idle, and this selection favours warming up.
    WarmingUp,
    Warm,
    /// Cold with limited capacity; used for repeatable work when no warm replica is available.
    Cold,
    Full,
    BackingOff,
    /// Closed, or cold and either full, backing off, or offered non-repeatable work.
    LastResort,
}

impl RouteTable {
    /// Selects the replica of a shard with the least expected time within the best class. The
    /// expected time includes the network round trip, the keeper's queue and this entry's
    /// outstanding sub-requests.
    pub(super) fn choose_route(
        &mut self,
        service: u32,
        key: PartitionKey,
        shard: ShardNumber,
        criteria: SelectionCriteria<'_>,
    ) -> Option<RouteChoice> {
        let median = self.services[service as usize].latency.median();
        let usual_us = median.map_or(SERVICE_DEFAULT_US, duration_to_micros);
        let mut random_bits: u64 = self.generator.random();
        let warms_up = criteria.repeatable
            && !criteria.needs_free_slot
            && criteria.tried.is_empty()
            && random_bits.is_multiple_of(WARM_UP_ONE_IN);
        let mut best: Option<(RouteClass, u64, u32, u64)> = None;
        let partition = self.find_partition(service, key)?;
        for row in partition.replicas(shard) {
            let state = &self.states[*row as usize];
            let centre = &self.centres[state.centre as usize];
            if centre.distance > criteria.max_distance || criteria.tried.contains(row) {
                continue;
            }
            let mut class = self.classify(state, criteria, usual_us);
            if warms_up && class == RouteClass::Cold && self.is_idle(state, usual_us) {
                class = RouteClass::WarmingUp;
            }
            if criteria.needs_free_slot && class != RouteClass::Warm {
                continue;
            }
            let service_us = self.service_us(state, usual_us);
            let outstanding = self.outstanding(state, service_us);
            if criteria.needs_free_slot && outstanding >= u64::from(state.load.limit) {
                continue;
            }
            let queue_us = service_us * outstanding / u64::from(state.load.limit).max(1);
            let round_trip_us =
                ROUND_TRIP_US[usize::from(centre.distance.min(OTHER_REGION_DISTANCE))];
            let expected_us = service_us + queue_us + round_trip_us;
            random_bits = random_bits.rotate_left(13);
            let random = random_bits % 1_024;
            let adjusted_us = expected_us + self.excess_us(state);
            let score = adjusted_us + adjusted_us / JITTER_DIVISOR * random / 1_024;
            if best.is_none_or(|current| (class, score) < (current.0, current.1)) {
                best = Some((class, score, *row, expected_us));
            }
        }
        best.map(|(_, _, row, expected_us)| RouteChoice {
            key: self.key_of(row),
            expected_us: if median.is_some() { expected_us } else { 0 },
        })
    }

    fn classify(
        &self,
        state: &RouteState,
        criteria: SelectionCriteria<'_>,
        usual_us: u64,
    ) -> RouteClass {
        let keeper = &self.keepers[state.keeper as usize];
        let is_backing_off =
            self.now < state.estimate.backoff_until || self.now < keeper.backoff_until;
        let limit = u64::from(state.load.limit.max(1));
        let outstanding = self.outstanding(state, self.service_us(state, usual_us));
        match state.state {
            ReplicaAvailability::Cold
                if criteria.repeatable && !is_backing_off && outstanding < limit =>
            {
                RouteClass::Cold
            }
            ReplicaAvailability::Cold | ReplicaAvailability::Closed => RouteClass::LastResort,
            ReplicaAvailability::Warm if is_backing_off => RouteClass::BackingOff,
            ReplicaAvailability::Warm if outstanding >= limit * FULL_FACTOR => RouteClass::Full,
            ReplicaAvailability::Warm => RouteClass::Warm,
        }
    }

    fn is_idle(&self, state: &RouteState, usual_us: u64) -> bool {
        self.outstanding(state, self.service_us(state, usual_us)) == 0
    }

    /// Estimated sub-requests ahead of a new one: the load reported by the keeper, less those
    /// completed since at the replica's rate, plus those sent by this entry since.
    fn outstanding(&self, state: &RouteState, service_us: u64) -> u64 {
        let in_flight = state.estimate.in_flight;
        let since = in_flight.saturating_sub(state.estimate.in_flight_at_load);
        let reported = u64::from(state.load.running) + u64::from(state.load.queued);
        let elapsed_us = self.now.0.saturating_sub(state.load_at.0);
        let done = elapsed_us.saturating_mul(state.load.limit.into()) / service_us.max(1);
        reported.saturating_sub(done) + u64::from(since)
    }

    /// Service time without queueing, as reported by the keeper. The latency measured by this entry
    /// includes queueing, which would then count twice; it is used only until the keeper reports.
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

    /// Recently measured latency in excess of the expected time. Used only to compare replicas,
    /// never to refuse a request, since it may be out of date.
    fn excess_us(&self, state: &RouteState) -> u64 {
        let is_recent = self.now.since(state.estimate.excess_at) < LATENCY_STALE;
        if is_recent {
            state.estimate.excess_us.into()
        } else {
            0
        }
    }
}
