//! One replica as an entry sees it.

use std::time::Duration;

use super::nearness::Nearness;
use super::suspicion::Suspicion;
use crate::prelude::*;
use crate::vocabulary::clock::span_to_micros;
use crate::vocabulary::registration::{ReplicaPhase, ReplicaRecord};

/// Latency that is expected of an unknown replica besides the way there, in microseconds.
const WORK_PRIOR_US: f64 = 8_000.0;
/// Weight of a new sample in the average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a new sample that is above the average.
const RISE_WEIGHT: f64 = 0.35;
/// A sample counts as at most this many times the average, so that one pause does not drive
/// requests away for long, while a replica that stays slow is known after a few.
const SAMPLE_RISE_MAX: f64 = 2.5;
/// What a refusal leaves of the requests that may run at a time, as a factor.
const LIMIT_CUT: f64 = 0.75;
/// What an answer adds to them, shared among as many.
const LIMIT_GROWTH: f64 = 0.5;
/// After this time without a sample, the average returns to what is expected of an unknown one.
const FORGET_AFTER: Duration = Duration::from_millis(1_500);
/// Time over which it returns by a factor of e, in microseconds.
const FORGET_SPAN_US: f64 = 2_000_000.0;
/// Weight of a failure in the share of recent failures: at a second a request, the second one
/// must send the next request elsewhere.
const FAIL_WEIGHT: f64 = 0.4;
/// Time over which failures fade by a factor of e, in microseconds.
const FAIL_FORGET_SPAN_US: f64 = 5_000_000.0;
/// First time for which a replica that can't be reached is left alone.
const DOWN_FIRST: Duration = Duration::from_millis(150);
/// Longest such time.
const DOWN_MAX: Duration = Duration::from_secs(2);
/// Longest such time for the only replica of its service.
const DOWN_LAST_MAX: Duration = Duration::from_millis(200);
/// Expected latencies after which a request is overdue, as a factor.
const OVERDUE_FACTOR: f64 = 2.5;
/// Time after which a request is overdue besides, in microseconds.
const OVERDUE_SLACK_US: f64 = 7_000.0;
/// How much slower a replica counts that leaves requests unanswered.
const SUSPECT_FACTOR: f64 = 6.0;
/// How much slower a silent replica counts.
const SILENT_FACTOR: f64 = 4.0;
/// How much slower a cold replica counts.
const COLD_FACTOR: f64 = 2.0;
/// Time that a replica takes to accept a connection, in microseconds.
const CONNECT_US: f64 = 6_000.0;
/// What each request under way adds to the expected latency, as a factor.
const QUEUE_FACTOR: f64 = 0.3;

/// How an attempt ended, as far as it tells of the replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFinish {
    /// It answered.
    Answered,
    /// It failed with an error of its own.
    Failed,
    /// It refused without running the request.
    Shed,
    /// It could not be connected to.
    Unreachable,
    /// The connection broke or the answer was damaged.
    Broken,
    /// It was cancelled: another replica answered, or nobody waits any more.
    Cancelled,
    /// Another server answers at its address.
    WrongServer,
}

/// A replica and what this entry learned of it.
#[derive(Clone, Debug)]
pub struct FleetReplica {
    /// What it said of itself.
    pub record: ReplicaRecord,
    /// Connections that this entry may hold to it; without any, it may open one for a request.
    pub connections_max: u32,
    /// Connections that stay open while nothing uses them.
    pub connections_kept: u32,
    /// Connections that are open and not in use.
    pub(super) idle: usize,
    /// Whether it is reached through a link to an entry beside it.
    pub(super) linked: bool,
    /// Requests a second that this entry may send while it is cold; unset if not limited.
    pub cold_rate: Option<f64>,
    nearness: Nearness,
    cold_until: MonotonicTime,
    cold_next: MonotonicTime,
    latency_us: f64,
    sampled: MonotonicTime,
    fail_rate: f64,
    fail_noted: MonotonicTime,
    running: Vec<(u64, MonotonicTime)>,
    failures: u32,
    down_until: MonotonicTime,
    suspicion: Suspicion,
    /// Requests of this entry that may run at a time, as refusals and answers show.
    running_max: f64,
}

impl FleetReplica {
    pub(super) fn open(now: MonotonicTime, record: ReplicaRecord, nearness: Nearness) -> Self {
        let mut replica = Self {
            record,
            connections_max: 1,
            connections_kept: 0,
            idle: 0,
            linked: false,
            cold_rate: None,
            nearness,
            cold_until: now,
            cold_next: now,
            latency_us: 0.0,
            sampled: now,
            fail_rate: 0.0,
            fail_noted: now,
            running: Vec::new(),
            failures: 0,
            down_until: MonotonicTime(0),
            suspicion: Suspicion::default(),
            running_max: f64::from(u16::MAX),
        };
        replica.latency_us = replica.prior_us();
        replica.cold_until = now + Duration::from_millis(replica.record.cold_left_ms);
        replica
    }

    pub(super) fn take_record(&mut self, now: MonotonicTime, record: ReplicaRecord) {
        self.cold_until = now + Duration::from_millis(record.cold_left_ms);
        let revived =
            self.record.phase == ReplicaPhase::Silent && record.phase == ReplicaPhase::Ready;
        if revived {
            self.down_until = now;
        }
        self.record = record;
    }

    fn prior_us(&self) -> f64 {
        micros(self.nearness.way_span()) + WORK_PRIOR_US
    }

    fn average_us(&self, now: MonotonicTime) -> f64 {
        let idle = now.since(self.sampled);
        let prior = self.prior_us();
        let Some(over) = idle.checked_sub(FORGET_AFTER) else {
            return self.latency_us;
        };
        let kept = (-micros(over) / FORGET_SPAN_US).exp();
        prior + (self.latency_us - prior) * kept
    }

    /// The latency that is expected of its next answer when nothing is under way.
    pub fn expected(&self, now: MonotonicTime) -> Duration {
        from_micros(self.average_us(now))
    }

    /// How far it is.
    pub fn nearness(&self) -> Nearness {
        self.nearness
    }

    /// Whether it is in the entry's region.
    pub fn is_near(&self) -> bool {
        self.nearness != Nearness::OtherRegion
    }

    /// Whether it is reached through a link to an entry beside it.
    pub fn is_linked(&self) -> bool {
        self.linked
    }

    /// Connections that are open and not in use.
    pub fn idle(&self) -> usize {
        self.idle
    }

    /// Requests of this entry under way.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether it said that it is cold.
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        now < self.cold_until
    }

    /// Whether it is left alone after it could not be reached.
    pub fn is_down(&self, now: MonotonicTime) -> bool {
        now < self.down_until
    }

    /// Whether this entry may send it one more request.
    pub(super) fn has_room(&self, now: MonotonicTime) -> bool {
        let cold_room = match self.cold_rate {
            Some(rate) if self.is_cold(now) => rate > 0.0 && now >= self.cold_next,
            _ => true,
        };
        let running = self.running.len() as f64;
        cold_room && running < f64::from(self.connections_max.max(1)) && running < self.running_max
    }

    /// Expected latency of one more request, in microseconds, with what counts against it.
    pub(super) fn score(&self, now: MonotonicTime) -> u64 {
        let expected = self.average_us(now);
        let connect = if self.idle > 0 || self.linked {
            0.0
        } else {
            CONNECT_US + micros(self.nearness.way_span())
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
        let served = (1.0 - self.recent_fail_rate(now)).max(0.05);
        let cold = if self.is_cold(now) { COLD_FACTOR } else { 1.0 };
        let silent = if self.record.phase == ReplicaPhase::Silent {
            SILENT_FACTOR
        } else {
            1.0
        };
        let suspect = if self.suspicion.holds(now) {
            SUSPECT_FACTOR
        } else {
            1.0
        };
        span_to_micros(from_micros(
            (base + connect) * queue * cold * silent * suspect / (served * served),
        ))
    }

    pub(super) fn begin(&mut self, now: MonotonicTime, attempt: u64) {
        self.running.push((attempt, now));
        if let Some(rate) = self.cold_rate.filter(|rate| *rate > 0.0) {
            self.cold_next = now + from_micros(1e6 / rate);
        }
    }

    pub(super) fn finish(
        &mut self,
        now: MonotonicTime,
        attempt: u64,
        finish: AttemptFinish,
        is_last: bool,
    ) {
        let place = self.running.iter().position(|(held, _)| *held == attempt);
        let Some(place) = place else {
            return;
        };
        let (_, since) = self.running.swap_remove(place);
        let took = micros(now.since(since));
        match finish {
            AttemptFinish::Answered | AttemptFinish::Failed | AttemptFinish::Shed => {
                self.failures = 0;
                self.suspicion = Suspicion::cleared(now);
            }
            AttemptFinish::Cancelled if took > overdue_limit(self.average_us(now)) => {
                self.suspicion.note_unanswered(now, since);
            }
            _ => {}
        }
        match finish {
            AttemptFinish::Answered => {
                self.sample(now, took);
                self.note_served(now, 1.0);
                let most = f64::from(self.connections_max.max(1));
                self.running_max = (self.running_max + LIMIT_GROWTH / self.running_max).min(most);
            }
            AttemptFinish::Shed => {
                self.note_served(now, 0.0);
                let ran = (self.running.len() + 1) as f64;
                self.running_max = (self.running_max.min(ran) * LIMIT_CUT).max(1.0);
            }
            AttemptFinish::Failed | AttemptFinish::Broken => self.note_served(now, 0.0),
            AttemptFinish::Unreachable => self.leave_alone(now, is_last),
            // It had not answered by now: the latency is at least this. One that answers nothing has
            // none.
            AttemptFinish::Cancelled
                if took > self.average_us(now) && !self.suspicion.is_silent() =>
            {
                self.sample(now, took);
            }
            AttemptFinish::Cancelled | AttemptFinish::WrongServer => {}
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
        self.sampled = now;
    }

    /// Share of recent requests that it did not serve; it fades while it gets none.
    fn recent_fail_rate(&self, now: MonotonicTime) -> f64 {
        let idle = micros(now.since(self.fail_noted));
        self.fail_rate * (-idle / FAIL_FORGET_SPAN_US).exp()
    }

    fn note_served(&mut self, now: MonotonicTime, served: f64) {
        let known = self.recent_fail_rate(now);
        let weight = if served > 0.0 {
            SAMPLE_WEIGHT
        } else {
            FAIL_WEIGHT
        };
        self.fail_rate = known + (1.0 - served - known) * weight;
        self.fail_noted = now;
    }

    fn leave_alone(&mut self, now: MonotonicTime, is_last: bool) {
        let longest = if is_last { DOWN_LAST_MAX } else { DOWN_MAX };
        let span = (DOWN_FIRST * (1 << self.failures.min(5))).min(longest);
        self.failures = self.failures.saturating_add(1);
        self.down_until = now + span;
    }
}

/// Time after which an answer is overdue, in microseconds.
fn overdue_limit(expected: f64) -> f64 {
    expected * OVERDUE_FACTOR + OVERDUE_SLACK_US
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 us")]
fn micros(span: Duration) -> f64 {
    span_to_micros(span) as f64
}

fn from_micros(micros: f64) -> Duration {
    Duration::from_secs_f64((micros / 1e6).clamp(0.0, 3_600.0))
}
