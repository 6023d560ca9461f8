//! `daisyhinge entries`.

use std::fmt::Write;
use std::process::ExitCode;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::status::EntryStatus;
use daisyhinge::vocabulary::view::EntryState;

use crate::arguments::{EntryFilter, GroupArguments};
use crate::connection::{open_client, read_name};
use crate::exit::CommandFault;
use crate::output::Output;

/// Lists the entries as the leader of the control VMs sees them.
pub async fn run(
    filter: &EntryFilter,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandFault> {
    let wanted: Option<EnvironmentName> = filter
        .environment
        .as_deref()
        .map(|text| read_name("ENVIRONMENT", text))
        .transpose()?;
    let status = open_client(group)?.leader_status().await;
    let mut entries = status.map_err(CommandFault::from_read)?.entries;
    entries.retain(|entry| {
        wanted
            .as_ref()
            .is_none_or(|wanted| entry.environment == *wanted)
    });
    output.show(&entries, |text| {
        for entry in &entries {
            write_entry(entry, text);
        }
    });
    Ok(ExitCode::SUCCESS)
}

fn write_entry(entry: &EntryStatus, text: &mut String) {
    let state = match entry.state {
        EntryState::Live => "live",
        EntryState::Leaving => "leaving",
    };
    let _ = writeln!(
        text,
        "vm={} environment={} data_centre={} caller_address={} state={state} holds={} heard_ms={}",
        entry.vm,
        entry.environment,
        entry.data_centre,
        entry.caller_address,
        entry.holds,
        entry.heard_ms
    );
}
