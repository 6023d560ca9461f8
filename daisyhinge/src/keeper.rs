//! One replica as its only keeper sees it: slots, connections, cold state, crashes.
//!
//! [`ReplicaKeeper`] decides for one replica; [`roster::KeeperRoster`] owns all that one entry
//! keeps and is what the shell drives.

mod admission;
pub mod check;
pub mod crash;
pub mod event;
pub mod gate;
pub mod history;
pub mod partition;
pub mod power;
mod publish;
pub mod queue;
pub mod ramp;
pub mod roster;
pub mod slots;
pub mod table;
pub mod ticket;
pub mod watch;

use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::announcement::{ReplicaAnnouncement, ServerState};
use crate::vocabulary::clock::{span_to_micros, span_to_millis};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::replica::{KeeperLoad, ReplicaRecord, UseState};
use crate::vocabulary::subrequest::SubRefusal;
pub use event::{KeeperAction, KeeperEvent};
use gate::KeeperGate;
use publish::PublishedState;
use queue::{QueueRow, TicketQueue};
use ramp::ColdRamp;
use slots::{BlamedRuns, EndedSlot, SlotTable};
use ticket::RunEnd;
use watch::{CrashNote, CrashWatch};

/// How often a backend server is asked to repeat its announcement.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Announcements lapse after this long.
pub const ANNOUNCE_LAPSE: Duration = Duration::from_secs(3);

/// A replica that left is remembered this long, so that a late announcement does not bring it back.
pub const LEFT_KEEP: Duration = Duration::from_mins(1);

/// Service time taken where none was measured yet.
const SERVICE_GUESS: Duration = Duration::from_millis(5);

/// Keeper of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaKeeper {
    announcement: ReplicaAnnouncement,
    heard: MonotonicTime,
    left: bool,
    slots: SlotTable,
    queue: TicketQueue,
    ramp: ColdRamp,
    watch: Option<CrashWatch>,
    crash_notes: Vec<CrashNote>,
    power_room: u32,
    published: PublishedState,
}

impl ReplicaKeeper {
    /// A keeper for a replica that announced itself at `now`.
    pub fn new(announcement: ReplicaAnnouncement, now: MonotonicTime) -> Self {
        let ramp = ColdRamp::new(now, &announcement);
        Self {
            announcement,
            heard: now,
            left: false,
            slots: SlotTable::default(),
            queue: TicketQueue::default(),
            ramp,
            watch: None,
            crash_notes: Vec::new(),
            power_room: u32::MAX,
            published: PublishedState {
                state: UseState::Closed,
                limit: 0,
            },
        }
    }

    /// Takes in one event and says what is to be done.
    pub fn step(
        &mut self,
        now: MonotonicTime,
        event: KeeperEvent,
        gate: &KeeperGate,
        actions: &mut Vec<KeeperAction>,
    ) {
        self.crash_notes.clear();
        self.slots.free_expired(now);
        self.ramp.tick(now);
        match event {
            KeeperEvent::Announced(announcement) => {
                self.take_announcement(now, announcement, actions);
            }
            KeeperEvent::Left(incarnation) => self.take_leave(incarnation, actions),
            KeeperEvent::Asked(ticket) => {
                let row = QueueRow {
                    ticket,
                    alone: false,
                };
                self.admit(now, row, gate, actions);
            }
            KeeperEvent::AskedAlone(ticket) => {
                let row = QueueRow {
                    ticket,
                    alone: true,
                };
                self.admit(now, row, gate, actions);
            }
            KeeperEvent::Written(attempt) => self.slots.mark_written(now, attempt),
            KeeperEvent::Ended { attempt, end } => self.take_end(now, attempt, end, actions),
            KeeperEvent::Dropped(attempt) => self.drop_attempt(attempt, actions),
            KeeperEvent::CancelEnded { attempt, stopped } => {
                self.slots.end_cancel(attempt, stopped);
            }
            KeeperEvent::Tick => {}
        }
        self.settle(now, gate, actions);
    }

    /// The replica as other entries should see it.
    pub fn record(&self, now: MonotonicTime, gate: &KeeperGate) -> ReplicaRecord {
        ReplicaRecord {
            replica: self.announcement.replica.clone(),
            service: self.announcement.service.clone(),
            data_centre: self.announcement.data_centre.clone(),
            incarnation: self.announcement.incarnation,
            state: self.use_state(now, gate),
            slots: self.announcement.slots,
            snapshots: Arc::clone(&self.announcement.snapshots),
            load: self.load(),
        }
    }

    /// Whether an attempt runs alone, since its request is suspect.
    pub fn ran_alone(&self, attempt: AttemptId) -> bool {
        self.slots.ran_alone(attempt)
    }

    /// The last announcement.
    pub fn announcement(&self) -> &ReplicaAnnouncement {
        &self.announcement
    }

    /// Load as of now.
    pub fn load(&self) -> KeeperLoad {
        KeeperLoad {
            running: self.slots.occupied(),
            queued: self.queue.len(),
            limit: self.ramp.limit(),
            service_us: u32::try_from(span_to_micros(self.ramp.service())).unwrap_or(u32::MAX),
        }
    }

    /// Connections that the shell may hold open to the backend server now, idle ones included: no
    /// more than announced, and no more than may be used at a time with one left for a cancel.
    pub fn connections_max(&self) -> u32 {
        let needed = self.slots.connections().max(self.ramp.limit() + 1);
        needed.min(self.announcement.connections)
    }

    /// Takes what the last step learned about crashes, for [`crash::CrashBook`].
    pub fn take_crash_notes(&mut self) -> Vec<CrashNote> {
        std::mem::take(&mut self.crash_notes)
    }

    /// Sets how many sub-requests the power cap leaves room for; counts down with each dispatch.
    pub fn set_power_room(&mut self, room: u32) {
        self.power_room = room;
    }

    /// Whether announcements lapsed, nothing runs, and the replica need not be remembered.
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        let remembered = self.left && now.since(self.heard) <= LEFT_KEEP;
        self.slots.occupied() == 0 && self.is_lapsed(now) && !remembered
    }

    /// When to step with [`KeeperEvent::Tick`] next.
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        let times = [
            self.slots.next_free(),
            self.queue.next_expiry(),
            self.ramp.next_raise(),
            self.watch.as_ref().map(CrashWatch::ends),
            Some(self.heard + ANNOUNCE_LAPSE + Duration::from_micros(1)),
        ];
        times.into_iter().flatten().min()
    }

    fn take_announcement(
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
        if self.is_lapsed(now) {
            self.ramp.take_bad_sign(now);
        }
        self.heard = now;
        self.announcement = next;
        self.ramp.announce(now, &self.announcement);
        if restarted {
            self.left = false;
            self.take_restart(now, actions);
        } else {
            let note = self
                .watch
                .as_mut()
                .and_then(|watch| watch.take_announcement(now));
            self.crash_notes.extend(note);
        }
        if changed {
            self.note(EventKind::ReplicaAnnounced, 0, actions);
            actions.push(KeeperAction::Publish);
        }
    }

    /// A new incarnation: whatever was under way on a connection was cut by a crash. Its slots
    /// stay occupied, for a sub-request may have reached the new process; cancels clear that up.
    fn take_restart(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        self.blame_crash(now, actions);
        self.ramp.take_bad_sign(now);
        self.slots.renew_cancels();
    }

    /// Lays a crash that is certain to all that may have caused it.
    fn blame_crash(&mut self, now: MonotonicTime, actions: &mut Vec<KeeperAction>) {
        let BlamedRuns { mut digests, alone } = self.slots.blame_all(now, None);
        if let Some(watch) = &self.watch
            && !alone
        {
            // The crash under watch is this one; a suspect that ran alone since made another.
            digests.retain(|digest| !watch.suspects().contains(digest));
        }
        self.confirm_crash(actions);
        self.suspect(now, digests, alone);
        self.confirm_crash(actions);
    }

    fn take_leave(&mut self, incarnation: IncarnationNumber, actions: &mut Vec<KeeperAction>) {
        if incarnation >= self.announcement.incarnation && !self.left {
            self.left = true;
            self.note(EventKind::ReplicaLeft, 0, actions);
        }
    }

    fn take_end(
        &mut self,
        now: MonotonicTime,
        attempt: AttemptId,
        end: RunEnd,
        actions: &mut Vec<KeeperAction>,
    ) {
        let Some(slot) = self.slots.end(attempt, end) else {
            return;
        };
        match end {
            RunEnd::Answered { took } => self.take_answer(now, slot, took),
            RunEnd::Shed { .. } => self.ramp.take_bad_sign(now),
            RunEnd::Failed => self.ramp.take_error(now),
            RunEnd::ConnectFailed => {
                self.ramp.take_bad_sign(now);
                if self.slots.is_cut_off() {
                    self.blame_crash(now, actions);
                }
                self.confirm_crash(actions);
            }
            RunEnd::Reset => {
                let blamed = self.slots.blame_all(now, Some(slot));
                self.suspect(now, blamed.digests, blamed.alone);
                self.ramp.take_bad_sign(now);
            }
            RunEnd::NotSent | RunEnd::NotHeld | RunEnd::BadAnswer(_) | RunEnd::Expired => {}
        }
    }

    fn take_answer(&mut self, now: MonotonicTime, slot: EndedSlot, took: Duration) {
        self.ramp.take_answer(now, took);
        if slot.alone || slot.blamed {
            let note = CrashNote::Answered(slot.ticket.digest);
            self.crash_notes.push(note);
        }
    }

    fn suspect(&mut self, now: MonotonicTime, digests: Vec<RequestDigest>, probe: bool) {
        if !digests.is_empty() {
            // What was given up before a probe began may stand beside it on the list.
            let probe = probe && digests.len() == 1;
            self.watch = Some(CrashWatch::new(now, digests.clone(), probe));
            self.crash_notes
                .push(CrashNote::Suspected { digests, probe });
        }
    }

    fn confirm_crash(&mut self, actions: &mut Vec<KeeperAction>) {
        if let Some(watch) = self.watch.take() {
            self.note(EventKind::CrashRecorded, 0, actions);
            self.crash_notes.extend(watch.confirm());
        }
    }

    fn drop_attempt(&mut self, attempt: AttemptId, actions: &mut Vec<KeeperAction>) {
        if self.queue.remove(attempt).is_some() {
            self.refuse(attempt, ResultCode::Cancelled, actions);
        } else {
            self.slots.want_cancel(attempt);
        }
    }

    fn refuse_reason(&self, now: MonotonicTime, gate: &KeeperGate) -> Option<ResultCode> {
        if let Some(code) = gate.refuse_reason(now) {
            return Some(code);
        }
        let closed =
            self.left || self.announcement.state == ServerState::Draining || self.is_lapsed(now);
        closed.then_some(ResultCode::ReplicaDraining)
    }

    fn is_lapsed(&self, now: MonotonicTime) -> bool {
        now.since(self.heard) > ANNOUNCE_LAPSE
    }

    /// Does what the event made possible: answers what is of no use, starts what can start.
    fn settle(&mut self, now: MonotonicTime, gate: &KeeperGate, actions: &mut Vec<KeeperAction>) {
        if self.watch.as_ref().is_some_and(|watch| now >= watch.ends()) {
            if self.watch.as_ref().is_some_and(CrashWatch::is_refuted) {
                self.watch = None;
            } else {
                self.confirm_crash(actions);
            }
        }
        while let Some(row) = self.queue.pop_expired(now) {
            self.refuse(row.ticket.attempt, ResultCode::SubRequestExpired, actions);
        }
        self.start_waiting(now, gate, actions);
        while let Some(attempt) = self.slots.start_cancel(self.announcement.connections) {
            actions.push(KeeperAction::SendCancel(attempt));
        }
        self.publish_changes(now, gate, actions);
    }

    fn service(&self) -> Duration {
        match self.ramp.service() {
            Duration::ZERO => SERVICE_GUESS,
            service => service,
        }
    }

    fn refuse(&self, attempt: AttemptId, code: ResultCode, actions: &mut Vec<KeeperAction>) {
        let waits = matches!(
            code,
            ResultCode::SlotsBusy | ResultCode::ServerCold | ResultCode::PowerCapReached
        );
        let wait = self.queue.wait_span(self.ramp.limit(), self.service());
        let refusal = SubRefusal {
            code,
            run: RunState::NotRun,
            retry_ms: if waits {
                span_to_millis(wait).max(1)
            } else {
                0
            },
            load: self.load(),
        };
        actions.push(KeeperAction::Refuse { attempt, refusal });
    }

    fn note(&self, kind: EventKind, value: u64, actions: &mut Vec<KeeperAction>) {
        let draft = EventDraft::new(kind)
            .with_replica(&self.announcement.replica)
            .with_value(value);
        actions.push(KeeperAction::Note(draft));
    }
}
