//! One replica as its only keeper sees it: slots, connections, cold state, crashes.

pub mod gate;
pub mod table;
pub mod ticket;

use std::sync::Arc;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::announcement::{ReplicaAnnouncement, ServerState};
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::replica::{KeeperLoad, ReplicaRecord, UseState};
use crate::vocabulary::subrequest::SubRefusal;
use gate::KeeperGate;
use ticket::{RunEnd, SubTicket};

/// How often a backend server is asked to repeat its announcement.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Announcements lapse after this long.
pub const ANNOUNCE_LAPSE: Duration = Duration::from_secs(3);

/// What happens to a keeper.
#[derive(Clone, Debug)]
pub enum KeeperEvent {
    /// The replica announced itself.
    Announced(ReplicaAnnouncement),
    /// The replica said that it leaves.
    Left(IncarnationNumber),
    /// A root entry asks for a dispatch.
    Asked(SubTicket),
    /// A dispatch that [`KeeperAction::Send`] began has ended.
    Ended {
        /// The dispatch.
        attempt: AttemptId,
        /// How it ended.
        end: RunEnd,
    },
    /// The root entry no longer wants the answer.
    Dropped(AttemptId),
    /// The backend server replied to a cancel.
    CancelEnded {
        /// The dispatch.
        attempt: AttemptId,
        /// Whether the work has certainly stopped.
        stopped: bool,
    },
    /// Time passed.
    Tick,
}

/// What a keeper wants done.
#[derive(Clone, Debug)]
pub enum KeeperAction {
    /// Send the sub-request to the backend server, once, after a last look at the lease.
    Send(AttemptId),
    /// Tell the root entry that there will be no answer.
    Refuse {
        /// The dispatch.
        attempt: AttemptId,
        /// Why.
        refusal: SubRefusal,
    },
    /// Ask the backend server to stop the work.
    SendCancel(AttemptId),
    /// The record that other entries hold is out of date.
    Publish,
    /// An event for the time line.
    Note(EventDraft),
}

/// Keeper of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaKeeper {
    announcement: ReplicaAnnouncement,
    heard: MonotonicTime,
    left: bool,
    running: Vec<SubTicket>,
}

impl ReplicaKeeper {
    /// A keeper for a replica that announced itself at `now`.
    pub fn new(announcement: ReplicaAnnouncement, now: MonotonicTime) -> Self {
        Self {
            announcement,
            heard: now,
            left: false,
            running: Vec::new(),
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
        match event {
            KeeperEvent::Announced(announcement) => {
                self.announcement = announcement;
                self.heard = now;
                self.left = false;
                actions.push(KeeperAction::Publish);
            }
            KeeperEvent::Left(incarnation) => {
                self.left |= incarnation >= self.announcement.incarnation;
                actions.push(KeeperAction::Publish);
            }
            KeeperEvent::Asked(ticket) => self.admit_ticket(now, ticket, gate, actions),
            KeeperEvent::Ended { attempt, .. } => self.free_slot(attempt),
            KeeperEvent::Dropped(attempt) => actions.push(KeeperAction::SendCancel(attempt)),
            KeeperEvent::CancelEnded { attempt, stopped } => {
                if stopped {
                    self.free_slot(attempt);
                }
            }
            KeeperEvent::Tick => self.running.retain(|ticket| now < ticket.expires),
        }
    }

    /// The replica as other entries should see it.
    pub fn record(&self, now: MonotonicTime, gate: &KeeperGate) -> ReplicaRecord {
        ReplicaRecord {
            replica: self.announcement.replica.clone(),
            service: self.announcement.service.clone(),
            data_centre: self.announcement.data_centre.clone(),
            incarnation: self.announcement.incarnation,
            state: if self.refuse_reason(now, gate).is_some() {
                UseState::Closed
            } else {
                UseState::Warm
            },
            slots: self.announcement.slots,
            snapshots: Arc::clone(&self.announcement.snapshots),
            load: self.load(),
        }
    }

    /// The last announcement.
    pub fn announcement(&self) -> &ReplicaAnnouncement {
        &self.announcement
    }

    /// Load as of now.
    pub fn load(&self) -> KeeperLoad {
        KeeperLoad {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: 0,
            limit: self.announcement.slots,
            service_us: 0,
        }
    }

    /// Whether announcements lapsed and nothing runs.
    pub fn is_idle(&self, now: MonotonicTime) -> bool {
        self.running.is_empty() && now.since(self.heard) > ANNOUNCE_LAPSE
    }

    /// When to step with [`KeeperEvent::Tick`] next.
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        self.running.iter().map(|ticket| ticket.expires).min()
    }

    fn admit_ticket(
        &mut self,
        now: MonotonicTime,
        ticket: SubTicket,
        gate: &KeeperGate,
        actions: &mut Vec<KeeperAction>,
    ) {
        let full = self.running.len() >= self.announcement.slots as usize;
        let reason = self
            .refuse_reason(now, gate)
            .or_else(|| full.then_some(ResultCode::SlotsBusy));
        if let Some(code) = reason {
            let refusal = SubRefusal {
                code,
                run: RunState::NotRun,
                retry_ms: 0,
                load: self.load(),
            };
            actions.push(KeeperAction::Refuse {
                attempt: ticket.attempt,
                refusal,
            });
            return;
        }
        self.running.push(ticket);
        assert!(
            self.running.len() <= self.announcement.slots as usize,
            "a replica got more than its slots"
        );
        actions.push(KeeperAction::Send(ticket.attempt));
    }

    fn refuse_reason(&self, now: MonotonicTime, gate: &KeeperGate) -> Option<ResultCode> {
        if let Some(code) = gate.refuse_reason(now) {
            return Some(code);
        }
        let closed = self.left
            || self.announcement.state == ServerState::Draining
            || now.since(self.heard) > ANNOUNCE_LAPSE;
        closed.then_some(ResultCode::ReplicaDraining)
    }

    fn free_slot(&mut self, attempt: AttemptId) {
        self.running.retain(|ticket| ticket.attempt != attempt);
    }
}
