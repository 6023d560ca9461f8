//! The open links of an entry to other entries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use parking_lot::Mutex;

use super::RelayLinkClient;
use super::head_cache::SentHeads;
use crate::dispatch::fleet::{Fleet, ReplicaIndex};
use crate::prelude::*;

/// Period for which an entry is avoided after its link hung or broke.
const AVOID_PERIOD: Duration = Duration::from_secs(3);

/// An open connection to another entry, which relays requests to the replicas of its region.
#[derive(Clone, Debug)]
pub(in crate::shell::forward) struct PeerLink {
    pub(super) address: SocketAddr,
    pub(super) region: Option<RegionName>,
    pub(super) client: RelayLinkClient,
    /// Request heads that the other entry is assumed to have stored.
    pub(super) sent_heads: Arc<Mutex<SentHeads>>,
    /// Time of the last reply, in microseconds of the process clock.
    pub(super) last_reply: Arc<AtomicU64>,
}

/// Open links by data centre, and avoided entries by address.
#[derive(Debug, Default)]
pub(in crate::shell::forward) struct PeerLinks {
    pub(super) links: Mutex<BTreeMap<CentreName, PeerLink>>,
    pub(super) avoided: Mutex<BTreeMap<SocketAddr, MonotonicTime>>,
}

impl PeerLinks {
    /// Returns the link to the data centre of a replica, or else any link to its region.
    pub(in crate::shell::forward) fn find(
        &self,
        fleet: &Fleet,
        replica: ReplicaIndex,
    ) -> Option<PeerLink> {
        let centre = &fleet.replica(replica)?.record.data_centre;
        let region = fleet.location().region_of(centre);
        let links = self.links.lock();
        let same_region = || links.values().find(|link| link.region.as_ref() == region);
        links.get(centre).or_else(same_region).cloned()
    }

    /// Returns whether a link to the region is open.
    pub(in crate::shell::forward) fn contains_region(&self, region: &RegionName) -> bool {
        let links = self.links.lock();
        links
            .values()
            .any(|link| link.region.as_ref() == Some(region))
    }

    /// Returns the regions that have an open link.
    pub(super) fn list_regions(&self) -> BTreeSet<RegionName> {
        let links = self.links.lock();
        let regions = links.values().filter_map(|link| link.region.clone());
        regions.collect()
    }

    /// Closes all links.
    pub(in crate::shell::forward) fn clear(&self) {
        self.links.lock().clear();
    }

    /// Drops a link that hung or broke, and avoids its entry for [`AVOID_PERIOD`].
    pub(super) fn drop_link(&self, now: MonotonicTime, address: SocketAddr) {
        self.links.lock().retain(|_, link| link.address != address);
        self.avoided.lock().insert(address, now + AVOID_PERIOD);
    }
}
