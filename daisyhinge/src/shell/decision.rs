//! Log lines on standard output: one for each decision about a request and for each change of the
//! known state of the deployment.
//!
//! Logging never blocks a request: a thread writes the lines from a bounded queue, and lines that
//! do not fit are dropped, counted and reported. The lines of each class are limited per second.

use std::borrow::Cow;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Instant;

use parking_lot::Mutex;

use crate::prelude::*;
use crate::shell::clock::wall_micros;
use crate::shell::line_budget::{LineBudget, LineClass};
use crate::vocabulary::registration::{CrashReport, ReplicaRecord};
use crate::vocabulary::site::SiteState;

/// Maximum number of queued lines.
const QUEUE_MAX: usize = 1_024;
/// Maximum number of records of one crash report that are logged.
const CRASH_RECORDS_LOGGED: usize = 8;

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
            budget: Mutex::new(LineBudget::open(Instant::now())),
        }
    }

    /// Logs a line, if the limit of its class permits. `text` is called only then.
    pub fn log_line(&self, class: LineClass, text: impl FnOnce() -> String) {
        let (dropped, fits) = {
            let mut budget = self.budget.lock();
            (budget.roll(Instant::now()), budget.take(class))
        };
        if let Some(dropped) = dropped {
            self.send(&format!(
                "event=lines_dropped count={} requests={} state={} queued={} ordinary={}",
                dropped.notable(),
                dropped.requests,
                dropped.state,
                dropped.queued,
                dropped.ordinary
            ));
        }
        if fits {
            self.send(&text());
        }
    }

    /// Logs the adoption of a state of the deployment. `details` are further fields: what was in force
    /// before, what is now, and where the state came from.
    pub fn log_view(&self, state: &SiteState, details: &str) {
        self.send(&format!(
            "event=view_adopted revision={} version={} evacuated={} feature_level={} {details}",
            state.revision,
            state.version(),
            state.evacuated.len(),
            state.feature_level
        ));
    }

    /// Logs a received replica record.
    pub fn log_replica(&self, record: &ReplicaRecord) {
        self.log_line(LineClass::State, || {
            format!(
                "event=replica_told replica={} service={} phase={:?} sequence={} cold_left_ms={}",
                record.name, record.service, record.phase, record.sequence, record.cold_left_ms
            )
        });
    }

    /// Logs received crash records.
    pub fn log_crash_report(&self, report: &CrashReport) {
        self.log_line(LineClass::State, || {
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
        self.log_line(LineClass::State, || {
            format!("event={event} address={address}")
        });
    }

    /// Logs that a configuration could not be decoded. `details` are further fields: digest and size
    /// of the text, and where it came from.
    pub fn log_bad_document(&self, version: u64, code: ResultCode, details: &str) {
        self.send(&format!(
            "event=view_refused version={version} code={} name={} {details}",
            code.number(),
            code.name()
        ));
    }

    /// Logs a line that is exempt from the limits.
    pub fn write_line(&self, text: &str) {
        self.send(text);
    }

    fn send(&self, text: &str) {
        let line = format!("time_us={} {}\n", wall_micros(), escape_controls(text));
        if self.lines.try_send(line).is_err() {
            self.budget.lock().count_queued();
        }
    }
}

/// Escapes control characters: names from outside must not end a line.
fn escape_controls(text: &str) -> Cow<'_, str> {
    if !text.contains(char::is_control) {
        return Cow::Borrowed(text);
    }
    let mut escaped = String::with_capacity(text.len());
    for letter in text.chars() {
        if letter.is_control() {
            escaped.extend(letter.escape_default());
        } else {
            escaped.push(letter);
        }
    }
    Cow::Owned(escaped)
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
