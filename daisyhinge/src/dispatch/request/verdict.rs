//! How and when a request ends.

use std::time::Duration;

use super::target::TargetPhase;
use super::{RequestMachine, RequestPlan, Verdict};
use crate::prelude::*;

/// Share of the objective, in percent, that must be left for an answer to be timed to it.
const LEFT_MIN_PERCENT: u32 = 25;
/// When a caller may come back after a refusal that tells nothing of the load.
const RETURN_SPAN: Duration = Duration::from_millis(250);

impl RequestMachine {
    pub(super) fn find_verdict(&self, now: MonotonicTime) -> Option<Verdict> {
        if !self.admitted && now >= self.admit_until {
            return Some(Verdict::Refused {
                code: ResultCode::Overloaded,
                return_after: RETURN_SPAN,
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
        let late = self.answer_at.is_some_and(|at| now >= at) || now >= self.plan.ends;
        if enough && (open == 0 || late) {
            let missing = total - answered;
            return Some(Verdict::Answer { missing });
        }
        let hopeless = answered + open < self.min_targets;
        if hopeless || now >= self.plan.ends {
            return Some(self.fail(now));
        }
        None
    }

    /// How a request ends that has no answer.
    fn fail(&self, now: MonotonicTime) -> Verdict {
        let gather = self.answer_at.is_some();
        let relayed = self.targets.iter().find_map(|target| target.failure);
        if let Some(attempt) = relayed.filter(|_| !gather) {
            return Verdict::Relay { attempt };
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
            return Verdict::Unfinished { code };
        }
        let code = if passed { ResultCode::GivenUp } else { code };
        Verdict::Refused {
            code,
            return_after: RETURN_SPAN,
        }
    }
}

/// How long after its start a request is answered to meet its objective. If that can't be met,
/// the caller gets the time that a request has which nothing was spent on.
pub(super) fn find_span(plan: &RequestPlan) -> Duration {
    let objective = plan.route.objective;
    let span = objective.saturating_sub(plan.margin);
    let left = span.saturating_sub(plan.spent);
    if left >= objective * LEFT_MIN_PERCENT / 100 {
        left
    } else {
        span
    }
}
