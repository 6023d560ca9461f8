//! The document that operators write for one environment.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::query::AnswerPreference;

/// Parts per million in a whole.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Whether a data centre takes work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CentreState {
    /// Takes work.
    #[default]
    In,
    /// Taken out: takes no new work.
    Out,
}

/// A data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentreEntry {
    /// Its name.
    pub name: CentreName,
    /// Whether it takes work.
    #[serde(default)]
    pub state: CentreState,
    /// Sub-requests that may run there at a time under the site's power cap; unset: no cap.
    #[serde(default)]
    pub power_cap: Option<u32>,
}

/// A region and its data centres.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEntry {
    /// Its name.
    pub name: RegionName,
    /// Its data centres.
    pub data_centres: Vec<CentreEntry>,
}

/// A service and how callers reach it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Its name.
    pub name: ServiceName,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
    /// Time from arrival to answer where the caller names none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Smallest coverage of use where the caller names none, in parts per million.
    #[serde(default)]
    pub minimum_coverage_ppm: u32,
    /// What to prefer where the caller does not say.
    #[serde(default)]
    pub preference: AnswerPreference,
    /// Hedges and retries allowed per million sub-requests.
    #[serde(default = "default_extra_ppm")]
    pub extra_work_ppm: u32,
    /// Requests that one entry runs at a time before it refuses.
    #[serde(default = "default_running_max")]
    pub running_max: u32,
}

/// How entries answer which address to use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AddressPolicy {
    /// How long callers keep an answer, in milliseconds.
    pub keep_ms: u64,
    /// Addresses in one answer at most.
    pub count: u32,
}

impl Default for AddressPolicy {
    fn default() -> Self {
        Self {
            keep_ms: 5_000,
            count: 3,
        }
    }
}

/// The document of one environment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EnvironmentDocument {
    /// Regions and their data centres.
    pub regions: Vec<RegionEntry>,
    /// Services.
    pub services: Vec<ServiceEntry>,
    /// How entries answer which address to use.
    #[serde(default)]
    pub addresses: AddressPolicy,
}

impl EnvironmentDocument {
    /// The service of that name.
    pub fn find_service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// The data centre of that name.
    pub fn find_centre(&self, name: &CentreName) -> Option<&CentreEntry> {
        self.regions
            .iter()
            .flat_map(|region| &region.data_centres)
            .find(|centre| centre.name == *name)
    }

    /// The region that has the data centre of that name.
    pub fn find_region(&self, name: &CentreName) -> Option<&RegionEntry> {
        self.regions.iter().find(|region| {
            region
                .data_centres
                .iter()
                .any(|centre| centre.name == *name)
        })
    }
}

fn default_deadline_ms() -> u64 {
    1_000
}

fn default_extra_ppm() -> u32 {
    50_000
}

fn default_running_max() -> u32 {
    1_024
}
