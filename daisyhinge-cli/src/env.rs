//! The `daisyhinge env` command.

use std::fmt::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use daisyhinge::environment::{DocumentDifference, diff_documents};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRecord};
use daisyhinge::vocabulary::environment::EnvironmentDocument;
use serde::Serialize;
use serde_json::Value;

use crate::arguments::env::{ApplyArguments, DiffArguments, PromoteArguments};
use crate::arguments::{EnvCommand, GroupArguments};
use crate::connection::{
    open_client, read_document, read_in_force, read_name, read_version, send_change,
};
use crate::exit::{CommandError, EXIT_DIFFERENT};
use crate::output::Output;
use crate::wait::finish_change;

/// JSON output of `env show`.
#[derive(Debug, Serialize)]
struct ShownDocument<'a> {
    environment: &'a EnvironmentName,
    version: VersionNumber,
    document: &'a EnvironmentDocument,
}

/// Output of `env check` for a valid document: the number of services and data centres.
#[derive(Debug, Serialize)]
struct CheckReport {
    services: usize,
    data_centres: usize,
}

/// Runs an `env` subcommand.
pub async fn run(
    command: &EnvCommand,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    match command {
        EnvCommand::Check { file } => check_file(file, output),
        EnvCommand::Apply(arguments) => apply(arguments, group, output).await,
        EnvCommand::Show {
            environment,
            version_only,
        } => show(environment, *version_only, group, output).await,
        EnvCommand::Diff(arguments) => diff(arguments, group, output).await,
        EnvCommand::Promote(arguments) => promote(arguments, group, output).await,
        EnvCommand::History { environment } => history(environment, group, output).await,
    }
}

fn check_file(file: &Path, output: Output) -> Result<ExitCode, CommandError> {
    let document = read_document(file)?;
    let report = CheckReport {
        services: document.services.len(),
        data_centres: document
            .regions
            .iter()
            .map(|region| region.data_centres.len())
            .sum(),
    };
    output.show(&report, |text| {
        let (services, centres) = (report.services, report.data_centres);
        let _ = writeln!(text, "valid: {services} services, {centres} data centres");
    });
    Ok(ExitCode::SUCCESS)
}

async fn apply(
    arguments: &ApplyArguments,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let environment: EnvironmentName = read_name("ENVIRONMENT", &arguments.environment)?;
    let document = read_document(&arguments.file)?;
    let client = open_client(group)?;
    let kind = ChangeKind::Apply {
        environment: environment.clone(),
        document: Arc::new(document),
    };
    let base = Some(VersionNumber(arguments.base));
    let committed = send_change(&client, &arguments.change, base, kind, output).await?;
    finish_change(&client, &arguments.change, &environment, committed, output).await
}

async fn show(
    environment: &str,
    version_only: bool,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let environment: EnvironmentName = read_name("ENVIRONMENT", environment)?;
    let in_force = read_in_force(&open_client(group)?, &environment).await?;
    if version_only {
        output.show(&in_force.version, |text| {
            let _ = writeln!(text, "{}", in_force.version);
        });
        return Ok(ExitCode::SUCCESS);
    }
    let shown = ShownDocument {
        environment: &environment,
        version: in_force.version,
        document: &in_force.document,
    };
    output.show_message(&format!("version {}", in_force.version));
    output.show(&shown, |text| {
        *text = serde_json::to_string_pretty(&in_force.document).unwrap_or_default();
        text.push('\n');
    });
    Ok(ExitCode::SUCCESS)
}

async fn diff(
    arguments: &DiffArguments,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let environment: EnvironmentName = read_name("ENVIRONMENT", &arguments.environment)?;
    let file = arguments.file.as_deref().map(read_document).transpose()?;
    let client = open_client(group)?;
    let before = read_in_force(&client, &environment).await?.document;
    let after = match (file, &arguments.with) {
        (Some(document), _) => Arc::new(document),
        (None, with) => {
            let other: EnvironmentName = read_name("--with", with.as_deref().unwrap_or(""))?;
            read_in_force(&client, &other).await?.document
        }
    };
    let differences = diff_documents(&before, &after);
    output.show(&differences, |text| write_differences(&differences, text));
    Ok(if differences.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_DIFFERENT)
    })
}

fn write_differences(differences: &[DocumentDifference], text: &mut String) {
    let show = |value: &Option<Value>| value.as_ref().map_or("-".to_owned(), Value::to_string);
    for difference in differences {
        let (before, after) = (show(&difference.before), show(&difference.after));
        let _ = writeln!(text, "{}: {before} -> {after}", difference.path);
    }
}

async fn promote(
    arguments: &PromoteArguments,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let from: EnvironmentName = read_name("FROM", &arguments.from)?;
    let to: EnvironmentName = read_name("TO", &arguments.to)?;
    let client = open_client(group)?;
    let base = match arguments.base {
        Some(base) => VersionNumber(base),
        None if arguments.change.change_id.is_some() => {
            let detail = "resending a change requires the --base that was printed with its id";
            return Err(CommandError::argument(
                "--base",
                ResultCode::MissingField,
                detail,
            ));
        }
        None => read_version(&client, &to).await?,
    };
    output.show_message(&format!("base {base}"));
    let kind = ChangeKind::Promote {
        from,
        trusted: VersionNumber(arguments.trusted),
        to: to.clone(),
    };
    let committed = send_change(&client, &arguments.change, Some(base), kind, output).await?;
    finish_change(&client, &arguments.change, &to, committed, output).await
}

async fn history(
    environment: &str,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let environment: EnvironmentName = read_name("ENVIRONMENT", environment)?;
    let records = open_client(group)?.history(&environment).await;
    let records = records.map_err(CommandError::from_read)?;
    output.show(&records, |text| {
        for record in &records {
            write_record(record, text);
        }
    });
    Ok(ExitCode::SUCCESS)
}

fn write_record(record: &ChangeRecord, text: &mut String) {
    let _ = writeln!(
        text,
        "version={} made_ms={} operator={} change={} {}",
        record.version, record.made_ms, record.operator, record.change, record.summary
    );
}
