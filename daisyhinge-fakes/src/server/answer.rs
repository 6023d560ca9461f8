//! Answers of a fake backend server, intact or damaged.

use bytes::Bytes;
use daisyhinge::prelude::*;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::server::fault::DamageKind;
use crate::server::task::SubTask;

/// Payload of an answer, from which an oracle verifies the answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EchoPayload {
    /// Replica that answered.
    pub replica: ReplicaName,
    /// Shard that was answered.
    pub shard: ShardNumber,
    /// Snapshot that was read.
    pub snapshot: SnapshotNumber,
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// CRC-32 of the request's payload, as 8 hexadecimal digits.
    pub echo_crc: String,
}

/// Formats the CRC-32 of `bytes` as 8 hexadecimal digits.
pub fn format_crc(bytes: &[u8]) -> String {
    format!("{:08x}", crc32fast::hash(bytes))
}

/// Builds the answer to `task`. A crossed answer is built for `previous`, the sub-request answered
/// before.
pub(crate) fn build_answer(
    task: &SubTask,
    previous: Option<&SubTask>,
    incarnation: IncarnationNumber,
    damage: DamageKind,
) -> Response<Full<Bytes>> {
    let mut stated = task.clone();
    match damage {
        DamageKind::Crossed => stated = previous.unwrap_or(task).clone(),
        DamageKind::WrongShard => stated.shard = ShardNumber(task.shard.0 + 1),
        DamageKind::WrongSnapshot => stated.snapshot = SnapshotNumber(task.snapshot.0 + 1),
        _ => {}
    }
    let payload = EchoPayload {
        replica: stated.replica.clone(),
        shard: stated.shard,
        snapshot: stated.snapshot,
        request: stated.request.clone(),
        echo_crc: format_crc(&stated.body),
    };
    let body = Bytes::from(serde_json::to_vec(&payload).unwrap_or_default());
    let checksum = if damage == DamageKind::WrongChecksum {
        format_crc(b"another body")
    } else {
        format_crc(&body)
    };
    let sent = if damage == DamageKind::Truncated {
        body.slice(..body.len() / 2)
    } else {
        body.clone()
    };
    let mut response = Response::new(Full::new(sent));
    let headers = response.headers_mut();
    insert_text(headers, "daisyhinge-request", stated.request.as_str());
    insert_text(headers, "daisyhinge-attempt", &stated.attempt);
    insert_text(headers, "daisyhinge-shard", &stated.shard.to_string());
    insert_text(headers, "daisyhinge-snapshot", &stated.snapshot.to_string());
    insert_text(headers, "daisyhinge-length", &body.len().to_string());
    insert_text(headers, "daisyhinge-checksum", &checksum);
    insert_text(headers, "daisyhinge-incarnation", &incarnation.to_string());
    insert_text(headers, "content-type", "application/json");
    response
}

/// Builds a response without a body, with `header` (name and value) if given.
pub(crate) fn build_empty_response(
    status: StatusCode,
    header: Option<(&'static str, &str)>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    if let Some((name, value)) = header {
        insert_text(response.headers_mut(), name, value);
    }
    response
}

fn insert_text(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
