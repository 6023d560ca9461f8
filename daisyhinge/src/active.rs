//! Selects the active entries, to which callers are directed.
//!
//! A replica accepts a bounded number of connections from all entries together. When there are more
//! entries than that number allows, requests are concentrated on a subset of them, sized so that
//! each can keep connections to all replicas open. These connections stay open, and each active
//! entry detects slow replicas sooner. Control names the active entries to callers, and the entries
//! share the connections; both compute the same set from the same list. The other entries still
//! serve callers that connect to them, and replace an active entry as soon as it is lost.

use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, Hasher};

use foldhash::fast::FixedState;

use crate::prelude::*;
use crate::vocabulary::registration::{EntryPhase, EntryPresence};

/// Connections that an entry keeps open to a replica in its own region.
pub const SAME_REGION_CONNECTIONS: u32 = 2;
/// Number of other regions whose entries keep connections to a replica.
const OTHER_REGIONS: u32 = 2;
/// Connections that an entry keeps open to a replica in another region.
pub const OTHER_REGION_CONNECTIONS: u32 = 1;
/// Percentage of a replica's connection limit that entries keep open. A replica still counts the
/// connections of entries that lost power for some time, and the entries that replace them need as
/// many again.
const OPEN_CONNECTIONS_PERCENT: u32 = 45;
/// Minimum number of active entries in each data centre.
const ENTRIES_PER_CENTRE_MIN: usize = 2;
/// Seed of the hash that ranks entries. Part of the protocol: all processes must select the same
/// set.
const ACTIVE_SEED: u64 = 0x6163_7469_7665_0001;

/// Returns the number of active entries in a region for replicas that accept `connections_max`
/// connections.
pub fn active_entries_per_region(connections_max: u32) -> usize {
    let open_connections = connections_max * OPEN_CONNECTIONS_PERCENT / 100;
    (open_connections / (SAME_REGION_CONNECTIONS + OTHER_REGIONS * OTHER_REGION_CONNECTIONS))
        as usize
}

/// Returns the active entries of all regions: `per_region` in each region, or slightly more because
/// of rounding and the minimum for each data centre.
pub fn list_active<'entry>(
    entries: impl Iterator<Item = &'entry EntryPresence>,
    region_of: impl Fn(&CentreName) -> Option<RegionName>,
    per_region: usize,
) -> HashSet<&'entry VmName> {
    let serving = entries.filter(|entry| entry.phase == EntryPhase::Serving);
    select_entries(serving, region_of, per_region)
}

/// Selects the entries like [`list_active`], whatever their phase.
pub fn select_entries<'entry>(
    entries: impl Iterator<Item = &'entry EntryPresence>,
    region_of: impl Fn(&CentreName) -> Option<RegionName>,
    per_region: usize,
) -> HashSet<&'entry VmName> {
    let mut regions: BTreeMap<Option<RegionName>, BTreeMap<&CentreName, Vec<&VmName>>> =
        BTreeMap::new();
    for entry in entries {
        let region = regions.entry(region_of(&entry.data_centre)).or_default();
        region
            .entry(&entry.data_centre)
            .or_default()
            .push(&entry.vm);
    }
    let mut active = HashSet::new();
    for centres in regions.into_values() {
        let per_centre = per_region
            .div_ceil(centres.len())
            .max(ENTRIES_PER_CENTRE_MIN);
        for mut names in centres.into_values() {
            names.sort_unstable_by_key(|vm| hash_vm(vm.as_str()));
            active.extend(names.into_iter().take(per_centre));
        }
    }
    active
}

fn hash_vm(vm: &str) -> u64 {
    let mut hasher = FixedState::with_seed(ACTIVE_SEED).build_hasher();
    hasher.write(vm.as_bytes());
    hasher.finish()
}
