//! Reports an accepted change and, with `--wait`, waits until it is in force everywhere.

use std::fmt::Write;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use daisyhinge::prelude::*;
use daisyhinge::shell::operator::OperatorClient;
use daisyhinge::vocabulary::change::CommittedChange;
use daisyhinge::vocabulary::clock::duration_to_millis;
use daisyhinge::vocabulary::control::EntryStatus;
use daisyhinge::vocabulary::freshness::LEASE_DURATION;
use serde::Serialize;

use crate::arguments::ChangeArguments;
use crate::exit::{CommandError, EXIT_NOT_EVERYWHERE};
use crate::output::Output;

/// Interval between two status requests to the control VMs.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Allowance for the difference between the clock rates of an entry and the leader during a lease.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// Output of a command that changes an environment.
#[derive(Debug, Serialize)]
pub struct ChangeReport {
    /// Version at which the change was committed.
    pub version: VersionNumber,
    /// Whether the change is in force on every entry; unset without `--wait`.
    pub everywhere: Option<bool>,
    /// Entries without the change whose lease may still be valid, so that they may accept work on
    /// an older version.
    pub lacking: Vec<EntryStatus>,
    /// Entries without the change whose lease has expired since their last contact, so that they
    /// accept no work.
    pub silent: Vec<EntryStatus>,
}

/// Prints an accepted change, with `--wait` only after it is in force on every entry of
/// `environment` or the timeout has passed.
pub async fn finish_change(
    client: &OperatorClient,
    arguments: &ChangeArguments,
    environment: &EnvironmentName,
    committed: CommittedChange,
    output: Output,
) -> Result<ExitCode, CommandError> {
    let mut report = ChangeReport {
        version: committed.version,
        everywhere: None,
        lacking: Vec::new(),
        silent: Vec::new(),
    };
    if arguments.wait {
        let deadline = Instant::now() + Duration::from_secs(arguments.wait_s);
        wait_until_in_force(client, environment, &mut report, deadline).await;
    }
    output.show(&report, |text| write_report(&report, text));
    Ok(match report.everywhere {
        Some(false) => ExitCode::from(EXIT_NOT_EVERYWHERE),
        _ => ExitCode::SUCCESS,
    })
}

async fn wait_until_in_force(
    client: &OperatorClient,
    environment: &EnvironmentName,
    report: &mut ChangeReport,
    deadline: Instant,
) {
    report.everywhere = Some(false);
    loop {
        // While no leader answers, the report keeps the entries of the last status received.
        if let Ok(status) = client.leader_status().await {
            let lacking = status.entries.into_iter().filter(|entry| {
                entry.holds.is_none_or(|holds| holds < report.version)
                    && entry.environment == *environment
            });
            (report.silent, report.lacking) = lacking.partition(has_expired_lease);
            if report.lacking.is_empty() {
                report.everywhere = Some(true);
                return;
            }
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Whether the lease of an entry has expired, so that it accepts no work on an older version.
fn has_expired_lease(entry: &EntryStatus) -> bool {
    let expiry_ms = duration_to_millis(LEASE_DURATION + LEASE_MARGIN);
    // A leader that has not received a request of the entry cannot tell: the lease may be valid.
    entry.asked_ms.is_some_and(|asked_ms| asked_ms > expiry_ms)
}

fn write_report(report: &ChangeReport, text: &mut String) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "accepted at version {}", report.version);
    match report.everywhere {
        Some(true) => text.push_str("in force on every entry\n"),
        Some(false) => text.push_str("not yet in force everywhere\n"),
        None => {}
    }
    for entry in &report.lacking {
        let holds = entry
            .holds
            .map_or("unknown".to_owned(), |holds| holds.to_string());
        let _ = writeln!(text, "not yet in force: {}, version: {holds}", entry.vm);
    }
    for entry in &report.silent {
        let vm = &entry.vm;
        let _ = writeln!(
            text,
            "no recent contact: {vm}; its lease has expired, so it accepts no work"
        );
    }
}
