//! A deployment's configuration: routes, services and limits, and the state that control keeps.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
pub use crate::vocabulary::document::SiteDocument;

/// What control keeps for a deployment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteState {
    /// Grows by one with each change; orders states of the same log.
    pub revision: u64,
    /// The configuration in force.
    pub document: Option<SiteDocument>,
    /// Data centres whose replicas are to be sent nothing.
    pub evacuated: BTreeSet<CentreName>,
}

impl SiteState {
    /// Version of the configuration in force, 0 without one.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |held| held.version)
    }
}

/// An operator's change of a deployment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SiteChange {
    /// Puts a configuration in force if its version is higher than the one held.
    Apply(SiteDocument),
    /// Takes a data centre's replicas out of service.
    Evacuate(CentreName),
    /// Returns a data centre's replicas to service.
    Return(CentreName),
}

/// Reply to an accepted change: committed by a quorum on synced disks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteDone {
    /// Revision of the state after it.
    pub revision: u64,
    /// Version of the configuration in force after it.
    pub version: u64,
}

/// What may be repeated of the requests of a route.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SplitPart {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the sum of all.
    pub weight: u32,
}

/// A query that goes to one replica of each shard.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherPlan {
    /// The services that hold the shards.
    pub shards: Arc<[ServiceName]>,
    /// Records in the merged answer at most.
    pub top_records: usize,
    /// Smallest share of the shards that makes an answer, from 0 to 1.
    pub min_coverage: f64,
}

impl GatherPlan {
    /// Shards that an answer needs at least; never 0.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a count of shards lies between 0 and that count"
    )]
    pub fn min_shards(&self) -> usize {
        let exact = self.min_coverage * self.shards.len() as f64;
        ((exact - 1e-9).ceil().max(1.0) as usize).min(self.shards.len().max(1))
    }
}

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// To one replica of one of these services.
    Split(Arc<[SplitPart]>),
    /// To one replica of each shard.
    Gather(GatherPlan),
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteRoute {
    /// Its name.
    pub name: Arc<str>,
    /// Host that it is for.
    pub host: Arc<str>,
    /// What the path begins with; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Replicas of a service that one request is sent to at most.
    pub attempts_max: u32,
    /// Rank under load; 0 goes first.
    pub priority: u32,
    /// Regions that may see its requests; empty for all.
    pub allowed_regions: Arc<[RegionName]>,
    /// Where its requests go.
    pub target: RouteTarget,
}

/// A service as the configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteService {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one of its replicas accepts, from all VMs together.
    pub connections_max: u32,
    /// Requests a second that a cold replica bears, from all VMs together; unset if not limited.
    pub cold_per_second: Option<f64>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_max_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_max_bytes: usize,
    /// Longest time for sending a head.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_max_bytes: 16 << 10,
            body_max_bytes: 256 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration, decoded and checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<Arc<SiteRoute>>,
    /// Its services.
    pub services: Vec<SiteService>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl SiteConfig {
    /// The fewest connections that a replica of any service accepts; unset without services.
    pub fn connections_min(&self) -> Option<u32> {
        let services = self.services.iter();
        services.map(|service| service.connections_max).min()
    }
}
