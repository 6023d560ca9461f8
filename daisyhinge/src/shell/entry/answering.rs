//! Writes answers and refusals as JSON.

use serde::Serialize;
use serde_json::value::RawValue;

use crate::prelude::*;
use crate::vocabulary::answer::{QueryAnswer, QueryRefusal};

#[derive(Debug, Serialize)]
struct AnswerText<'answer> {
    request: &'answer RequestId,
    snapshot: SnapshotNumber,
    coverage: CoverageText<'answer>,
    complete: bool,
    resent: bool,
    parts: Vec<PartText<'answer>>,
}

#[derive(Debug, Serialize)]
struct CoverageText<'answer> {
    answered_weight: u64,
    whole_weight: u64,
    missing: Vec<MissingText<'answer>>,
}

#[derive(Debug, Serialize)]
struct MissingText<'answer> {
    shard: ShardNumber,
    code: ResultCode,
    name: &'answer str,
}

#[derive(Debug, Serialize)]
struct PartText<'answer> {
    shard: ShardNumber,
    body: &'answer RawValue,
}

#[derive(Debug, Serialize)]
struct RefusalText<'refusal> {
    request: &'refusal RequestId,
    code: ResultCode,
    name: &'refusal str,
    message: String,
    run: RunState,
    retry_ms: Option<u64>,
    addresses: &'refusal [std::net::SocketAddr],
}

/// The JSON text of an answer; `None` if a part is not JSON, which keepers rule out.
pub fn write_answer(answer: &QueryAnswer) -> Option<Vec<u8>> {
    let part = |shard, body| {
        Some(PartText {
            shard,
            body: serde_json::from_slice(body).ok()?,
        })
    };
    let parts: Option<Vec<PartText<'_>>> = answer
        .parts
        .iter()
        .map(|row| part(row.shard, &row.body))
        .collect();
    let missing = answer.missing.iter().map(|row| MissingText {
        shard: row.shard,
        code: row.code,
        name: row.code.name(),
    });
    let text = AnswerText {
        request: &answer.request,
        snapshot: answer.snapshot,
        coverage: CoverageText {
            answered_weight: answer.answered_weight,
            whole_weight: answer.whole_weight,
            missing: missing.collect(),
        },
        complete: answer.answered_weight == answer.whole_weight && answer.missing.is_empty(),
        resent: answer.resent,
        parts: parts?,
    };
    serde_json::to_vec(&text).ok()
}

/// The JSON text of a refusal.
pub fn write_refusal(refusal: &QueryRefusal) -> Option<Vec<u8>> {
    serde_json::to_vec(&RefusalText {
        request: &refusal.request,
        code: refusal.code,
        name: refusal.code.name(),
        message: refusal.code.to_string(),
        run: refusal.run,
        retry_ms: refusal.retry_ms,
        addresses: &refusal.addresses,
    })
    .ok()
}
