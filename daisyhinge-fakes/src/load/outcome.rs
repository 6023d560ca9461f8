//! How single requests ended, as the caller saw it.

use std::time::Duration;

use daisyhinge::prelude::*;

/// How a request ended.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// Index of the service.
    pub service: usize,
    /// The request.
    pub request: RequestId,
    /// When it was due, from the start of the run.
    pub at: Duration,
    /// Time from when it was due to its end.
    pub latency: Duration,
    /// Time of the last exchange with an entry, without the simulated links.
    pub exchange: Duration,
    /// How often it was sent again.
    pub resends: u32,
    /// Whether every sending but the last certainly ran nothing.
    pub clean: bool,
    /// How it ended.
    pub end: RequestEnd,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum RequestEnd {
    /// It was answered.
    Answered(AnswerCheck),
    /// It was refused.
    Refused {
        /// The reason.
        code: ResultCode,
        /// Whether anything ran, as the refusal says.
        run: RunState,
    },
    /// No answer or refusal came.
    Lost,
    /// Something came that is neither an answer nor a refusal.
    Garbled,
}

/// What an oracle found in an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerCheck {
    /// Share of the whole weight that was answered, as the parts show it.
    pub coverage: f64,
    /// Whether it is a recorded outcome.
    pub resent: bool,
    /// What is wrong with it.
    pub faults: Vec<AnswerFault>,
}

/// What must never be in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// Its stated coverage is not what the parts show.
    CoverageFalse,
    /// Its parts come from more than one snapshot.
    Mixed,
    /// A part is for another request, payload or shard.
    Wrong,
}
