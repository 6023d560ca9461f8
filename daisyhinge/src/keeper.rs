//! Keeper of a replica: admission control, connection limits, slow start and crash attribution.
//!
//! [`ReplicaKeeper`] is the state machine of one replica; [`keeper_set::KeeperSet`] owns the state
//! machines of all replicas of one entry and is driven by the shell.

mod admission;
pub mod check;
pub mod crash_detection;
pub mod event;
pub mod gate;
pub mod keeper_set;
pub mod partition;
pub mod power;
mod publish;
pub mod queue;
pub mod slots;
pub mod slow_start;
pub mod sub_request;
pub mod table;
pub mod view_history;

use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::announcement::{ReplicaAnnouncement, ServerState};
use crate::vocabulary::clock::{duration_to_micros, duration_to_millis};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::replica::{KeeperLoad, ReplicaAvailability, ReplicaRecord};
use crate::vocabulary::subrequest::SubRefusal;
use crash_detection::{CrashUpdate, PendingCrash};
pub use event::{KeeperAction, KeeperEvent};
use gate::KeeperGate;
use publish::PublishedState;
use queue::{AdmissionQueue, QueuedSubRequest};
use slots::{AttributedRuns, EndedSlot, SlotTable};
use slow_start::SlowStart;
use sub_request::DispatchOutcome;

/// Interval at which a backend server repeats its announcement.
pub const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an announcement that is not repeated expires.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);

/// Time for which a replica that left stays on record, so that a late announcement is ignored.
pub const LEFT_RETENTION: Duration = Duration::from_mins(1);

/// Service time assumed until one was measured.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(5);

/// State machine that owns the connections, slots, queue and crash records of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaKeeper {
    announcement: ReplicaAnnouncement,
    last_announced: MonotonicTime,
    has_left: bool,
    slots: SlotTable,
    queue: AdmissionQueue,
    slow_start: SlowStart,
    crash: Option<PendingCrash>,
    crash_updates: Vec<CrashUpdate>,
    power_headroom: u32,
    published: PublishedState,
}

impl ReplicaKeeper {
    /// Creates the keeper of a replica whose announcement arrived at `now`.
    pub fn new(announcement: ReplicaAnnouncement, now: MonotonicTime) -> Self {
        let slow_start = SlowStart::new(now, &announcement);
        Self {
            announcement,
            last_announced: now,
            has_left: false,
            slots: SlotTable::default(),
            queue: AdmissionQueue::default(),
            slow_start,
            crash: None,
            crash_updates: Vec::new(),
            power_headroom: u32::MAX,
            published: PublishedState {
                state: ReplicaAvailability::Closed,
                limit: 0,
            },
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        event: KeeperEvent,
        gate: &KeeperGate,
        actions: &mut Vec<KeeperAction>,
    ) {
        self.crash_updates.clear();
        self.slots.free_expired(now);
        self.slow_start.tick(now);
        match event {
            KeeperEvent::Announced(announcement) => {
                self.handle_announcement(now, announcement, actions);
            }
            KeeperEvent::Left(incarnation) => self.handle_leave(incarnation, actions),
            KeeperEvent::Requested(info) => {
                let queued = QueuedSubRequest {
                    info,
                    isolated: false,
                };
                self.admit(now, queued, gate, actions);
            }
            KeeperEvent::RequestedIsolated(info) => {
                let queued = QueuedSubRequest {
                    info,
                    isolated: true,
                };
                self.admit(now, queued, gate, actions);
            }
            KeeperEvent::Written(attempt) => self.slots.mark_written(now, attempt),
            KeeperEvent::Ended { attempt, end } => self.handle_end(now, attempt, end, actions),
            KeeperEvent::Dropped(attempt) => self.drop_attempt(attempt, actions),
            KeeperEvent::CancelEnded { attempt, stopped } => {
                self.slots.end_cancel(attempt, stopped);
            }
            KeeperEvent::Tick => {}
        }
        self.advance(now, gate, actions);
    }

    /// Returns the record of the replica that is published to other entries.
    pub fn record(&self, now: MonotonicTime, gate: &KeeperGate) -> ReplicaRecord {
        ReplicaRecord {
            replica: self.announcement.replica.clone(),
            service: self.announcement.service.clone(),
            data_centre: self.announcement.data_centre.clone(),
            incarnation: self.announcement.incarnation,
            state: self.availability(now, gate),
            slots: self.announcement.slots,
            snapshots: Arc::clone(&self.announcement.snapshots),
            load: self.load(),
        }
    }

    /// Returns whether an attempt runs in isolation because its request is suspected of a crash.
    pub fn ran_isolated(&self, attempt: AttemptId) -> bool {
        self.slots.ran_isolated(attempt)
    }

    /// Returns the latest announcement.
    pub fn announcement(&self) -> &ReplicaAnnouncement {
        &self.announcement
    }

    /// Returns the current load.
    pub fn load(&self) -> KeeperLoad {
        KeeperLoad {
            running: self.slots.occupied(),
            queued: self.queue.len(),
            limit: self.slow_start.limit(),
            service_us: u32::try_from(duration_to_micros(self.slow_start.service_time()))
                .unwrap_or(u32::MAX),
        }
    }

    /// Returns the limit of open connections, idle ones included: the number that can be in use at
    /// a time plus one for a cancel, and never above the announced maximum.
    pub fn connections_max(&self) -> u32 {
        let needed = self.slots.connections().max(self.slow_start.limit() + 1);
        needed.min(self.announcement.connections)
    }

    /// Takes the crash updates of the last step, for [`crate::crash::CrashTracker`].
    pub fn take_crash_updates(&mut self) -> Vec<CrashUpdate> {
        std::mem::take(&mut self.crash_updates)
    }

    /// Sets how many more sub-requests the power cap allows; each dispatch decrements the number.
    pub fn set_power_headroom(&mut self, headroom: u32) {
        self.power_headroom = headroom;
    }

    /// Returns whether the replica's record can be removed: it is idle and no longer announced.
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        let retained = self.has_left && now.since(self.last_announced) <= LEFT_RETENTION;
        self.slots.occupied() == 0 && self.is_expired(now) && !retained
    }

    /// Returns the time of the next [`KeeperEvent::Tick`].
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        let times = [
            self.slots.next_free(),
            self.queue.next_expiry(),
            self.slow_start.next_raise(),
            self.crash.as_ref().map(PendingCrash::confirm_at),
            Some(self.last_announced + ANNOUNCEMENT_TTL + Duration::from_micros(1)),
        ];
        times.into_iter().flatten().min()
    }

    fn handle_announcement(
        &mut self,
        now: MonotonicTime,
        next: ReplicaAnnouncement,
        actions: &mut Vec<KeeperAction>,
    ) {
        let former = &self.announcement;
        if (next.incarnation, next.sequence) <= (former.incarnation, former.sequence) {
            return;
        }
        let restarted = next.incarnation > former.incarnation;
        let changed = ReplicaAnnouncement {
            sequence: next.sequence,
            ..former.clone()
        } != next;
        if self.is_expired(now) {
            self.slow_start.record_failure(now);
        }
        self.last_announced = now;
        self.announcement = next;
        self.slow_start.announce(now, &self.announcement);
        if restarted {
            self.has_left = false;
            self.handle_restart(now, actions);
        } else {
            let update = self.crash.as_mut().and_then(|crash| crash.mark_alive(now));
            self.crash_updates.extend(update);
        }
        if changed {
            self.record_event(EventKind::ReplicaAnnounced, 0, actions);
            actions.push(KeeperAction::Publish);
        }
    }

    /// Handles a new incarnation: a crash ended all runs that had an open connection. Their slots
    /// stay occupied until cancels free them, since a sub-request may have reached the new process.
    fn handle_restart(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        self.attribute_crash(now, actions);
        self.slow_start.record_failure(now);
        self.slots.retry_unconfirmed_cancels();
    }

    /// Attributes a crash that certainly occurred to every run that may have caused it.
    fn attribute_crash(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        let AttributedRuns { mut digests, probe } = self.slots.attribute_to_runs(now, None);
        if let Some(crash) = &self.crash
            && !probe
        {
            // Suspects of the pending crash are not counted again, unless a probe caused a new one.
            digests.retain(|digest| !crash.suspects().contains(digest));
        }
        self.confirm_crash(actions);
        self.suspect_crash(now, digests, probe);
        self.confirm_crash(actions);
    }

    fn handle_leave(&mut self, incarnation: IncarnationNumber, actions: &mut Vec<KeeperAction>) {
        if incarnation >= self.announcement.incarnation && !self.has_left {
            self.has_left = true;
            self.record_event(EventKind::ReplicaLeft, 0, actions);
        }
    }

    fn handle_end(
        &mut self,
        now: MonotonicTime,
        attempt: AttemptId,
        end: DispatchOutcome,
        actions: &mut Vec<KeeperAction>,
    ) {
        let Some(slot) = self.slots.end(attempt, end) else {
            return;
        };
        match end {
            DispatchOutcome::Answered { took } => self.record_answer(now, slot, took),
            DispatchOutcome::Shed { .. } => self.slow_start.record_failure(now),
            DispatchOutcome::Failed => self.slow_start.record_server_error(now),
            DispatchOutcome::ConnectFailed => {
                self.slow_start.record_failure(now);
                if self.slots.has_no_connection() {
                    self.attribute_crash(now, actions);
                }
                self.confirm_crash(actions);
            }
            DispatchOutcome::Reset => {
                let attributed = self.slots.attribute_to_runs(now, Some(slot));
                self.suspect_crash(now, attributed.digests, attributed.probe);
                self.slow_start.record_failure(now);
            }
            DispatchOutcome::NotSent
            | DispatchOutcome::NotHeld
            | DispatchOutcome::BadAnswer(_)
            | DispatchOutcome::Expired => {}
        }
    }

    fn record_answer(&mut self, now: MonotonicTime, slot: EndedSlot, took: Duration) {
        self.slow_start.record_answer(now, took);
        if slot.isolated || slot.attributed {
            let update = CrashUpdate::Answered(slot.info.digest);
            self.crash_updates.push(update);
        }
    }

    fn suspect_crash(&mut self, now: MonotonicTime, digests: Vec<RequestDigest>, probe: bool) {
        if !digests.is_empty() {
            // Requests that were abandoned before the probe started may be listed beside it.
            let probe = probe && digests.len() == 1;
            self.crash = Some(PendingCrash::new(now, digests.clone(), probe));
            self.crash_updates
                .push(CrashUpdate::Suspected { digests, probe });
        }
    }

    fn confirm_crash(&mut self, actions: &mut Vec<KeeperAction>) {
        if let Some(crash) = self.crash.take() {
            self.record_event(EventKind::CrashRecorded, 0, actions);
            self.crash_updates.extend(crash.confirm());
        }
    }

    fn drop_attempt(&mut self, attempt: AttemptId, actions: &mut Vec<KeeperAction>) {
        if self.queue.remove(attempt).is_some() {
            self.refuse(attempt, ResultCode::Cancelled, actions);
        } else {
            self.slots.request_cancel(attempt);
        }
    }

    fn refusal_reason(&self, now: MonotonicTime, gate: &KeeperGate) -> Option<ResultCode> {
        if let Some(code) = gate.refusal_reason(now) {
            return Some(code);
        }
        let closed = self.has_left
            || self.announcement.state == ServerState::Draining
            || self.is_expired(now);
        closed.then_some(ResultCode::ReplicaDraining)
    }

    fn is_expired(&self, now: MonotonicTime) -> bool {
        now.since(self.last_announced) > ANNOUNCEMENT_TTL
    }

    /// Confirms crashes, refuses expired requests, starts queued ones and publishes changes.
    fn advance(&mut self, now: MonotonicTime, gate: &KeeperGate, actions: &mut Vec<KeeperAction>) {
        if self
            .crash
            .as_ref()
            .is_some_and(|crash| now >= crash.confirm_at())
        {
            if self.crash.as_ref().is_some_and(PendingCrash::is_refuted) {
                self.crash = None;
            } else {
                self.confirm_crash(actions);
            }
        }
        while let Some(queued) = self.queue.pop_expired(now) {
            self.refuse(queued.info.attempt, ResultCode::SubRequestExpired, actions);
        }
        self.start_queued(now, gate, actions);
        while let Some(attempt) = self.slots.start_cancel(self.announcement.connections) {
            actions.push(KeeperAction::SendCancel(attempt));
        }
        self.publish_changes(now, gate, actions);
    }

    fn service_time(&self) -> Duration {
        match self.slow_start.service_time() {
            Duration::ZERO => DEFAULT_SERVICE_TIME,
            service_time => service_time,
        }
    }

    fn refuse(&self, attempt: AttemptId, code: ResultCode, actions: &mut Vec<KeeperAction>) {
        let waits = matches!(
            code,
            ResultCode::SlotsBusy | ResultCode::ServerCold | ResultCode::PowerCapReached
        );
        let wait = self
            .queue
            .wait_estimate(self.slow_start.limit(), self.service_time());
        let refusal = SubRefusal {
            code,
            run: RunState::NotRun,
            retry_ms: if waits {
                duration_to_millis(wait).max(1)
            } else {
                0
            },
            load: self.load(),
        };
        actions.push(KeeperAction::Refuse { attempt, refusal });
    }

    fn record_event(&self, kind: EventKind, value: u64, actions: &mut Vec<KeeperAction>) {
        let draft = EventDraft::new(kind)
            .with_replica(&self.announcement.replica)
            .with_value(value);
        actions.push(KeeperAction::RecordEvent(draft));
    }
}
