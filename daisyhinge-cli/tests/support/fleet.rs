//! A complete system of real processes, with backend servers and callers inside the test process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use daisyhinge_fakes::checker::send_query;
use daisyhinge_fakes::http::build_client;
use daisyhinge_fakes::port::reserve_address;
use daisyhinge_fakes::process::{TestProcess, find_program};
use daisyhinge_fakes::server::{FakeServer, FakeSettings, build_snapshot};
use serde_json::{Value, json};
use tempfile::TempDir;

const CLI: &str = env!("CARGO_BIN_EXE_daisyhinge");
pub const SHARDS: u32 = 4;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of every wait, far above the expected time.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Processes and backend servers of one test.
#[derive(Debug)]
pub struct TestFleet {
    pub folder: TempDir,
    pub controls: Vec<TestProcess>,
    pub operators: Vec<SocketAddr>,
    pub entries: Vec<TestProcess>,
    pub servers: Vec<FakeServer>,
    control_addresses: Vec<SocketAddr>,
}

pub fn write_file(folder: &Path, name: &str, value: &Value) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, value.to_string()).unwrap();
    path
}

impl TestFleet {
    /// Starts three control VMs and, in each of three data centres, an entry and backend servers.
    /// Returns after every entry has given a complete answer.
    pub async fn spawn() -> Self {
        let folder = TempDir::new().unwrap();
        std::fs::write(folder.path().join("token"), "0123456789abcdef-fleet\n").unwrap();
        let mut fleet = Self {
            folder,
            controls: Vec::new(),
            operators: (0..3).map(|_| reserve_address()).collect(),
            entries: Vec::new(),
            servers: Vec::new(),
            control_addresses: (0..3).map(|_| reserve_address()).collect(),
        };
        for index in 0..3 {
            let control = fleet.spawn_control(index);
            fleet.controls.push(control);
        }
        let document = write_document();
        let path = write_file(fleet.folder.path(), "production.json", &document);
        let output = fleet.run(&[
            "env",
            "apply",
            "production",
            path.to_str().unwrap(),
            "--base",
            "0",
        ]);
        assert!(output.status.success(), "{output:?}");
        for centre in ["lagos-1", "abuja-1", "kano-1"] {
            let entry = fleet.spawn_entry(centre);
            fleet.entries.push(entry);
        }
        fleet.spawn_servers().await;
        fleet.wait_until_complete().await;
        fleet
    }

    pub fn spawn_control(&self, index: usize) -> TestProcess {
        let vm = |index: usize| format!("control-{index}");
        let voters: Vec<Value> = (0..3)
            .map(|other| json!({"vm": vm(other), "address": self.control_addresses[other]}))
            .collect();
        let folder = self.folder.path().join(vm(index));
        std::fs::create_dir_all(&folder).unwrap();
        let settings = json!({
            "vm": vm(index), "address": self.control_addresses[index],
            "operator_address": self.operators[index], "metrics_address": reserve_address(),
            "data_folder": folder, "token_file": self.folder.path().join("token"),
            "voters": voters,
        });
        let path = write_file(
            self.folder.path(),
            &format!("{}.json", vm(index)),
            &settings,
        );
        let program = find_program(CLI, "daisyhinge-control");
        TestProcess::spawn(&program, &["--settings", path.to_str().unwrap()]).unwrap()
    }

    pub fn spawn_entry(&self, centre: &str) -> TestProcess {
        let settings = json!({
            "vm": format!("entry-{centre}"), "environment": "production", "data_centre": centre,
            "caller_address": reserve_address(), "peer_address": reserve_address(),
            "metrics_address": reserve_address(), "control": self.control_addresses,
        });
        let path = write_file(
            self.folder.path(),
            &format!("entry-{centre}.json"),
            &settings,
        );
        let program = find_program(CLI, "daisyhinge-entry");
        TestProcess::spawn(&program, &["--settings", path.to_str().unwrap()]).unwrap()
    }

    async fn spawn_servers(&mut self) {
        let entries = self.entry_addresses();
        for centre in ["lagos-1", "abuja-1", "kano-1"] {
            for shard in 0..SHARDS {
                let name = format!("labels-{shard}-{centre}");
                let mut settings = FakeSettings::new("labels", &name, centre, &entries);
                settings.snapshots = vec![build_snapshot(1, shard, SHARDS)];
                self.servers
                    .push(FakeServer::spawn(settings).await.unwrap());
            }
            let name = format!("prints-{centre}");
            let settings = FakeSettings::new("prints", &name, centre, &entries);
            self.servers
                .push(FakeServer::spawn(settings).await.unwrap());
        }
    }

    async fn wait_until_complete(&self) {
        let caller = build_client();
        for entry in self.entry_addresses() {
            let mut attempt = 0;
            let started = Instant::now();
            loop {
                attempt += 1;
                let request = format!("ready-{attempt}-{}", entry.port());
                if send_query(&caller, entry, "labels", &request)
                    .await
                    .as_ref()
                    .is_ok_and(is_complete)
                {
                    break;
                }
                assert!(
                    started.elapsed() < WAIT_TIMEOUT,
                    "no complete answer before the timeout"
                );
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
    }

    /// Runs the command-line program against this system.
    pub fn run(&self, arguments: &[&str]) -> Output {
        let operators: Vec<String> = self.operators.iter().map(ToString::to_string).collect();
        Command::new(CLI)
            .args(arguments)
            .arg("--operators")
            .arg(operators.join(","))
            .arg("--token-file")
            .arg(self.folder.path().join("token"))
            .args(["--timeout-s", "40"])
            .output()
            .unwrap()
    }

    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let address = |entry: &TestProcess| entry.value("caller_address")?.parse().ok();
        self.entries.iter().filter_map(address).collect()
    }

    /// Returns the number of runs of each non-repeatable request, over all backend servers.
    pub fn single_runs(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for server in &self.servers {
            for (request, count) in server.record().single_runs {
                *runs.entry(request.to_string()).or_default() += count;
            }
        }
        runs
    }

    /// Returns the number of sub-requests and connections beyond the announced limits of the
    /// backend servers.
    pub fn overloads(&self) -> u64 {
        let count_overloads = |server: &FakeServer| {
            let record = server.record();
            record.slots_exceeded + record.connections_exceeded
        };
        self.servers.iter().map(count_overloads).sum()
    }
}

fn write_document() -> Value {
    json!({
        "regions": [
            {"name": "lagos", "data_centres": [{"name": "lagos-1"}]},
            {"name": "abuja", "data_centres": [{"name": "abuja-1"}]},
            {"name": "kano", "data_centres": [{"name": "kano-1"}]},
        ],
        "services": [
            {"name": "labels", "repeatable": true, "deadline_ms": 2_000,
             "minimum_coverage_ppm": 1_000_000},
            {"name": "prints", "repeatable": false, "deadline_ms": 2_000},
        ],
        "addresses": {"keep_ms": 1_000, "count": 3},
    })
}

fn is_complete(reply: &Value) -> bool {
    reply["complete"] == true
}
