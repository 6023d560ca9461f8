//! Scenarios: what surrounds the system, how much is asked of it, and what goes wrong.

use std::collections::BTreeMap;
use std::path::Path;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::environment::{
    AddressPolicy, CentreEntry, EnvironmentDocument, PPM_SCALE, RegionEntry, ServiceEntry,
};
use daisyhinge::vocabulary::query::AnswerPreference;
use serde::{Deserialize, Serialize};

use crate::load::fault::ScheduledFault;

/// A scenario.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadScenario {
    /// Name.
    pub name: String,
    /// What it shows.
    #[serde(default)]
    pub purpose: String,
    /// Seed of arrivals, service times and faults.
    pub seed: u64,
    /// How long requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Requests that arrive before this are sent but not counted, in milliseconds.
    #[serde(default)]
    pub warmup_ms: u64,
    /// Data centres and their entries.
    pub data_centres: Vec<CentrePlan>,
    /// Services and the load on them.
    pub services: Vec<ServicePlan>,
    /// Callers.
    #[serde(default)]
    pub callers: CallerPlan,
    /// How entries answer which address to use.
    #[serde(default)]
    pub addresses: AddressPolicy,
    /// Faults in order of time.
    #[serde(default)]
    pub faults: Vec<ScheduledFault>,
}

/// A data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentrePlan {
    /// Its name.
    pub name: CentreName,
    /// Its region.
    pub region: RegionName,
    /// VMs of its entries.
    pub entries: Vec<VmName>,
}

/// A service and the load on it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Its name.
    pub name: ServiceName,
    /// Whether its requests may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Smallest coverage of use, from 0 to 1.
    #[serde(default)]
    pub minimum_coverage: f64,
    /// What it prefers.
    #[serde(default)]
    pub preference: AnswerPreference,
    /// Hedges and retries allowed per million sub-requests.
    #[serde(default = "default_extra_ppm")]
    pub extra_work_ppm: u32,
    /// Requests that one entry runs at a time.
    #[serde(default = "default_running_max")]
    pub running_max: u32,
    /// Shards.
    pub shards: u32,
    /// Replicas of each shard, spread over the data centres in turn.
    pub replicas: u32,
    /// Slots of each backend server.
    pub slots: u32,
    /// Connections that each backend server accepts.
    pub connections: u32,
    /// Time that a new connection costs, in microseconds.
    pub connect_us: u64,
    /// Mean service time, in microseconds.
    pub service_us: u64,
    /// Sub-requests that wait at a backend server beyond its slots before it sheds.
    #[serde(default = "default_queue_max")]
    pub queue_max: u32,
    /// Cold allowance that backend servers announce.
    #[serde(default = "default_cold_allowance")]
    pub cold_allowance: u32,
    /// Requests per second.
    pub rate_per_second: f64,
    /// Length of a request's body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
}

/// Callers and how they reach entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerPlan {
    /// Callers in each data centre's region; each keeps its own addresses.
    pub per_centre: u32,
    /// One-way latency to the entries of the region, in microseconds.
    pub near_us: u64,
    /// One-way latency to other entries, in microseconds.
    pub far_us: u64,
    /// How often a request is sent again after a loss.
    pub resends_max: u32,
    /// Whether a request is sent again after a refusal that names a time to come back.
    pub resend_refused: bool,
    /// Time after the deadline at which a caller takes a request for lost, in milliseconds.
    pub patience_ms: u64,
    /// One-way latency between entries and backend servers of one data centre, in microseconds.
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
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// `StorageFailed` if it cannot be read, `NotJson` if it is not a scenario, otherwise the
    /// fault that [`Self::check`] found.
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

    /// Checks what the shape alone does not ensure.
    ///
    /// # Errors
    ///
    /// `OutOfRange` for numbers that cannot be run, `UnknownReference` for a fault that names a
    /// service that does not exist.
    pub fn check(&self) -> Result<(), ResultCode> {
        let sound = !self.data_centres.is_empty()
            && self.duration_ms > self.warmup_ms
            && self.callers.per_centre > 0
            && self.services.iter().all(ServicePlan::is_sound);
        if !sound {
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

    /// The service of that name.
    pub fn find_service(&self, name: &ServiceName) -> Option<&ServicePlan> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// The document that operators would apply for this scenario.
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
    fn is_sound(&self) -> bool {
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

/// `share`, from 0 to 1, in parts per million.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the share is between 0 and 1"
)]
pub(crate) fn convert_ppm(share: f64) -> u32 {
    (share.clamp(0.0, 1.0) * f64::from(PPM_SCALE)).round() as u32
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
