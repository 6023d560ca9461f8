//! Selects the entries that a caller should connect to.

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::active::{list_active, select_entries};
use crate::prelude::*;
use crate::vocabulary::registration::{EntryPhase, EntryPresence};

/// Maximum number of addresses in one answer.
pub const ADDRESSES_MAX: usize = 64;

/// Region of a caller, and the regions that may process its requests.
#[derive(Clone, Debug)]
pub struct CallerLocation<'request> {
    /// The caller's region.
    pub region: &'request str,
    /// Regions that may process its requests besides its own; empty for all regions.
    pub allowed_regions: &'request [RegionName],
}

/// Returns the addresses of active entries for a caller, selecting `per_region` in each region:
/// those in the caller's region or, if it has none, those in all regions that may process its
/// requests. Entries that reach no replica are named only if no other entry is left.
pub fn list_addresses<'entry>(
    entries: impl Iterator<Item = &'entry EntryPresence> + Clone,
    region_of: impl Fn(&CentreName) -> Option<RegionName>,
    per_region: usize,
    location: &CallerLocation<'_>,
) -> Vec<SocketAddr> {
    let active = list_active(entries.clone(), &region_of, per_region);
    let addresses = select_addresses(entries.clone(), &region_of, &active, location);
    if !addresses.is_empty() {
        return addresses;
    }
    let cut_off = entries.filter(|entry| entry.phase == EntryPhase::CutOff);
    let active = select_entries(cut_off.clone(), &region_of, per_region);
    select_addresses(cut_off, &region_of, &active, location)
}

fn select_addresses<'entry>(
    entries: impl Iterator<Item = &'entry EntryPresence>,
    region_of: impl Fn(&CentreName) -> Option<RegionName>,
    active: &HashSet<&VmName>,
    location: &CallerLocation<'_>,
) -> Vec<SocketAddr> {
    let mut local = Vec::new();
    let mut remote = Vec::new();
    for entry in entries.filter(|entry| active.contains(&entry.vm)) {
        let region = region_of(&entry.data_centre);
        let is_local = region
            .as_ref()
            .is_some_and(|name| name.as_str() == location.region);
        let is_allowed = location.allowed_regions.is_empty()
            || region.is_some_and(|name| location.allowed_regions.contains(&name));
        if is_local {
            local.push(entry.address);
        } else if is_allowed {
            remote.push(entry.address);
        }
    }
    let mut addresses = if local.is_empty() { remote } else { local };
    addresses.truncate(ADDRESSES_MAX);
    addresses
}
