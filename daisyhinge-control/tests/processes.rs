//! Tests of control processes that are killed, frozen and restarted while changes are committed.
//!
//! The test starts its own executable as the control processes: each runs [`ControlShell`], reads
//! changes as lines of JSON from standard input and writes replies to standard error. The real
//! program is started once, to check that it exits cleanly.

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
/// Timeout of every wait; reached only if the test fails.
const WAIT_MAX: Duration = Duration::from_mins(1);
/// Timeout for a reply, after which the request is sent to another VM.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Runs a control process if this executable was started as one; otherwise does nothing.
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
        let request: ChangeRequest = serde_json::from_str(&line).unwrap();
        let reply = runtime.block_on(shell.change(request.clone()));
        let line = serde_json::to_string(&(request.change, reply)).unwrap();
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

    fn submit(
        &mut self,
        request: &ChangeRequest,
    ) -> Option<Result<CommittedChange, ChangeRefusal>> {
        let mut line = serde_json::to_string(request).unwrap();
        line.push('\n');
        self.input.write_all(line.as_bytes()).ok()?;
        let deadline = Instant::now() + REPLY_TIMEOUT;
        loop {
            let timeout = deadline.saturating_duration_since(Instant::now());
            let (change, reply) = self.replies.recv_timeout(timeout).ok()?;
            if change == request.change {
                return Some(reply);
            }
        }
    }
}

impl Drop for ControlProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

struct ControlGroup {
    processes: Vec<ControlProcess>,
    /// Index of the process that received the last change.
    last_used: usize,
}

impl ControlGroup {
    fn start(folder: &Path) -> Self {
        let peers: Vec<VoterPeer> = (0..3)
            .map(|index| VoterPeer {
                vm: VmName::from(format!("control-{index}")),
                address: reserve_address(),
            })
            .collect();
        let processes = peers
            .iter()
            .map(|peer| ControlProcess::start(&make_settings(folder, peer, &peers)));
        Self {
            processes: processes.collect(),
            last_used: 0,
        }
    }

    /// Sends the same change to one VM after the other until it is accepted or refused.
    fn change(
        &mut self,
        request: &ChangeRequest,
        stopped: &[usize],
    ) -> Result<CommittedChange, ChangeRefusal> {
        let started = Instant::now();
        loop {
            if !stopped.contains(&self.last_used) {
                match self.processes[self.last_used].submit(request) {
                    Some(Err(refusal)) if is_temporary(refusal.code) => {}
                    Some(reply) => return reply,
                    None => {}
                }
            }
            assert!(
                started.elapsed() < WAIT_MAX,
                "{} is neither accepted nor refused",
                request.change
            );
            self.last_used = (self.last_used + 1) % 3;
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

/// Commits changes, each based on the version of the previous one. If a change is lost or applied
/// twice, the next one conflicts.
fn commit_in_order(group: &mut ControlGroup, numbers: std::ops::Range<u32>, stopped: &[usize]) {
    for number in numbers {
        let request = make_change(number, u64::from(number));
        let version = VersionNumber(u64::from(number) + 1);
        assert_eq!(
            group.change(&request, stopped),
            Ok(CommittedChange { version })
        );
    }
}

#[test]
fn kills_and_freezes_neither_lose_nor_repeat_changes() {
    let folder = tempfile::tempdir().unwrap();
    let mut group = ControlGroup::start(folder.path());
    let mut number = 0;
    for round in 0..9 {
        commit_in_order(&mut group, number..number + 25, &[]);
        number += 25;
        // The VM that answered last is the leader. Rounds 0, 3 and 6 stop it; all other rounds stop
        // a follower.
        let stopped = (group.last_used + round) % 3;
        if round % 2 == 0 {
            group.processes[stopped].kill();
            commit_in_order(&mut group, number..number + 10, &[stopped]);
            group.processes[stopped].restart();
        } else {
            group.processes[stopped].signal("-STOP");
            commit_in_order(&mut group, number..number + 10, &[stopped]);
            group.processes[stopped].signal("-CONT");
        }
        number += 10;
    }
    // All VMs are killed at once: accepted changes must be on their disks.
    group.processes.iter_mut().for_each(ControlProcess::kill);
    group.processes.iter_mut().for_each(ControlProcess::restart);
    commit_in_order(&mut group, number..number + 5, &[]);
    // The first change, sent again, must return its original reply.
    let first = group.change(&make_change(0, 0), &[]);
    let version = VersionNumber(1);
    assert_eq!(first, Ok(CommittedChange { version }));
}

#[test]
fn stale_vm_accepts_no_change_and_second_disk_loss_after_repair_loses_none() {
    let folder = tempfile::tempdir().unwrap();
    let mut group = ControlGroup::start(folder.path());
    commit_in_order(&mut group, 0..5, &[]);
    // A frozen VM neither sends nor receives, like a partitioned one. It is the leader now, and
    // misses 200 changes.
    let stopped = group.last_used;
    group.processes[stopped].signal("-STOP");
    commit_in_order(&mut group, 5..205, &[stopped]);
    group.processes[stopped].signal("-CONT");
    let late = group.processes[stopped].submit(&make_change(900, 5));
    assert!(
        !matches!(late, Some(Ok(_))),
        "a stale VM accepted a change: {late:?}"
    );
    commit_in_order(&mut group, 205..210, &[]);

    // A VM loses its disk and is repaired, then a second VM is lost permanently.
    let wiped = (group.last_used + 1) % 3;
    let killed = (group.last_used + 2) % 3;
    group.processes[wiped].kill();
    std::fs::remove_dir_all(&group.processes[wiped].settings.data_folder).unwrap();
    group.processes[wiped].restart();
    let started = Instant::now();
    while !is_repaired(&group.processes[wiped].settings.data_folder) {
        assert!(started.elapsed() < WAIT_MAX, "the VM is not repaired");
        std::thread::sleep(Duration::from_millis(20));
    }
    group.processes[killed].kill();
    commit_in_order(&mut group, 210..230, &[killed]);
}

/// Whether the log in `folder` contains the last step of the repair of a VM that lost its disk: its
/// former identity is removed, so that there are three members, one of which replaced another.
fn is_repaired(folder: &Path) -> bool {
    let Ok(names) = std::fs::read_dir(folder) else {
        return false;
    };
    names.filter_map(Result::ok).any(|entry| {
        let is_segment = entry.file_name().to_string_lossy().starts_with("log-");
        let bytes = std::fs::read(entry.path()).unwrap_or_default();
        is_segment && has_repair(&Bytes::from(bytes))
    })
}

fn has_repair(bytes: &Bytes) -> bool {
    let mut offset = 0;
    while let Some(record) = read_record(bytes, offset) {
        offset = record.end;
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
fn program_checks_its_settings_and_exits_cleanly_on_sigterm() {
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
