//! State of a fake backend server: snapshots, running attempts, injected faults and the record.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{ReplicaSnapshot, ServerState};
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::server::fault::{ColdSettings, DamageKind, FaultSettings};
use crate::server::plan::{AdmissionOutcome, WorkEnd, WorkPlan};
use crate::server::record::{FakeRecord, SubRecord};
use crate::server::settings::FakeSettings;
use crate::server::task::SubTask;

/// Number of finished attempts that are remembered, so that a late cancel gets a correct answer.
const ENDED_ATTEMPTS_MAX: usize = 8_192;
/// A service time of at least this many times the mean counts as a sign that the server is cold.
const COLD_SIGN_FACTOR: f64 = 1.9;

#[derive(Debug)]
enum AttemptState {
    Running(CancellationToken),
    Stopped,
    Answered,
}

#[derive(Debug)]
struct ColdState {
    settings: ColdSettings,
    /// Sub-requests answered since the start of the cold state or its last collapse.
    answered_count: u32,
}

/// State that the next announcement carries.
#[derive(Clone, Debug)]
pub(crate) struct AnnounceState {
    pub state: ServerState,
    pub incarnation: IncarnationNumber,
    pub sequence: u64,
    pub snapshots: Vec<ReplicaSnapshot>,
    /// Whether the announcement is not sent.
    pub silent: bool,
}

#[derive(Debug)]
pub(crate) struct FakeCore {
    settings: FakeSettings,
    pub faults: FaultSettings,
    pub snapshots: Vec<ReplicaSnapshot>,
    pub state: ServerState,
    pub incarnation: IncarnationNumber,
    pub record: FakeRecord,
    /// Whether the replica has announced its departure.
    pub has_left: bool,
    sequence: u64,
    cold: Option<ColdState>,
    attempts: HashMap<String, AttemptState>,
    /// Expiry of each running or queued attempt. Expired work no longer counts, even if its timer
    /// fires late.
    in_hand: HashMap<String, Instant>,
    /// Finished attempts, oldest first.
    ended: VecDeque<String>,
    random: ChaCha8Rng,
}

impl FakeCore {
    pub fn new(settings: &FakeSettings) -> Self {
        let mut core = Self {
            faults: settings.faults.clone(),
            snapshots: settings.snapshots.clone(),
            state: settings.state,
            incarnation: settings.incarnation,
            record: FakeRecord::default(),
            has_left: false,
            sequence: 0,
            cold: None,
            attempts: HashMap::new(),
            in_hand: HashMap::new(),
            ended: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings: settings.clone(),
        };
        if let Some(cold) = core.faults.cold {
            core.turn_cold(cold);
        }
        core
    }

    /// Decides how a sub-request that arrived is handled.
    pub fn admit(&mut self, task: &SubTask, expiry: Instant) -> AdmissionOutcome {
        self.count_in_hand();
        self.record_arrival(task);
        if task.replica != self.settings.replica || task.service != self.settings.service {
            self.record.misdirected += 1;
            return AdmissionOutcome::Misdirected;
        }
        if !self.has_snapshot(task) {
            self.record.not_held += 1;
            return AdmissionOutcome::NotHeld;
        }
        if matches!(
            self.attempts.get(&task.attempt),
            Some(AttemptState::Stopped)
        ) {
            return AdmissionOutcome::Cancelled;
        }
        if self.draw(self.faults.fail_one_in) {
            self.record.failed += 1;
            return AdmissionOutcome::Fail;
        }
        let full =
            self.record.in_hand >= self.settings.slots.saturating_add(self.settings.queue_max);
        if full || self.draw(self.faults.shed_one_in) {
            self.record.shed += 1;
            self.record_sign();
            return AdmissionOutcome::Shed;
        }
        self.start(task, expiry)
    }

    fn start(&mut self, task: &SubTask, expiry: Instant) -> AdmissionOutcome {
        self.record.started += 1;
        if !task.repeatable {
            *self
                .record
                .single_runs
                .entry(task.request.clone())
                .or_default() += 1;
        }
        if self.has_crash_marker(task) {
            *self
                .record
                .marked_runs
                .entry(task.request.clone())
                .or_default() += 1;
            return AdmissionOutcome::Crash;
        }
        self.record.slots_exceeded += u64::from(self.record.in_hand >= self.settings.slots);
        self.in_hand.insert(task.attempt.clone(), expiry);
        self.count_in_hand();
        self.record.peak_in_hand = self.record.peak_in_hand.max(self.record.in_hand);
        let cancel = CancellationToken::new();
        self.attempts
            .insert(task.attempt.clone(), AttemptState::Running(cancel.clone()));
        if self.exceeds_cold_capacity() {
            return AdmissionOutcome::Collapse;
        }
        AdmissionOutcome::Run(self.plan(cancel))
    }

    fn plan(&mut self, cancel: CancellationToken) -> WorkPlan {
        let mut factor = self.random.random_range(0.5..1.5) * self.faults.slow_times;
        if self.draw(self.faults.straggle_one_in) {
            factor *= self.faults.straggle_times;
        }
        factor *= self.cold.as_ref().map_or(1.0, |cold| cold.settings.times);
        let damaged =
            self.faults.damage != DamageKind::None && self.draw(self.faults.damage_one_in);
        WorkPlan {
            service: Duration::from_micros(self.settings.service_us).mul_f64(factor),
            cancel,
            damage: if damaged {
                self.faults.damage
            } else {
                DamageKind::None
            },
            late: Duration::from_millis(self.faults.late_ms),
        }
    }

    /// Records how the work on an attempt ended; only the first call for an attempt counts.
    pub fn finish(&mut self, attempt: &str, end: WorkEnd) {
        if !matches!(self.attempts.get(attempt), Some(AttemptState::Running(_))) {
            return;
        }
        self.in_hand.remove(attempt);
        self.count_in_hand();
        let counter = match end {
            WorkEnd::Answered => &mut self.record.answered,
            WorkEnd::Cancelled => &mut self.record.cancelled,
            WorkEnd::Expired => &mut self.record.expired,
            WorkEnd::Lost => &mut self.record.lost,
        };
        *counter += 1;
        let state = if end == WorkEnd::Answered {
            AttemptState::Answered
        } else {
            AttemptState::Stopped
        };
        self.store_ended(attempt, state);
        if end == WorkEnd::Answered {
            self.warm_up();
        }
    }

    /// Cancels an attempt; `true` if its work has certainly stopped or will never start.
    pub fn cancel(&mut self, attempt: &str) -> bool {
        match self.attempts.get(attempt) {
            Some(AttemptState::Running(cancel)) => {
                cancel.cancel();
                // Finished before the reply is sent: the sender may reuse the slot immediately.
                self.finish(attempt, WorkEnd::Cancelled);
                true
            }
            // Answered work has stopped as well: its slot is free.
            Some(AttemptState::Stopped | AttemptState::Answered) => true,
            None => {
                self.store_ended(attempt, AttemptState::Stopped);
                true
            }
        }
    }

    /// Discards all running and queued work after a crash or collapse.
    pub fn discard_work(&mut self) {
        self.in_hand.clear();
        self.count_in_hand();
    }

    fn count_in_hand(&mut self) {
        let now = Instant::now();
        self.in_hand.retain(|_attempt, expiry| *expiry > now);
        self.record.in_hand = u32::try_from(self.in_hand.len()).unwrap_or(u32::MAX);
    }

    fn store_ended(&mut self, attempt: &str, state: AttemptState) {
        self.attempts.insert(attempt.to_owned(), state);
        self.ended.push_back(attempt.to_owned());
        if self.ended.len() > ENDED_ATTEMPTS_MAX
            && let Some(oldest) = self.ended.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }

    /// Makes the server cold.
    pub fn turn_cold(&mut self, settings: ColdSettings) {
        self.cold = Some(ColdState {
            settings,
            answered_count: 0,
        });
        self.record.cold_at_us = read_wall_us();
        self.record.warm_at_us = 0;
        self.record.sign_at_us = if settings.announced {
            self.record.cold_at_us
        } else {
            0
        };
        if settings.announced {
            self.state = ServerState::Cold;
        }
    }

    /// Starts a new incarnation after a crash, cold again if the faults contain a cold state.
    pub fn restart(&mut self) {
        self.incarnation = IncarnationNumber(self.incarnation.0 + 1);
        self.sequence = 0;
        self.attempts.clear();
        self.ended.clear();
        self.state = ServerState::Ready;
        self.cold = None;
        if let Some(cold) = self.faults.cold {
            self.turn_cold(cold);
        }
    }

    /// Returns the state for the next announcement and increments the sequence number.
    pub fn next_announcement(&mut self) -> AnnounceState {
        self.sequence += 1;
        AnnounceState {
            state: self.state,
            incarnation: self.incarnation,
            sequence: self.sequence,
            snapshots: self.snapshots.clone(),
            silent: self.has_left || self.faults.mute || self.faults.frozen,
        }
    }

    /// Records the first sign of a cold state that entries can observe: a slow, shed, expired or
    /// lost sub-request, or a crash.
    pub fn record_sign(&mut self) {
        if self.cold.is_some() && self.record.sign_at_us == 0 {
            self.record.sign_at_us = read_wall_us();
        }
    }

    /// Records a sign of the cold state if `service` is at least `COLD_SIGN_FACTOR` times the
    /// mean.
    pub fn record_service_time(&mut self, service: Duration) {
        let mean = Duration::from_micros(self.settings.service_us);
        if service >= mean.mul_f64(COLD_SIGN_FACTOR) {
            self.record_sign();
        }
    }

    /// Returns the downtime after the capacity of a cold server was exceeded; zero if the server is
    /// not cold.
    pub fn collapse_duration(&self) -> Duration {
        Duration::from_millis(
            self.cold
                .as_ref()
                .map_or(0, |cold| cold.settings.collapse_ms),
        )
    }

    fn has_snapshot(&self, task: &SubTask) -> bool {
        self.snapshots
            .iter()
            .any(|stored| stored.snapshot == task.snapshot && stored.shard == task.shard)
    }

    fn has_crash_marker(&self, task: &SubTask) -> bool {
        let marker = self.faults.crash_marker.as_bytes();
        !marker.is_empty()
            && task
                .body
                .windows(marker.len())
                .any(|window| window == marker)
    }

    fn draw(&mut self, one_in: u32) -> bool {
        one_in > 0 && self.random.random_range(0..one_in) == 0
    }

    /// Returns whether the server is cold and exceeds its capacity, and counts the collapse.
    fn exceeds_cold_capacity(&mut self) -> bool {
        let Some(cold) = &mut self.cold else {
            return false;
        };
        self.record.peak_cold = self.record.peak_cold.max(self.record.in_hand);
        if self.record.in_hand <= cold.settings.bears {
            return false;
        }
        let sign = self.record.sign_at_us;
        let after_sign = sign > 0 && read_wall_us() > sign + cold.settings.sign_grace_ms * 1_000;
        cold.answered_count = 0;
        self.record.cold_exceeded += 1;
        self.record.cold_exceeded_after_sign += u64::from(after_sign);
        self.record.collapses += 1;
        self.record.collapses_after_sign += u64::from(after_sign);
        true
    }

    /// Counts an answer towards the end of the cold state.
    fn warm_up(&mut self) {
        let Some(cold) = &mut self.cold else { return };
        cold.answered_count += 1;
        if cold.answered_count >= cold.settings.warm_after {
            self.cold = None;
            self.faults.cold = None;
            self.record.warm_at_us = read_wall_us();
            if self.state == ServerState::Cold {
                self.state = ServerState::Ready;
            }
        }
    }

    fn record_arrival(&mut self, task: &SubTask) {
        let at_us = read_wall_us();
        self.record.received += 1;
        if self.record.mark_us > 0 {
            self.record.after_mark += 1;
            self.record.last_after_mark_us = at_us.saturating_sub(self.record.mark_us);
        }
        if self.record.log.len() < self.settings.log_max {
            self.record.log.push(SubRecord {
                at_us,
                request: task.request.clone(),
                attempt: task.attempt.clone(),
                snapshot: task.snapshot,
                shard: task.shard,
            });
        }
    }
}

/// Reads the wall clock, in microseconds since the Unix epoch.
pub(crate) fn read_wall_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
