//! Slow start: the concurrency limit of a backend server, adapted to its own answers.

use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::announcement::{ReplicaAnnouncement, ServerState};
use crate::vocabulary::clock::duration_to_micros;

/// An answer is slow above this multiple of the smoothed service time plus [`SLOW_EXTRA_US`].
pub const SLOW_FACTOR: u64 = 4;

/// Microseconds added to the threshold of a slow answer.
pub const SLOW_EXTRA_US: u64 = 2_000;

/// Number of normal (not slow) answers after which the limit of a cold backend server is raised by
/// one step.
pub const RAISE_ANSWERS: u32 = 2;

/// Time without a failure after which the limit of a backend server that announced itself ready is
/// raised by one step, so that warm-up also ends with hardly any traffic.
pub const RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// Normal answers after which the limit of a backend server that was inferred to be cold is raised
/// by one step. Doubled each time a failure follows such a step.
pub const INFERRED_COLD_ANSWERS: u32 = 8;

/// Upper bound of the normal answers required for a step.
pub const INFERRED_COLD_ANSWERS_MAX: u32 = 64;

/// Smoothed service time, in percent of the one measured while warm, above which a backend server
/// that was inferred to be cold stays cold.
const NORMAL_SERVICE_PERCENT: u64 = 150;

/// Maximum number of steps from a limit of one to all slots.
pub const RAISE_STEPS: u32 = 8;

/// Shift that sets the weight of a new sample in the moving average of the service time.
const SMOOTHING_SHIFT: u32 = 3;

/// Concurrency limit of one backend server.
///
/// Invariants: `1 <= limit <= slots`; while a server announces itself cold with an allowance, the
/// limit is at most that allowance; the limit grows by at most one step at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlowStart {
    slots: u32,
    allowance: u32,
    announced_cold: bool,
    limit: u32,
    cold: bool,
    /// Whether a single slow answer reduced the limit of a warm server.
    reduced_once: bool,
    slow_answers: u32,
    normal_answers: u32,
    /// Start of the current [`RAISE_INTERVAL`].
    timer_start: MonotonicTime,
    service_us: u64,
    /// Smoothed service time while warm, in microseconds; 0 if unknown.
    warm_us: u64,
    inferred: Option<InferredCold>,
    /// Normal answers required for the next step while the server is inferred to be cold.
    inferred_answers: u32,
}

/// Cold state that was inferred from failures rather than announced.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct InferredCold {
    answers: u32,
    /// Smoothed service time since the last failure, in microseconds.
    service_us: u64,
    raised: bool,
}

impl SlowStart {
    /// Creates the limit of a backend server known only by its announcement, which starts at the
    /// floor.
    pub fn new(now: MonotonicTime, announcement: &ReplicaAnnouncement) -> Self {
        let mut slow_start = Self {
            slots: 1,
            allowance: 0,
            announced_cold: false,
            limit: 1,
            cold: true,
            reduced_once: false,
            slow_answers: 0,
            normal_answers: 0,
            timer_start: now,
            service_us: 0,
            warm_us: 0,
            inferred: None,
            inferred_answers: INFERRED_COLD_ANSWERS,
        };
        slow_start.announce(now, announcement);
        slow_start.limit = slow_start.floor();
        slow_start.finish_raise();
        slow_start
    }

    /// Returns the number of sub-requests that may run at a time.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the backend server counts as cold.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns the smoothed service time; zero if unknown.
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_us)
    }

    /// Applies the state and limits that the backend server announced.
    pub fn announce(&mut self, now: MonotonicTime, announcement: &ReplicaAnnouncement) {
        let says_cold = announcement.state == ServerState::Cold;
        if says_cold != self.announced_cold {
            self.timer_start = now;
        }
        self.slots = announcement.slots.min(announcement.connections).max(1);
        self.allowance = announcement.cold_allowance;
        if says_cold && !self.announced_cold {
            self.cold = true;
            self.limit = self.limit.min(self.floor());
        }
        self.announced_cold = says_cold;
        self.limit = self.limit.clamp(1, self.ceiling());
        self.check();
    }

    /// Records an answer that took `took`.
    pub fn record_answer(&mut self, now: MonotonicTime, took: Duration) {
        let took_us = duration_to_micros(took).max(1);
        let slow_threshold_us = self.service_us * SLOW_FACTOR + SLOW_EXTRA_US;
        let slow = self.service_us > 0 && took_us > slow_threshold_us;
        self.service_us = smooth_time(self.service_us, took_us.min(slow_threshold_us));
        if let Some(inferred) = &mut self.inferred {
            inferred.answers += 1;
            inferred.service_us = smooth_time(inferred.service_us, took_us);
        } else if !self.cold && !slow {
            self.warm_us = self.service_us;
        }
        if slow {
            self.record_slow_answer(now);
        } else {
            self.record_normal_answer();
        }
        self.check();
    }

    /// Records a failure, which is a reset, a shed, a failed connect or a new incarnation: marks
    /// the server as cold and reduces the limit to the floor.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        let was_cold = self.cold;
        self.cold = true;
        self.reduced_once = false;
        let relapse = match self.inferred {
            Some(inferred) => inferred.raised,
            // A relapse: the server failed shortly after it counted as warm.
            None => !was_cold && self.normal_answers < INFERRED_COLD_ANSWERS_MAX,
        };
        self.inferred_answers = if relapse {
            (self.inferred_answers * 2).min(INFERRED_COLD_ANSWERS_MAX)
        } else {
            self.inferred_answers
        };
        self.inferred = Some(InferredCold::default());
        self.reduce(now, self.floor());
    }

    /// Records an error response of the backend server, which counts as a failure only while it is
    /// cold.
    pub fn record_server_error(&mut self, now: MonotonicTime) {
        if self.cold {
            self.record_failure(now);
        }
    }

    /// Raises the limit by one step if enough time passed without a failure.
    pub fn tick(&mut self, now: MonotonicTime) {
        if self.next_raise().is_some_and(|raise| now >= raise) {
            self.timer_start = now;
            self.raise(self.step_size());
        }
    }

    /// Returns the time at which the limit is raised next without further answers, if any.
    pub fn next_raise(&self) -> Option<MonotonicTime> {
        let waits = (self.cold || self.reduced_once) && !self.announced_cold;
        // An inferred cold state ends only by answers: the passage of time does not show that the
        // server is warm, and without traffic a limit of one does no harm.
        (waits && self.inferred.is_none()).then(|| self.timer_start + RAISE_INTERVAL)
    }

    fn record_slow_answer(&mut self, now: MonotonicTime) {
        self.slow_answers += 1;
        if self.slow_answers > 1 {
            // Two consecutive slow answers indicate a change of latency, not a straggler.
            self.record_failure(now);
        } else if self.cold {
            self.reduce(
                now,
                self.limit
                    .saturating_sub(self.step_size())
                    .max(self.floor()),
            );
        } else {
            self.reduced_once = true;
            self.reduce(now, self.floor());
        }
    }

    fn record_normal_answer(&mut self) {
        self.slow_answers = 0;
        self.normal_answers = self.normal_answers.saturating_add(1);
        if !self.cold && self.normal_answers >= INFERRED_COLD_ANSWERS_MAX {
            self.inferred_answers = INFERRED_COLD_ANSWERS;
        }
        if self.reduced_once {
            // The slow answer was a straggler: restore the limit quickly, but not in a single step.
            self.raise(self.limit);
        } else if self.cold && self.may_raise() {
            self.raise(self.step_size());
        }
    }

    /// Returns whether the answers since the last step allow another one.
    ///
    /// If the server is inferred to be cold, its service time must also be near the warm one again.
    /// If it is still longer after [`INFERRED_COLD_ANSWERS_MAX`] answers without a failure, the
    /// longer time is accepted as normal.
    fn may_raise(&self) -> bool {
        let Some(inferred) = self.inferred else {
            return self.normal_answers >= RAISE_ANSWERS;
        };
        // A server that never was warm has no service time to compare with and needs all the
        // answers.
        let normal = inferred.service_us * 100 <= self.warm_us * NORMAL_SERVICE_PERCENT
            || inferred.answers >= INFERRED_COLD_ANSWERS_MAX;
        normal && self.normal_answers >= self.inferred_answers
    }

    fn raise(&mut self, step: u32) {
        self.normal_answers = 0;
        if let Some(inferred) = &mut self.inferred {
            inferred.raised = true;
        }
        self.limit = self.limit.saturating_add(step).min(self.ceiling());
        self.finish_raise();
        self.check();
    }

    fn finish_raise(&mut self) {
        if self.limit == self.slots && !self.announced_cold {
            self.cold = false;
            self.reduced_once = false;
            self.inferred = None;
            self.normal_answers = 0;
        }
    }

    fn reduce(&mut self, now: MonotonicTime, limit: u32) {
        self.limit = self.limit.min(limit);
        self.normal_answers = 0;
        self.timer_start = now;
        self.check();
    }

    /// Returns the initial limit of a cold backend server: its allowance, or one.
    fn floor(&self) -> u32 {
        self.allowance.clamp(1, self.slots)
    }

    fn ceiling(&self) -> u32 {
        if self.announced_cold && self.allowance > 0 {
            self.floor()
        } else {
            self.slots
        }
    }

    fn step_size(&self) -> u32 {
        self.slots.div_ceil(RAISE_STEPS)
    }

    fn check(&self) {
        assert!(
            (1..=self.ceiling()).contains(&self.limit),
            "concurrency limit out of range"
        );
    }
}

fn smooth_time(smoothed_us: u64, took_us: u64) -> u64 {
    if smoothed_us == 0 {
        return took_us;
    }
    let weight = (1_u64 << SMOOTHING_SHIFT) - 1;
    ((smoothed_us * weight + took_us) >> SMOOTHING_SHIFT).max(1)
}
