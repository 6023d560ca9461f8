//! Feature level of a deployment: what all of its processes support.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Level of the features that are in use. Control raises it in its log once every process of the
/// deployment supports the next level, and never lowers it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct FeatureLevel(pub u32);

impl FeatureLevel {
    /// Level of builds that do not state one.
    pub const BASE: Self = Self(1);
    /// Level at which control accepts rollouts.
    pub const ROLLOUTS: Self = Self(2);
    /// Highest level that this build supports.
    pub const SUPPORTED: Self = Self::ROLLOUTS;
}

impl Default for FeatureLevel {
    fn default() -> Self {
        Self::BASE
    }
}

impl fmt::Display for FeatureLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
