//! State of one replica at an entry: latency, load, failures and limits.

use std::time::Duration;

use super::locality::Locality;
use super::outlier::OutlierDetector;
use super::request_rate::RateLimiter;
use crate::prelude::*;
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::registration::{ReplicaPhase, ReplicaRecord};

/// Prior: expected latency of a replica without samples, round trip excluded, in microseconds.
const SERVICE_TIME_PRIOR_US: f64 = 8_000.0;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a new sample above the average.
const RISE_WEIGHT: f64 = 0.35;
/// Cap on a sample as a multiple of the average: a single pause does not divert requests for long,
/// while a replica that stays slow is detected after a few samples.
const SAMPLE_RISE_MAX: f64 = 2.5;
/// Factor by which a refusal decreases the concurrency limit (AIMD).
const LIMIT_DECREASE: f64 = 0.75;
/// Amount, divided by the limit, by which an answer increases the concurrency limit (AIMD).
const LIMIT_INCREASE: f64 = 0.5;
/// Time without a sample after which the average starts to decay to the prior.
const DECAY_AFTER: Duration = Duration::from_millis(1_500);
/// Time constant of this decay (a factor of e), in microseconds.
const DECAY_TIME_US: f64 = 2_000_000.0;
/// Weight of a failure in the recent failure rate. At one request per second, the second failure
/// must divert the next request to another replica.
const FAIL_WEIGHT: f64 = 0.4;
/// Time constant with which the failure rate decays (a factor of e), in microseconds.
const FAIL_DECAY_TIME_US: f64 = 5_000_000.0;
/// Recent failure rate from which a replica counts as failing; one failure reaches it.
const FAILING_RATE: f64 = 0.3;
/// Initial backoff of a replica that can't be reached.
const BACKOFF_FIRST: Duration = Duration::from_millis(150);
/// Maximum backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Maximum backoff for the only replica of a service.
const BACKOFF_ONLY_MAX: Duration = Duration::from_millis(200);
/// Multiple of the expected latency after which a request is overdue.
const OVERDUE_FACTOR: f64 = 2.5;
/// Fixed addition to the overdue limit, in microseconds.
const OVERDUE_SLACK_US: f64 = 7_000.0;
/// Score penalty of an ejected replica, as a factor.
const EJECTED_FACTOR: f64 = 6.0;
/// Score penalty of a silent replica (no heartbeats), as a factor.
const SILENT_FACTOR: f64 = 4.0;
/// Score penalty of a cold replica, as a factor.
const COLD_FACTOR: f64 = 2.0;
/// Time to accept a connection, round trip excluded, in microseconds.
const CONNECT_US: f64 = 6_000.0;
/// Relative increase of the expected latency per request in flight.
const QUEUE_FACTOR: f64 = 0.3;

/// Outcome of an attempt, from which the health and load of the replica are updated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaOutcome {
    /// The replica returned a complete answer.
    Answered,
    /// The replica returned an error of its own.
    Failed,
    /// The replica refused the request without running it.
    Shed,
    /// No connection to the replica could be made.
    Unreachable,
    /// The connection failed or the answer was damaged.
    Broken,
    /// The attempt was cancelled: another replica answered, or the request ended.
    Cancelled,
    /// Another server answers at the replica's address.
    WrongServer,
}

/// A replica, with its health and load as measured by this entry.
#[derive(Clone, Debug)]
pub struct FleetReplica {
    /// Last announcement of the replica.
    pub record: ReplicaRecord,
    /// Connections that this entry may keep open to the replica. If zero, it may still open one for
    /// a request.
    pub connections_max: u32,
    /// Connections that stay open while idle.
    pub connections_kept: u32,
    /// Open connections that are not in use.
    pub(super) idle: usize,
    /// Whether the replica is reached through a link to an entry in its region.
    pub(super) uses_link: bool,
    /// Requests per second that this entry may send while the replica is cold; unset if unlimited.
    pub cold_rate: Option<f64>,
    locality: Locality,
    cold_until: MonotonicTime,
    cold_next_at: MonotonicTime,
    latency_us: f64,
    sampled_at: MonotonicTime,
    fail_rate: f64,
    fail_rate_at: MonotonicTime,
    /// Attempts in flight, with the time at which each was sent.
    pub(super) running: Vec<(u64, MonotonicTime)>,
    failures: u32,
    backoff_until: MonotonicTime,
    outlier: OutlierDetector,
    /// Whether the replica said in an answer that it leaves.
    pub(super) leaving: bool,
    /// End of the pause that the replica requested.
    pub(super) paused_until: MonotonicTime,
    pub(super) limiter: RateLimiter,
    /// Adaptive limit on this entry's concurrent requests, from refusals and answers.
    pub(super) concurrency_limit: f64,
}

impl FleetReplica {
    pub(super) fn open(now: MonotonicTime, record: ReplicaRecord, locality: Locality) -> Self {
        let mut replica = Self {
            record,
            connections_max: 1,
            connections_kept: 0,
            idle: 0,
            uses_link: false,
            cold_rate: None,
            locality,
            cold_until: now,
            cold_next_at: now,
            latency_us: 0.0,
            sampled_at: now,
            fail_rate: 0.0,
            fail_rate_at: now,
            running: Vec::new(),
            failures: 0,
            backoff_until: MonotonicTime(0),
            outlier: OutlierDetector::default(),
            leaving: false,
            paused_until: MonotonicTime(0),
            limiter: RateLimiter::default(),
            concurrency_limit: f64::from(u16::MAX),
        };
        replica.latency_us = replica.prior_us();
        replica.cold_until = now + Duration::from_millis(replica.record.cold_left_ms);
        replica
    }

    pub(super) fn update_record(&mut self, now: MonotonicTime, record: ReplicaRecord) {
        self.cold_until = now + Duration::from_millis(record.cold_left_ms);
        let revived =
            self.record.phase == ReplicaPhase::Silent && record.phase == ReplicaPhase::Ready;
        if revived {
            self.backoff_until = now;
        }
        self.record = record;
    }

    fn prior_us(&self) -> f64 {
        micros(self.locality.assumed_round_trip()) + SERVICE_TIME_PRIOR_US
    }

    fn average_us(&self, now: MonotonicTime) -> f64 {
        let idle = now.since(self.sampled_at);
        let prior = self.prior_us();
        let Some(decay_time) = idle.checked_sub(DECAY_AFTER) else {
            return self.latency_us;
        };
        let remaining = (-micros(decay_time) / DECAY_TIME_US).exp();
        prior + (self.latency_us - prior) * remaining
    }

    /// Returns the expected latency of the next answer when no request is in flight.
    pub fn expected(&self, now: MonotonicTime) -> Duration {
        from_micros(self.average_us(now))
    }

    /// Returns the locality of the replica relative to the entry.
    pub fn locality(&self) -> Locality {
        self.locality
    }

    /// Whether the replica is in the entry's region.
    pub fn is_in_same_region(&self) -> bool {
        self.locality != Locality::OtherRegion
    }

    /// Whether the replica is reached through a link to an entry in its region.
    pub fn is_reached_by_link(&self) -> bool {
        self.uses_link
    }

    /// Returns the number of open connections that are not in use.
    pub fn idle(&self) -> usize {
        self.idle
    }

    /// Returns the number of this entry's requests in flight.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns when an attempt in flight began.
    pub(in crate::dispatch) fn running_since(&self, attempt: u64) -> Option<MonotonicTime> {
        let mut running = self.running.iter();
        let found = running.find(|(number, _)| *number == attempt);
        found.map(|(_, since)| *since)
    }

    /// Whether the replica is cold according to its last announcement.
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        now < self.cold_until
    }

    /// Whether the replica is backed off because it could not be reached.
    pub fn is_backed_off(&self, now: MonotonicTime) -> bool {
        now < self.backoff_until
    }

    /// Whether the replica has recently failed often.
    pub(in crate::dispatch) fn is_failing(&self, now: MonotonicTime) -> bool {
        self.recent_fail_rate(now) >= FAILING_RATE
    }

    /// Whether this entry may send one more request to the replica.
    pub(super) fn has_capacity(&self, now: MonotonicTime) -> bool {
        let cold_allows = match self.cold_rate {
            Some(rate) if self.is_cold(now) => rate > 0.0 && now >= self.cold_next_at,
            _ => true,
        };
        let running = self.running.len() as f64;
        cold_allows
            && running < f64::from(self.connections_max.max(1))
            && running < self.concurrency_limit
    }

    /// Returns the expected latency of one more request, in microseconds, with all penalties.
    pub(super) fn score(&self, now: MonotonicTime) -> u64 {
        let expected = self.average_us(now);
        let connect = if self.idle > 0 || self.uses_link {
            0.0
        } else {
            CONNECT_US + micros(self.locality.assumed_round_trip())
        };
        let oldest = self
            .running
            .iter()
            .map(|(_, since)| now.since(*since))
            .max();
        let overdue = oldest.map_or(0.0, micros);
        let base = if overdue > overdue_limit(expected) {
            expected + overdue
        } else {
            expected
        };
        let queue = 1.0 + QUEUE_FACTOR * self.running.len() as f64;
        let success_rate = (1.0 - self.recent_fail_rate(now)).max(0.05);
        let cold = if self.is_cold(now) { COLD_FACTOR } else { 1.0 };
        let silent = if self.record.phase == ReplicaPhase::Silent {
            SILENT_FACTOR
        } else {
            1.0
        };
        // After its ejection, a replica is probed by one request at a time until it answers.
        let is_probed = self.outlier.is_silent() && !self.running.is_empty();
        let ejected = if self.outlier.is_ejected(now) || is_probed {
            EJECTED_FACTOR
        } else {
            1.0
        };
        duration_to_micros(from_micros(
            (base + connect) * queue * cold * silent * ejected / (success_rate * success_rate),
        ))
    }

    pub(super) fn begin(&mut self, now: MonotonicTime, attempt: u64) {
        self.running.push((attempt, now));
        self.limiter.begin(now);
        if let Some(rate) = self.cold_rate.filter(|rate| *rate > 0.0) {
            self.cold_next_at = now + from_micros(1e6 / rate);
        }
    }

    pub(super) fn finish(
        &mut self,
        now: MonotonicTime,
        attempt: u64,
        outcome: ReplicaOutcome,
        is_only: bool,
    ) {
        let index = self
            .running
            .iter()
            .position(|(number, _)| *number == attempt);
        let Some(index) = index else {
            return;
        };
        let (_, since) = self.running.swap_remove(index);
        let took = micros(now.since(since));
        match outcome {
            ReplicaOutcome::Answered | ReplicaOutcome::Failed | ReplicaOutcome::Shed => {
                self.failures = 0;
                self.outlier = OutlierDetector::new_answered(now);
            }
            ReplicaOutcome::Broken => self.outlier.record_unanswered(now, since),
            ReplicaOutcome::Cancelled if took > overdue_limit(self.average_us(now)) => {
                self.outlier.record_unanswered(now, since);
            }
            _ => {}
        }
        match outcome {
            ReplicaOutcome::Answered => {
                self.sample(now, took);
                self.record_success(now, 1.0);
                let limit_max = f64::from(self.connections_max.max(1));
                self.concurrency_limit = (self.concurrency_limit
                    + LIMIT_INCREASE / self.concurrency_limit)
                    .min(limit_max);
            }
            ReplicaOutcome::Shed => {
                self.record_success(now, 0.0);
                let concurrent = (self.running.len() + 1) as f64;
                self.concurrency_limit =
                    (self.concurrency_limit.min(concurrent) * LIMIT_DECREASE).max(1.0);
            }
            ReplicaOutcome::Failed | ReplicaOutcome::Broken => self.record_success(now, 0.0),
            ReplicaOutcome::Unreachable => self.back_off(now, is_only),
            // The elapsed time is a lower bound of the latency, unless the replica has stopped
            // answering altogether.
            ReplicaOutcome::Cancelled
                if took > self.average_us(now) && !self.outlier.is_silent() =>
            {
                self.sample(now, took);
            }
            ReplicaOutcome::Cancelled | ReplicaOutcome::WrongServer => {}
        }
    }

    fn sample(&mut self, now: MonotonicTime, took: f64) {
        let known = self.average_us(now);
        let took = took.min(known * SAMPLE_RISE_MAX);
        let weight = if took > known {
            RISE_WEIGHT
        } else {
            SAMPLE_WEIGHT
        };
        self.latency_us = known + (took - known) * weight;
        self.sampled_at = now;
    }

    /// Returns the recent failure rate, which decays while there are no requests.
    fn recent_fail_rate(&self, now: MonotonicTime) -> f64 {
        let idle = micros(now.since(self.fail_rate_at));
        self.fail_rate * (-idle / FAIL_DECAY_TIME_US).exp()
    }

    fn record_success(&mut self, now: MonotonicTime, success: f64) {
        let known = self.recent_fail_rate(now);
        let weight = if success > 0.0 {
            SAMPLE_WEIGHT
        } else {
            FAIL_WEIGHT
        };
        self.fail_rate = known + (1.0 - success - known) * weight;
        self.fail_rate_at = now;
    }

    /// Ends the backoff, and starts the next one with the shortest time.
    pub(super) fn clear_backoff(&mut self, now: MonotonicTime) {
        self.failures = 0;
        self.backoff_until = self.backoff_until.min(now);
    }

    fn back_off(&mut self, now: MonotonicTime, is_only: bool) {
        let backoff_max = if is_only {
            BACKOFF_ONLY_MAX
        } else {
            BACKOFF_MAX
        };
        let duration = (BACKOFF_FIRST * (1 << self.failures.min(5))).min(backoff_max);
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = now + duration;
    }
}

/// Returns the time after which an answer is overdue, in microseconds.
fn overdue_limit(expected: f64) -> f64 {
    expected * OVERDUE_FACTOR + OVERDUE_SLACK_US
}

#[expect(
    clippy::cast_precision_loss,
    reason = "durations are far below 2^52 us"
)]
fn micros(duration: Duration) -> f64 {
    duration_to_micros(duration) as f64
}

fn from_micros(micros: f64) -> Duration {
    Duration::from_secs_f64((micros / 1e6).clamp(0.0, 3_600.0))
}
