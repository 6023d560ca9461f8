//! Test oracle: verifies answers and refusals against payloads and the fake servers' records.

use std::collections::{HashMap, HashSet};

use daisyhinge::prelude::*;

use crate::load::outcome::{AnswerCheck, AnswerViolation, RequestEnd, RequestOutcome};
use crate::load::wire::WireAnswer;
use crate::server::answer::format_crc;
use crate::server::{FakeRecord, SHARD_WEIGHT};

/// Verifies an answer to `request` with `body` from a service with `shards` shards.
pub fn check_answer(
    answer: &WireAnswer,
    request: &RequestId,
    body: &[u8],
    shards: u32,
) -> AnswerCheck {
    let crc = format_crc(body);
    let total = SHARD_WEIGHT * u64::from(shards);
    let answered = SHARD_WEIGHT * answer.parts.len() as u64;
    let missing = answer.coverage.missing.len();
    let distinct = answer
        .parts
        .iter()
        .map(|part| part.shard)
        .collect::<HashSet<_>>()
        .len();
    let one_snapshot = answer
        .parts
        .iter()
        .all(|part| part.body.snapshot == answer.snapshot);
    let matches_request = answer.request == *request
        && answer.parts.iter().all(|part| {
            part.body.request == *request
                && part.body.shard == part.shard
                && part.body.echo_crc == crc
        });
    let coverage_correct = answer.coverage.answered_weight == answered
        && answer.coverage.whole_weight == total
        && distinct == answer.parts.len()
        && distinct + missing == shards as usize
        && answer.complete == (missing == 0);
    let violations = [
        (!coverage_correct).then_some(AnswerViolation::CoverageFalse),
        (!one_snapshot).then_some(AnswerViolation::Mixed),
        (!matches_request).then_some(AnswerViolation::Wrong),
    ];
    AnswerCheck {
        coverage: answered as f64 / total as f64,
        resent: answer.resent,
        violations: violations.into_iter().flatten().collect(),
    }
}

/// Runs of each request, as the fake servers recorded them.
#[derive(Debug, Default)]
pub struct RunOracle {
    received: HashSet<RequestId>,
    single_runs: HashMap<RequestId, u32>,
    marked_servers: HashMap<RequestId, u32>,
}

impl RunOracle {
    /// Combines the records of all fake servers.
    pub fn from_records<'a>(records: impl Iterator<Item = &'a FakeRecord>) -> Self {
        let mut oracle = Self::default();
        for record in records {
            oracle
                .received
                .extend(record.log.iter().map(|sub| sub.request.clone()));
            for (request, runs) in &record.single_runs {
                *oracle.single_runs.entry(request.clone()).or_default() += runs;
            }
            for request in record.marked_runs.keys() {
                *oracle.marked_servers.entry(request.clone()).or_default() += 1;
            }
        }
        oracle
    }

    /// Number of non-repeatable requests that ran more than once.
    pub fn count_doubled(&self) -> u64 {
        self.single_runs.values().filter(|runs| **runs > 1).count() as u64
    }

    /// Maximum number of servers that a single request with the crash marker reached.
    pub fn max_marked_servers(&self) -> u32 {
        self.marked_servers.values().copied().max().unwrap_or(0)
    }

    /// Whether a refusal states "not run" although a server received part of the request.
    pub fn is_false_not_run(&self, outcome: &RequestOutcome) -> bool {
        let states_not_run = matches!(
            outcome.end,
            RequestEnd::Refused {
                run: RunState::NotRun,
                ..
            }
        );
        states_not_run && outcome.earlier_not_run && self.received.contains(&outcome.request)
    }
}
