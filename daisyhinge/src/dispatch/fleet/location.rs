//! Where an entry runs, and where the data centres are.

use std::collections::HashMap;

use super::locality::Locality;
use crate::prelude::*;

/// Location of the entry, and the region of each data centre.
#[derive(Clone, Debug)]
pub struct FleetLocation {
    /// VM on which the entry runs. For each replica, the active entries are ranked by a hash of
    /// their VM; the rank determines the entry's share of the replica's connections.
    pub vm: VmName,
    /// Data centre in which the entry runs.
    pub data_centre: CentreName,
    /// Region of each data centre of the site.
    pub regions: HashMap<CentreName, RegionName>,
}

impl FleetLocation {
    /// Returns the region of a data centre.
    pub fn region_of(&self, centre: &CentreName) -> Option<&RegionName> {
        self.regions.get(centre)
    }

    /// Returns the locality of a data centre relative to the entry.
    pub fn locality_of(&self, centre: &CentreName) -> Locality {
        if *centre == self.data_centre {
            Locality::SameCentre
        } else if self.region_of(centre) == self.region_of(&self.data_centre) {
            Locality::SameRegion
        } else {
            Locality::OtherRegion
        }
    }
}
