//! The `daisyhinge entries` command.

use std::fmt::Write;
use std::process::ExitCode;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::control::EntryStatus;
use daisyhinge::vocabulary::view::{EntryRecord, EntryState};
use serde::Serialize;

use crate::arguments::{EntryFilter, GroupArguments};
use crate::connection::{open_client, read_name};
use crate::exit::CommandError;
use crate::output::Output;

/// Output of `entries` for one entry: its membership record and its last freshness request.
#[derive(Debug, Serialize)]
struct EntryReport {
    entry: EntryRecord,
    /// Version that the entry had at its last freshness request; unset if the leader has received
    /// none.
    holds: Option<VersionNumber>,
    /// Milliseconds since the last freshness request of the entry.
    asked_ms: Option<u64>,
}

/// Lists the entries known to the leader of the control VMs.
pub async fn run(
    filter: &EntryFilter,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let wanted: Option<EnvironmentName> = filter
        .environment
        .as_deref()
        .map(|text| read_name("ENVIRONMENT", text))
        .transpose()?;
    let client = open_client(group)?;
    let view = client.view().await.map_err(CommandError::from_read)?;
    let status = client.leader_status().await;
    let statuses = status.map_err(CommandError::from_read)?.entries;
    let reports: Vec<_> = view
        .entries
        .into_iter()
        .filter(|entry| {
            wanted
                .as_ref()
                .is_none_or(|name| entry.environment == *name)
        })
        .map(|entry| make_report(entry, &statuses))
        .collect();
    output.show(&reports, |text| {
        for report in &reports {
            write_report(report, text);
        }
    });
    Ok(ExitCode::SUCCESS)
}

fn make_report(entry: EntryRecord, statuses: &[EntryStatus]) -> EntryReport {
    let status = statuses
        .iter()
        .find(|status| status.vm == entry.vm && status.incarnation == entry.incarnation);
    EntryReport {
        entry,
        holds: status.and_then(|status| status.holds),
        asked_ms: status.and_then(|status| status.asked_ms),
    }
}

fn write_report(report: &EntryReport, text: &mut String) {
    let entry = &report.entry;
    let state = match entry.state {
        EntryState::Live => "live",
        EntryState::Leaving => "leaving",
    };
    let show = |number: Option<u64>| number.map_or("-".to_owned(), |number| number.to_string());
    let _ = writeln!(
        text,
        "vm={} environment={} data_centre={} caller_address={} state={state} holds={} asked_ms={}",
        entry.vm,
        entry.environment,
        entry.data_centre,
        entry.caller_address,
        show(report.holds.map(|holds| holds.0)),
        show(report.asked_ms)
    );
}
