//! Criteria and result of choosing a replica.

use super::ReplicaIndex;
use crate::prelude::*;

/// Result of choosing a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Index of the chosen replica.
    Replica(ReplicaIndex),
    /// All usable replicas are at this entry's limit of concurrent requests.
    Busy,
    /// No replica that the criteria allow can be used at present.
    Unavailable,
}

/// Criteria for choosing a replica.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'query> {
    /// Service whose replicas are considered.
    pub service: &'query ServiceName,
    /// Replicas to exclude, since they were tried before.
    pub tried: &'query [ReplicaIndex],
    /// Regions that may receive the request; empty for all.
    pub allowed_regions: &'query [RegionName],
}
