//! The fake backend servers of a scenario.

use std::net::SocketAddr;
use std::time::Duration;

use daisyhinge::prelude::*;

use crate::load::fault::{FaultKind, ServerChoice};
use crate::load::scenario::{CentrePlan, LoadScenario, ServicePlan};
use crate::load::system::EntryPoint;
use crate::server::{FakeServer, FakeSettings, build_snapshot};

/// Maximum number of arrivals that each fake server records.
const LOG_MAX: usize = 200_000;

/// A server of the fleet and its position in the scenario.
#[derive(Debug)]
pub struct FleetServer {
    /// Index of the service in the scenario.
    pub service: usize,
    /// Shard that the server hosts.
    pub shard: u32,
    /// Index of the replica within the shard.
    pub replica: u32,
    /// Data centre of the server.
    pub data_centre: CentreName,
    /// Handle of the fake server.
    pub server: FakeServer,
}

/// All fake backend servers of a scenario.
#[derive(Debug)]
pub struct FakeFleet {
    /// Servers, in order of service, shard and replica.
    pub servers: Vec<FleetServer>,
}

impl FakeFleet {
    /// Starts the servers of `scenario` with announcements to `entries`.
    ///
    /// # Errors
    ///
    /// `BindFailed` if no port is free.
    pub async fn spawn(
        scenario: &LoadScenario,
        entries: &[EntryPoint],
    ) -> Result<Self, ResultCode> {
        let mut servers = Vec::new();
        for (index, service) in scenario.services.iter().enumerate() {
            for shard in 0..service.shards {
                for replica in 0..service.replicas {
                    let centre = &scenario.data_centres
                        [(shard + replica) as usize % scenario.data_centres.len()];
                    let mut settings = build_settings(service, shard, replica, centre, entries);
                    settings.link_us = scenario.callers.server_us;
                    settings.seed = scenario.seed ^ ((servers.len() as u64 + 1) << 20);
                    servers.push(FleetServer {
                        service: index,
                        shard,
                        replica,
                        data_centre: centre.name.clone(),
                        server: FakeServer::spawn(settings).await?,
                    });
                }
            }
        }
        Ok(Self { servers })
    }

    /// Returns the servers of the service at index `service` of the scenario.
    pub fn service_servers(&self, service: usize) -> Vec<&FleetServer> {
        self.servers
            .iter()
            .filter(|server| server.service == service)
            .collect()
    }

    /// Calls [`FakeServer::mark`] on all servers of a data centre.
    pub fn mark_centre(&self, centre: &CentreName) {
        for server in self
            .servers
            .iter()
            .filter(|server| server.data_centre == *centre)
        {
            server.server.mark();
        }
    }

    /// Injects `fault` into the servers that `choice` selects. Faults of entries, operators and
    /// load are ignored.
    pub async fn apply(&self, scenario: &LoadScenario, choice: &ServerChoice, fault: &FaultKind) {
        let chosen = self
            .servers
            .iter()
            .filter(|server| is_chosen(scenario, server, choice));
        for server in chosen {
            apply_fault(server, fault).await;
        }
    }
}

fn build_settings(
    service: &ServicePlan,
    shard: u32,
    replica: u32,
    centre: &CentrePlan,
    entries: &[EntryPoint],
) -> FakeSettings {
    let (mut local, remote): (Vec<_>, Vec<_>) = entries
        .iter()
        .partition(|entry| entry.data_centre == centre.name);
    local.extend(remote);
    let addresses = local
        .iter()
        .map(|entry| entry.address)
        .collect::<Vec<SocketAddr>>();
    let name = format!("{}-{shard}-{replica}", service.name);
    let mut settings = FakeSettings::new(
        service.name.as_str(),
        &name,
        centre.name.as_str(),
        &addresses,
    );
    settings.slots = service.slots;
    settings.connections = service.connections;
    settings.connect_us = service.connect_us;
    settings.service_us = service.service_us;
    settings.queue_max = service.queue_max;
    settings.cold_allowance = service.cold_allowance;
    settings.snapshots = vec![build_snapshot(1, shard, service.shards)];
    settings.log_max = LOG_MAX;
    settings
}

fn is_chosen(scenario: &LoadScenario, server: &FleetServer, choice: &ServerChoice) -> bool {
    let name = &scenario.services[server.service].name;
    choice
        .service
        .as_ref()
        .is_none_or(|service| service == name)
        && choice.shard.is_none_or(|shard| shard == server.shard)
        && choice
            .replica
            .is_none_or(|replica| replica == server.replica)
        && choice
            .data_centre
            .as_ref()
            .is_none_or(|centre| *centre == server.data_centre)
}

async fn apply_fault(server: &FleetServer, fault: &FaultKind) {
    let fake = &server.server;
    match fault {
        FaultKind::Cold(cold) => fake.turn_cold(*cold),
        FaultKind::Crash { restart_ms } => {
            fake.change_faults(|faults| faults.restart_ms = *restart_ms);
            fake.crash();
        }
        FaultKind::Damage { kind, one_in } => fake.change_faults(|faults| {
            faults.damage = *kind;
            faults.damage_one_in = *one_in;
        }),
        FaultKind::Drain => {
            fake.drain();
            fake.mark();
        }
        FaultKind::Leave => drop(fake.leave().await),
        FaultKind::Lie => fake.change_faults(|faults| faults.lying_health = true),
        FaultKind::Mute => fake.change_faults(|faults| faults.mute = true),
        FaultKind::Roll {
            snapshot,
            overlap_ms,
        } => {
            let shards = fake
                .settings()
                .snapshots
                .first()
                .map_or(1, |current| current.shards);
            let newer = build_snapshot(*snapshot, server.shard, shards);
            fake.roll(newer, Duration::from_millis(*overlap_ms));
        }
        FaultKind::Shed { one_in } => fake.change_faults(|faults| faults.shed_one_in = *one_in),
        FaultKind::Slow { times } => fake.change_faults(|faults| faults.slow_times = *times),
        FaultKind::StopServer => fake.stop(),
        FaultKind::Straggle { one_in, times } => fake.change_faults(|faults| {
            faults.straggle_one_in = *one_in;
            faults.straggle_times = *times;
        }),
        FaultKind::KillEntry { .. }
        | FaultKind::Poison { .. }
        | FaultKind::Rate { .. }
        | FaultKind::ReturnCentre { .. }
        | FaultKind::StopEntry { .. }
        | FaultKind::TakeOut { .. } => {}
    }
}
