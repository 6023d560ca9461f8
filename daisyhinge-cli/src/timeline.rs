//! The `daisyhinge timeline` command.

use std::fmt::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::shell::http_port::fetch::{PortRequest, fetch};
use daisyhinge::shell::timeline::read_wall_us;
use daisyhinge::timeline::filter::find_kind;
use daisyhinge::timeline::{EventFilter, EventLine, EventPage, merge_records};
use daisyhinge::vocabulary::event::EventRecord;
use serde::Serialize;
use tokio::task::JoinSet;

use crate::arguments::TimelineQuery;
use crate::connection::read_name;
use crate::exit::CommandError;
use crate::output::Output;

/// Timeout of a request to one process.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

const MICROS_PER_SECOND: u64 = 1_000_000;

/// JSON output of `timeline`.
#[derive(Debug, Serialize)]
struct TimelineReport {
    /// Merged events in timestamp order.
    events: Vec<EventRecord>,
    /// Processes that did not answer; their events are missing.
    unreachable: Vec<SocketAddr>,
    /// VMs whose older events are missing, because their ring buffer was full or the limit was
    /// reached.
    incomplete: Vec<VmName>,
}

/// Events of one process, or the information that it did not answer.
#[derive(Debug)]
struct FetchOutcome {
    address: SocketAddr,
    /// Unset if the process did not answer.
    page: Option<EventPage>,
}

/// Fetches the events of the processes, merges and prints them.
pub async fn run(query: &TimelineQuery, output: Output) -> Result<ExitCode, CommandError> {
    let target = format!("/v1/timeline?{}", build_filter(query)?.to_query());
    let report = fetch_report(query, &target).await;
    if report.unreachable.len() == query.processes.len() {
        return Err(CommandError::Unreachable);
    }
    for address in &report.unreachable {
        output.show_message(&format!("{address} did not answer; its events are missing"));
    }
    for vm in &report.incomplete {
        output.show_message(&format!("older events of {vm} were dropped or left out"));
    }
    output.show(&report, |text| {
        for record in &report.events {
            let _ = writeln!(text, "{}", EventLine(record));
        }
    });
    Ok(ExitCode::SUCCESS)
}

async fn fetch_report(query: &TimelineQuery, target: &str) -> TimelineReport {
    let mut fetches = JoinSet::new();
    for address in query.processes.clone() {
        fetches.spawn(fetch_page(address, target.to_owned()));
    }
    let mut pages = Vec::new();
    let mut report = TimelineReport {
        events: Vec::new(),
        unreachable: Vec::new(),
        incomplete: Vec::new(),
    };
    for outcome in fetches.join_all().await {
        match outcome.page {
            Some(page) => {
                if page.truncated || page.dropped > 0 {
                    report.incomplete.push(page.vm.clone());
                }
                pages.push(page);
            }
            None => report.unreachable.push(outcome.address),
        }
    }
    report.events = merge_records(pages);
    report
}

async fn fetch_page(address: SocketAddr, target: String) -> FetchOutcome {
    let reply = fetch(address, &PortRequest::get(target), FETCH_TIMEOUT).await;
    let page = reply
        .ok()
        .filter(|reply| reply.status == 200)
        .and_then(|reply| serde_json::from_slice(&reply.body).ok());
    FetchOutcome { address, page }
}

fn build_filter(query: &TimelineQuery) -> Result<EventFilter, CommandError> {
    let last_us = query
        .last_s
        .map(|seconds| read_wall_us().saturating_sub(seconds.saturating_mul(MICROS_PER_SECOND)));
    Ok(EventFilter {
        request: read_optional("--request", query.request.as_deref())?,
        replica: read_optional("--replica", query.replica.as_deref())?,
        data_centre: read_optional("--data-centre", query.data_centre.as_deref())?,
        since_us: query.since_us.or(last_us),
        until_us: query.until_us,
        kind: match query.kind.as_deref() {
            None => None,
            Some(text) => Some(find_kind(text).ok_or_else(|| {
                let detail = format!("{text:?}; expected a kind of event, such as sub-hedged");
                CommandError::argument("--kind", ResultCode::UnknownReference, detail)
            })?),
        },
        limit: query.limit,
    })
}

fn read_optional<T: for<'a> From<&'a str>>(
    path: &str,
    text: Option<&str>,
) -> Result<Option<T>, CommandError> {
    text.map(|text| read_name(path, text)).transpose()
}
