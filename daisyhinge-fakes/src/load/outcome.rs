//! Outcomes of single requests, as callers observe them.

use std::time::Duration;

use daisyhinge::prelude::*;

/// Outcome of a request, with its timing and resends.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// Index of the service in the scenario.
    pub service: usize,
    /// Identifier of the request, the same for all its attempts.
    pub request: RequestId,
    /// Scheduled send time, from the start of the run.
    pub at: Duration,
    /// Time from the scheduled send time to the end of the request.
    pub latency: Duration,
    /// Duration of the last exchange with an entry, without the simulated links.
    pub exchange: Duration,
    /// Number of attempts after the first one.
    pub resends: u32,
    /// Whether every attempt before the last one was refused as not run; `true` without resends.
    pub earlier_not_run: bool,
    /// Answer, refusal or loss with which the request ended.
    pub end: RequestEnd,
}

/// Final state of a request.
#[derive(Clone, Debug)]
pub enum RequestEnd {
    /// The request was answered.
    Answered(AnswerCheck),
    /// The request was refused.
    Refused {
        /// Reason of the refusal.
        code: ResultCode,
        /// Whether anything ran, as stated by the refusal.
        run: RunState,
    },
    /// Neither an answer nor a refusal was received.
    Lost,
    /// The response is neither an answer nor a refusal.
    Garbled,
}

/// Findings of the oracle about an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerCheck {
    /// Fraction of the total weight that the parts cover.
    pub coverage: f64,
    /// Whether the answer is a recorded outcome that was resent.
    pub resent: bool,
    /// Violations found in the answer.
    pub violations: Vec<AnswerViolation>,
}

/// A property that an answer must never have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerViolation {
    /// The stated coverage differs from what the parts cover.
    CoverageFalse,
    /// The parts come from more than one snapshot.
    Mixed,
    /// A part is for another request, payload or shard.
    Wrong,
}
