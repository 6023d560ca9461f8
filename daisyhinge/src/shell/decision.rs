//! Lines on standard output, one for each decision that touches a request or changes a belief.
//!
//! Writing never blocks a request: a thread writes what fits its queue, and what does not fit is
//! counted and said. Lines of ordinary requests have a budget a second; those of requests that
//! were refused, late, partial or repeated have a larger one.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::prelude::*;
use crate::shell::clock::wall_micros;
use crate::vocabulary::registration::ReplicaRecord;

/// Lines that wait to be written.
const QUEUE_MAX: usize = 1_024;
/// Lines a second of requests that went as they should.
const ORDINARY_PER_SECOND: u32 = 2;
/// Lines a second of all others.
const NOTABLE_PER_SECOND: u32 = 60;
/// Time in which a budget is counted.
const BUDGET_SPAN: Duration = Duration::from_secs(1);

/// A budget of lines.
#[derive(Debug)]
struct LineBudget {
    since: Instant,
    ordinary: u32,
    notable: u32,
    dropped: u64,
}

/// The log of one process.
#[derive(Debug)]
pub struct DecisionLog {
    lines: SyncSender<String>,
    budget: Mutex<LineBudget>,
}

impl DecisionLog {
    /// Starts the thread that writes.
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

    /// Writes a line about a request, if the budget of its class allows it.
    pub fn note_request(&self, notable: bool, text: impl FnOnce() -> String) {
        if self.take_budget(notable) {
            self.send(&text());
        }
    }

    fn take_budget(&self, notable: bool) -> bool {
        let mut budget = self.budget.lock();
        if budget.since.elapsed() >= BUDGET_SPAN {
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

    /// A state of the deployment was adopted.
    pub fn note_view(&self, revision: u64, version: u64, evacuated: usize) {
        self.send(&format!(
            "event=view_adopted revision={revision} version={version} evacuated={evacuated}"
        ));
    }

    /// A replica was told of.
    pub fn note_replica(&self, record: &ReplicaRecord) {
        self.note_request(true, || {
            format!(
                "event=replica_told replica={} service={} phase={:?} sequence={} cold_left_ms={}",
                record.name, record.service, record.phase, record.sequence, record.cold_left_ms
            )
        });
    }

    /// The link to a control process was gained or lost.
    pub fn note_link(&self, address: SocketAddr, gained: bool) {
        let event = if gained {
            "control_gained"
        } else {
            "control_lost"
        };
        self.send(&format!("event={event} address={address}"));
    }

    /// A link to an entry of another region was gained or lost.
    pub fn note_peer(&self, address: SocketAddr, gained: bool) {
        let event = if gained { "peer_gained" } else { "peer_lost" };
        self.note_request(true, || format!("event={event} address={address}"));
    }

    /// A configuration could not be decoded.
    pub fn note_bad_document(&self, version: u64, code: ResultCode) {
        self.send(&format!(
            "event=view_refused version={version} code={}",
            code.number()
        ));
    }

    /// Writes a line whatever the budgets.
    pub fn note_text(&self, text: &str) {
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
        // Nobody is left to tell that nobody reads.
        drop(output.write_all(text.as_bytes()));
    }
}
