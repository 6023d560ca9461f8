//! Which entries a caller is told to connect to.

use std::net::SocketAddr;

use crate::active::list_active;
use crate::prelude::*;
use crate::vocabulary::registration::EntryPresence;

/// Addresses in one answer at most.
pub const ADDRESSES_MAX: usize = 64;

/// Where a caller is, and which regions may see its requests.
#[derive(Clone, Debug)]
pub struct CallerPlace<'ask> {
    /// Its region.
    pub region: &'ask str,
    /// Regions that may see its requests besides its own; empty for all.
    pub allowed_regions: &'ask [RegionName],
}

/// The active entries that a caller should connect to, `per_region` of each region: those of its
/// region, or of all regions that may see its requests if its own has none.
pub fn list_addresses<'entry>(
    entries: impl Iterator<Item = &'entry EntryPresence> + Clone,
    region_of: impl Fn(&CentreName) -> Option<RegionName>,
    per_region: usize,
    place: &CallerPlace<'_>,
) -> Vec<SocketAddr> {
    let active = list_active(entries.clone(), &region_of, per_region);
    let mut near = Vec::new();
    let mut far = Vec::new();
    for entry in entries.filter(|entry| active.contains(&entry.vm)) {
        let region = region_of(&entry.data_centre);
        let own = region
            .as_ref()
            .is_some_and(|name| name.as_str() == place.region);
        let allowed = place.allowed_regions.is_empty()
            || region.is_some_and(|name| place.allowed_regions.contains(&name));
        if own {
            near.push(entry.address);
        } else if allowed {
            far.push(entry.address);
        }
    }
    let mut listed = if near.is_empty() { far } else { near };
    listed.truncate(ADDRESSES_MAX);
    listed
}
