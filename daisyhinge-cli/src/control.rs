//! The `daisyhinge control` command.

use std::fmt::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use daisyhinge::prelude::*;
use daisyhinge::shell::operator::OperatorClient;
use daisyhinge::shell::operator::client::ClientError;
use daisyhinge::vocabulary::change::ChangeKind;
use daisyhinge::vocabulary::control::{ControlRole, ControlStatus, VoterStatus};
use serde::Serialize;

use crate::arguments::{ChangeArguments, ControlCommand, GroupArguments};
use crate::connection::{open_client, read_name, read_operators, send_change};
use crate::exit::{CommandError, EXIT_NOT_EVERYWHERE};
use crate::output::Output;
use crate::wait::POLL_INTERVAL;

/// Output of `control status` for one address of `--operators`.
#[derive(Debug, Serialize)]
struct StatusReport {
    operator_address: SocketAddr,
    /// Unset if the control VM did not answer.
    status: Option<ControlStatus>,
}

/// Output of `control add` and `control remove`.
#[derive(Debug, Serialize)]
struct VoterReport {
    /// Version at which the change was committed.
    version: VersionNumber,
    /// Whether the group has the requested members; unset without `--wait`.
    settled: Option<bool>,
    /// Members of the group; empty without `--wait`.
    voters: Vec<VoterStatus>,
}

/// Runs a `control` subcommand.
pub async fn run(
    command: &ControlCommand,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    match command {
        ControlCommand::Status => show_status(group, output).await,
        ControlCommand::Add {
            vm,
            address,
            change,
        } => {
            let kind = ChangeKind::AddVoter {
                vm: read_name("VM", vm)?,
                address: *address,
            };
            change_group(change, kind, group, output).await
        }
        ControlCommand::Remove { vm, change } => {
            let kind = ChangeKind::RemoveVoter {
                vm: read_name("VM", vm)?,
            };
            change_group(change, kind, group, output).await
        }
    }
}

async fn change_group(
    change: &ChangeArguments,
    kind: ChangeKind,
    group: &GroupArguments,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let client = open_client(group)?;
    let requested = kind.clone();
    let committed = send_change(&client, change, None, kind, output).await?;
    let mut report = VoterReport {
        version: committed.version,
        settled: None,
        voters: Vec::new(),
    };
    if change.wait {
        let deadline = Instant::now() + Duration::from_secs(change.wait_s);
        wait_until_settled(&client, &requested, &mut report, deadline).await;
    }
    output.show(&report, |text| write_voters(&report, text));
    Ok(match report.settled {
        Some(false) => ExitCode::from(EXIT_NOT_EVERYWHERE),
        _ => ExitCode::SUCCESS,
    })
}

/// Waits until an added VM votes or a removed VM is no longer a member, or until `deadline`.
async fn wait_until_settled(
    client: &OperatorClient,
    requested: &ChangeKind,
    report: &mut VoterReport,
    deadline: Instant,
) {
    report.settled = Some(false);
    loop {
        if let Ok(status) = client.leader_status().await {
            report.voters = status.voters;
            if has_requested_members(requested, &report.voters) {
                report.settled = Some(true);
                return;
            }
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn has_requested_members(requested: &ChangeKind, voters: &[VoterStatus]) -> bool {
    match requested {
        ChangeKind::AddVoter { vm, .. } => {
            voters.iter().any(|voter| voter.vm == *vm && !voter.learner)
        }
        ChangeKind::RemoveVoter { vm } => voters.iter().all(|voter| voter.vm != *vm),
        _ => true,
    }
}

fn write_voters(report: &VoterReport, text: &mut String) {
    let _ = writeln!(text, "accepted at version {}", report.version);
    match report.settled {
        Some(true) => text.push_str("the group has the requested members\n"),
        Some(false) => text.push_str("the group does not have the requested members yet\n"),
        None => {}
    }
    for voter in &report.voters {
        write_voter(voter, text);
    }
}

async fn show_status(group: &GroupArguments, output: Output) -> Result<ExitCode, CommandError> {
    let client = open_client(group)?;
    let mut reports = Vec::new();
    for operator_address in read_operators(group)? {
        let status = match client.status(operator_address).await {
            Ok(status) => Some(status),
            Err(ClientError::Refused(refusal)) => return Err(CommandError::Refused(refusal)),
            Err(_) => None,
        };
        reports.push(StatusReport {
            operator_address,
            status,
        });
    }
    output.show(&reports, |text| {
        for report in &reports {
            write_report(report, text);
        }
    });
    if reports.iter().any(|report| report.status.is_some()) {
        Ok(ExitCode::SUCCESS)
    } else {
        Err(CommandError::Unreachable)
    }
}

fn write_report(report: &StatusReport, text: &mut String) {
    let address = report.operator_address;
    let Some(status) = &report.status else {
        let _ = writeln!(text, "operator_address={address} reached=no");
        return;
    };
    let leader = status.leader.as_ref().map_or("-", VmName::as_str);
    let _ = writeln!(
        text,
        "operator_address={address} vm={} role={} leader={leader} confirmed_ms={} term={} \
         version={} committed={} claims={}",
        status.vm,
        role_name(status.role),
        format_number(status.confirmed_ms),
        status.term,
        status.version,
        status.commit,
        status.claims
    );
    if status.role == ControlRole::Leader {
        for voter in &status.voters {
            write_voter(voter, text);
        }
    }
}

fn role_name(role: ControlRole) -> &'static str {
    match role {
        ControlRole::Leader => "leader",
        ControlRole::Follower => "follower",
        ControlRole::Candidate => "candidate",
        ControlRole::Learner => "learner",
        ControlRole::Outside => "outside",
    }
}

fn format_number(number: Option<u64>) -> String {
    number.map_or("-".to_owned(), |number| number.to_string())
}

fn write_voter(voter: &VoterStatus, text: &mut String) {
    let _ = writeln!(
        text,
        "  vm={} address={} votes={} matched={} heard_ms={}",
        voter.vm,
        voter.address,
        if voter.learner { "not-yet" } else { "yes" },
        format_number(voter.matched),
        format_number(voter.heard_ms)
    );
}
