//! `daisyhinge explain` on recorded output of processes on the platform.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

fn explain(request: &str, logs: &[&str]) -> Output {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/explain");
    Command::new(env!("CARGO_BIN_EXE_daisyhinge"))
        .args(["--json", "explain", "--request", request])
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
