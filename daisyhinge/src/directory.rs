//! Which entries a caller is told to connect to.

use std::net::SocketAddr;

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

/// The entries that a caller should connect to: those of its region, or of all regions that may
/// see its requests if its own has none.
pub fn list_addresses<'entry>(
    entries: impl Iterator<Item = &'entry EntryPresence>,
    region_of: impl Fn(&CentreName) -> Option<RegionName>,
    place: &CallerPlace<'_>,
) -> Vec<SocketAddr> {
    let mut near = Vec::new();
    let mut far = Vec::new();
    for entry in entries {
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
