//! The document in which operators describe an environment.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::query::AnswerPreference;

/// Parts per million in 100 %.
pub const PPM_SCALE: u32 = 1_000_000;

/// Whether a data centre is in service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CentreState {
    /// In service: accepts work.
    #[default]
    In,
    /// Out of service: accepts no new work.
    Out,
}

/// A data centre as configured by operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentreEntry {
    /// Name of the data centre, unique within the environment.
    pub name: CentreName,
    /// Whether the data centre is in service.
    #[serde(default)]
    pub state: CentreState,
    /// Maximum number of concurrent sub-requests under the power cap of the site; `None` for no
    /// cap.
    #[serde(default)]
    pub power_cap: Option<u32>,
}

/// A region and its data centres.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEntry {
    /// Name of the region, unique within the environment.
    pub name: RegionName,
    /// Data centres in the region.
    pub data_centres: Vec<CentreEntry>,
}

/// A service and the defaults for its requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the service, unique within the environment.
    pub name: ServiceName,
    /// Whether requests may run more than once.
    pub repeatable: bool,
    /// Default time from arrival to answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Default minimum coverage of an answer, in parts per million.
    #[serde(default)]
    pub minimum_coverage_ppm: u32,
    /// Default preference between coverage and latency.
    #[serde(default)]
    pub preference: AnswerPreference,
    /// Hedges and retries allowed per million sub-requests.
    #[serde(default = "default_extra_ppm")]
    pub extra_work_ppm: u32,
    /// Maximum number of concurrent requests at one entry; further requests are refused.
    #[serde(default = "default_running_max")]
    pub running_max: u32,
}

/// Policy for the addresses that entries return to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AddressPolicy {
    /// Time for which callers cache the addresses, in milliseconds.
    pub keep_ms: u64,
    /// Maximum number of addresses in one answer.
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

/// Configuration of an environment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EnvironmentDocument {
    /// Regions and their data centres.
    pub regions: Vec<RegionEntry>,
    /// Services of the environment.
    pub services: Vec<ServiceEntry>,
    /// Policy for the addresses that entries return to callers.
    #[serde(default)]
    pub addresses: AddressPolicy,
}

impl EnvironmentDocument {
    /// Returns the service called `name`.
    pub fn find_service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns the data centre called `name`.
    pub fn find_centre(&self, name: &CentreName) -> Option<&CentreEntry> {
        self.regions
            .iter()
            .flat_map(|region| &region.data_centres)
            .find(|centre| centre.name == *name)
    }

    /// Returns the region that contains the data centre called `name`.
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
