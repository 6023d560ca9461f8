//! Waits until a change is in force everywhere.

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
use crate::exit::{CommandFault, EXIT_NOT_EVERYWHERE};
use crate::output::Output;

/// Pause between two looks at the group.
pub const POLL_PAUSE: Duration = Duration::from_millis(250);

/// Allowance for clocks that drift while a lease runs out.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// What became of a change.
#[derive(Debug, Serialize)]
pub struct ChangeReport {
    /// Version at which it came in force.
    pub version: VersionNumber,
    /// Whether it is in force everywhere; unset if that was not waited for.
    pub everywhere: Option<bool>,
    /// Entries that lack it and may still act on an older version.
    pub lacking: Vec<EntryStatus>,
    /// Entries that lack it but were not heard of for so long that they take no work.
    pub silent: Vec<EntryStatus>,
}

/// Shows an accepted change, after waiting until it is in force everywhere if that was asked for.
/// Only entries of `environment` are waited for.
pub async fn finish_change(
    client: &OperatorClient,
    arguments: &ChangeArguments,
    environment: &EnvironmentName,
    done: CommittedChange,
    output: Output,
) -> Result<ExitCode, CommandFault> {
    let mut report = ChangeReport {
        version: done.version,
        everywhere: None,
        lacking: Vec::new(),
        silent: Vec::new(),
    };
    if arguments.wait {
        let end = Instant::now() + Duration::from_secs(arguments.wait_s);
        wait_everywhere(client, environment, &mut report, end).await;
    }
    output.show(&report, |text| write_report(&report, text));
    Ok(match report.everywhere {
        Some(false) => ExitCode::from(EXIT_NOT_EVERYWHERE),
        _ => ExitCode::SUCCESS,
    })
}

async fn wait_everywhere(
    client: &OperatorClient,
    environment: &EnvironmentName,
    report: &mut ChangeReport,
    end: Instant,
) {
    report.everywhere = Some(false);
    loop {
        // While no leader answers, the entries that lacked it last are still the best answer.
        if let Ok(status) = client.leader_status().await {
            let lacking = status.entries.into_iter().filter(|entry| {
                entry.holds.is_none_or(|holds| holds < report.version)
                    && entry.environment == *environment
            });
            (report.silent, report.lacking) = lacking.partition(is_silent);
            if report.lacking.is_empty() {
                report.everywhere = Some(true);
                return;
            }
        }
        if Instant::now() + POLL_PAUSE >= end {
            return;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

/// Whether the lease of an entry has ended, so that it takes no work on an older version.
fn is_silent(entry: &EntryStatus) -> bool {
    let ended_ms = duration_to_millis(LEASE_DURATION + LEASE_MARGIN);
    // A leader that has not heard of an entry yet cannot tell.
    entry.asked_ms.is_some_and(|asked_ms| asked_ms > ended_ms)
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
            .map_or("not known".to_owned(), |holds| holds.to_string());
        let _ = writeln!(text, "lacks it: {}, version held: {holds}", entry.vm);
    }
    for entry in &report.silent {
        let vm = &entry.vm;
        let _ = writeln!(
            text,
            "not heard of: {vm}; its lease has ended, so it takes no work"
        );
    }
}
