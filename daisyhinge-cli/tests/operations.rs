//! The commands of the page for operators, run in its order against a real group of control VMs
//! and entries.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;

use daisyhinge::metric::{EntryMetrics, MetricRegistry};
use daisyhinge::prelude::*;
use daisyhinge::shell::control::ControlShell;
use daisyhinge::shell::entry::EntryShell;
use daisyhinge::shell::operator::ControlPorts;
use daisyhinge::shell::timeline::EventLog;
use daisyhinge::vocabulary::setting::{ControlSettings, EntryLimits, EntrySettings, VoterPeer};
use tempfile::TempDir;
use tokio::runtime::Runtime;

const CENTRES: [&str; 3] = ["lagos-1", "abuja-1", "kano-1"];

/// A running control VM.
struct GroupVoter {
    shell: ControlShell,
    ports: ControlPorts,
}

/// A running group; the control VM past the first voters is started, but no member yet.
struct RealGroup {
    runtime: Runtime,
    folder: TempDir,
    voters: Vec<GroupVoter>,
    entries: Vec<EntryShell>,
}

impl RealGroup {
    fn open() -> Self {
        let runtime = Runtime::new().unwrap();
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("token"), "0123456789abcdef-test").unwrap();
        let peers: Vec<_> = (0..3).map(make_peer).collect();
        let added = make_peer(3);
        let (voters, entries) = runtime.block_on(async {
            let mut voters = Vec::new();
            for peer in &peers {
                voters.push(spawn_voter(folder.path(), peer, &peers).await);
            }
            voters.push(spawn_voter(folder.path(), &added, &[]).await);
            let control: Vec<_> = peers.iter().map(|peer| peer.address).collect();
            let mut entries = Vec::new();
            for centre in CENTRES {
                entries.push(spawn_entry(centre, &control).await);
            }
            (voters, entries)
        });
        Self {
            runtime,
            folder,
            voters,
            entries,
        }
    }

    /// Runs a script with the program on its path.
    fn run(&self, script: &str) -> Output {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_daisyhinge"));
        let system = std::env::var("PATH").unwrap();
        let path = format!("{}:{system}", program.parent().unwrap().display());
        let list = |address: fn(&GroupVoter) -> SocketAddr| {
            let texts: Vec<_> = self
                .voters
                .iter()
                .map(|voter| address(voter).to_string())
                .collect();
            texts.join(",")
        };
        Command::new("sh")
            .args(["-eux", "-c", script])
            .current_dir(self.folder.path())
            .env("PATH", path)
            .env(
                "DAISYHINGE_OPERATORS",
                list(|voter| voter.ports.operator.address()),
            )
            .env("DAISYHINGE_TOKEN_FILE", "token")
            .env("PROCESSES", list(|voter| voter.ports.metric.address()))
            .env("ADDRESS", self.voters[3].shell.address().to_string())
            .output()
            .unwrap()
    }

    fn close(self) {
        self.runtime.block_on(async {
            for entry in self.entries {
                entry.stop().await;
            }
            for voter in self.voters {
                voter.ports.close().await;
                voter.shell.stop().await;
            }
        });
    }
}

fn reserve_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn make_peer(index: usize) -> VoterPeer {
    VoterPeer {
        vm: VmName::from(format!("control-{index}")),
        address: reserve_address(),
    }
}

async fn spawn_voter(folder: &Path, peer: &VoterPeer, voters: &[VoterPeer]) -> GroupVoter {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut settings = ControlSettings {
        vm: peer.vm.clone(),
        address: peer.address,
        operator_address: reserve_address(),
        metrics_address: any,
        data_folder: folder.join(peer.vm.as_str()),
        token_file: folder.join("token"),
        voters: voters.to_vec(),
        events_max: 1_024,
    };
    let log = EventLog::open(peer.vm.clone(), settings.events_max);
    let sink = log.clone();
    let note = Arc::new(move |draft| {
        sink.record(draft);
    });
    let shell = ControlShell::spawn(settings.clone(), note).unwrap();
    settings.metrics_address = any;
    let ports = ControlPorts::bind(&settings, &shell, log).await.unwrap();
    GroupVoter { shell, ports }
}

async fn spawn_entry(centre: &str, control: &[SocketAddr]) -> EntryShell {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = EntrySettings {
        vm: VmName::from(format!("entry-{centre}")),
        environment: EnvironmentName::from("production"),
        data_centre: CentreName::from(centre),
        caller_address: any,
        peer_address: any,
        metrics_address: any,
        control: control.to_vec(),
        limits: EntryLimits::default(),
    };
    let metrics = EntryMetrics::register(&mut MetricRegistry::default());
    EntryShell::spawn(settings, metrics, Arc::new(|_| {}))
        .await
        .unwrap()
}

/// The blocks of the page that are marked `sh`, indented or not, as one script.
fn read_script() -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("../docs/OPERATIONS.md")).unwrap();
    let mut script = String::new();
    let mut inside = false;
    for line in page.lines().map(str::trim_start) {
        match line {
            "```sh" => inside = true,
            "```" => inside = false,
            _ if inside => {
                script.push_str(line);
                script.push('\n');
            }
            _ => {}
        }
    }
    script
}

#[test]
fn commands_of_the_page_work_in_their_order() {
    let group = RealGroup::open();
    let document = include_str!("../examples/production.json");
    let folder = group.folder.path();
    std::fs::write(folder.join("production.json"), document).unwrap();
    std::fs::write(folder.join("trial.json"), document.replace("2000", "2500")).unwrap();
    let script = read_script();
    assert!(script.lines().count() > 20, "{script}");
    let output = group.run(&script);
    let (out, err) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert!(output.status.success(), "stdout: {out}\nstderr: {err}");
    assert!(out.contains("in force on every entry"), "{out}");
    assert!(out.contains("event=change-committed"), "{out}");
    group.close();
}
