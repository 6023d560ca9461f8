//! Whether a sub-request starts, waits or is refused.

use crate::keeper::ReplicaKeeper;
use crate::keeper::event::KeeperAction;
use crate::keeper::gate::KeeperGate;
use crate::keeper::queue::QueueRow;
use crate::keeper::ticket::SubTicket;
use crate::prelude::*;
use crate::vocabulary::announcement::ServerState;
use crate::vocabulary::event::EventKind;

impl ReplicaKeeper {
    pub(super) fn admit(
        &mut self,
        now: MonotonicTime,
        row: QueueRow,
        gate: &KeeperGate,
        actions: &mut Vec<KeeperAction>,
    ) {
        let ticket = row.ticket;
        if self.slots.contains(ticket.attempt) || self.queue.contains(ticket.attempt) {
            // The first one is under way and brings the reply.
            return;
        }
        if let Some(code) = self.refuse_ticket(now, &ticket, gate) {
            self.refuse(ticket.attempt, code, actions);
        } else if self.queue.is_empty() && self.can_start(row.alone) {
            self.start(now, row, gate, actions);
        } else if let Some(code) = self.refuse_wait(now, &ticket) {
            if code == ResultCode::PowerCapReached {
                self.note(EventKind::PowerCapped, 0, actions);
            } else if !ticket.hedge {
                self.note(EventKind::QueueFull, u64::from(self.queue.len()), actions);
            }
            self.refuse(ticket.attempt, code, actions);
        } else {
            self.queue.push(row);
        }
    }

    /// Why a sub-request that was to be sent must not be written after all: since then the lease
    /// may have ended, the replica may have left, or fewer may run at a time.
    pub fn last_look(
        &self,
        now: MonotonicTime,
        expires: MonotonicTime,
        gate: &KeeperGate,
    ) -> Option<ResultCode> {
        let cold = self.ramp.is_cold();
        if let Some(code) = self.refuse_reason(now, gate) {
            Some(code)
        } else if now >= expires {
            Some(ResultCode::SubRequestExpired)
        } else if !gate.covers(expires) {
            Some(ResultCode::NoLease)
        } else if cold && self.slots.occupied() > self.ramp.limit() {
            Some(ResultCode::ServerCold)
        } else {
            None
        }
    }

    /// Why a sub-request is not taken at all.
    fn refuse_ticket(
        &self,
        now: MonotonicTime,
        ticket: &SubTicket,
        gate: &KeeperGate,
    ) -> Option<ResultCode> {
        let held = |ticket: &SubTicket| {
            let mut snapshots = self.announcement.snapshots.iter();
            snapshots.any(|held| held.snapshot == ticket.snapshot && held.shard == ticket.shard)
        };
        if let Some(code) = self.refuse_reason(now, gate) {
            Some(code)
        } else if now >= ticket.expires {
            Some(ResultCode::SubRequestExpired)
        } else if !gate.covers(ticket.expires) {
            Some(ResultCode::NoLease)
        } else if !held(ticket) {
            Some(ResultCode::SnapshotNotHeld)
        } else if ticket.hedge && self.ramp.is_cold() {
            Some(ResultCode::ServerCold)
        } else {
            None
        }
    }

    /// Why a sub-request that cannot start may not wait either.
    fn refuse_wait(&self, now: MonotonicTime, ticket: &SubTicket) -> Option<ResultCode> {
        if self.power_room == 0 {
            return Some(ResultCode::PowerCapReached);
        }
        let limit = self.ramp.limit();
        let room = self
            .queue
            .has_room(now, ticket.expires, limit, self.service());
        if !ticket.hedge && room {
            None
        } else if self.ramp.is_cold() {
            Some(ResultCode::ServerCold)
        } else {
            Some(ResultCode::SlotsBusy)
        }
    }

    fn can_start(&self, alone: bool) -> bool {
        let occupied = self.slots.occupied();
        let connections = self.slots.connections();
        occupied < self.ramp.limit()
            && connections < self.announcement.connections
            && self.power_room > 0
            && !self.slots.runs_alone()
            && !(alone && occupied > 0)
    }

    /// Starts what waits, as far as it can start.
    pub(super) fn start_waiting(
        &mut self,
        now: MonotonicTime,
        gate: &KeeperGate,
        actions: &mut Vec<KeeperAction>,
    ) {
        while let Some(row) = self.queue.front().copied() {
            if let Some(code) = self.refuse_ticket(now, &row.ticket, gate) {
                self.queue.pop();
                self.refuse(row.ticket.attempt, code, actions);
            } else if self.can_start(row.alone) {
                self.queue.pop();
                self.start(now, row, gate, actions);
            } else {
                break;
            }
        }
    }

    fn start(
        &mut self,
        now: MonotonicTime,
        row: QueueRow,
        gate: &KeeperGate,
        actions: &mut Vec<KeeperAction>,
    ) {
        let expires = row.ticket.expires;
        assert!(
            gate.refuse_reason(now).is_none() && gate.covers(expires),
            "a dispatch passed a closed gate"
        );
        self.slots.occupy(now, row.ticket, row.alone);
        self.power_room = self.power_room.saturating_sub(1);
        self.check_start();
        actions.push(KeeperAction::Send(row.ticket.attempt));
    }

    fn check_start(&self) {
        let told = &self.announcement;
        let occupied = self.slots.occupied();
        assert!(occupied <= told.slots, "a replica got more than its slots");
        assert!(
            occupied <= self.ramp.limit(),
            "a replica got more than its limit"
        );
        assert!(
            self.slots.connections() <= told.connections,
            "a replica got more connections than it takes"
        );
        let cold = told.state == ServerState::Cold && told.cold_allowance > 0;
        assert!(
            !cold || occupied <= told.cold_allowance,
            "a cold backend server got more than it bears"
        );
    }
}
