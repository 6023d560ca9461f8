//! Customers of a deployment, who authenticate with API keys. Keys themselves are not held here:
//! entries know their digests only.

use std::fmt;
use std::sync::Arc;

use crate::prelude::*;

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest(pub [u8; 32]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A digest identifies its key, so debug output does not show it.
        f.write_str("KeyDigest(..)")
    }
}

/// Limit on the requests of a customer at all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerQuota {
    /// Requests per second that all entries together accept from the customer.
    pub rate_per_second: f64,
    /// Requests that the customer may send at once beyond the rate.
    pub burst: f64,
}

/// A customer as described by the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteCustomer {
    /// Name of the customer, which replicas receive with each of its requests.
    pub name: CustomerName,
    /// Digests of the customer's keys, without duplicates.
    pub digests: Arc<[KeyDigest]>,
    /// Priority of the customer's requests, which takes precedence over that of the route; 0 is the
    /// highest.
    pub priority: Option<u32>,
    /// Regions that may process the customer's requests; empty for all regions.
    pub allowed_regions: Arc<[RegionName]>,
    /// Limit on the rate of requests; `None` for no limit.
    pub quota: Option<CustomerQuota>,
}
