//! Finds the log lines that tell the course of one version of the configuration.

use std::collections::BTreeSet;

use serde::Serialize;

use super::finding::FoundLine;
use super::log::LogLine;

/// Time before a version is confirmed and after it was adopted last in which lines about the state of
/// processes count, in microseconds.
const WINDOW_US: u64 = 5_000_000;
/// Maximum number of lines of each kind; the earliest are kept.
const LINES_MAX: usize = 64;
/// Events that change what control processes have, or which of them an entry follows.
const STATE_EVENTS: [&str; 13] = [
    "control_gained",
    "control_lost",
    "entry_ahead",
    "lease_gained",
    "lease_lapsed",
    "log_behind",
    "log_caught_up",
    "member_added",
    "member_removed",
    "membership_changed",
    "quorum_gained",
    "quorum_lost",
    "started",
];

/// The course of one version of the configuration. Times are relative to its first confirmation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Course {
    /// Where the version was acknowledged, and where its outcome remained unknown.
    pub confirmed: Vec<FoundLine>,
    /// When each control process had applied it or a newer one.
    pub applied: Vec<FoundLine>,
    /// When each control process published it or a newer one to entries.
    pub published: Vec<FoundLine>,
    /// When each entry adopted it, or a newer one.
    pub adopted: Vec<FoundLine>,
    /// Where it was refused.
    pub refused: Vec<FoundLine>,
    /// Older versions that entries adopted or counted as confirmed after it was confirmed.
    pub older: Vec<FoundLine>,
    /// Changes in the state of processes around it.
    pub state: Vec<FoundLine>,
    /// What follows from the lines, and what they cannot tell.
    pub notes: Vec<String>,
}

impl Course {
    /// Whether any line names the version.
    pub fn has_lines(&self) -> bool {
        let found = [
            &self.confirmed,
            &self.applied,
            &self.published,
            &self.adopted,
            &self.refused,
        ];
        found.iter().any(|lines| !lines.is_empty())
    }
}

/// Finds the course of a version. Each element of `logs` has the lines of one process in their order.
pub fn explain_version(logs: &[Vec<LogLine>], version: u64) -> Course {
    let all = || logs.iter().flatten();
    let of_version = |line: &LogLine| number(line, "version") == Some(version);
    let confirmed = sort(all().filter(|line| is_outcome(line) && of_version(line)));
    let reached = |reach| {
        sort(
            logs.iter()
                .flat_map(|log| list_reached(log, version, reach)),
        )
    };
    let applied = reached(applied_version as fn(&LogLine) -> Option<u64>);
    let published = reached(published_version);
    let adopted = reached(adopted_version);
    let refused = sort(all().filter(|line| is_refusal(line) && of_version(line)));
    let accepted = confirmed
        .iter()
        .find(|line| line.event() == "change_accepted");
    let known = accepted.copied().or_else(|| {
        let found = [&confirmed, &applied, &published, &adopted, &refused];
        found.into_iter().find_map(|lines| lines.first().copied())
    });
    let Some(start) = known else {
        return Course {
            notes: vec![
                "no line names the version: a log is missing, or nobody sent it".to_owned(),
            ],
            ..Course::default()
        };
    };
    let start_us = start.time_us;
    let end_us = adopted.last().map_or(start_us, |line| line.time_us);
    let older = sort(all().filter(|line| line.time_us > start_us && has_older(line, version)));
    let is_near = |line: &&LogLine| {
        let window = start_us.saturating_sub(WINDOW_US)..=end_us.saturating_add(WINDOW_US);
        window.contains(&line.time_us) && STATE_EVENTS.contains(&line.event())
    };
    let state = sort(all().filter(is_near));
    let notes = list_notes(logs, version, accepted.copied(), &confirmed, &adopted);
    let show = |lines: Vec<&LogLine>| -> Vec<FoundLine> {
        let shown = lines.into_iter().take(LINES_MAX);
        shown.map(|line| FoundLine::of(line, start_us)).collect()
    };
    Course {
        confirmed: show(confirmed),
        applied: show(applied),
        published: show(published),
        adopted: show(adopted),
        refused: show(refused),
        older: show(older),
        state: show(state),
        notes,
    }
}

fn number(line: &LogLine, field: &str) -> Option<u64> {
    line.field(field)?.parse().ok()
}

fn sort<'a>(lines: impl Iterator<Item = &'a LogLine>) -> Vec<&'a LogLine> {
    let mut lines: Vec<&LogLine> = lines.collect();
    // A stable sort, so that lines of one process with one time keep their order.
    lines.sort_by_key(|line| line.time_us);
    lines
}

fn is_outcome(line: &LogLine) -> bool {
    let is_config = line.field("change") == Some("config");
    is_config && matches!(line.event(), "change_accepted" | "change_open")
}

fn is_refusal(line: &LogLine) -> bool {
    matches!(line.event(), "input_refused" | "view_refused")
}

/// Returns the version of a state that a control process applied.
fn applied_version(line: &LogLine) -> Option<u64> {
    let is_control = line.event() == "view_adopted" && line.field("commit").is_some();
    is_control.then(|| number(line, "version"))?
}

/// Returns the version of a state that a control process published.
fn published_version(line: &LogLine) -> Option<u64> {
    (line.event() == "state_published").then(|| number(line, "version"))?
}

/// Returns the version in force after a state that an entry adopted.
fn adopted_version(line: &LogLine) -> Option<u64> {
    (line.event() == "view_adopted").then(|| number(line, "in_force"))?
}

/// Returns the lines of a process by which it has the version or a newer one: the first of all, and the
/// first of each later run that has exactly this version.
fn list_reached(
    log: &[LogLine],
    version: u64,
    reach: fn(&LogLine) -> Option<u64>,
) -> Vec<&LogLine> {
    let mut found: Vec<&LogLine> = Vec::new();
    let mut has_reached = false;
    for line in log {
        has_reached &= line.event() != "started";
        let Some(reached) = reach(line).filter(|reached| *reached >= version) else {
            continue;
        };
        if !has_reached && (found.is_empty() || reached == version) {
            found.push(line);
        }
        has_reached = true;
    }
    found
}

/// Whether an entry adopts a state with an older version, or counts it as confirmed.
fn has_older(line: &LogLine, version: u64) -> bool {
    let in_force = match line.event() {
        "state_confirmed" => number(line, "version"),
        _ => adopted_version(line),
    };
    in_force.is_some_and(|in_force| in_force < version)
}

fn list_notes(
    logs: &[Vec<LogLine>],
    version: u64,
    accepted: Option<&LogLine>,
    confirmed: &[&LogLine],
    adopted: &[&LogLine],
) -> Vec<String> {
    let mut notes = Vec::new();
    match accepted {
        None => notes.push("no line says that the version was accepted".to_owned()),
        Some(line) => {
            let in_force = number(line, "in_force").unwrap_or(version);
            if in_force != version {
                notes.push(format!(
                    "it had no effect: version {in_force} was in force when it was accepted"
                ));
            }
        }
    }
    let digests = confirmed.iter().filter_map(|line| line.field("digest"));
    let digests: BTreeSet<&str> = digests.collect();
    if digests.len() > 1 {
        notes.push(format!(
            "{} different texts had this version",
            digests.len()
        ));
    }
    if accepted.is_some() {
        notes.extend(logs.iter().filter_map(|log| note_missing(log, adopted)));
    }
    let dropped = logs
        .iter()
        .flatten()
        .any(|line| line.event() == "lines_dropped");
    if dropped {
        notes.push("processes dropped lines".to_owned());
    }
    if logs.len() > 1 {
        notes.push(
            "lines of several processes are ordered by their clocks, which may differ".to_owned(),
        );
    }
    notes
}

/// Describes an entry that did not adopt the version.
fn note_missing(log: &[LogLine], adopted: &[&LogLine]) -> Option<String> {
    let is_entry = log.iter().any(|line| line.field("role") == Some("entry"));
    let process = &log.last().filter(|_| is_entry)?.process;
    if adopted.iter().any(|line| line.process == *process) {
        return None;
    }
    let in_force = log.iter().rev().find_map(adopted_version);
    Some(format!(
        "{process} did not adopt it; version {} was in force at the end of its log",
        in_force.unwrap_or(0)
    ))
}
