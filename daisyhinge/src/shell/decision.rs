//! Log lines on standard output: one for each decision about a request and for each change of the
//! known state of the deployment.
//!
//! Logging never blocks a request: a thread writes the lines from a bounded queue, and lines that
//! do not fit are dropped, counted and reported. Lines of ordinary requests are limited per
//! second; requests that were refused, late, partial or repeated have a larger limit.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::prelude::*;
use crate::shell::clock::wall_micros;
use crate::vocabulary::registration::{CrashReport, ReplicaRecord};

/// Maximum number of queued lines.
const QUEUE_MAX: usize = 1_024;
/// Maximum number of lines per interval for ordinary requests, which are answered in time,
/// completely and without a repeat.
const ORDINARY_PER_SECOND: u32 = 2;
/// Maximum number of lines per interval for requests that were refused, late, partial or repeated,
/// and for received replica records and opened or lost links.
const NOTABLE_PER_SECOND: u32 = 60;
/// Interval to which the line limits apply.
const BUDGET_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of records of one crash report that are logged.
const CRASH_RECORDS_LOGGED: usize = 8;

/// Number of lines written and dropped in the current interval.
#[derive(Debug)]
struct LineBudget {
    since: Instant,
    ordinary: u32,
    notable: u32,
    dropped: u64,
}

/// Decision log of a process.
#[derive(Debug)]
pub struct DecisionLog {
    lines: SyncSender<String>,
    budget: Mutex<LineBudget>,
}

impl DecisionLog {
    /// Starts the thread that writes the lines.
    pub fn open() -> Self {
        let (lines, queue) = sync_channel(QUEUE_MAX);
        let thread = std::thread::Builder::new().name("log".to_owned());
        if let Err(error) = thread.spawn(move || write_lines(&queue)) {
            eprintln!("event=log_failed error={error:?}");
        }
        Self {
            lines,
            budget: Mutex::new(LineBudget {
                since: Instant::now(),
                ordinary: 0,
                notable: 0,
                dropped: 0,
            }),
        }
    }

    /// Logs a line about a request, if the limit of its class permits. `text` is called only then.
    pub fn log_request(&self, notable: bool, text: impl FnOnce() -> String) {
        if self.consume_budget(notable) {
            self.send(&text());
        }
    }

    fn consume_budget(&self, notable: bool) -> bool {
        let mut budget = self.budget.lock();
        if budget.since.elapsed() >= BUDGET_INTERVAL {
            let dropped = budget.dropped;
            *budget = LineBudget {
                since: Instant::now(),
                ordinary: 0,
                notable: 0,
                dropped: 0,
            };
            if dropped > 0 {
                drop(budget);
                self.send(&format!("event=lines_dropped count={dropped}"));
                budget = self.budget.lock();
            }
        }
        let (used, allowed) = if notable {
            (&mut budget.notable, NOTABLE_PER_SECOND)
        } else {
            (&mut budget.ordinary, ORDINARY_PER_SECOND)
        };
        let fits = *used < allowed;
        *used += u32::from(fits);
        if !fits && notable {
            budget.dropped += 1;
        }
        fits
    }

    /// Logs the adoption of a state of the deployment.
    pub fn log_view(&self, revision: u64, version: u64, evacuated: usize) {
        self.send(&format!(
            "event=view_adopted revision={revision} version={version} evacuated={evacuated}"
        ));
    }

    /// Logs a received replica record.
    pub fn log_replica(&self, record: &ReplicaRecord) {
        self.log_request(true, || {
            format!(
                "event=replica_told replica={} service={} phase={:?} sequence={} cold_left_ms={}",
                record.name, record.service, record.phase, record.sequence, record.cold_left_ms
            )
        });
    }

    /// Logs received crash records.
    pub fn log_crash_report(&self, report: &CrashReport) {
        self.log_request(true, || {
            let digests = report.records.iter().take(CRASH_RECORDS_LOGGED);
            let digests: Vec<String> = digests
                .map(|record| format!("{:016x}:{}", record.digest.0, record.crashes))
                .collect();
            format!(
                "event=crash_report_received vm={} revision={} records={} digests={}",
                report.vm,
                report.revision,
                report.records.len(),
                digests.join(",")
            )
        });
    }

    /// Logs that the link to a control process was opened or lost.
    pub fn log_link(&self, address: SocketAddr, gained: bool) {
        let event = if gained {
            "control_gained"
        } else {
            "control_lost"
        };
        self.send(&format!("event={event} address={address}"));
    }

    /// Logs that the link to an entry of another region was opened or lost.
    pub fn log_peer(&self, address: SocketAddr, gained: bool) {
        let event = if gained { "peer_gained" } else { "peer_lost" };
        self.log_request(true, || format!("event={event} address={address}"));
    }

    /// Logs that a configuration could not be decoded.
    pub fn log_bad_document(&self, version: u64, code: ResultCode) {
        self.send(&format!(
            "event=view_refused version={version} code={}",
            code.number()
        ));
    }

    /// Logs a line that is exempt from the limits.
    pub fn write_line(&self, text: &str) {
        self.send(text);
    }

    fn send(&self, text: &str) {
        let line = format!("time_us={} {text}\n", wall_micros());
        if self.lines.try_send(line).is_err() {
            self.budget.lock().dropped += 1;
        }
    }
}

fn write_lines(queue: &Receiver<String>) {
    let mut output = std::io::stdout();
    while let Ok(first) = queue.recv() {
        let mut text = first;
        while let Ok(next) = queue.try_recv() {
            text.push_str(&next);
        }
        // There is nowhere to report that standard output is closed.
        drop(output.write_all(text.as_bytes()));
    }
}
