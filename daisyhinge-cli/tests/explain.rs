//! `daisyhinge explain` on recorded output of processes on the platform.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

/// Logs of three of five control processes and of an entry, of which the third control process was
/// stopped for 14 s. The log of another entry is made up: it started when that process returned.
const COURSE_LOGS: [&str; 5] = [
    "course-control-1.log",
    "course-control-3.log",
    "course-control-4.log",
    "course-entry-6.log",
    "course-entry-8.log",
];

fn explain(request: &str, logs: &[&str]) -> Output {
    explain_with(&["--request", request], logs)
}

fn explain_version(version: &str) -> Output {
    explain_with(&["--version", version], &COURSE_LOGS)
}

fn explain_with(selection: &[&str], logs: &[&str]) -> Output {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/explain");
    Command::new(env!("CARGO_BIN_EXE_daisyhinge"))
        .args(["--json", "explain"])
        .args(selection)
        .args(logs.iter().map(|log| folder.join(log)))
        .output()
        .expect("run the program")
}

fn texts(explanation: &Value, section: &str) -> Vec<String> {
    let lines = explanation[section].as_array().expect("a list");
    let texts = lines.iter().map(|line| {
        let (process, text) = (&line["process"], &line["text"]);
        format!(
            "{} {}",
            process.as_str().expect("a name"),
            text.as_str().expect("a line")
        )
    });
    texts.collect()
}

fn read(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("JSON")
}

/// A request that was refused at one entry because it had crashed replicas at another.
#[test]
fn refused_crashing_request_is_traced_to_the_replicas_it_crashed() {
    let output = explain("crash-0-1", &["vm-62-4.log", "vm-62-5.log"]);
    assert_eq!(output.status.code(), Some(0));
    let explanation = read(&output);
    let request = texts(&explanation, "request");
    assert!(
        request[0].starts_with("vm-62-5 event=request_ended"),
        "{request:?}"
    );
    assert!(request[0].contains("outcome=2008"), "{request:?}");
    let tries = texts(&explanation, "tries");
    assert!(tries[0].starts_with("vm-62-4"), "{tries:?}");
    assert!(
        tries[0].contains("request=crash-0-0 ") && tries[0].contains("sent=2"),
        "{tries:?}"
    );
    let replicas = texts(&explanation, "replicas");
    let suspected = |replica: &str| {
        let known = format!("replica={replica} change=suspected");
        replicas
            .iter()
            .any(|line| line.starts_with("vm-62-4") && line.contains(&known))
    };
    assert!(suspected("i-22-1") && suspected("i-25-1"), "{replicas:?}");
    let notes = explanation["notes"].to_string();
    assert!(notes.contains("ordered by their clocks"), "{notes}");
}

/// A partial answer on a day with slow replicas.
#[test]
fn partial_answer_is_traced_to_a_silent_replica_and_a_spent_budget() {
    let explanation = read(&explain("37914bb8bed293a8", &["entry-3.log"]));
    let request = texts(&explanation, "request");
    assert_eq!(request.len(), 4);
    assert!(request[0].contains("outcome=partial") && request[0].contains("missing=rano35h"));
    assert!(request[1].contains("denied_us=36362"));
    let replicas = texts(&explanation, "replicas");
    assert!(
        replicas.iter().any(|line| line.contains("i-99a2c747d4")),
        "{replicas:?}"
    );
    let state = texts(&explanation, "state");
    assert!(
        state
            .iter()
            .any(|line| line.contains("view_adopted revision=3 version=7"))
    );
    assert!(
        explanation["notes"]
            .to_string()
            .contains("dropped 90 lines")
    );
}

#[test]
fn unknown_request_is_said_to_be_unknown() {
    let output = explain("nobody", &["entry-3.log"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        read(&output)["notes"]
            .to_string()
            .contains("no line names the request")
    );
}

#[test]
fn missing_log_is_a_numbered_error() {
    let output = explain("nobody", &["absent.log"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stdout).contains("7002"));
}

fn offsets(explanation: &Value, section: &str) -> Vec<i64> {
    let lines = explanation[section].as_array().expect("a list");
    let offsets = lines.iter().map(|line| line["offset_us"].as_i64());
    offsets.map(|offset| offset.expect("a number")).collect()
}

/// Guards against a course that lacks a process or its delay, or that hides a control process outside the
/// group and the older version which an entry got from it.
#[test]
fn version_is_traced_from_its_confirmation_to_each_entry() {
    let output = explain_version("16");
    assert_eq!(output.status.code(), Some(0));
    let course = read(&output);
    let confirmed = texts(&course, "confirmed");
    assert_eq!(confirmed.len(), 1);
    assert!(confirmed[0].starts_with("course-control-1 event=change_accepted"));
    assert!(
        confirmed[0].contains("digest=cfe9df1b627ec8c4"),
        "{confirmed:?}"
    );
    assert_eq!(offsets(&course, "confirmed"), [0]);
    assert_eq!(offsets(&course, "applied"), [217, 80_428]);
    assert_eq!(offsets(&course, "published"), [418, 80_476]);
    let adopted = texts(&course, "adopted");
    assert_eq!(offsets(&course, "adopted"), [80_490]);
    assert!(
        adopted[0].starts_with("course-entry-6 event=view_adopted"),
        "{adopted:?}"
    );
    assert!(texts(&course, "refused").is_empty());
    let older = texts(&course, "older");
    assert_eq!(older.len(), 2, "{older:?}");
    assert!(
        older[1].starts_with("course-entry-8 event=state_confirmed"),
        "{older:?}"
    );
    assert!(
        older[1].contains("version=2 address=127.104.0.3:27741"),
        "{older:?}"
    );
    let state = texts(&course, "state").join("\n");
    assert!(
        state.contains("course-control-1 event=member_removed member=vm-3#"),
        "{state}"
    );
    assert!(state.contains("reason=silent silent_ms=12036"), "{state}");
    assert!(
        state.contains("course-control-3 event=quorum_lost age_ms=14208"),
        "{state}"
    );
    let notes = course["notes"].to_string();
    assert!(
        notes.contains("course-entry-8 did not adopt it; version 2 was in force"),
        "{notes}"
    );
    assert!(!notes.contains("course-entry-6"), "{notes}");
}

/// Guards against a course that shows an accepted configuration as served although control could not
/// derive the document for entries.
#[test]
fn accepted_version_without_a_document_for_entries_is_refused_by_control() {
    let course = read(&explain_version("95"));
    let confirmed = texts(&course, "confirmed");
    assert!(
        confirmed[0].contains("relayed_to=127.104.0.1:27740 took_ms=10"),
        "{confirmed:?}"
    );
    let refused = texts(&course, "refused");
    assert!(
        refused[0].starts_with("course-control-1 event=view_refused"),
        "{refused:?}"
    );
    assert!(refused[0].contains("name=MalformedJson"), "{refused:?}");
    assert_eq!(texts(&course, "adopted").len(), 0);
    let notes = course["notes"].to_string();
    assert!(
        notes.contains("course-entry-6 did not adopt it; version 90 was in force"),
        "{notes}"
    );
}

/// Guards against a refusal at control that cannot be found by the version of the text.
#[test]
fn refused_version_is_found_where_it_was_refused() {
    let output = explain_version("91");
    assert_eq!(output.status.code(), Some(0));
    let course = read(&output);
    let refused = texts(&course, "refused");
    assert_eq!(refused.len(), 1);
    assert!(
        refused[0].starts_with("course-control-4 event=input_refused"),
        "{refused:?}"
    );
    assert!(refused[0].contains("name=UnknownReference"), "{refused:?}");
    assert!(
        course["notes"]
            .to_string()
            .contains("no line says that the version was accepted")
    );
}

#[test]
fn unknown_version_is_said_to_be_unknown() {
    let output = explain_version("3000");
    assert_eq!(output.status.code(), Some(1));
    assert!(
        read(&output)["notes"]
            .to_string()
            .contains("no line names the version")
    );
}

#[test]
fn request_and_version_together_or_neither_are_bad_usage() {
    let both = explain_with(&["--request", "a", "--version", "1"], &COURSE_LOGS);
    assert_eq!(both.status.code(), Some(2));
    assert_eq!(explain_with(&[], &COURSE_LOGS).status.code(), Some(2));
}
