//! The command-line program, run against an in-memory control group behind real operator ports.

#[path = "support/fake_group.rs"]
mod fake_group;

use std::process::Output;

use daisyhinge::metric::MetricRegistry;
use daisyhinge::prelude::*;
use daisyhinge::shell::metric::MetricPort;
use daisyhinge::shell::timeline::EventLog;
use daisyhinge::vocabulary::event::{EventDraft, EventKind};
use fake_group::{FakeGroup, run_program};
use serde_json::Value;

const DOCUMENT: &str = r#"{
    "regions": [{"name": "lagos", "data_centres": [{"name": "lagos-1"}, {"name": "lagos-2"}]}],
    "services": [{"name": "card-view", "repeatable": true}]
}"#;

#[track_caller]
fn expect_exit(output: &Output, code: i32) {
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert_eq!(
        output.status.code(),
        Some(code),
        "stdout: {out}\nstderr: {err}"
    );
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Opens a group whose environment `production` has [`DOCUMENT`] at version 1.
fn open_group() -> FakeGroup {
    let group = FakeGroup::open();
    group.write("env.json", DOCUMENT);
    expect_exit(&group.run("env apply production env.json --base 0"), 0);
    group
}

#[test]
fn check_needs_no_group_and_lists_every_error() {
    let group = FakeGroup::open();
    group.write("good.json", DOCUMENT);
    group.write(
        "bad.json",
        r#"{"regions": [], "services": [{"name": "a b"}]}"#,
    );
    expect_exit(&group.run("env check good.json"), 0);
    let bad = group.run("env check bad.json");
    expect_exit(&bad, 2);
    let lines = text(&bad.stderr);
    assert_eq!(lines.lines().count(), 3, "{lines}");
    assert!(lines.contains("$.services[0].name: 1014"), "{lines}");
    let bad = group.run("--json env check bad.json");
    expect_exit(&bad, 2);
    assert_eq!(json(&bad)["faults"][0]["code"], 6005);
    expect_exit(&group.run("env check missing.json"), 2);
    expect_exit(&group.run("env chekc good.json"), 2);
}

#[test]
fn apply_on_an_outdated_base_is_a_conflict() {
    let group = open_group();
    let shown = group.run("env show production");
    expect_exit(&shown, 0);
    assert!(text(&shown.stderr).contains("version 1"));
    // The output of `show` is a valid document.
    group.write("next.json", &text(&shown.stdout).replace("1000,", "2000,"));
    expect_exit(&group.run("env diff production next.json"), 1);
    expect_exit(
        &group.run("env apply production next.json --base 1 --operator bea"),
        0,
    );
    expect_exit(&group.run("env diff production next.json"), 0);
    let conflicting = group.run("--json env apply production env.json --base 1");
    expect_exit(&conflicting, 4);
    assert_eq!(json(&conflicting)["refused"]["code"], 5001);
    assert_eq!(json(&conflicting)["refused"]["current"], 2);
    let history = group.run("--json env history production");
    assert_eq!(json(&history)[0]["operator"], "ada");
    assert_eq!(json(&history)[1]["operator"], "bea");
    assert_eq!(
        json(&conflicting)["refused"]["winner"],
        json(&history)[1]["change"]
    );
}

#[test]
fn promote_requires_the_trusted_version() {
    let group = open_group();
    group.write("trial.json", &DOCUMENT.replace("card-view", "label-desk"));
    expect_exit(&group.run("env apply trial trial.json --base 0"), 0);
    let wrong = group.run("env promote trial production --trusted 1");
    expect_exit(&wrong, 4);
    assert!(
        text(&wrong.stderr).contains("5006"),
        "{}",
        text(&wrong.stderr)
    );
    // A resend must give the base of the first attempt; with another base it is another change.
    let without_base = group.run("env promote trial production --trusted 2 --change-id c-8");
    expect_exit(&without_base, 2);
    expect_exit(&group.run("env promote trial production --trusted 2"), 0);
    expect_exit(&group.run("env diff trial --with production"), 0);
}

#[test]
fn change_with_lost_reply_is_resent_and_applied_once() {
    let group = open_group();
    group.state.lock().unwrap().lose_replies = 1;
    expect_exit(&group.run("data-centre take-out production lagos-2"), 0);
    group.state.lock().unwrap().lose_replies = u32::MAX;
    let unknown = group.run("--timeout-s 1 data-centre return production lagos-2 --change-id c-7");
    expect_exit(&unknown, 6);
    assert!(text(&unknown.stderr).contains("--change-id c-7"));
    group.state.lock().unwrap().lose_replies = 0;
    expect_exit(
        &group.run("data-centre return production lagos-2 --change-id c-7"),
        0,
    );
    assert_eq!(group.state.lock().unwrap().view.version, VersionNumber(3));
}

#[test]
fn status_shows_centre_taken_out_of_service() {
    let group = open_group();
    expect_exit(&group.run("data-centre take-out production lagos-2"), 0);
    let status = group.run("data-centre status production");
    expect_exit(&status, 0);
    let lines = text(&status.stdout);
    assert!(lines.contains("data_centre=lagos-1 state=in"), "{lines}");
    assert!(lines.contains("data_centre=lagos-2 state=out"), "{lines}");
}

#[test]
fn wait_lists_entries_without_the_change() {
    let group = open_group();
    group.add_entry("entry-1", 9, 100);
    group.add_entry("entry-silent", 1, 60_000);
    let taken_out = group.run("data-centre take-out production lagos-2 --wait");
    expect_exit(&taken_out, 0);
    assert!(text(&taken_out.stdout).contains("no recent contact: entry-silent"));
    group.add_entry("entry-2", 1, 100);
    let timed_out = group.run("--json data-centre return production lagos-2 --wait --wait-s 1");
    expect_exit(&timed_out, 7);
    assert_eq!(json(&timed_out)["everywhere"], false);
    assert_eq!(json(&timed_out)["lacking"][0]["vm"], "entry-2");
    let entries = group.run("entries production");
    assert_eq!(text(&entries.stdout).lines().count(), 3);
    expect_exit(&group.run("control status"), 0);
}

#[test]
fn wait_for_added_control_vm_ends_when_it_votes() {
    let group = FakeGroup::open();
    let add = "--json control add control-9 127.0.0.1:9 --change-id c-9 --wait --wait-s 1";
    let learning = group.run(add);
    expect_exit(&learning, 7);
    assert_eq!(json(&learning)["settled"], false);
    group.state.lock().unwrap().voters[0].learner = false;
    expect_exit(&group.run(add), 0);
    assert_eq!(group.state.lock().unwrap().voters.len(), 1);
    expect_exit(&group.run("control remove control-8"), 3);
}

#[test]
fn wrong_token_and_closed_port_have_distinct_exit_codes() {
    let group = open_group();
    group.write("token", "another-token-0123456789");
    let refused = group.run("env show production");
    expect_exit(&refused, 3);
    assert!(text(&refused.stderr).contains("5004"));
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap().to_string();
    drop(closed);
    let unreachable = run_program(&group.folder, "--timeout-s 1 env show production", &address);
    expect_exit(&unreachable, 5);
    expect_exit(&run_program(&group.folder, "env show production", ""), 2);
}

#[test]
fn timeline_merges_processes_and_filters() {
    let group = FakeGroup::open();
    let request = RequestId::from("r-81");
    let mut ports = Vec::new();
    for vm in ["entry-1", "entry-2"] {
        let log = EventLog::open(VmName::from(vm), 8);
        log.record(EventDraft::new(EventKind::SubDispatched).with_request(&request));
        log.record(EventDraft::new(EventKind::LeaseGained));
        let address = "127.0.0.1:0".parse().unwrap();
        let port = MetricPort::bind(address, log, MetricRegistry::default(), || 0_u32);
        ports.push(group.runtime().block_on(port).unwrap());
    }
    let processes: Vec<_> = ports
        .iter()
        .map(|port| port.address().to_string())
        .collect();
    let command = format!(
        "timeline --processes {} --request r-81",
        processes.join(",")
    );
    let lines = group.run(&command);
    expect_exit(&lines, 0);
    let lines = text(&lines.stdout);
    assert_eq!(lines.lines().count(), 2, "{lines}");
    assert!(
        lines
            .lines()
            .next()
            .unwrap()
            .contains("vm=entry-1 request=r-81"),
        "{lines}"
    );
    expect_exit(&group.run(&format!("{command} --kind nonsense")), 2);
    let first_port = ports.remove(0);
    group.runtime().block_on(first_port.close());
    let partial = group.run(&format!("--json {command}"));
    expect_exit(&partial, 0);
    assert_eq!(json(&partial)["unreachable"][0], processes[0].as_str());
    assert_eq!(json(&partial)["events"][0]["vm"], "entry-2");
}
