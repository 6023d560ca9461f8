//! Finds the route of a request, and the service that its share goes to.

use std::collections::HashMap;
use std::sync::Arc;

use crate::vocabulary::site::{SiteConfig, SiteRoute, SplitPart};

/// Routes by host, the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, Vec<Arc<SiteRoute>>>,
}

impl RouteTable {
    /// The table of a configuration.
    pub fn open(config: &SiteConfig) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<SiteRoute>>> = HashMap::new();
        for route in &config.routes {
            let routes = hosts.entry(Arc::clone(&route.host)).or_default();
            routes.push(Arc::clone(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }

    /// The route with the longest prefix that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<SiteRoute>> {
        let routes = self.hosts.get(strip_port(host))?;
        routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// All routes of a host.
    pub fn routes_of(&self, host: &str) -> &[Arc<SiteRoute>] {
        self.hosts.get(strip_port(host)).map_or(&[], Vec::as_slice)
    }
}

fn strip_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(name, _)| name)
}

/// Spreads a route's requests over its parts in exact proportion, part by part in turn.
#[derive(Clone, Debug, Default)]
pub struct SplitTurn {
    credits: Vec<i64>,
}

impl SplitTurn {
    /// Index of the part that the next request goes to; parts of no weight get none.
    pub fn next_part(&mut self, parts: &[SplitPart]) -> usize {
        self.credits.resize(parts.len(), 0);
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
