//! How many sub-requests a backend server bears at a time, judged by its own answers.

use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::announcement::{ReplicaAnnouncement, ServerState};
use crate::vocabulary::clock::span_to_micros;

/// An answer is slow if it took longer than this many times the smoothed service time...
pub const SLOW_FACTOR: u64 = 4;

/// ...and this much on top, in microseconds.
pub const SLOW_EXTRA_US: u64 = 2_000;

/// Ordinary answers after which a cold backend server may run one step more.
pub const RAISE_ANSWERS: u32 = 2;

/// A backend server that announced itself ready may run one step more after this long without a
/// bad sign, so that warming up ends also where hardly any work comes.
pub const RAISE_SPAN: Duration = Duration::from_secs(1);

/// Ordinary answers after which a backend server that turned cold in silence may run one step
/// more. Doubles each time such a step is followed by a bad sign.
pub const SILENT_ANSWERS: u32 = 8;

/// Most answers that a step is waited for.
pub const SILENT_ANSWERS_MAX: u32 = 64;

/// While a server that turned cold in silence takes longer than this share of its warm service
/// time, in percent, it is still cold.
const ORDINARY_PERCENT: u64 = 150;

/// Steps from the first sub-request to all slots, at most.
pub const RAISE_STEPS: u32 = 8;

/// Shift of the moving average of the service time.
const SMOOTH_SHIFT: u32 = 3;

/// The limit of one backend server.
///
/// Invariants: `1 <= limit <= slots`; while a server announces itself cold with an allowance, the
/// limit is at most that allowance; the limit grows by at most one step at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdRamp {
    slots: u32,
    allowance: u32,
    announced_cold: bool,
    limit: u32,
    cold: bool,
    doubted: bool,
    slow_answers: u32,
    good_answers: u32,
    quiet: MonotonicTime,
    service_us: u64,
    /// Smoothed service time while it was warm; 0 if not known.
    warm_us: u64,
    silent: Option<SilentCold>,
    /// Answers that the next step after a silent turn is waited for.
    silent_answers: u32,
}

/// A cold state that showed only by bad signs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct SilentCold {
    answers: u32,
    /// Smoothed service time since the last bad sign.
    service_us: u64,
    raised: bool,
}

impl ColdRamp {
    /// A backend server that nothing is known of but its announcement: it starts at the bottom.
    pub fn new(now: MonotonicTime, announcement: &ReplicaAnnouncement) -> Self {
        let mut ramp = Self {
            slots: 1,
            allowance: 0,
            announced_cold: false,
            limit: 1,
            cold: true,
            doubted: false,
            slow_answers: 0,
            good_answers: 0,
            quiet: now,
            service_us: 0,
            warm_us: 0,
            silent: None,
            silent_answers: SILENT_ANSWERS,
        };
        ramp.announce(now, announcement);
        ramp.limit = ramp.bottom();
        ramp.finish_raise();
        ramp
    }

    /// Sub-requests that may run at a time now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the backend server counts as cold.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Smoothed service time; zero if not known.
    pub fn service(&self) -> Duration {
        Duration::from_micros(self.service_us)
    }

    /// Takes in what the backend server says of itself.
    pub fn announce(&mut self, now: MonotonicTime, announcement: &ReplicaAnnouncement) {
        let says_cold = announcement.state == ServerState::Cold;
        if says_cold != self.announced_cold {
            self.quiet = now;
        }
        self.slots = announcement.slots.min(announcement.connections).max(1);
        self.allowance = announcement.cold_allowance;
        if says_cold && !self.announced_cold {
            self.cold = true;
            self.limit = self.limit.min(self.bottom());
        }
        self.announced_cold = says_cold;
        self.limit = self.limit.clamp(1, self.ceiling());
        self.check();
    }

    /// Takes in an answer that took `took`.
    pub fn take_answer(&mut self, now: MonotonicTime, took: Duration) {
        let took_us = span_to_micros(took).max(1);
        let slow_us = self.service_us * SLOW_FACTOR + SLOW_EXTRA_US;
        let slow = self.service_us > 0 && took_us > slow_us;
        self.service_us = smooth_time(self.service_us, took_us.min(slow_us));
        if let Some(silent) = &mut self.silent {
            silent.answers += 1;
            silent.service_us = smooth_time(silent.service_us, took_us);
        } else if !self.cold && !slow {
            self.warm_us = self.service_us;
        }
        if slow {
            self.take_slow_answer(now);
        } else {
            self.take_good_answer();
        }
        self.check();
    }

    /// Takes in a reset, a shed, a failed connect or a new incarnation: down to the bottom.
    pub fn take_bad_sign(&mut self, now: MonotonicTime) {
        let was_cold = self.cold;
        self.cold = true;
        self.doubted = false;
        let relapse = match self.silent {
            Some(silent) => silent.raised,
            // It counted as warm, but not for long.
            None => !was_cold && self.good_answers < SILENT_ANSWERS_MAX,
        };
        self.silent_answers = if relapse {
            (self.silent_answers * 2).min(SILENT_ANSWERS_MAX)
        } else {
            self.silent_answers
        };
        self.silent = Some(SilentCold::default());
        self.cut(now, self.bottom());
    }

    /// Takes in an error of the backend server's own, which counts only while it is cold.
    pub fn take_error(&mut self, now: MonotonicTime) {
        if self.cold {
            self.take_bad_sign(now);
        }
    }

    /// Lets time raise the limit.
    pub fn tick(&mut self, now: MonotonicTime) {
        if self.next_raise().is_some_and(|raise| now >= raise) {
            self.quiet = now;
            self.raise(self.step_size());
        }
    }

    /// When time alone raises the limit next.
    pub fn next_raise(&self) -> Option<MonotonicTime> {
        let waits = (self.cold || self.doubted) && !self.announced_cold;
        // After a silent turn only answers raise it: no time that passes tells that it is warm, and
        // where no work comes a limit of one is no loss.
        (waits && self.silent.is_none()).then(|| self.quiet + RAISE_SPAN)
    }

    fn take_slow_answer(&mut self, now: MonotonicTime) {
        self.slow_answers += 1;
        if self.slow_answers > 1 {
            // Two in a row are a step of latency, not a straggler.
            self.take_bad_sign(now);
        } else if self.cold {
            self.cut(
                now,
                self.limit
                    .saturating_sub(self.step_size())
                    .max(self.bottom()),
            );
        } else {
            self.doubted = true;
            self.cut(now, self.bottom());
        }
    }

    fn take_good_answer(&mut self) {
        self.slow_answers = 0;
        self.good_answers = self.good_answers.saturating_add(1);
        if !self.cold && self.good_answers >= SILENT_ANSWERS_MAX {
            self.silent_answers = SILENT_ANSWERS;
        }
        if self.doubted {
            // It was a straggler: back quickly, but never all at once.
            self.raise(self.limit);
        } else if self.cold && self.is_ordinary() {
            self.raise(self.step_size());
        }
    }

    /// Whether the answers since the last step allow another.
    ///
    /// One that turned cold in silence must also answer in about its warm time again. If it does
    /// not for [`SILENT_ANSWERS_MAX`] answers without a bad sign, that is its new time.
    fn is_ordinary(&self) -> bool {
        let Some(silent) = self.silent else {
            return self.good_answers >= RAISE_ANSWERS;
        };
        // One that was never seen warm has no time to compare with, and waits for all answers.
        let usual = silent.service_us * 100 <= self.warm_us * ORDINARY_PERCENT
            || silent.answers >= SILENT_ANSWERS_MAX;
        usual && self.good_answers >= self.silent_answers
    }

    fn raise(&mut self, step: u32) {
        self.good_answers = 0;
        if let Some(silent) = &mut self.silent {
            silent.raised = true;
        }
        self.limit = self.limit.saturating_add(step).min(self.ceiling());
        self.finish_raise();
        self.check();
    }

    fn finish_raise(&mut self) {
        if self.limit == self.slots && !self.announced_cold {
            self.cold = false;
            self.doubted = false;
            self.silent = None;
            self.good_answers = 0;
        }
    }

    fn cut(&mut self, now: MonotonicTime, limit: u32) {
        self.limit = self.limit.min(limit);
        self.good_answers = 0;
        self.quiet = now;
        self.check();
    }

    /// Where a cold backend server starts: its allowance, or one at a time.
    fn bottom(&self) -> u32 {
        self.allowance.clamp(1, self.slots)
    }

    fn ceiling(&self) -> u32 {
        if self.announced_cold && self.allowance > 0 {
            self.bottom()
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
            "a limit is beyond what the backend server bears"
        );
    }
}

fn smooth_time(smoothed_us: u64, took_us: u64) -> u64 {
    if smoothed_us == 0 {
        return took_us;
    }
    let weight = (1_u64 << SMOOTH_SHIFT) - 1;
    ((smoothed_us * weight + took_us) >> SMOOTH_SHIFT).max(1)
}
