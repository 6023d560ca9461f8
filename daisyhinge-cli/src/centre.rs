//! The `daisyhinge data-centre` command.

use std::fmt::Write;
use std::process::ExitCode;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::change::ChangeKind;
use daisyhinge::vocabulary::environment::{CentreEntry, CentreState};
use daisyhinge::vocabulary::view::{ControlView, EntryState};
use serde::Serialize;

use crate::arguments::centre::CentreArguments;
use crate::arguments::{CentreCommand, GroupArguments};
use crate::connection::{open_client, read_name, send_change};
use crate::exit::CommandError;
use crate::output::Output;
use crate::wait::finish_change;

/// State of one data centre of one environment, as printed by `data-centre status`.
#[derive(Debug, Serialize)]
struct CentreReport {
    environment: EnvironmentName,
    region: RegionName,
    data_centre: CentreName,
    state: CentreState,
    power_cap: Option<u32>,
    live_entries: usize,
}

/// Runs a `data-centre` subcommand.
pub async fn run(
    command: &CentreCommand,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    match command {
        CentreCommand::TakeOut(arguments) => {
            set_state(arguments, CentreState::Out, group, output).await
        }
        CentreCommand::Return(arguments) => {
            set_state(arguments, CentreState::In, group, output).await
        }
        CentreCommand::Status { environment } => {
            show_status(environment.as_deref(), group, output).await
        }
    }
}

async fn set_state(
    arguments: &CentreArguments,
    state: CentreState,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let environment: EnvironmentName = read_name("ENVIRONMENT", &arguments.environment)?;
    let client = open_client(group)?;
    let kind = ChangeKind::SetCentre {
        environment: environment.clone(),
        data_centre: read_name("DATA_CENTRE", &arguments.data_centre)?,
        state,
    };
    let committed = send_change(&client, &arguments.change, None, kind, output).await?;
    finish_change(&client, &arguments.change, &environment, committed, output).await
}

async fn show_status(
    environment: Option<&str>,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let wanted: Option<EnvironmentName> = environment
        .map(|text| read_name("ENVIRONMENT", text))
        .transpose()?;
    let view = open_client(group)?.view().await;
    let view = view.map_err(CommandError::from_read)?;
    let reports = centre_reports(&view, wanted.as_ref());
    output.show(&reports, |text| {
        for report in &reports {
            write_report(report, text);
        }
    });
    Ok(ExitCode::SUCCESS)
}

fn centre_reports(view: &ControlView, wanted: Option<&EnvironmentName>) -> Vec<CentreReport> {
    let mut reports = Vec::new();
    for (environment, document) in &view.environments {
        if wanted.is_some_and(|wanted| wanted != environment) {
            continue;
        }
        for region in &document.regions {
            reports.extend(region.data_centres.iter().map(|centre| CentreReport {
                environment: environment.clone(),
                region: region.name.clone(),
                data_centre: centre.name.clone(),
                state: centre.state,
                power_cap: centre.power_cap,
                live_entries: count_live_entries(view, environment, centre),
            }));
        }
    }
    reports
}

fn count_live_entries(
    view: &ControlView,
    environment: &EnvironmentName,
    centre: &CentreEntry,
) -> usize {
    view.entries
        .iter()
        .filter(|entry| entry.environment == *environment)
        .filter(|entry| entry.data_centre == centre.name && entry.state == EntryState::Live)
        .count()
}

fn write_report(report: &CentreReport, text: &mut String) {
    let state = match report.state {
        CentreState::In => "in",
        CentreState::Out => "out",
    };
    let cap = report
        .power_cap
        .map_or("none".to_owned(), |cap| cap.to_string());
    let _ = writeln!(
        text,
        "environment={} region={} data_centre={} state={state} power_cap={cap} live_entries={}",
        report.environment, report.region, report.data_centre, report.live_entries
    );
}
