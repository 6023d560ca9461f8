//! Publishes changes of a replica's availability and concurrency limit to the other entries, and
//! records cold periods on the timeline.

use crate::keeper::ReplicaKeeper;
use crate::keeper::event::KeeperAction;
use crate::keeper::gate::KeeperGate;
use crate::prelude::*;
use crate::vocabulary::event::EventKind;
use crate::vocabulary::replica::ReplicaAvailability;

/// Replica state published last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PublishedState {
    pub(super) state: ReplicaAvailability,
    pub(super) limit: u32,
}

impl ReplicaKeeper {
    pub(super) fn publish_changes(
        &mut self,
        now: MonotonicTime,
        gate: &KeeperGate,
        actions: &mut Vec<KeeperAction>,
    ) {
        let former = self.published;
        let next = PublishedState {
            state: self.availability(now, gate),
            limit: self.slow_start.limit(),
        };
        if former == next {
            return;
        }
        self.published = next;
        let limit = u64::from(next.limit);
        let was_cold = former.state == ReplicaAvailability::Cold;
        if next.state == ReplicaAvailability::Cold && !was_cold {
            self.record_event(EventKind::ColdStarted, limit, actions);
        } else if next.state == ReplicaAvailability::Warm && was_cold {
            self.record_event(EventKind::ColdEnded, limit, actions);
        } else if former.limit != next.limit && former.limit > 0 {
            let kind = if next.limit > former.limit {
                EventKind::ColdRaised
            } else {
                EventKind::ColdCut
            };
            self.record_event(kind, limit, actions);
        }
        if next.state == ReplicaAvailability::Closed && self.is_expired(now) {
            self.record_event(EventKind::ReplicaLapsed, 0, actions);
        }
        actions.push(KeeperAction::Publish);
    }

    pub(super) fn availability(
        &self,
        now: MonotonicTime,
        gate: &KeeperGate,
    ) -> ReplicaAvailability {
        if self.refusal_reason(now, gate).is_some() {
            ReplicaAvailability::Closed
        } else if self.slow_start.is_cold() {
            ReplicaAvailability::Cold
        } else {
            ReplicaAvailability::Warm
        }
    }
}
