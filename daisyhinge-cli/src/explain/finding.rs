//! Finds the log lines that explain how a request ended.

use std::collections::BTreeSet;

use serde::Serialize;

use super::log::LogLine;

/// Time around the request in which lines about its replicas count, in microseconds.
const REPLICA_WINDOW_US: u64 = 10_000_000;
/// Time around the request in which dropped lines are reported, in microseconds.
const DROPPED_WINDOW_US: u64 = 2_000_000;
/// Maximum number of lines of each kind; those nearest to the end of the request are kept.
const LINES_MAX: usize = 24;
/// Events that change what a process knows of the deployment.
const STATE_EVENTS: [&str; 9] = [
    "control_gained",
    "control_lost",
    "lease_gained",
    "lease_lapsed",
    "reloaded",
    "serving",
    "started",
    "stopping",
    "view_adopted",
];

/// A log line, with its time relative to the end of the request, or to the confirmation of a version.
#[derive(Clone, Debug, Serialize)]
pub struct FoundLine {
    /// Name of the process that wrote the line.
    pub process: String,
    /// Time after that, in microseconds; negative before.
    pub offset_us: i64,
    /// The line without its time.
    pub text: String,
}

impl FoundLine {
    /// Describes `line`, with its time relative to `origin_us`.
    pub fn of(line: &LogLine, origin_us: u64) -> Self {
        Self {
            process: line.process.to_string(),
            offset_us: line
                .time_us
                .cast_signed()
                .saturating_sub(origin_us.cast_signed()),
            text: line.text.clone(),
        }
    }
}

/// Lines that explain a request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Explanation {
    /// Lines that name the request.
    pub request: Vec<FoundLine>,
    /// Ends of other requests with the same digest: other tries of the caller.
    pub tries: Vec<FoundLine>,
    /// What was known of the replicas that did not answer it.
    pub replicas: Vec<FoundLine>,
    /// What its process last logged of each part of its state before it ended.
    pub state: Vec<FoundLine>,
    /// What the logs cannot tell.
    pub notes: Vec<String>,
}

/// Finds the lines that explain the request `id`. Each element of `logs` has the lines of one
/// process in their order.
pub fn explain_request(logs: &[Vec<LogLine>], id: &str) -> Explanation {
    let mut explanation = Explanation::default();
    let named = |line: &LogLine| line.field("request") == Some(id);
    let Some(log) = logs.iter().find(|log| log.iter().any(named)) else {
        explanation.notes.push(
            "no line names the request: it was ordinary and beyond the two lines a second that \
             are kept, its lines were dropped, or a log is missing"
                .to_owned(),
        );
        return explanation;
    };
    let all = || logs.iter().flatten();
    let own: Vec<&LogLine> = all().filter(|line| named(line)).collect();
    let ended = own.iter().find(|line| line.event() == "request_ended");
    let end = ended.copied().unwrap_or(own[0]);
    let collect = |lines: Vec<&LogLine>| select_nearest(lines, end.time_us);
    if let Some(digest) = end.field("digest") {
        let is_try = |line: &&LogLine| {
            line.event() == "request_ended" && line.field("digest") == Some(digest) && !named(line)
        };
        explanation.tries = collect(all().filter(is_try).collect());
    }
    let replicas = list_failed_replicas(&own);
    let digest = end.field("digest");
    let about_replica = |line: &&LogLine| {
        let near = line.time_us.abs_diff(end.time_us) <= REPLICA_WINDOW_US;
        let is_crash = line.event() == "crash_record" && line.field("digest") == digest;
        let named = line
            .field("replica")
            .is_some_and(|name| replicas.contains(name));
        near && (named || is_crash)
    };
    explanation.replicas = collect(all().filter(about_replica).collect());
    explanation.state = collect(list_state_changes(log, end.time_us));
    explanation.request = collect(own);
    explanation.notes = list_notes(log, end.time_us, &explanation.tries);
    explanation
}

/// Sorts lines by their time, and bounds their number.
fn select_nearest(mut lines: Vec<&LogLine>, end_us: u64) -> Vec<FoundLine> {
    lines.sort_by_key(|line| line.time_us.abs_diff(end_us));
    lines.truncate(LINES_MAX);
    // A stable sort, so that lines of one process with one time keep their order.
    lines.sort_by_key(|line| line.time_us);
    let related = lines.into_iter();
    related.map(|line| FoundLine::of(line, end_us)).collect()
}

/// Returns the replicas whose attempts for the request were not answered.
fn list_failed_replicas(lines: &[&LogLine]) -> BTreeSet<String> {
    let attempts = lines.iter().filter_map(|line| line.field("attempts"));
    let attempts = attempts.flat_map(|attempts| attempts.split(';'));
    let failed = attempts.filter(|attempt| !attempt.contains(",answered,"));
    failed
        .filter_map(|attempt| attempt.split(',').next())
        .map(str::to_owned)
        .collect()
}

/// Returns the last line of each such event that a process wrote before `end_us`.
fn list_state_changes(log: &[LogLine], end_us: u64) -> Vec<&LogLine> {
    let before = || log.iter().filter(|line| line.time_us <= end_us);
    let last = |event: &&str| before().rfind(|line| line.event() == *event);
    STATE_EVENTS.iter().filter_map(last).collect()
}

fn list_notes(log: &[LogLine], end_us: u64, tries: &[FoundLine]) -> Vec<String> {
    let mut notes = Vec::new();
    let dropped = log.iter().filter(|line| {
        line.event() == "lines_dropped" && line.time_us.abs_diff(end_us) <= DROPPED_WINDOW_US
    });
    let dropped: u64 = dropped
        .filter_map(|line| line.field("count")?.parse::<u64>().ok())
        .sum();
    if dropped > 0 {
        notes.push(format!(
            "its process dropped {dropped} lines within 2 s of the end"
        ));
    }
    if !tries.is_empty() {
        notes.push(
            "lines of several processes are ordered by their clocks, which may differ".to_owned(),
        );
    }
    notes
}
