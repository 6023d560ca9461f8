//! A real group of control VMs and entries inside the test process, and a runner of scripts.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;

use daisyhinge::metric::{EntryMetrics, MetricRegistry};
use daisyhinge::prelude::*;
use daisyhinge::shell::control::ControlShell;
use daisyhinge::shell::entry::EntryShell;
use daisyhinge::shell::metric::MetricPort;
use daisyhinge::shell::operator::{ControlPorts, OperatorToken};
use daisyhinge::shell::timeline::EventLog;
use daisyhinge::vocabulary::setting::{ControlSettings, EntryLimits, EntrySettings, VoterPeer};
use daisyhinge_fakes::port::reserve_address;
use tempfile::TempDir;
use tokio::runtime::Runtime;

const CENTRES: [&str; 3] = ["lagos-1", "abuja-1", "kano-1"];

/// A running control VM.
pub struct GroupVoter {
    pub shell: ControlShell,
    pub ports: ControlPorts,
}

/// A running entry.
pub struct GroupEntry {
    pub shell: EntryShell,
    pub metric: MetricPort,
}

/// A running group of three voters and the entries. A fourth control VM is started, but is not a
/// member yet.
pub struct RealGroup {
    pub runtime: Runtime,
    pub folder: TempDir,
    pub voters: Vec<GroupVoter>,
    pub entries: Vec<GroupEntry>,
}

impl RealGroup {
    pub fn open() -> Self {
        let runtime = Runtime::new().unwrap();
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("token"), "0123456789abcdef-test").unwrap();
        let peers: Vec<_> = (0..3).map(make_peer).collect();
        let added_peer = make_peer(3);
        let (voters, entries) = runtime.block_on(async {
            let mut voters = Vec::new();
            for peer in &peers {
                voters.push(spawn_voter(folder.path(), peer, &peers).await);
            }
            voters.push(spawn_voter(folder.path(), &added_peer, &[]).await);
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

    /// Runs a shell script with the command-line program on its `PATH`.
    pub fn run(&self, script: &str) -> Output {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_daisyhinge"));
        let inherited_path = std::env::var("PATH").unwrap();
        let path = format!("{}:{inherited_path}", program.parent().unwrap().display());
        let operators = self
            .voters
            .iter()
            .map(|voter| voter.ports.operator.address());
        let voters = self.voters.iter().map(|voter| voter.ports.metric.address());
        let entries = self.entries.iter().map(|entry| entry.metric.address());
        Command::new("sh")
            .args(["-eux", "-c", script])
            .current_dir(self.folder.path())
            .env("PATH", path)
            .env("DAISYHINGE_OPERATORS", join_addresses(operators))
            .env("DAISYHINGE_TOKEN_FILE", "token")
            .env("PROCESSES", join_addresses(voters.chain(entries)))
            .env("ADDRESS", self.voters[3].shell.address().to_string())
            .output()
            .unwrap()
    }

    pub fn close(self) {
        self.runtime.block_on(async {
            for entry in self.entries {
                entry.metric.close().await;
                entry.shell.stop().await;
            }
            for voter in self.voters {
                voter.ports.close().await;
                voter.shell.stop().await;
            }
        });
    }
}

fn join_addresses(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let texts: Vec<_> = addresses.map(|address| address.to_string()).collect();
    texts.join(",")
}

fn make_peer(index: usize) -> VoterPeer {
    VoterPeer {
        vm: VmName::from(format!("control-{index}")),
        address: reserve_address(),
    }
}

async fn spawn_voter(folder: &Path, peer: &VoterPeer, voters: &[VoterPeer]) -> GroupVoter {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut settings = ControlSettings {
        vm: peer.vm.clone(),
        address: peer.address,
        operator_address: reserve_address(),
        metrics_address: any_port,
        data_folder: folder.join(peer.vm.as_str()),
        token_file: folder.join("token"),
        voters: voters.to_vec(),
        events_max: 1_024,
    };
    let log = EventLog::open(peer.vm.clone(), settings.events_max);
    let event_log = log.clone();
    let record_event = Arc::new(move |draft| {
        event_log.record(draft);
    });
    let shell = ControlShell::spawn(settings.clone(), record_event).unwrap();
    settings.metrics_address = any_port;
    let token = OperatorToken::read(&settings.token_file).unwrap();
    let ports = ControlPorts::bind(&settings, token, &shell, log)
        .await
        .unwrap();
    GroupVoter { shell, ports }
}

async fn spawn_entry(centre: &str, control: &[SocketAddr]) -> GroupEntry {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = EntrySettings {
        vm: VmName::from(format!("entry-{centre}")),
        environment: EnvironmentName::from("production"),
        data_centre: CentreName::from(centre),
        caller_address: any_port,
        peer_address: any_port,
        metrics_address: any_port,
        control: control.to_vec(),
        limits: EntryLimits::default(),
    };
    let log = EventLog::open(settings.vm.clone(), settings.limits.events_max);
    let mut registry = MetricRegistry::default();
    let metrics = EntryMetrics::register(&mut registry);
    let event_log = log.clone();
    let record_event = Arc::new(move |draft| {
        event_log.record(draft);
    });
    let shell = EntryShell::spawn(settings, metrics, record_event)
        .await
        .unwrap();
    let metric = MetricPort::bind(any_port, log, registry, || 0_u32)
        .await
        .unwrap();
    GroupEntry { shell, metric }
}
