//! Locality of replicas relative to an entry, and the round trips that it implies.

use std::time::Duration;

/// Locality of a replica relative to the entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Locality {
    /// In the entry's data centre.
    SameCentre,
    /// In another data centre of the entry's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Locality {
    /// Round trip that is assumed for a replica.
    pub fn assumed_round_trip(self) -> Duration {
        match self {
            Self::SameCentre => Duration::from_millis(1),
            Self::SameRegion => Duration::from_millis(3),
            Self::OtherRegion => Duration::from_millis(25),
        }
    }
}
