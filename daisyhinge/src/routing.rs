//! Matches requests to routes and splits traffic between services.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use crate::vocabulary::site::{SiteConfig, SiteRoute, SplitPart};

/// Routes by host, longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, Vec<Arc<SiteRoute>>>,
}

impl RouteTable {
    /// Creates the table from a configuration.
    pub fn open(config: &SiteConfig) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<SiteRoute>>> = HashMap::new();
        for route in &config.routes {
            let host = normalize_host(&route.host);
            let routes = hosts.entry(Arc::from(host)).or_default();
            routes.push(Arc::clone(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<SiteRoute>> {
        let routes = self.hosts.get(&*normalize_host(host))?;
        routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns all routes of a host.
    pub fn routes_of(&self, host: &str) -> &[Arc<SiteRoute>] {
        let routes = self.hosts.get(&*normalize_host(host));
        routes.map_or(&[], Vec::as_slice)
    }
}

/// Returns the form in which hosts are compared: in lower case, without a port and final dots.
pub fn normalize_host(host: &str) -> Cow<'_, str> {
    let name = strip_port(host).trim_end_matches('.');
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn strip_port(host: &str) -> &str {
    // The colons of an address of version 6 stand in brackets.
    if host.starts_with('[') {
        return host.find(']').map_or(host, |end| &host[..=end]);
    }
    host.split_once(':').map_or(host, |(name, _)| name)
}

/// Smooth weighted round robin over the parts of a route's traffic split.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// Parts that the credits belong to.
    parts: Arc<[SplitPart]>,
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the part for the next request. Parts of weight 0 receive no requests.
    /// Other parts than at the last call start without credits.
    pub fn next_part(&mut self, parts: &Arc<[SplitPart]>) -> usize {
        if self.parts != *parts {
            self.parts = Arc::clone(parts);
            self.credits = vec![0; parts.len()];
        }
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        let mut best = 0;
        for (index, part) in parts.iter().enumerate() {
            self.credits[index] += i64::from(part.weight);
            if part.weight > 0
                && (parts[best].weight == 0 || self.credits[index] > self.credits[best])
            {
                best = index;
            }
        }
        if let Some(credit) = self.credits.get_mut(best) {
            *credit -= total;
        }
        best
    }
}
