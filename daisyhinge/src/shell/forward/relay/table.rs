//! The links of an entry to entries of other regions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use parking_lot::Mutex;

use super::RelayLinkClient;
use super::known::SentHeads;
use crate::dispatch::fleet::{Fleet, ReplicaIndex};
use crate::prelude::*;

/// Time for which an entry whose link hung or broke is not asked again.
const AVOID_SPAN: Duration = Duration::from_secs(3);

/// A link to an entry of another region.
#[derive(Clone, Debug)]
pub(in crate::shell::forward) struct PeerLink {
    pub(super) address: SocketAddr,
    pub(super) region: Option<RegionName>,
    pub(super) client: RelayLinkClient,
    /// Heads that were sent on it.
    pub(super) sent_heads: Arc<Mutex<SentHeads>>,
    /// When anything was last heard, in microseconds of the process's clock.
    pub(super) heard: Arc<AtomicU64>,
}

/// The links, by data centre.
#[derive(Debug, Default)]
pub(in crate::shell::forward) struct PeerLinks {
    pub(super) links: Mutex<BTreeMap<CentreName, PeerLink>>,
    pub(super) avoided: Mutex<BTreeMap<SocketAddr, MonotonicTime>>,
}

impl PeerLinks {
    /// The link that leads to a replica in another region: to its data centre, or to its region.
    pub(in crate::shell::forward) fn find(
        &self,
        fleet: &Fleet,
        replica: ReplicaIndex,
    ) -> Option<PeerLink> {
        let known = fleet.replica(replica)?;
        if known.is_in_same_region() {
            return None;
        }
        let centre = &known.record.data_centre;
        let region = fleet.place().region_of(centre);
        let links = self.links.lock();
        let beside = || links.values().find(|link| link.region.as_ref() == region);
        links.get(centre).or_else(beside).cloned()
    }

    /// Whether a link to the region is open.
    pub(in crate::shell::forward) fn holds(&self, region: &RegionName) -> bool {
        let links = self.links.lock();
        links
            .values()
            .any(|link| link.region.as_ref() == Some(region))
    }

    /// Regions that links lead to.
    pub(super) fn list_regions(&self) -> BTreeSet<RegionName> {
        let links = self.links.lock();
        let regions = links.values().filter_map(|link| link.region.clone());
        regions.collect()
    }

    /// Closes all links.
    pub(in crate::shell::forward) fn clear(&self) {
        self.links.lock().clear();
    }

    /// Drops a link that hung or broke, and avoids its entry for a while.
    pub(super) fn drop_link(&self, now: MonotonicTime, address: SocketAddr) {
        self.links.lock().retain(|_, link| link.address != address);
        self.avoided.lock().insert(address, now + AVOID_SPAN);
    }
}
