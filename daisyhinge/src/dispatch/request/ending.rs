//! Ends of attempts, by their outcome or because their request has finished.

use super::message::{AttemptEnd, RequestAction};
use super::{Dispatcher, RequestMachine};
use crate::dispatch::fleet::ReplicaOutcome;
use crate::prelude::*;

impl RequestMachine {
    pub(super) fn end_attempt(
        &mut self,
        now: MonotonicTime,
        attempt: u64,
        end: AttemptEnd,
        dispatcher: &mut Dispatcher,
    ) {
        let mut targets = self.targets.iter_mut().enumerate();
        let found = targets.find_map(|(index, target)| {
            let pending = target.remove_running(attempt)?;
            Some((index, pending))
        });
        let Some((index, pending)) = found else {
            return;
        };
        let took = now.since(pending.sent);
        if pending.superseded {
            dispatcher.count_superseded(pending.replica, attempt);
        } else {
            dispatcher.count_end(pending.replica, attempt, end, took);
        }
        self.record_crash_evidence(now, pending, end, dispatcher);
        dispatcher.finish_attempt(now, pending.replica, attempt, end.into());
        self.targets[index].record_end(now, pending, end);
        if end == AttemptEnd::Answered {
            dispatcher.record_latency(&self.plan.route, pending.replica, took);
        }
    }

    pub(super) fn cancel_all(
        &mut self,
        now: MonotonicTime,
        dispatcher: &mut Dispatcher,
        actions: &mut Vec<RequestAction>,
    ) {
        for target in &mut self.targets {
            let latest = target.attempt_records.last().map(|latest| latest.attempt);
            for pending in target.running.drain(..) {
                let attempt = pending.attempt;
                let outcome = ReplicaOutcome::Cancelled;
                let took = now.since(pending.sent);
                // Only attempts past their hedging delay are followed by another one. Slow connects
                // say nothing about a version.
                let is_late = now >= target.hedge_at || latest != Some(attempt);
                let is_late = is_late && pending.written && !pending.superseded;
                dispatcher.count_cancelled(attempt, is_late, took);
                dispatcher.finish_attempt(now, pending.replica, attempt, outcome);
                dispatcher.record_latency(&self.plan.route, pending.replica, took);
                actions.push(RequestAction::Cancel { attempt });
            }
        }
    }
}
