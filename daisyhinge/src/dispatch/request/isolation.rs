//! Handling of requests that are suspected or known to crash replicas.

use super::target::TargetState;
use super::{RETRY_INTERVAL, RequestMachine};
use crate::crash::PoisonStatus;
use crate::dispatch::Dispatcher;
use crate::dispatch::crash::EndedAttempt;
use crate::dispatch::request::AttemptEnd;
use crate::dispatch::request::target::RunningAttempt;
use crate::prelude::*;

impl RequestMachine {
    /// Returns whether no attempt may be sent to a target now: a poisoned request is not sent any
    /// more, and a suspect runs at one replica at a time, so that a crash has one cause only.
    pub(super) fn is_held_back(
        &mut self,
        now: MonotonicTime,
        index: usize,
        dispatcher: &Dispatcher,
    ) -> bool {
        match dispatcher.crashes.poison_status(now, self.plan.digest) {
            PoisonStatus::Clear => false,
            PoisonStatus::Suspect => {
                let runs = self.targets.iter().any(TargetState::is_waiting);
                if runs {
                    self.targets[index].due = Some(now + RETRY_INTERVAL);
                }
                runs
            }
            PoisonStatus::Poisoned => {
                self.close_as_poisoned(now, index, dispatcher);
                true
            }
        }
    }

    /// Gives up all targets of a request that is poisoned when it arrives.
    pub(super) fn close_if_poisoned(&mut self, now: MonotonicTime, dispatcher: &Dispatcher) {
        let status = dispatcher.crashes.poison_status(now, self.plan.digest);
        if status == PoisonStatus::Poisoned {
            (0..self.targets.len())
                .for_each(|index| self.close_as_poisoned(now, index, dispatcher));
        }
    }

    fn close_as_poisoned(&mut self, now: MonotonicTime, index: usize, dispatcher: &Dispatcher) {
        let target = &mut self.targets[index];
        if target.is_waiting() {
            return;
        }
        target.reason = Some(ResultCode::RequestPoisoned);
        target.close_unless_waiting(false, ResultCode::RequestPoisoned);
        let retry_after = dispatcher.crashes.retry_after(now, self.plan.digest);
        self.poisoned_retry_after = Some(retry_after);
    }

    /// Reports the end of an attempt as evidence for or against crashes.
    pub(super) fn record_crash_evidence(
        &self,
        now: MonotonicTime,
        pending: RunningAttempt,
        end: AttemptEnd,
        dispatcher: &mut Dispatcher,
    ) {
        if pending.superseded {
            return;
        }
        let has_answer =
            |target: &TargetState| target.answer().is_some() || target.failure.is_some();
        let ended = EndedAttempt {
            replica: pending.replica,
            sent: pending.sent,
            end,
            crashes_before: pending.crashes_before,
            answered_before: self.targets.iter().any(has_answer),
        };
        dispatcher.record_crash_evidence(now, self.plan.digest, ended);
    }
}
