//! Control processes killed, frozen and restarted among changes.
//!
//! The test starts its own executable as the control processes: each runs the library's shell,
//! takes changes as lines of JSON on its input and writes replies to its error output. The
//! program itself is started once, to see that it ends well.

#[path = "../../daisyhinge-fakes/src/port.rs"]
mod port;

use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyhinge::control::log::LogPayload;
use daisyhinge::control::record::{RecordKind, decode_entry, read_record};
use daisyhinge::prelude::*;
use daisyhinge::shell::control::ControlShell;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRefusal, ChangeRequest, CommittedChange};
use daisyhinge::vocabulary::environment::{AddressPolicy, EnvironmentDocument};
use daisyhinge::vocabulary::setting::{ControlSettings, VoterPeer};
use port::reserve_address;

const CHILD_SETTINGS: &str = "DAISYHINGE_TEST_SETTINGS";
/// Longest wait for anything; only a broken run takes that long.
const WAIT_MAX: Duration = Duration::from_mins(1);
/// Longest wait for one reply before another VM is asked.
const REPLY_SPAN: Duration = Duration::from_millis(1_500);

/// Runs as a control process if this executable was started as one.
#[test]
fn control_child() {
    let Ok(text) = std::env::var(CHILD_SETTINGS) else {
        return;
    };
    let settings: ControlSettings = serde_json::from_str(&text).unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let shell = {
        let _guard = runtime.enter();
        ControlShell::spawn(settings, Arc::new(|_| ())).unwrap()
    };
    for line in std::io::stdin().lines().map_while(Result::ok) {
        let ask: ChangeRequest = serde_json::from_str(&line).unwrap();
        let reply = runtime.block_on(shell.change(ask.clone()));
        let line = serde_json::to_string(&(ask.change, reply)).unwrap();
        eprintln!("{line}");
    }
}

type ReplyLine = (ChangeId, Result<CommittedChange, ChangeRefusal>);

struct ControlProcess {
    settings: ControlSettings,
    child: Child,
    input: ChildStdin,
    replies: Receiver<ReplyLine>,
}

impl ControlProcess {
    fn start(settings: &ControlSettings) -> Self {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "control_child", "--nocapture"])
            .env(CHILD_SETTINGS, serde_json::to_string(settings).unwrap())
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, replies) = channel();
        let output = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                match serde_json::from_str(&line) {
                    Ok(reply) => drop(sender.send(reply)),
                    Err(_) => eprintln!("child: {line}"),
                }
            }
        });
        Self {
            settings: settings.clone(),
            input: child.stdin.take().unwrap(),
            child,
            replies,
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    fn restart(&mut self) {
        let settings = self.settings.clone();
        *self = Self::start(&settings);
    }

    fn ask(&mut self, ask: &ChangeRequest) -> Option<Result<CommittedChange, ChangeRefusal>> {
        let mut line = serde_json::to_string(ask).unwrap();
        line.push('\n');
        self.input.write_all(line.as_bytes()).ok()?;
        let until = Instant::now() + REPLY_SPAN;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let (change, reply) = self.replies.recv_timeout(left).ok()?;
            if change == ask.change {
                return Some(reply);
            }
        }
    }
}

impl Drop for ControlProcess {
    fn drop(&mut self) {
        // A process that ended already is no fault here.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

struct ControlFleet {
    processes: Vec<ControlProcess>,
    last: usize,
}

impl ControlFleet {
    fn start(folder: &Path) -> Self {
        let peers: Vec<VoterPeer> = (0..3)
            .map(|place| VoterPeer {
                vm: VmName::from(format!("control-{place}")),
                address: reserve_address(),
            })
            .collect();
        let processes = peers
            .iter()
            .map(|peer| ControlProcess::start(&make_settings(folder, peer, &peers)));
        Self {
            processes: processes.collect(),
            last: 0,
        }
    }

    /// Sends the same change, to one VM after the other, until it is decided on.
    fn change(
        &mut self,
        ask: &ChangeRequest,
        away: &[usize],
    ) -> Result<CommittedChange, ChangeRefusal> {
        let begun = Instant::now();
        loop {
            if !away.contains(&self.last) {
                match self.processes[self.last].ask(ask) {
                    Some(Err(refusal)) if is_temporary(refusal.code) => {}
                    Some(reply) => return reply,
                    None => {}
                }
            }
            assert!(
                begun.elapsed() < WAIT_MAX,
                "{} is not decided on",
                ask.change
            );
            self.last = (self.last + 1) % 3;
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

fn is_temporary(code: ResultCode) -> bool {
    [
        ResultCode::ChangeOutcomeUnknown,
        ResultCode::NoQuorum,
        ResultCode::NotLeader,
    ]
    .contains(&code)
}

fn make_settings(folder: &Path, peer: &VoterPeer, peers: &[VoterPeer]) -> ControlSettings {
    ControlSettings {
        vm: peer.vm.clone(),
        address: peer.address,
        operator_address: reserve_address(),
        metrics_address: reserve_address(),
        data_folder: folder.join(peer.vm.as_str()),
        token_file: folder.join("token"),
        voters: peers.to_vec(),
        events_max: 64,
    }
}

fn make_change(number: u32, base: u64) -> ChangeRequest {
    let document = EnvironmentDocument {
        addresses: AddressPolicy {
            keep_ms: 1,
            count: number,
        },
        ..EnvironmentDocument::default()
    };
    ChangeRequest {
        change: ChangeId::from(format!("change-{number}")),
        base: Some(VersionNumber(base)),
        operator: Arc::from("ada"),
        made_ms: 0,
        kind: ChangeKind::Apply {
            environment: "trial".into(),
            document: Arc::new(document),
        },
    }
}

/// Each change is made from the version of the one before: one that was lost, or applied twice,
/// would make the next one conflict.
fn change_in_order(fleet: &mut ControlFleet, numbers: std::ops::Range<u32>, away: &[usize]) {
    for number in numbers {
        let ask = make_change(number, u64::from(number));
        let version = VersionNumber(u64::from(number) + 1);
        assert_eq!(fleet.change(&ask, away), Ok(CommittedChange { version }));
    }
}

#[test]
fn kills_and_freezes_among_changes_lose_and_repeat_none() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = ControlFleet::start(folder.path());
    let mut number = 0;
    for round in 0..9 {
        change_in_order(&mut fleet, number..number + 25, &[]);
        number += 25;
        // The VM that answered last leads, so that every third round takes the leader.
        let place = (fleet.last + round) % 3;
        if round % 2 == 0 {
            fleet.processes[place].kill();
            change_in_order(&mut fleet, number..number + 10, &[place]);
            fleet.processes[place].restart();
        } else {
            fleet.processes[place].signal("-STOP");
            change_in_order(&mut fleet, number..number + 10, &[place]);
            fleet.processes[place].signal("-CONT");
        }
        number += 10;
    }
    // All at once: what was accepted is on their disks.
    fleet.processes.iter_mut().for_each(ControlProcess::kill);
    fleet.processes.iter_mut().for_each(ControlProcess::restart);
    change_in_order(&mut fleet, number..number + 5, &[]);
    // The first change, sent again, brings its first reply.
    let first = fleet.change(&make_change(0, 0), &[]);
    let version = VersionNumber(1);
    assert_eq!(first, Ok(CommittedChange { version }));
}

#[test]
fn a_vm_cut_off_through_200_changes_serves_none_and_a_second_loss_after_a_repair_loses_none() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = ControlFleet::start(folder.path());
    change_in_order(&mut fleet, 0..5, &[]);
    // Frozen, the VM neither sends nor receives: cut off in silence. It leads at that moment.
    let away = fleet.last;
    fleet.processes[away].signal("-STOP");
    change_in_order(&mut fleet, 5..205, &[away]);
    fleet.processes[away].signal("-CONT");
    let late = fleet.processes[away].ask(&make_change(900, 5));
    assert!(
        !matches!(late, Some(Ok(_))),
        "it accepted a change on what it knew: {late:?}"
    );
    change_in_order(&mut fleet, 205..210, &[]);

    // A VM loses its disk and is repaired; then a second one is lost for good.
    let lost = (fleet.last + 1) % 3;
    let second = (fleet.last + 2) % 3;
    fleet.processes[lost].kill();
    std::fs::remove_dir_all(&fleet.processes[lost].settings.data_folder).unwrap();
    fleet.processes[lost].restart();
    let begun = Instant::now();
    while !is_repaired(&fleet.processes[lost].settings.data_folder) {
        assert!(begun.elapsed() < WAIT_MAX, "it is not repaired");
        std::thread::sleep(Duration::from_millis(20));
    }
    fleet.processes[second].kill();
    change_in_order(&mut fleet, 210..230, &[second]);
}

/// Whether the log of a VM that lost its disk has the step that removes its former identity:
/// three members again, one of which replaced another.
fn is_repaired(folder: &Path) -> bool {
    let Ok(names) = std::fs::read_dir(folder) else {
        return false;
    };
    names.filter_map(Result::ok).any(|entry| {
        let segment = entry.file_name().to_string_lossy().starts_with("log-");
        let bytes = std::fs::read(entry.path()).unwrap_or_default();
        segment && has_repair(&Bytes::from(bytes))
    })
}

fn has_repair(bytes: &Bytes) -> bool {
    let mut at = 0;
    while let Some(record) = read_record(bytes, at) {
        at = record.end;
        let entry = (record.kind == RecordKind::Entry).then(|| decode_entry(&record.body));
        if let Some(LogPayload::Voters(set, _)) = entry.flatten().map(|entry| entry.payload) {
            let mut members = set.members.iter();
            let replaced = members.any(|member| member.replaces.is_some() && !member.learner);
            if replaced && set.members.len() == 3 {
                return true;
            }
        }
    }
    false
}

#[test]
fn the_program_checks_its_settings_and_ends_well_when_told_to() {
    let folder = tempfile::tempdir().unwrap();
    let peer = VoterPeer {
        vm: "control-0".into(),
        address: reserve_address(),
    };
    let settings = make_settings(folder.path(), &peer, std::slice::from_ref(&peer));
    let file = folder.path().join("settings.json");
    std::fs::write(&file, serde_json::to_string(&settings).unwrap()).unwrap();
    std::fs::write(&settings.token_file, "0123456789abcdef-control\n").unwrap();
    let program = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_daisyhinge-control"));
        command.arg("--settings").arg(&file);
        command
    };
    assert!(program().arg("--check").status().unwrap().success());
    let mut child = program().stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    let mut output = BufReader::new(child.stdout.take().unwrap());
    output.read_line(&mut line).unwrap();
    assert!(line.contains("event=started"), "{line}");
    let id = child.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .unwrap()
            .success()
    );
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
