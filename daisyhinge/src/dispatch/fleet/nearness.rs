//! How far a replica is.

use std::time::Duration;

/// How far a replica is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Nearness {
    /// In the entry's data centre.
    SameCentre,
    /// In another data centre of its region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Nearness {
    /// Time to a replica and back that is assumed before it is known.
    pub fn way_span(self) -> Duration {
        match self {
            Self::SameCentre => Duration::from_millis(1),
            Self::SameRegion => Duration::from_millis(3),
            Self::OtherRegion => Duration::from_millis(25),
        }
    }
}
