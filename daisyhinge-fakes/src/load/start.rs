//! In-process start of control and entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyhinge::metric::EntryMetrics;
use daisyhinge::prelude::*;
use daisyhinge::shell::control::ControlShell;
use daisyhinge::shell::entry::EntryShell;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRequest};
use daisyhinge::vocabulary::event::EventDraft;
use daisyhinge::vocabulary::setting::{ControlSettings, EntryLimits, EntrySettings, VoterPeer};
use futures::FutureExt;
use parking_lot::Mutex;
use prometheus_client::registry::Registry;
use tempfile::TempDir;

use crate::load::scenario::{CentrePlan, LoadScenario};
use crate::load::system::{
    CentreHook, EntryHook, EntryPoint, SystemEvent, SystemEvents, SystemHandle,
};
use crate::port::reserve_address;

/// Name of the environment that every run uses.
const ENVIRONMENT: &str = "trial";
/// Number of control VMs.
const VOTERS: usize = 3;
/// Number of events that each control VM keeps.
const EVENTS_MAX: u32 = 1_024;
/// Timeout for a change to be accepted.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a change is resent.
const CHANGE_RETRY_DELAY: Duration = Duration::from_millis(50);

type EntryShells = Arc<Mutex<HashMap<VmName, EntryShell>>>;

/// In-process control VMs; their data folders are deleted on drop.
#[derive(Debug)]
struct LocalControl {
    shells: Vec<ControlShell>,
    addresses: Vec<SocketAddr>,
    _folder: TempDir,
}

/// Starts control and the entries of `scenario` in this process.
///
/// # Errors
///
/// `BindFailed` if no port is free, `StorageFailed` if no folder for control can be created,
/// `NoQuorum` if control does not accept the document.
pub async fn start_system(scenario: &LoadScenario) -> Result<SystemHandle, ResultCode> {
    let events = SystemEvents::default();
    let control = Arc::new(LocalControl::spawn(&events)?);
    let document = Arc::new(scenario.build_document());
    let environment = EnvironmentName::from(ENVIRONMENT);
    let base = Some(VersionNumber(0));
    control
        .change(
            "apply",
            base,
            ChangeKind::Apply {
                environment,
                document,
            },
        )
        .await?;
    let shells = EntryShells::default();
    let mut entries = Vec::new();
    for centre in &scenario.data_centres {
        for vm in &centre.entries {
            let settings = build_settings(centre, vm, &control.addresses);
            let metrics = EntryMetrics::register(&mut Registry::default());
            let shell = EntryShell::spawn(settings, metrics, record_events(vm, &events)).await?;
            entries.push(EntryPoint {
                vm: vm.clone(),
                data_centre: centre.name.clone(),
                address: shell.caller_address(),
            });
            shells.lock().insert(vm.clone(), shell);
        }
    }
    Ok(SystemHandle {
        entries,
        change_centre: Some(build_centre_hook(control)),
        end_entry: Some(build_entry_hook(shells)),
        events,
    })
}

impl LocalControl {
    fn spawn(events: &SystemEvents) -> Result<Self, ResultCode> {
        let folder = TempDir::new().map_err(|_no_folder| ResultCode::StorageFailed)?;
        let addresses: Vec<SocketAddr> = (0..VOTERS).map(|_index| reserve_address()).collect();
        let voters = (0..).zip(&addresses).map(|(index, address)| VoterPeer {
            vm: name_voter(index),
            address: *address,
        });
        let voters = voters.collect::<Vec<_>>();
        let shells = voters.iter().map(|voter| {
            let settings = ControlSettings {
                vm: voter.vm.clone(),
                address: voter.address,
                operator_address: free_address(),
                metrics_address: free_address(),
                data_folder: folder.path().join(voter.vm.as_str()),
                token_file: folder.path().join("token"),
                voters: voters.clone(),
                events_max: EVENTS_MAX,
            };
            std::fs::create_dir_all(&settings.data_folder)
                .map_err(|_no_folder| ResultCode::StorageFailed)?;
            ControlShell::spawn(settings, record_events(&voter.vm, events)).map_err(|error| {
                eprintln!("event=control-failed fault=\"{error}\"");
                error.code
            })
        });
        let shells = shells.collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            shells,
            addresses,
            _folder: folder,
        })
    }

    /// Sends a change to each control VM in turn until the leader accepts it.
    async fn change(
        &self,
        name: &str,
        base: Option<VersionNumber>,
        kind: ChangeKind,
    ) -> Result<(), ResultCode> {
        let request = ChangeRequest {
            change: ChangeId::from(format!("{name}-{:x}", rand::random::<u64>())),
            base,
            operator: Arc::from("load"),
            made_ms: 0,
            kind,
        };
        let started = Instant::now();
        let mut last_code = ResultCode::NoQuorum;
        while started.elapsed() < CHANGE_TIMEOUT {
            for shell in &self.shells {
                match shell.change(request.clone()).await {
                    Ok(_committed) => return Ok(()),
                    Err(refusal) => last_code = refusal.code,
                }
            }
            tokio::time::sleep(CHANGE_RETRY_DELAY).await;
        }
        Err(last_code)
    }
}

/// Returns a sink that records the events of one VM.
fn record_events(vm: &VmName, events: &SystemEvents) -> Arc<dyn Fn(EventDraft) + Send + Sync> {
    let (vm, events) = (vm.clone(), Arc::clone(events));
    Arc::new(move |event| {
        let at = tokio::time::Instant::now();
        let vm = vm.clone();
        events.lock().push(SystemEvent { at, vm, event });
    })
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn name_voter(index: usize) -> VmName {
    VmName::from(format!("control-{index}"))
}

fn build_settings(centre: &CentrePlan, vm: &VmName, control: &[SocketAddr]) -> EntrySettings {
    EntrySettings {
        vm: vm.clone(),
        environment: EnvironmentName::from(ENVIRONMENT),
        data_centre: centre.name.clone(),
        caller_address: free_address(),
        peer_address: free_address(),
        metrics_address: free_address(),
        control: control.to_vec(),
        limits: EntryLimits::default(),
    }
}

fn build_centre_hook(control: Arc<LocalControl>) -> CentreHook {
    Box::new(move |data_centre, state| {
        let control = Arc::clone(&control);
        let environment = EnvironmentName::from(ENVIRONMENT);
        let kind = ChangeKind::SetCentre {
            environment,
            data_centre,
            state,
        };
        async move { control.change("centre", None, kind).await }.boxed()
    })
}

fn build_entry_hook(shells: EntryShells) -> EntryHook {
    Box::new(move |vm, immediate| {
        let shell = shells.lock().remove(&vm);
        async move {
            let shell = shell.ok_or(ResultCode::UnknownReference)?;
            if immediate {
                shell.stop().await;
            } else {
                shell.shutdown().await;
            }
            Ok(())
        }
        .boxed()
    })
}
