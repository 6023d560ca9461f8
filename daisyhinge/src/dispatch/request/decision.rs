//! Decides when a request ends, and with which result.

use std::time::Duration;

use super::admission::AdmissionState;
use super::target::TargetPhase;
use super::{Decision, RequestMachine, RequestPlan};
use crate::prelude::*;

/// Percentage of the latency objective that must remain after subtracting the answer margin and the
/// time that the caller had already spent on the request. If less remains, the spent time is
/// ignored.
const REMAINING_MIN_PERCENT: u32 = 25;
/// Time after which a caller may retry that was refused for another reason than the load.
const RETRY_AFTER: Duration = Duration::from_millis(250);

impl RequestMachine {
    /// Returns whether an attempt may have run at a replica.
    pub fn may_have_run(&self) -> bool {
        self.targets.iter().any(|target| target.runs_written() > 0)
    }

    pub(super) fn decide(&self, now: MonotonicTime) -> Option<Decision> {
        if let AdmissionState::Refused { retry_after, .. } = self.admission {
            return Some(Decision::Refused {
                code: ResultCode::Overloaded,
                retry_after,
            });
        }
        let answered = self.answered();
        let total = self.targets.len();
        let open = self
            .targets
            .iter()
            .filter(|target| target.phase == TargetPhase::Open)
            .count();
        let enough = answered >= self.min_targets;
        let time_is_up = self.answer_at.is_some_and(|at| now >= at) || now >= self.plan.deadline;
        if enough && (open == 0 || time_is_up) {
            let missing = total - answered;
            return Some(Decision::Answer { missing });
        }
        let cannot_succeed = answered + open < self.min_targets;
        if cannot_succeed || now >= self.plan.deadline {
            return Some(self.decide_failure(now));
        }
        None
    }

    /// Decides how a request without an answer ends.
    fn decide_failure(&self, now: MonotonicTime) -> Decision {
        let is_gather = self.answer_at.is_some();
        let failed_attempt = self.targets.iter().find_map(|target| target.failure);
        if let Some(attempt) = failed_attempt.filter(|_| !is_gather) {
            return Decision::Relay { attempt };
        }
        let may_have_run = self.may_have_run();
        let deadline_passed = now >= self.plan.deadline;
        let reason = self.targets.iter().find_map(|target| target.reason);
        let code = match (deadline_passed, is_gather && may_have_run) {
            _ if self.poisoned_retry_after.is_some() => ResultCode::RequestPoisoned,
            (true, _) => ResultCode::DeadlinePassed,
            (false, true) => ResultCode::CoverageTooLow,
            (false, false) => reason.unwrap_or(ResultCode::NoReplica),
        };
        if may_have_run {
            return Decision::Unfinished { code };
        }
        let is_poisoned = code == ResultCode::RequestPoisoned;
        let code = if deadline_passed && !is_poisoned {
            ResultCode::GivenUp
        } else {
            code
        };
        Decision::Refused {
            code,
            retry_after: self
                .poisoned_retry_after
                .or_else(|| self.pause_left(now))
                .unwrap_or(RETRY_AFTER),
        }
    }

    /// Returns the time until enough of the targets whose replicas have all requested pauses can be
    /// sent to again, or `None` if other targets are missing, too.
    fn pause_left(&self, now: MonotonicTime) -> Option<Duration> {
        let missing = || {
            let targets = self.targets.iter();
            targets.filter(|target| target.phase == TargetPhase::Missing)
        };
        let present = self.targets.len() - missing().count();
        let last_needed = self.min_targets.saturating_sub(present).checked_sub(1)?;
        let mut ends: Vec<MonotonicTime> = missing().filter_map(|target| target.back_at).collect();
        ends.sort_unstable();
        ends.get(last_needed).map(|end| end.since(now))
    }
}

/// Returns the latest time after its start at which a gather can be answered within the objective.
/// If the caller has spent so much time that less than `REMAINING_MIN_PERCENT` remains, the spent
/// time is ignored.
pub(super) fn answer_delay(plan: &RequestPlan) -> Duration {
    let objective = plan.route.objective;
    let delay = objective.saturating_sub(plan.margin);
    let remaining = delay.saturating_sub(plan.spent);
    if remaining >= objective * REMAINING_MIN_PERCENT / 100 {
        remaining
    } else {
        delay
    }
}
