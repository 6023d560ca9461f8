//! Recomputes from payloads and the fakes' records what answers and refusals must say.

use std::collections::{HashMap, HashSet};

use daisyhinge::prelude::*;

use crate::load::outcome::{AnswerCheck, AnswerFault, RequestEnd, RequestOutcome};
use crate::load::wire::WireAnswer;
use crate::server::answer::format_crc;
use crate::server::{FakeRecord, SHARD_WEIGHT};

/// Checks an answer to `request` with `body` of a service of `shards` shards.
pub fn check_answer(
    answer: &WireAnswer,
    request: &RequestId,
    body: &[u8],
    shards: u32,
) -> AnswerCheck {
    let crc = format_crc(body);
    let whole = SHARD_WEIGHT * u64::from(shards);
    let shown = SHARD_WEIGHT * answer.parts.len() as u64;
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
    let own = answer.request == *request
        && answer.parts.iter().all(|part| {
            part.body.request == *request
                && part.body.shard == part.shard
                && part.body.echo_crc == crc
        });
    let coverage_true = answer.coverage.answered_weight == shown
        && answer.coverage.whole_weight == whole
        && distinct == answer.parts.len()
        && distinct + missing == shards as usize
        && answer.complete == (missing == 0);
    let faults = [
        (!coverage_true).then_some(AnswerFault::CoverageFalse),
        (!one_snapshot).then_some(AnswerFault::Mixed),
        (!own).then_some(AnswerFault::Wrong),
    ];
    AnswerCheck {
        coverage: shown as f64 / whole as f64,
        resent: answer.resent,
        faults: faults.into_iter().flatten().collect(),
    }
}

/// What the fakes' records say about the requests of a run.
#[derive(Debug, Default)]
pub struct RunOracle {
    seen: HashSet<RequestId>,
    single_runs: HashMap<RequestId, u32>,
    marked_servers: HashMap<RequestId, u32>,
}

impl RunOracle {
    /// Gathers the records of all fakes.
    pub fn gather<'a>(records: impl Iterator<Item = &'a FakeRecord>) -> Self {
        let mut oracle = Self::default();
        for record in records {
            oracle
                .seen
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

    /// Requests that may not be repeated and ran more than once.
    pub fn count_doubled(&self) -> u64 {
        self.single_runs.values().filter(|runs| **runs > 1).count() as u64
    }

    /// Most servers that one marked request reached.
    pub fn max_marked_servers(&self) -> u32 {
        self.marked_servers.values().copied().max().unwrap_or(0)
    }

    /// Whether a refusal claims "not run" though a server was given part of the request.
    pub fn is_false_not_run(&self, outcome: &RequestOutcome) -> bool {
        let claims = matches!(
            outcome.end,
            RequestEnd::Refused {
                run: RunState::NotRun,
                ..
            }
        );
        claims && outcome.clean && self.seen.contains(&outcome.request)
    }
}
