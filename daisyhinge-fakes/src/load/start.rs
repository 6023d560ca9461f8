//! Starts entries and a stand-in for control inside this process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use daisyhinge::prelude::*;
use daisyhinge::shell::entry::EntryShell;
use daisyhinge::vocabulary::setting::{EntryLimits, EntrySettings};
use futures::FutureExt;
use parking_lot::Mutex;

use crate::control::FakeControl;
use crate::load::scenario::{CentrePlan, LoadScenario};
use crate::load::system::{CentreHook, EntryHook, EntryPoint, SystemHandle};

/// Environment of the runs.
const ENVIRONMENT: &str = "trial";

type EntryTable = Arc<Mutex<HashMap<VmName, EntryShell>>>;

/// Starts the entries of `scenario` and a stand-in for control inside this process.
///
/// # Errors
///
/// `BindFailed` if no port is free.
pub async fn start_system(scenario: &LoadScenario) -> Result<SystemHandle, ResultCode> {
    let environment = EnvironmentName::from(ENVIRONMENT);
    let control = FakeControl::spawn(environment, scenario.build_document()).await?;
    let shells = EntryTable::default();
    let mut entries = Vec::new();
    for centre in &scenario.data_centres {
        for vm in &centre.entries {
            let settings = build_settings(centre, vm, control.address());
            let shell = EntryShell::spawn(settings, Arc::new(|_event| {})).await?;
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
    })
}

fn build_settings(centre: &CentrePlan, vm: &VmName, control: SocketAddr) -> EntrySettings {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    EntrySettings {
        vm: vm.clone(),
        environment: EnvironmentName::from(ENVIRONMENT),
        data_centre: centre.name.clone(),
        caller_address: free,
        peer_address: free,
        metrics_address: free,
        control: vec![control],
        limits: EntryLimits::default(),
    }
}

fn build_centre_hook(control: FakeControl) -> CentreHook {
    let change = control.changer();
    Box::new(move |centre, state| {
        let _alive = &control;
        change(&centre, state);
        async { Ok(()) }.boxed()
    })
}

fn build_entry_hook(shells: EntryTable) -> EntryHook {
    Box::new(move |vm, at_once| {
        let shell = shells.lock().remove(&vm);
        async move {
            let shell = shell.ok_or(ResultCode::UnknownReference)?;
            if at_once {
                shell.stop().await;
            } else {
                shell.shutdown().await;
            }
            Ok(())
        }
        .boxed()
    })
}
