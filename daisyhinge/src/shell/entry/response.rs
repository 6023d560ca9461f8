//! Serialises answers and refusals as JSON.

use serde::Serialize;
use serde_json::value::RawValue;

use crate::prelude::*;
use crate::vocabulary::answer::{QueryAnswer, QueryRefusal};

#[derive(Debug, Serialize)]
struct AnswerJson<'answer> {
    request: &'answer RequestId,
    snapshot: SnapshotNumber,
    coverage: CoverageJson<'answer>,
    complete: bool,
    resent: bool,
    parts: Vec<PartJson<'answer>>,
}

#[derive(Debug, Serialize)]
struct CoverageJson<'answer> {
    answered_weight: u64,
    whole_weight: u64,
    missing: Vec<MissingShardJson<'answer>>,
}

#[derive(Debug, Serialize)]
struct MissingShardJson<'answer> {
    shard: ShardNumber,
    code: ResultCode,
    name: &'answer str,
}

#[derive(Debug, Serialize)]
struct PartJson<'answer> {
    shard: ShardNumber,
    body: &'answer RawValue,
}

#[derive(Debug, Serialize)]
struct RefusalJson<'refusal> {
    request: &'refusal RequestId,
    code: ResultCode,
    name: &'refusal str,
    message: String,
    run: RunState,
    retry_ms: Option<u64>,
    addresses: &'refusal [std::net::SocketAddr],
}

/// Serialises an answer. Returns `None` if a part is not valid JSON; keepers reject such parts.
pub fn write_answer(answer: &QueryAnswer) -> Option<Vec<u8>> {
    let part = |shard, body| {
        Some(PartJson {
            shard,
            body: serde_json::from_slice(body).ok()?,
        })
    };
    let parts: Option<Vec<PartJson<'_>>> = answer
        .parts
        .iter()
        .map(|shard_part| part(shard_part.shard, &shard_part.body))
        .collect();
    let missing = answer.missing.iter().map(|missing_shard| MissingShardJson {
        shard: missing_shard.shard,
        code: missing_shard.code,
        name: missing_shard.code.name(),
    });
    let json = AnswerJson {
        request: &answer.request,
        snapshot: answer.snapshot,
        coverage: CoverageJson {
            answered_weight: answer.answered_weight,
            whole_weight: answer.whole_weight,
            missing: missing.collect(),
        },
        complete: answer.answered_weight == answer.whole_weight && answer.missing.is_empty(),
        resent: answer.resent,
        parts: parts?,
    };
    serde_json::to_vec(&json).ok()
}

/// Serialises a refusal.
pub fn write_refusal(refusal: &QueryRefusal) -> Option<Vec<u8>> {
    serde_json::to_vec(&RefusalJson {
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
