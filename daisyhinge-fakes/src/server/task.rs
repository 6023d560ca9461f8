//! A sub-request received by a fake backend server.

use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use hyper::HeaderMap;

use crate::http::{header_number, header_text};

#[derive(Clone, Debug)]
pub(crate) struct SubTask {
    pub request: RequestId,
    pub attempt: String,
    pub service: ServiceName,
    pub replica: ReplicaName,
    pub shard: ShardNumber,
    pub snapshot: SnapshotNumber,
    /// Time from arrival to expiry.
    pub expires: Duration,
    pub repeatable: bool,
    pub body: Bytes,
}

impl SubTask {
    /// Parses the headers; `None` if one is missing or malformed.
    pub fn read(headers: &HeaderMap, body: Bytes) -> Option<Self> {
        header_number(headers, "daisyhinge-deadline-us")?;
        let shard = header_number(headers, "daisyhinge-shard")?;
        let repeatable = match header_text(headers, "daisyhinge-repeatable")? {
            "true" => true,
            "false" => false,
            _ => return None,
        };
        Some(Self {
            request: RequestId::from(header_text(headers, "daisyhinge-request")?),
            attempt: header_text(headers, "daisyhinge-attempt")?.to_owned(),
            service: ServiceName::from(header_text(headers, "daisyhinge-service")?),
            replica: ReplicaName::from(header_text(headers, "daisyhinge-replica")?),
            shard: ShardNumber(u32::try_from(shard).ok()?),
            snapshot: SnapshotNumber(header_number(headers, "daisyhinge-snapshot")?),
            expires: Duration::from_micros(header_number(headers, "daisyhinge-expires-us")?),
            repeatable,
            body,
        })
    }
}
