//! Admission control: decides whether a sub-request starts, queues or is refused.

use crate::keeper::ReplicaKeeper;
use crate::keeper::event::KeeperAction;
use crate::keeper::gate::KeeperGate;
use crate::keeper::queue::QueuedSubRequest;
use crate::keeper::sub_request::SubRequestInfo;
use crate::prelude::*;
use crate::vocabulary::announcement::ServerState;
use crate::vocabulary::event::EventKind;

impl ReplicaKeeper {
    pub(super) fn admit(
        &mut self,
        now: MonotonicTime,
        queued: QueuedSubRequest,
        gate: &KeeperGate,
        actions: &mut Vec<KeeperAction>,
    ) {
        let info = queued.info;
        if self.slots.contains(info.attempt) || self.queue.contains(info.attempt) {
            // Duplicate: the first request is in progress and gets the reply.
            return;
        }
        if let Some(code) = self.rejection_code(now, &info, gate) {
            self.refuse(info.attempt, code, actions);
        } else if self.queue.is_empty() && self.can_start(queued.isolated) {
            self.start(now, queued, gate, actions);
        } else if let Some(code) = self.queue_rejection_code(now, &info) {
            if code == ResultCode::PowerCapReached {
                self.record_event(EventKind::PowerCapped, 0, actions);
            } else if !info.hedge {
                self.record_event(EventKind::QueueFull, u64::from(self.queue.len()), actions);
            }
            self.refuse(info.attempt, code, actions);
        } else {
            self.queue.push(queued);
        }
    }

    /// Final check before a sub-request is written: returns the reason to withhold it, if any.
    ///
    /// Since admission the lease may have ended, the replica may have left, or the limit may have
    /// been reduced.
    pub fn final_check(
        &self,
        now: MonotonicTime,
        expires: MonotonicTime,
        gate: &KeeperGate,
    ) -> Option<ResultCode> {
        let cold = self.slow_start.is_cold();
        if let Some(code) = self.refusal_reason(now, gate) {
            Some(code)
        } else if now >= expires {
            Some(ResultCode::SubRequestExpired)
        } else if !gate.allows_expiry(expires) {
            Some(ResultCode::NoLease)
        } else if cold && self.slots.occupied() > self.slow_start.limit() {
            Some(ResultCode::ServerCold)
        } else {
            None
        }
    }

    /// Returns the reason to refuse a sub-request whether or not there is capacity.
    fn rejection_code(
        &self,
        now: MonotonicTime,
        info: &SubRequestInfo,
        gate: &KeeperGate,
    ) -> Option<ResultCode> {
        let has_snapshot = |info: &SubRequestInfo| {
            let mut snapshots = self.announcement.snapshots.iter();
            snapshots.any(|announced| {
                announced.snapshot == info.snapshot && announced.shard == info.shard
            })
        };
        if let Some(code) = self.refusal_reason(now, gate) {
            Some(code)
        } else if now >= info.expires {
            Some(ResultCode::SubRequestExpired)
        } else if !gate.allows_expiry(info.expires) {
            Some(ResultCode::NoLease)
        } else if !has_snapshot(info) {
            Some(ResultCode::SnapshotNotHeld)
        } else if info.hedge && self.slow_start.is_cold() {
            Some(ResultCode::ServerCold)
        } else {
            None
        }
    }

    /// Returns the reason why a sub-request that cannot start may not queue either.
    fn queue_rejection_code(
        &self,
        now: MonotonicTime,
        info: &SubRequestInfo,
    ) -> Option<ResultCode> {
        if self.power_headroom == 0 {
            return Some(ResultCode::PowerCapReached);
        }
        let limit = self.slow_start.limit();
        let fits = self
            .queue
            .has_room(now, info.expires, limit, self.service_time());
        if !info.hedge && fits {
            None
        } else if self.slow_start.is_cold() {
            Some(ResultCode::ServerCold)
        } else {
            Some(ResultCode::SlotsBusy)
        }
    }

    fn can_start(&self, isolated: bool) -> bool {
        let occupied = self.slots.occupied();
        let connections = self.slots.connections();
        occupied < self.slow_start.limit()
            && connections < self.announcement.connections
            && self.power_headroom > 0
            && !self.slots.has_isolated()
            && !(isolated && occupied > 0)
    }

    /// Starts queued sub-requests in order while capacity allows.
    pub(super) fn start_queued(
        &mut self,
        now: MonotonicTime,
        gate: &KeeperGate,
        actions: &mut Vec<KeeperAction>,
    ) {
        while let Some(queued) = self.queue.front().copied() {
            if let Some(code) = self.rejection_code(now, &queued.info, gate) {
                self.queue.pop();
                self.refuse(queued.info.attempt, code, actions);
            } else if self.can_start(queued.isolated) {
                self.queue.pop();
                self.start(now, queued, gate, actions);
            } else {
                break;
            }
        }
    }

    fn start(
        &mut self,
        now: MonotonicTime,
        queued: QueuedSubRequest,
        gate: &KeeperGate,
        actions: &mut Vec<KeeperAction>,
    ) {
        let expires = queued.info.expires;
        assert!(
            gate.refusal_reason(now).is_none() && gate.allows_expiry(expires),
            "sub-request dispatched through a closed gate"
        );
        self.slots.occupy(now, queued.info, queued.isolated);
        self.power_headroom = self.power_headroom.saturating_sub(1);
        self.assert_within_limits();
        actions.push(KeeperAction::Send(queued.info.attempt));
    }

    fn assert_within_limits(&self) {
        let announcement = &self.announcement;
        let occupied = self.slots.occupied();
        assert!(
            occupied <= announcement.slots,
            "occupied slots exceed the announced slots"
        );
        assert!(
            occupied <= self.slow_start.limit(),
            "occupied slots exceed the concurrency limit"
        );
        assert!(
            self.slots.connections() <= announcement.connections,
            "open connections exceed the announced maximum"
        );
        let cold = announcement.state == ServerState::Cold && announcement.cold_allowance > 0;
        assert!(
            !cold || occupied <= announcement.cold_allowance,
            "occupied slots exceed the cold allowance"
        );
    }
}
