//! A caller's request.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::prelude::*;

/// What a caller or a service prefers when not everything can be had in time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerPreference {
    /// Wait for more shards, as long as the deadline allows.
    Coverage,
    /// Answer early once the minimum coverage is met and the rest is late.
    #[default]
    Latency,
}

/// A caller's request after its headers were checked. Unset fields take the service's values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerQuery {
    /// The caller's identifier, or one that the entry drew for a repeatable request.
    pub request: RequestId,
    /// Whether the caller chose the identifier.
    pub named_by_caller: bool,
    /// Service asked.
    pub service: ServiceName,
    /// Time allowed from arrival to answer.
    pub deadline: Option<Duration>,
    /// Smallest coverage that is of use, in parts per million of the whole weight.
    pub minimum_ppm: Option<u32>,
    /// What to prefer.
    pub preference: Option<AnswerPreference>,
    /// The one shard that is asked for; all if unset.
    pub shard: Option<ShardNumber>,
    /// Time since the caller first sent the request, as it says; zero if unset.
    pub age: Duration,
    /// Payload for the backend servers.
    pub body: Bytes,
}
