//! Configuration of a deployment (routes, services and limits) and the state that control stores
//! for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
pub use crate::vocabulary::customer::{CustomerQuota, KeyDigest, SiteCustomer};
pub use crate::vocabulary::document::SiteDocument;
use crate::vocabulary::feature::FeatureLevel;
use crate::vocabulary::rollout::{RolloutOrder, RolloutRecord, RolloutStep};

/// State that control stores for a deployment. Its encoding names the fields; every field added
/// later needs a default, which stands for "not sent by a build that does not know it".
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteState {
    /// Revision, incremented with each change; orders the states of one log.
    pub revision: u64,
    /// Configuration in force.
    pub document: Option<SiteDocument>,
    /// Data centres whose replicas must not receive requests.
    pub evacuated: BTreeSet<CentreName>,
    /// Latest rollout of each service.
    #[serde(default)]
    pub rollouts: BTreeMap<ServiceName, RolloutRecord>,
    /// Features in use, which all processes support.
    #[serde(default)]
    pub feature_level: FeatureLevel,
}

impl SiteState {
    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.document
            .as_ref()
            .map_or(0, |document| document.version)
    }

    /// Returns whether every process of the deployment supports rollouts.
    pub fn supports_rollouts(&self) -> bool {
        self.feature_level >= FeatureLevel::ROLLOUTS
    }
}

/// An operator's change to a deployment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SiteChange {
    /// Puts a configuration in force if its version is higher than the current one.
    Apply(SiteDocument),
    /// Takes a data centre's replicas out of service.
    Evacuate(CentreName),
    /// Returns a data centre's replicas to service.
    Return(CentreName),
    /// Raises the feature level; a level that is not higher than the current one has no effect.
    /// Proposed by the leader, not by operators.
    RaiseLevel(FeatureLevel),
    /// Starts a rollout of a service.
    Order {
        /// The operator's order.
        order: RolloutOrder,
        /// Version that serves most of the service's requests now, other than the target; the target
        /// if it is running already; `None` if no replica is known.
        stable: Option<VersionName>,
    },
    /// Changes the phase or the share of a rollout in progress.
    Advance(RolloutStep),
}

impl SiteChange {
    /// Returns whether builds of [`FeatureLevel::BASE`] know the change. Any other change may be
    /// proposed only once all members of control support a higher level.
    pub fn is_base(&self) -> bool {
        matches!(self, Self::Apply(_) | Self::Evacuate(_) | Self::Return(_))
    }

    /// Returns the level at which the change may be proposed. The command that raises the level is
    /// proposed before, once all members have stated that they support it.
    pub fn required_level(&self) -> FeatureLevel {
        match self {
            Self::Apply(_) | Self::Evacuate(_) | Self::Return(_) | Self::RaiseLevel(_) => {
                FeatureLevel::BASE
            }
            Self::Order { .. } | Self::Advance(_) => FeatureLevel::ROLLOUTS,
        }
    }
}

/// Reply to an accepted change, which a quorum has committed and synced to disk.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CommittedSiteChange {
    /// Revision of the state after the change.
    pub revision: u64,
    /// Version of the configuration in force after the change.
    pub version: u64,
}

/// Whether the requests of a route may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SplitPart {
    /// Service that receives this share of the requests.
    pub service: ServiceName,
    /// Weight relative to the sum of all weights.
    pub weight: u32,
}

/// A query that is sent to one replica of each shard.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherPlan {
    /// Services that serve the shards.
    pub shards: Arc<[ServiceName]>,
    /// Maximum number of records in the merged answer.
    pub top_records: usize,
    /// Minimum fraction of the shards required for an answer, from 0 to 1.
    pub min_coverage: f64,
}

impl GatherPlan {
    /// Returns the minimum number of shards required for an answer; at least 1.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of the number of shards lies between 0 and that number"
    )]
    pub fn min_shards(&self) -> usize {
        let exact = self.min_coverage * self.shards.len() as f64;
        ((exact - 1e-9).ceil().max(1.0) as usize).min(self.shards.len().max(1))
    }
}

/// Target of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// One replica of one of these services.
    Split(Arc<[SplitPart]>),
    /// One replica of each shard.
    Gather(GatherPlan),
}

/// A route: matches requests by host and path, and directs them to services.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteRoute {
    /// Name of the route in the configuration.
    pub name: Arc<str>,
    /// Host that the route matches.
    pub host: Arc<str>,
    /// Path prefix that the route matches; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time before a request is answered.
    pub timeout: Duration,
    /// Target latency: an answer within this time has the highest value.
    pub objective: Duration,
    /// Maximum number of replicas of a service that one request is sent to.
    pub attempts_max: u32,
    /// Priority under load; 0 is the highest.
    pub priority: u32,
    /// Regions that may process the requests; empty for all regions.
    pub allowed_regions: Arc<[RegionName]>,
    /// Whether requests need no key although the configuration has customers.
    pub is_public: bool,
    /// Services that receive the requests.
    pub target: RouteTarget,
}

/// Host and path prefix of a route, which no other route of a configuration has. Names may be the same.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RoutePlace {
    host: Arc<str>,
    path_prefix: Arc<str>,
}

impl SiteRoute {
    /// Returns what the route matches.
    pub fn place(&self) -> RoutePlace {
        RoutePlace {
            host: Arc::clone(&self.host),
            path_prefix: Arc::clone(&self.path_prefix),
        }
    }
}

/// A service as described by the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteService {
    /// Name of the service, by which routes refer to it.
    pub name: ServiceName,
    /// Maximum number of connections from all VMs together to one replica.
    pub connections_max: u32,
    /// Requests per second that a cold replica can take from all VMs together; `None` for no limit.
    pub cold_per_second: Option<f64>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_max_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_max_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
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

/// A complete configuration, decoded and validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Version chosen by the operator; the highest version is in force.
    pub version: u64,
    /// Routes of the deployment.
    pub routes: Vec<Arc<SiteRoute>>,
    /// Services of the deployment.
    pub services: Vec<SiteService>,
    /// Limits on the connections and requests of callers.
    pub limits: CallerLimits,
    /// Customers, one of whose keys a request must carry; `None` if requests are not authenticated. An
    /// empty list refuses every request on a route that is not public.
    pub customers: Option<Vec<Arc<SiteCustomer>>>,
}

impl SiteConfig {
    /// Returns the lowest connection limit of any service's replicas; `None` without services.
    pub fn connections_min(&self) -> Option<u32> {
        let services = self.services.iter();
        services.map(|service| service.connections_max).min()
    }
}
