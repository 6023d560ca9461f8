//! Clients that hold what they can of an entry's memory and descriptors, with the program as a
//! process. One crowd at a time.

#[expect(dead_code, reason = "shared with the tests of the platform's programs")]
#[path = "../../platform/tests/crowds/clients.rs"]
mod clients;
#[path = "../../platform/tests/crowds/usage.rs"]
mod usage;

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use clients::{
    gather_crowd, gather_crowd_in_pieces, unfinished_body, unfinished_head, whole_requests,
};
use daisyhinge_fakes::checker::send_query;
use daisyhinge_fakes::control::FakeControl;
use daisyhinge_fakes::http::build_client;
use daisyhinge_fakes::server::{FakeServer, FakeSettings};
use serde_json::json;
use tempfile::TempDir;
use tokio::sync::{Mutex, MutexGuard};
use usage::UsageRecorder;

/// Address of the entry, at which nothing else runs.
const ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 113, 0, 1);
/// Memory in the settings, in MiB.
const MEMORY_MB: u64 = 96;
/// Connections in the settings.
const CONNECTIONS_MAX: usize = 300;
/// Descriptors of the entry besides connections of clients.
const OTHER_DESCRIPTORS: usize = 100;
/// Clients of a crowd.
const CROWD: usize = 800;
/// Clients of a crowd that sends piece by piece.
const PIECE_CROWD: usize = 80;
/// Size of the pieces of a body, in bytes.
const PIECE_BYTES: usize = 1 << 10;
/// Size of the body of a request, in bytes; the limit of the settings.
const BODY_BYTES: usize = 256 << 10;
const PATH: &str = "/v1/services/labels/query";
/// Maximum time until the entry serves.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// Keeps the crowds of this test apart.
static TURN: Mutex<()> = Mutex::const_new(());

struct EntryProcess {
    child: Child,
    caller_address: SocketAddr,
    _control: FakeControl,
    _server: FakeServer,
    _folder: TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl EntryProcess {
    async fn start() -> Self {
        let turn = TURN.lock().await;
        let document = json!({
            "regions": [{"name": "lagos", "data_centres": [{"name": "lagos-1"}]}],
            "services": [{"name": "labels", "repeatable": true, "deadline_ms": 5_000}],
        });
        let document = serde_json::from_value(document).expect("a document");
        let control = FakeControl::spawn("production", document).await;
        let control = control.expect("a control process");
        let settings = json!({
            "vm": "entry-1", "environment": "production", "data_centre": "lagos-1",
            "caller_address": format!("{ADDRESS}:27113"),
            "peer_address": format!("{ADDRESS}:27114"),
            "metrics_address": format!("{ADDRESS}:27115"),
            "control": [control.address()],
            "limits": {"body_max_bytes": BODY_BYTES, "connections_max": CONNECTIONS_MAX,
                       "memory_mb": MEMORY_MB},
        });
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("settings.json");
        std::fs::write(&path, settings.to_string()).expect("write the settings");
        let child = Command::new(env!("CARGO_BIN_EXE_daisyhinge-entry"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("start the entry");
        let caller_address = SocketAddr::from((ADDRESS, 27_113));
        let server = FakeSettings::new("labels", "labels-0", "lagos-1", &[caller_address]);
        let process = Self {
            child,
            caller_address,
            _control: control,
            _server: FakeServer::spawn(server).await.expect("a server"),
            _folder: folder,
            _turn: turn,
        };
        let started = std::time::Instant::now();
        while !process.is_served().await {
            assert!(started.elapsed() < START_TIMEOUT, "the entry never served");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        process
    }

    async fn is_served(&self) -> bool {
        let caller = build_client();
        let reply = send_query(&caller, self.caller_address, "labels", "ordinary").await;
        reply.is_ok_and(|reply| reply["complete"] == true)
    }

    /// Sends a crowd, and an ordinary request while it is there.
    async fn bear(&self, size: usize, bytes: Vec<u8>, piece: Option<usize>) {
        let recorder = UsageRecorder::spawn(self.child.id(), ADDRESS);
        let address = self.caller_address.to_string();
        let crowd = match piece {
            Some(piece) => gather_crowd_in_pieces(&address, size, bytes, piece).await,
            None => gather_crowd(&address, size, bytes).await,
        };
        recorder.settle().await;
        let answered = self.is_served().await;
        let peak = recorder.stop();
        drop(crowd);
        println!("{peak:?}, ordinary request answered: {answered}");
        assert!(peak.alive, "the process has ended");
        assert!(peak.memory <= MEMORY_MB << 20, "{peak:?}");
        assert!(
            peak.descriptors <= CONNECTIONS_MAX + OTHER_DESCRIPTORS,
            "{peak:?}"
        );
        assert!(answered, "the ordinary request was not answered");
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.child.kill().expect("kill a process of the test");
        self.child.wait().expect("reap the process");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_that_stop_short_of_their_end_exhaust_the_entry() {
    let process = EntryProcess::start().await;
    let bytes = unfinished_body("POST", PATH, BODY_BYTES);
    process.bear(CROWD, bytes, None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_pieces_that_stop_short_of_their_end_exhaust_the_entry() {
    let process = EntryProcess::start().await;
    let bytes = unfinished_body("POST", PATH, BODY_BYTES);
    process.bear(PIECE_CROWD, bytes, Some(PIECE_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unfinished_heads_keep_others_from_the_entry() {
    let process = EntryProcess::start().await;
    let bytes = unfinished_head("POST", PATH, 15 << 10);
    process.bear(CROWD, bytes, None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_that_nobody_reads_keep_others_from_the_entry() {
    let process = EntryProcess::start().await;
    let bytes = whole_requests("GET", "/v1/addresses?service=labels", 4_000);
    process.bear(CROWD, bytes, None).await;
}
