//! Scenarios: topology, load and injected faults.

use std::collections::BTreeMap;
use std::path::Path;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::environment::{
    AddressPolicy, CentreEntry, EnvironmentDocument, PPM_SCALE, RegionEntry, ServiceEntry,
};
use daisyhinge::vocabulary::query::AnswerPreference;
use serde::{Deserialize, Serialize};

use crate::load::fault::ScheduledFault;

/// A load scenario.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadScenario {
    /// Name of the scenario, part of the names of the result files.
    pub name: String,
    /// What the scenario tests, for readers only.
    #[serde(default)]
    pub purpose: String,
    /// Seed of the random arrivals, service times and faults.
    pub seed: u64,
    /// Period during which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Length of the warm-up, in milliseconds: requests scheduled within it are sent but not
    /// counted.
    #[serde(default)]
    pub warmup_ms: u64,
    /// Data centres with the entries that run in them.
    pub data_centres: Vec<CentrePlan>,
    /// Services and the load on them.
    pub services: Vec<ServicePlan>,
    /// Callers and their links.
    #[serde(default)]
    pub callers: CallerPlan,
    /// Policy by which entries answer address requests.
    #[serde(default)]
    pub addresses: AddressPolicy,
    /// Scheduled faults.
    #[serde(default)]
    pub faults: Vec<ScheduledFault>,
}

/// A data centre of a scenario.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentrePlan {
    /// Name of the data centre, as in the environment document.
    pub name: CentreName,
    /// Region that the data centre belongs to.
    pub region: RegionName,
    /// VMs of the entries in the data centre.
    pub entries: Vec<VmName>,
}

/// A service and the load on it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Name of the service, as in the environment document.
    pub name: ServiceName,
    /// Whether requests of the service may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Minimum coverage of an answer, from 0 to 1.
    #[serde(default)]
    pub minimum_coverage: f64,
    /// Preference between completeness and latency of answers.
    #[serde(default)]
    pub preference: AnswerPreference,
    /// Maximum number of hedges and retries, per million sub-requests.
    #[serde(default = "default_extra_ppm")]
    pub extra_work_ppm: u32,
    /// Maximum number of requests that one entry runs at a time.
    #[serde(default = "default_running_max")]
    pub running_max: u32,
    /// Number of shards that each request is scattered to.
    pub shards: u32,
    /// Number of replicas of each shard, distributed over the data centres in turn.
    pub replicas: u32,
    /// Number of slots of each backend server.
    pub slots: u32,
    /// Maximum number of open connections of each backend server.
    pub connections: u32,
    /// Delay of a new connection, in microseconds.
    pub connect_us: u64,
    /// Mean service time, in microseconds.
    pub service_us: u64,
    /// Maximum number of sub-requests queued at a backend server beyond its slots; further ones are
    /// shed.
    #[serde(default = "default_queue_max")]
    pub queue_max: u32,
    /// Maximum number of concurrent sub-requests while cold, as backend servers announce it.
    #[serde(default = "default_cold_allowance")]
    pub cold_allowance: u32,
    /// Request rate at the start, per second.
    pub rate_per_second: f64,
    /// Length of a request's body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
}

/// Callers and the latency of their links.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerPlan {
    /// Number of callers in each data centre; each caches addresses separately.
    pub per_centre: u32,
    /// One-way latency to the entries of the caller's data centre, in microseconds.
    pub near_us: u64,
    /// One-way latency to other entries, in microseconds.
    pub far_us: u64,
    /// Maximum number of resends of a request.
    pub resends_max: u32,
    /// Whether a request is resent after every refusal that states a retry delay.
    pub resend_refused: bool,
    /// Time after the deadline at which a caller considers a request lost, in milliseconds.
    pub patience_ms: u64,
    /// One-way latency between entries and backend servers, in microseconds.
    pub server_us: u64,
}

impl Default for CallerPlan {
    fn default() -> Self {
        Self {
            per_centre: 8,
            near_us: 3_000,
            far_us: 15_000,
            resends_max: 3,
            resend_refused: false,
            patience_ms: 250,
            server_us: 0,
        }
    }
}

impl LoadScenario {
    /// Reads and validates a scenario file.
    ///
    /// # Errors
    ///
    /// `StorageFailed` if the file cannot be read, `NotJson` if it is not a scenario, otherwise the
    /// errors of [`Self::check`].
    pub fn open(path: &Path) -> Result<Self, ResultCode> {
        let text =
            std::fs::read_to_string(path).map_err(|_unreadable| ResultCode::StorageFailed)?;
        let scenario = serde_json::from_str::<Self>(&text).map_err(|error| {
            eprintln!(
                "event=bad-scenario path={} error=\"{error}\"",
                path.display()
            );
            ResultCode::NotJson
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Validates constraints that deserialization does not enforce.
    ///
    /// # Errors
    ///
    /// `OutOfRange` for numbers outside their valid range, `UnknownReference` for a fault that
    /// selects servers of a service that does not exist.
    pub fn check(&self) -> Result<(), ResultCode> {
        let valid = !self.data_centres.is_empty()
            && self.duration_ms > self.warmup_ms
            && self.callers.per_centre > 0
            && self.services.iter().all(ServicePlan::is_valid);
        if !valid {
            return Err(ResultCode::OutOfRange);
        }
        let known = self.faults.iter().all(|fault| {
            fault
                .servers
                .service
                .as_ref()
                .is_none_or(|name| self.find_service(name).is_some())
        });
        if known {
            Ok(())
        } else {
            Err(ResultCode::UnknownReference)
        }
    }

    /// Returns the named service.
    pub fn find_service(&self, name: &ServiceName) -> Option<&ServicePlan> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Builds the environment document that operators would apply for this scenario.
    pub fn build_document(&self) -> EnvironmentDocument {
        let mut regions = BTreeMap::<RegionName, Vec<CentreEntry>>::new();
        for centre in &self.data_centres {
            regions
                .entry(centre.region.clone())
                .or_default()
                .push(CentreEntry {
                    name: centre.name.clone(),
                    state: daisyhinge::vocabulary::environment::CentreState::In,
                    power_cap: None,
                });
        }
        EnvironmentDocument {
            regions: regions
                .into_iter()
                .map(|(name, data_centres)| RegionEntry { name, data_centres })
                .collect(),
            services: self.services.iter().map(ServicePlan::build_entry).collect(),
            addresses: self.addresses.clone(),
        }
    }
}

impl ServicePlan {
    fn is_valid(&self) -> bool {
        self.shards > 0
            && self.replicas > 0
            && self.slots > 0
            && self.rate_per_second >= 0.0
            && (0.0..=1.0).contains(&self.minimum_coverage)
    }

    fn build_entry(&self) -> ServiceEntry {
        ServiceEntry {
            name: self.name.clone(),
            repeatable: self.repeatable,
            deadline_ms: self.deadline_ms,
            minimum_coverage_ppm: convert_ppm(self.minimum_coverage),
            preference: self.preference,
            extra_work_ppm: self.extra_work_ppm,
            running_max: self.running_max,
        }
    }
}

/// Converts a fraction from 0 to 1 to parts per million.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the fraction is between 0 and 1"
)]
pub(crate) fn convert_ppm(fraction: f64) -> u32 {
    (fraction.clamp(0.0, 1.0) * f64::from(PPM_SCALE)).round() as u32
}

fn default_repeatable() -> bool {
    true
}

fn default_extra_ppm() -> u32 {
    50_000
}

fn default_running_max() -> u32 {
    1_024
}

fn default_queue_max() -> u32 {
    64
}

fn default_cold_allowance() -> u32 {
    1
}

fn default_body_bytes() -> usize {
    120
}
