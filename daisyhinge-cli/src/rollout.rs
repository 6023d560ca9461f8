//! The `daisyhinge rollout` command.

use std::fmt::Write;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use hyper::Method;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::arguments::rollout::StartArguments;
use crate::arguments::{GroupArguments, RolloutCommand};
use crate::connection::{read_name, read_operators};
use crate::exit::CommandError;
use crate::output::Output;
use crate::rollout_calls::RolloutCalls;

const PATH_ROLLOUTS: &str = "/daisyhinge/rollouts";
const PATH_CONFIG: &str = "/daisyhinge/config";

/// Maximum length of a version's name, in bytes.
const VERSION_MAX_BYTES: usize = 128;
/// Minimum and maximum duration of a rollout, in seconds.
const DURATION_MIN_S: f64 = 1.0;
const DURATION_MAX_S: f64 = 86_400.0;

/// State of a rollout, as control replies.
#[derive(Debug, Deserialize)]
struct RolloutState {
    state: String,
    target_version: String,
}

/// State of the latest rollout of a service, as printed.
#[derive(Debug, Serialize)]
struct RolloutReport {
    service: String,
    state: String,
    target_version: String,
}

/// Accepted order, as printed.
#[derive(Debug, Serialize)]
struct OrderReport<'order> {
    service: &'order str,
    target_version: &'order str,
    seconds: f64,
}

/// Services of a configuration.
#[derive(Debug, Deserialize)]
struct ConfiguredServices {
    #[serde(default)]
    services: Vec<ConfiguredService>,
}

#[derive(Debug, Deserialize)]
struct ConfiguredService {
    name: String,
}

/// Runs a `rollout` subcommand.
pub async fn run(
    command: &RolloutCommand,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let open_calls = || -> Result<RolloutCalls, CommandError> {
        let timeout = Duration::from_secs(group.timeout_s);
        Ok(RolloutCalls::new(read_operators(group)?, timeout))
    };
    match command {
        RolloutCommand::Start(arguments) => {
            check_order(arguments)?;
            start(arguments, &open_calls()?, output).await
        }
        RolloutCommand::Show { service } => {
            read_name::<ServiceName>("SERVICE", service)?;
            let report = read_rollout(&open_calls()?, service).await?;
            output.show(&report, |text| write_report(&report, text));
            Ok(ExitCode::SUCCESS)
        }
        RolloutCommand::List => list(&open_calls()?, output).await,
    }
}

/// Checks an order as control does, so that bad input is reported without a connection.
fn check_order(arguments: &StartArguments) -> Result<(), CommandError> {
    read_name::<ServiceName>("SERVICE", &arguments.service)?;
    let version = &arguments.version;
    let is_bad = |letter: char| letter.is_whitespace() || letter.is_control();
    if version.is_empty() || version.len() > VERSION_MAX_BYTES || version.contains(is_bad) {
        let detail = format!(
            "{version:?}; expected 1 to {VERSION_MAX_BYTES} bytes without spaces and control characters"
        );
        return Err(CommandError::argument(
            "VERSION",
            ResultCode::BadName,
            detail,
        ));
    }
    let seconds = arguments.seconds;
    if !(DURATION_MIN_S..=DURATION_MAX_S).contains(&seconds) {
        let detail = format!("{seconds}; expected {DURATION_MIN_S} to {DURATION_MAX_S} seconds");
        return Err(CommandError::argument(
            "--seconds",
            ResultCode::OutOfRange,
            detail,
        ));
    }
    Ok(())
}

async fn start(
    arguments: &StartArguments,
    calls: &RolloutCalls,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let StartArguments {
        service,
        version,
        seconds,
    } = arguments;
    let body = json!({"service": service, "target_version": version, "duration_s": seconds});
    let body = Bytes::from(body.to_string());
    let _: IgnoredAny = calls.call(Method::POST, PATH_ROLLOUTS, body).await?;
    let report = OrderReport {
        service,
        target_version: version,
        seconds: *seconds,
    };
    output.show(&report, |text| {
        let _ = writeln!(
            text,
            "ordered service={service} target_version={version} seconds={seconds}"
        );
    });
    Ok(ExitCode::SUCCESS)
}

async fn read_rollout(calls: &RolloutCalls, service: &str) -> Result<RolloutReport, CommandError> {
    let path = format!("{PATH_ROLLOUTS}/{service}");
    let state: RolloutState = calls.call(Method::GET, &path, Bytes::new()).await?;
    Ok(RolloutReport {
        service: service.to_owned(),
        state: state.state,
        target_version: state.target_version,
    })
}

async fn list(calls: &RolloutCalls, output: Output) -> Result<ExitCode, CommandError> {
    let config: ConfiguredServices = calls.call(Method::GET, PATH_CONFIG, Bytes::new()).await?;
    let mut reports = Vec::new();
    for service in &config.services {
        match read_rollout(calls, &service.name).await {
            Ok(report) => reports.push(report),
            Err(CommandError::Refused(refusal)) if refusal.code == ResultCode::UnknownRollout => {}
            Err(error) => return Err(error),
        }
    }
    output.show(&reports, |text| {
        for report in &reports {
            write_report(report, text);
        }
    });
    Ok(ExitCode::SUCCESS)
}

fn write_report(report: &RolloutReport, text: &mut String) {
    let _ = writeln!(
        text,
        "service={} state={} target_version={}",
        report.service, report.state, report.target_version
    );
}
