//! The processes of the demonstration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::metric::EntryMetrics;
use daisyhinge::prelude::*;
use daisyhinge::shell::control::ControlShell;
use daisyhinge::shell::entry::EntryShell;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRequest};
use daisyhinge::vocabulary::environment::{CentreState, EnvironmentDocument};
use daisyhinge::vocabulary::setting::{ControlSettings, EntrySettings, VoterPeer};
use daisyhinge_fakes::port::reserve_address;
use daisyhinge_fakes::server::{FakeServer, FakeSettings, build_snapshot};
use prometheus_client::registry::Registry;
use tempfile::TempDir;

/// Data centres of the demonstration; each data centre has one entry.
pub const CENTRES: [&str; 3] = ["lagos-1", "abuja-1", "kano-1"];

/// Number of shards of the label search.
pub const LABEL_SHARDS: u32 = 10;

const DOCUMENT: &str = include_str!("../../examples/production.json");
const CONTROL_VMS: usize = 3;
const CHANGE_ATTEMPTS: usize = 100;
const CHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Control VMs, entries and backend servers of the demonstration.
#[derive(Debug)]
pub struct DemoSystem {
    controls: Vec<ControlShell>,
    entries: Vec<EntryShell>,
    servers: Vec<FakeServer>,
    _folder: TempDir,
}

impl DemoSystem {
    /// Starts the control VMs, applies the environment document, and starts the entries and backend
    /// servers.
    pub async fn spawn() -> Result<Self, ResultCode> {
        let folder = TempDir::new().map_err(|_error| ResultCode::StorageFailed)?;
        let controls = spawn_controls(&folder)?;
        let addresses: Vec<SocketAddr> = controls.iter().map(ControlShell::address).collect();
        apply_document(&controls).await?;
        let mut entries = Vec::new();
        for centre in CENTRES {
            entries.push(spawn_entry(centre, &addresses).await?);
        }
        let callers: Vec<SocketAddr> = entries.iter().map(EntryShell::caller_address).collect();
        let servers = spawn_servers(&callers).await?;
        Ok(Self {
            controls,
            entries,
            servers,
            _folder: folder,
        })
    }

    /// Returns the addresses at which the entries accept callers, in the order of [`CENTRES`].
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(EntryShell::caller_address)
            .collect()
    }

    /// Returns the backend servers of a service in a data centre, or in all data centres if
    /// `centre` is empty.
    pub fn servers(&self, service: &str, centre: &str) -> Vec<&FakeServer> {
        let matches = |server: &&FakeServer| {
            let settings = server.settings();
            settings.service.as_str() == service
                && (centre.is_empty() || settings.data_centre.as_str() == centre)
        };
        self.servers.iter().filter(matches).collect()
    }

    /// Takes a data centre out of service or returns it to service.
    pub async fn set_centre(&self, centre: &str, state: CentreState) -> Result<(), ResultCode> {
        let kind = ChangeKind::SetCentre {
            environment: EnvironmentName::from("production"),
            data_centre: CentreName::from(centre),
            state,
        };
        change_with_retries(&self.controls, &format!("{centre}-{state:?}"), None, kind).await
    }

    /// Returns the ratio of extra sub-requests to `needed` ones; extra are those that the backend
    /// servers received beyond `needed`.
    pub fn extra_load_ratio(&self, needed: u64) -> f64 {
        let received: u64 = self
            .servers
            .iter()
            .map(|server| server.record().received)
            .sum();
        (received as f64 - needed as f64) / (needed.max(1) as f64)
    }

    /// Returns the number of non-repeatable requests that ran more than once.
    pub fn doubled_runs(&self) -> u64 {
        let mut doubled = 0;
        let mut runs_by_request = std::collections::BTreeMap::new();
        for server in &self.servers {
            for (request, runs) in server.record().single_runs {
                let count: &mut u32 = runs_by_request.entry(request).or_default();
                *count += runs;
                doubled += u64::from(*count > 1);
            }
        }
        doubled
    }

    /// Stops the entries, control VMs and backend servers of the demonstration.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for control in self.controls {
            control.stop().await;
        }
        for server in self.servers {
            server.stop();
        }
    }
}

fn spawn_controls(folder: &TempDir) -> Result<Vec<ControlShell>, ResultCode> {
    let mut voters = Vec::new();
    for index in 0..CONTROL_VMS {
        let vm = VmName::from(format!("control-{index}"));
        voters.push(VoterPeer {
            vm,
            address: reserve_address(),
        });
    }
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let spawn = |voter: &VoterPeer| {
        let settings = ControlSettings {
            vm: voter.vm.clone(),
            address: voter.address,
            operator_address: any_port,
            metrics_address: any_port,
            data_folder: folder.path().join(voter.vm.as_str()),
            token_file: folder.path().join("token"),
            voters: voters.clone(),
            events_max: 1_024,
        };
        ControlShell::spawn(settings, Arc::new(|_| {})).map_err(|error| error.code)
    };
    voters.iter().map(spawn).collect()
}

async fn apply_document(controls: &[ControlShell]) -> Result<(), ResultCode> {
    let document: EnvironmentDocument =
        serde_json::from_str(DOCUMENT).map_err(|_error| ResultCode::NotJson)?;
    let kind = ChangeKind::Apply {
        environment: EnvironmentName::from("production"),
        document: Arc::new(document),
    };
    change_with_retries(controls, "first", Some(VersionNumber(0)), kind).await
}

/// Sends a change to the control VMs in turn until one accepts it. Resending is safe because the
/// change id prevents a second application.
async fn change_with_retries(
    controls: &[ControlShell],
    change: &str,
    base: Option<VersionNumber>,
    kind: ChangeKind,
) -> Result<(), ResultCode> {
    let request = ChangeRequest {
        change: ChangeId::from(change),
        base,
        operator: Arc::from("demo"),
        made_ms: 0,
        kind,
    };
    let mut last_code = ResultCode::NoQuorum;
    for control in controls.iter().cycle().take(CHANGE_ATTEMPTS) {
        match control.change(request.clone()).await {
            Ok(_) => return Ok(()),
            Err(refusal) => last_code = refusal.code,
        }
        tokio::time::sleep(CHANGE_RETRY_INTERVAL).await;
    }
    Err(last_code)
}

async fn spawn_entry(centre: &str, control: &[SocketAddr]) -> Result<EntryShell, ResultCode> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = EntrySettings {
        vm: VmName::from(format!("entry-{centre}")),
        environment: EnvironmentName::from("production"),
        data_centre: CentreName::from(centre),
        caller_address: any_port,
        peer_address: any_port,
        metrics_address: any_port,
        control: control.to_vec(),
        limits: daisyhinge::vocabulary::setting::EntryLimits::default(),
    };
    let metrics = EntryMetrics::register(&mut Registry::default());
    EntryShell::spawn(settings, metrics, Arc::new(|_| {})).await
}

async fn spawn_servers(entries: &[SocketAddr]) -> Result<Vec<FakeServer>, ResultCode> {
    let mut servers = Vec::new();
    for centre in CENTRES {
        for shard in 0..LABEL_SHARDS {
            let name = format!("labels-{shard}-{centre}");
            let mut settings = FakeSettings::new("label-desk", &name, centre, entries);
            settings.snapshots = vec![build_snapshot(1, shard, LABEL_SHARDS)];
            settings.seed = u64::from(shard);
            servers.push(FakeServer::spawn(settings).await?);
        }
        for service in ["card-view", "print-queue"] {
            let name = format!("{service}-{centre}");
            let mut settings = FakeSettings::new(service, &name, centre, entries);
            settings.slots = 3;
            servers.push(FakeServer::spawn(settings).await?);
        }
    }
    Ok(servers)
}
