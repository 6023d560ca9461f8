//! A caller's request with every default filled in.

use crate::prelude::*;
use crate::vocabulary::query::AnswerPreference;

/// Attempts that one request may number; requests of one entry are this far apart.
pub const SEQUENCE_STRIDE: u64 = 1 << 20;

/// What a request is run by.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SearchPlan {
    /// The caller's request.
    pub request: RequestId,
    /// Digest of service and body.
    pub digest: RequestDigest,
    /// Service asked.
    pub service: ServiceName,
    /// The one shard that is asked for; all if unset.
    pub shard: Option<ShardNumber>,
    /// When it came in.
    pub arrived: MonotonicTime,
    /// When an answer is of no use any more.
    pub deadline: MonotonicTime,
    /// Smallest coverage of use, in parts per million.
    pub minimum_ppm: u32,
    /// What to prefer.
    pub preference: AnswerPreference,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Hedges and retries allowed per million sub-requests.
    pub extra_work_ppm: u32,
    /// Random number that the entry drew when it started.
    pub origin: u64,
    /// Attempts are numbered upwards from here.
    pub sequence_base: u64,
}
