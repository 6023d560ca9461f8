//! Invalid settings at the start of the daemons.

use std::fs;
use std::process::{Command, Output};

use daisyhinge_fakes::process::find_program;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Runs a daemon that is expected to exit at its start.
fn run_daemon(name: &str, folder: &TempDir, settings: &Value, check: bool) -> Output {
    let path = folder.path().join("settings.json");
    fs::write(&path, settings.to_string()).unwrap();
    let program = find_program(env!("CARGO_BIN_EXE_daisyhinge"), name);
    let mut command = Command::new(program);
    command.arg("--settings").arg(path);
    if check {
        command.arg("--check");
    }
    command.output().unwrap()
}

fn valid_control_settings(folder: &TempDir) -> Value {
    json!({
        "vm": "control-1", "address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
        "metrics_address": "127.0.0.1:0", "data_folder": folder.path().join("data"),
        "token_file": folder.path().join("token"), "voters": [],
    })
}

fn error_lines(output: &Output) -> Vec<String> {
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    text.lines().map(str::to_owned).collect()
}

#[test]
fn check_prints_every_error_with_its_number() {
    let folder = TempDir::new().unwrap();
    let entry = json!({"vm": "entry 1", "environment": "production", "control": [], "colour": 1});
    let control = json!({"vm": "c", "address": "here", "voters": 5});
    let cases = [
        ("daisyhinge-entry", entry, 7),
        ("daisyhinge-control", control, 6),
    ];
    for (name, settings, errors) in cases {
        for check in [true, false] {
            let output = run_daemon(name, &folder, &settings, check);
            assert_eq!(output.status.code(), Some(2), "{output:?}");
            let lines = error_lines(&output);
            assert_eq!(lines.len(), errors, "{lines:?}");
            assert!(lines.iter().all(|line| line.contains(": $.")), "{lines:?}");
        }
    }
    let output = run_daemon(
        "daisyhinge-control",
        &folder,
        &valid_control_settings(&folder),
        true,
    );
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn control_without_valid_token_creates_no_data_folder() {
    let folder = TempDir::new().unwrap();
    for token in [None, Some("too-short")] {
        if let Some(token) = token {
            fs::write(folder.path().join("token"), token).unwrap();
        }
        let output = run_daemon(
            "daisyhinge-control",
            &folder,
            &valid_control_settings(&folder),
            false,
        );
        assert_eq!(output.status.code(), Some(1), "{output:?}");
        let lines = error_lines(&output);
        assert!(lines[0].contains("token_file="), "{lines:?}");
        assert!(!folder.path().join("data").exists());
    }
}
