//! The entries that callers are sent to: as many as can keep connections to all replicas open.
//!
//! A replica accepts a bounded number of connections from all entries together. Where there are
//! more entries than can hold some, requests are concentrated on a part of them: their
//! connections stay open, and each of them learns sooner which replica is slow. Control, which
//! names them to callers, and the entries, which share the connections, work out the same set
//! from the same list. The others serve whoever still comes to them, and take over as soon as
//! one of the set is lost.

use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, Hasher};

use foldhash::fast::FixedState;

use crate::prelude::*;
use crate::vocabulary::registration::{EntryPhase, EntryPresence};

/// Connections that an entry keeps open to a replica of its region.
pub const KEPT_NEAR: u32 = 2;
/// Regions whose entries keep connections to a replica besides those of its own.
const FAR_REGIONS: u32 = 2;
/// Connections that an entry keeps open to a replica of another region.
pub const KEPT_FAR: u32 = 1;
/// Share of the connections that a replica accepts, in percent, that are kept open: it counts
/// those of processes that lost their power for some time, and as many must find room besides.
const KEPT_PERCENT: u32 = 45;
/// Entries in each data centre that are active at least.
const CENTRE_MIN: usize = 2;
/// Seed of the hash; part of the protocol, since all processes must find the same set.
const ACTIVE_SEED: u64 = 0x6163_7469_7665_0001;

/// Active entries of a region where a replica accepts `connections_max` connections.
pub fn find_active_count(connections_max: u32) -> usize {
    let kept = connections_max * KEPT_PERCENT / 100;
    (kept / (KEPT_NEAR + FAR_REGIONS * KEPT_FAR)) as usize
}

/// The entries of all regions that callers are sent to, `per_region` of each or somewhat more.
pub fn list_active<'entry>(
    entries: impl Iterator<Item = &'entry EntryPresence>,
    region_of: impl Fn(&CentreName) -> Option<RegionName>,
    per_region: usize,
) -> HashSet<&'entry VmName> {
    let mut regions: BTreeMap<Option<RegionName>, BTreeMap<&CentreName, Vec<&VmName>>> =
        BTreeMap::new();
    for entry in entries.filter(|entry| entry.phase == EntryPhase::Serving) {
        let region = regions.entry(region_of(&entry.data_centre)).or_default();
        region
            .entry(&entry.data_centre)
            .or_default()
            .push(&entry.vm);
    }
    let mut active = HashSet::new();
    for centres in regions.into_values() {
        let wanted = per_region.div_ceil(centres.len()).max(CENTRE_MIN);
        for mut names in centres.into_values() {
            names.sort_unstable_by_key(|vm| hash_name(vm.as_str()));
            active.extend(names.into_iter().take(wanted));
        }
    }
    active
}

fn hash_name(vm: &str) -> u64 {
    let mut hasher = FixedState::with_seed(ACTIVE_SEED).build_hasher();
    hasher.write(vm.as_bytes());
    hasher.finish()
}
