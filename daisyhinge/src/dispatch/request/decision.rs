//! Decides when a request ends, and with which result.

use std::time::Duration;

use super::target::TargetPhase;
use super::{Decision, RequestMachine, RequestPlan};
use crate::prelude::*;

/// Minimum remaining percentage of the objective for which the answer is timed to meet it.
const REMAINING_MIN_PERCENT: u32 = 25;
/// Time after which a refused caller may retry; independent of the load.
const RETRY_AFTER: Duration = Duration::from_millis(250);

impl RequestMachine {
    pub(super) fn decide(&self, now: MonotonicTime) -> Option<Decision> {
        if !self.admitted && now >= self.admit_until {
            return Some(Decision::Refused {
                code: ResultCode::Overloaded,
                retry_after: RETRY_AFTER,
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
        let time_is_up = self.answer_at.is_some_and(|at| now >= at) || now >= self.plan.ends;
        if enough && (open == 0 || time_is_up) {
            let missing = total - answered;
            return Some(Decision::Answer { missing });
        }
        let hopeless = answered + open < self.min_targets;
        if hopeless || now >= self.plan.ends {
            return Some(self.decide_failure(now));
        }
        None
    }

    /// Decides how a request without an answer ends.
    fn decide_failure(&self, now: MonotonicTime) -> Decision {
        let gather = self.answer_at.is_some();
        let relayed = self.targets.iter().find_map(|target| target.failure);
        if let Some(attempt) = relayed.filter(|_| !gather) {
            return Decision::Relay { attempt };
        }
        let may_have_run = self.targets.iter().any(|target| target.runs_written() > 0);
        let passed = now >= self.plan.ends;
        let reason = self.targets.iter().find_map(|target| target.reason);
        let code = match (passed, gather && may_have_run) {
            (true, _) => ResultCode::DeadlinePassed,
            (false, true) => ResultCode::CoverageTooLow,
            (false, false) => reason.unwrap_or(ResultCode::NoReplica),
        };
        if may_have_run {
            return Decision::Unfinished { code };
        }
        let code = if passed { ResultCode::GivenUp } else { code };
        Decision::Refused {
            code,
            retry_after: RETRY_AFTER,
        }
    }
}

/// Returns how long after its start a request is answered at the latest to meet its objective. If
/// the caller has spent too much of the objective already, that time is ignored.
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
