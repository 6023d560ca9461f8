//! This entry's share of the limits that all entries share: connections to each replica, requests
//! to cold replicas and the slack of the retry budgets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::request_rate::RateShare;
use super::{Fleet, ReplicaReach};
use crate::active::{
    OTHER_REGION_CONNECTIONS, SAME_REGION_CONNECTIONS, active_entries_per_region, list_active,
    select_entries,
};
use crate::dispatch::budget::SlackShare;
use crate::dispatch::share::{EntryCount, connection_share, hash_fraction, hash_pair, rate_share};
use crate::prelude::*;
use crate::vocabulary::registration::{EntryPhase, ReplicaPhase};

/// Connection limit of a replica whose service has none configured.
const CONNECTIONS_DEFAULT: u32 = 16;

/// Another active entry, which shares the connections to the replicas with this one.
struct ActivePeer {
    vm: VmName,
    data_centre: CentreName,
    region: Option<RegionName>,
    address: SocketAddr,
    /// Whether the entry reaches replicas itself.
    is_serving: bool,
}

impl Fleet {
    /// Recomputes this entry's shares after replicas or entries have changed.
    pub(super) fn update_shares(&mut self) {
        let (is_active, peers) = self.list_peers();
        let is_announced = self.note_active(is_active, &peers);
        self.slack = if is_active {
            SlackShare::OneOf(peers.len() + 1)
        } else {
            SlackShare::None
        };
        let own_region = self.location.region_of(&self.location.data_centre).cloned();
        for replica in self.replicas.values_mut() {
            let region = self.location.regions.get(&replica.record.data_centre);
            let is_in_same_region = region == own_region.as_ref();
            let state = self.services.get(&replica.record.service);
            let cold_rate = state.and_then(|state| state.cold_per_second);
            replica.connections_kept = 0;
            replica.uses_link = false;
            let name = replica.record.name.as_str();
            let (count, rank) =
                rank_entry(&self.location.vm, name, is_in_same_region, region, &peers);
            let serving = peers.iter().filter(|peer| peer.is_serving);
            let is_first = !outranks_entry(&self.location.vm, name, region, serving);
            replica.limiter.share = RateShare {
                fraction: rate_share(count, is_in_same_region),
                offset: hash_fraction(hash_pair(self.location.vm.as_str(), name)),
            };
            if !is_active {
                replica.connections_max = 0;
                replica.cold_rate = cold_rate.map(|_| 0.0);
                continue;
            }
            let connections_max = state.and_then(|state| state.connections_max);
            let connections_max = connections_max.unwrap_or(CONNECTIONS_DEFAULT);
            replica.connections_max =
                connection_share(connections_max, count, is_in_same_region, rank);
            let sends_cold = is_first && is_in_same_region && is_announced;
            replica.cold_rate = cold_rate.map(|rate| if sends_cold { rate } else { 0.0 });
        }
        if is_active {
            self.update_kept_connections();
        }
    }

    /// Notes the active entries, and returns whether this one is known to the others as active.
    fn note_active(&mut self, is_active: bool, peers: &[ActivePeer]) -> bool {
        let own = self.entries.get(&self.location.vm);
        let is_announced = is_active && own.is_some_and(|own| own.phase == EntryPhase::Serving);
        let own = is_announced.then(|| self.location.vm.clone());
        let peers = peers.iter().filter(|peer| peer.is_serving);
        let active = peers.map(|peer| peer.vm.clone()).chain(own);
        let active: BTreeSet<VmName> = active.collect();
        if active != self.active {
            self.active = active;
            self.cold_gate.mark_changed();
        }
        is_announced
    }

    /// Lists the entries in each data centre through which its replicas can be reached, the
    /// preferred entry first: in other regions and, while this entry cannot connect to replicas
    /// itself, in its own. Empty if callers are not sent to this entry and it can connect.
    pub fn list_relays(&self) -> BTreeMap<CentreName, Vec<SocketAddr>> {
        let (is_active, peers) = self.list_peers();
        let mut relays: BTreeMap<CentreName, Vec<(u64, SocketAddr)>> = BTreeMap::new();
        if !is_active && self.reach == ReplicaReach::Full {
            return BTreeMap::new();
        }
        let own = self.location.region_of(&self.location.data_centre);
        for peer in peers {
            let is_near = peer.region.as_ref() == own;
            if !peer.is_serving || (is_near && self.reach == ReplicaReach::Full) {
                continue;
            }
            let hash = hash_pair(self.location.vm.as_str(), peer.vm.as_str());
            let centre = relays.entry(peer.data_centre).or_default();
            centre.push((hash, peer.address));
        }
        let ordered = relays.into_iter().map(|(centre, mut peers)| {
            peers.sort_unstable();
            let addresses = peers.into_iter().map(|(_, address)| address);
            (centre, addresses.collect())
        });
        ordered.collect()
    }

    /// Replaces the set of regions to which a link to another entry is open.
    pub fn set_linked_regions(&mut self, linked_regions: BTreeSet<RegionName>) {
        if linked_regions != self.linked_regions {
            self.linked_regions = linked_regions;
            self.update_shares();
        }
    }

    /// Returns whether this entry is active, and the other active entries. This entry counts as
    /// active until its own announcement has been received. Entries that reach no replica count,
    /// too: they may still have open connections, or come back at any time.
    fn list_peers(&self) -> (bool, Vec<ActivePeer>) {
        let own = &self.location.vm;
        let per_region = self.connections_min.unwrap_or(CONNECTIONS_DEFAULT);
        let per_region = active_entries_per_region(per_region);
        let region_of = |centre: &CentreName| self.location.region_of(centre).cloned();
        let entries = self.entries.values();
        let cut_off = entries
            .clone()
            .filter(|entry| entry.phase == EntryPhase::CutOff);
        let mut active = list_active(entries, region_of, per_region);
        active.extend(select_entries(cut_off, region_of, per_region));
        let own_entry = self.entries.get(own);
        let is_open = |phase| matches!(phase, EntryPhase::Serving | EntryPhase::CutOff);
        let is_announced = own_entry.is_some_and(|entry| is_open(entry.phase));
        let is_active = !is_announced || active.contains(own);
        let others = active.into_iter().filter(|vm| *vm != own);
        let peers = others.filter_map(|vm| self.entries.get(vm));
        let peers = peers.map(|entry| ActivePeer {
            vm: entry.vm.clone(),
            data_centre: entry.data_centre.clone(),
            region: self.location.region_of(&entry.data_centre).cloned(),
            address: entry.address,
            is_serving: entry.phase == EntryPhase::Serving,
        });
        (is_active, peers.collect())
    }

    /// Sets how many idle connections stay open to each ready replica: `SAME_REGION_CONNECTIONS` in
    /// the entry's region, `OTHER_REGION_CONNECTIONS` in other regions, none where a link to the
    /// region is open.
    fn update_kept_connections(&mut self) {
        for replica in self.replicas.values_mut() {
            let region = self.location.region_of(&replica.record.data_centre);
            replica.uses_link = region.is_some_and(|region| self.linked_regions.contains(region));
            let kept = match (replica.is_in_same_region(), replica.uses_link) {
                (true, _) => SAME_REGION_CONNECTIONS,
                (false, false) => OTHER_REGION_CONNECTIONS,
                (false, true) => 0,
            };
            replica.connections_kept = match replica.record.phase {
                ReplicaPhase::Ready if !replica.is_leaving() => kept.min(replica.connections_max),
                _ => 0,
            };
        }
    }
}

/// Returns whether any of `peers` in the replica's region ranks before this entry by hash.
fn outranks_entry<'peer>(
    own: &VmName,
    replica: &str,
    region: Option<&RegionName>,
    mut peers: impl Iterator<Item = &'peer ActivePeer>,
) -> bool {
    let own_hash = hash_pair(own.as_str(), replica);
    peers.any(|peer| {
        peer.region.as_ref() == region && hash_pair(peer.vm.as_str(), replica) > own_hash
    })
}

/// Counts the active entries inside and outside a replica's region, and those on this entry's side
/// that rank before it by hash.
fn rank_entry(
    own: &VmName,
    replica: &str,
    is_in_same_region: bool,
    region: Option<&RegionName>,
    peers: &[ActivePeer],
) -> (EntryCount, u32) {
    let own_hash = hash_pair(own.as_str(), replica);
    let mut count = EntryCount {
        local: u32::from(is_in_same_region),
        remote: u32::from(!is_in_same_region),
    };
    let mut rank = 0;
    for peer in peers {
        let local = peer.region.as_ref() == region;
        if local {
            count.local += 1;
        } else {
            count.remote += 1;
        }
        let hash = hash_pair(peer.vm.as_str(), replica);
        rank += u32::from(local == is_in_same_region && hash > own_hash);
    }
    (count, rank)
}
