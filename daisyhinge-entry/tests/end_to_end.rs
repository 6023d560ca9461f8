//! End-to-end test with separate processes: a caller, a root entry, a keeper and backend servers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyhinge::vocabulary::environment::EnvironmentDocument;
use daisyhinge_fakes::control::FakeControl;
use daisyhinge_fakes::http::{BufferedResponse, HttpClient, build_client, send_request};
use daisyhinge_fakes::process::{TestProcess, find_program};
use daisyhinge_fakes::server::{FakeSettings, build_snapshot};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Timeout for the first answer after startup; startup normally takes much less time.
const READY_TIMEOUT: Duration = Duration::from_mins(1);

fn build_document() -> EnvironmentDocument {
    let document = json!({
        "regions": [{"name": "lagos", "data_centres": [{"name": "lagos-1"}, {"name": "lagos-2"}]}],
        "services": [
            {"name": "labels", "repeatable": true, "minimum_coverage_ppm": 1_000_000},
            {"name": "prints", "repeatable": false},
        ],
    });
    serde_json::from_value(document).expect("the document is valid")
}

fn spawn_entry(folder: &TempDir, vm: &str, centre: &str, control: SocketAddr) -> TestProcess {
    let path = folder.path().join(format!("{vm}.json"));
    let settings = json!({
        "vm": vm, "environment": "production", "data_centre": centre,
        "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
        "metrics_address": "127.0.0.1:0", "control": [control],
    });
    std::fs::write(&path, settings.to_string()).expect("the folder is writable");
    let program = env!("CARGO_BIN_EXE_daisyhinge-entry");
    let path = path.to_str().expect("the path is text");
    TestProcess::spawn(program.as_ref(), &["--settings", path]).expect("the entry starts")
}

fn spawn_server(folder: &TempDir, settings: &FakeSettings) -> TestProcess {
    let path = folder.path().join(format!("{}.json", settings.replica));
    let text = serde_json::to_string(settings).expect("the settings can be serialised");
    std::fs::write(&path, text).expect("the folder is writable");
    let program = find_program(env!("CARGO_BIN_EXE_daisyhinge-entry"), "daisyhinge-fakes");
    let path = path.to_str().expect("the path is text");
    TestProcess::spawn(&program, &["server", path]).expect("the backend server starts")
}

fn address_of(process: &TestProcess, key: &str) -> SocketAddr {
    process
        .value(key)
        .and_then(|text| text.parse().ok())
        .expect("the address is printed")
}

async fn query(
    caller: &HttpClient,
    entry: SocketAddr,
    service: &str,
    request: Option<&str>,
) -> Option<BufferedResponse> {
    let mut builder = Request::post(format!("http://{entry}/v1/services/{service}/query"));
    if let Some(request) = request {
        builder = builder.header("daisyhinge-request", request);
    }
    let message = builder
        .body(Full::new(Bytes::from_static(b"{\"dish\":\"egusi\"}")))
        .ok()?;
    send_request(caller, message, READY_TIMEOUT).await.ok()
}

async fn query_until_answered(
    caller: &HttpClient,
    entry: SocketAddr,
    service: &str,
    request: Option<&str>,
) -> Value {
    let started = Instant::now();
    loop {
        let response = query(caller, entry, service, request).await;
        let answered = response
            .as_ref()
            .is_some_and(|response| response.status == 200);
        if let (true, Some(response)) = (answered, &response) {
            return response.read_json().expect("an answer is JSON");
        }
        assert!(
            started.elapsed() < READY_TIMEOUT,
            "no answer in time: {response:?}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_passes_through_two_entries_to_a_backend_server() {
    let folder = TempDir::new().expect("the folder can be created");
    let control = FakeControl::spawn("production", build_document())
        .await
        .expect("control starts");
    let root = spawn_entry(&folder, "entry-1", "lagos-1", control.address());
    let keeper = spawn_entry(&folder, "entry-2", "lagos-2", control.address());
    let caller_address = address_of(&root, "caller_address");
    let entries = [caller_address, address_of(&keeper, "caller_address")];
    let mut servers = Vec::new();
    for shard in 0..3 {
        let mut settings =
            FakeSettings::new("labels", &format!("labels-{shard}"), "lagos-2", &entries);
        settings.snapshots = vec![build_snapshot(7, shard, 3)];
        servers.push(spawn_server(&folder, &settings));
    }
    servers.push(spawn_server(
        &folder,
        &FakeSettings::new("prints", "prints-0", "lagos-2", &entries),
    ));

    let caller = build_client();
    let answer = query_until_answered(&caller, caller_address, "labels", None).await;
    assert_eq!(answer["snapshot"], 7);
    assert_eq!(answer["complete"], true);
    assert_eq!(
        answer["coverage"]["answered_weight"],
        answer["coverage"]["whole_weight"]
    );
    assert_eq!(answer["parts"].as_array().map(Vec::len), Some(3));

    let first = query_until_answered(&caller, caller_address, "prints", Some("print-1")).await;
    let repeated = query_until_answered(&caller, entries[1], "prints", Some("print-1")).await;
    assert_eq!(first["resent"], false);
    assert_eq!(repeated["resent"], true);
    assert_eq!(first["parts"], repeated["parts"]);

    let unknown = query(&caller, caller_address, "nothing", None)
        .await
        .expect("the query gets a response");
    let refusal: Value = unknown.read_json().expect("a refusal is JSON");
    assert_eq!(
        (refusal["code"].as_u64(), refusal["run"].as_str()),
        (Some(1004), Some("not-run"))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_entry_leaves_and_exits_with_zero() {
    let folder = TempDir::new().expect("the folder can be created");
    let control = FakeControl::spawn("production", build_document())
        .await
        .expect("control starts");
    let mut entry = spawn_entry(&folder, "entry-1", "lagos-1", control.address());
    let started = Instant::now();
    while control.entries().is_empty() {
        assert!(started.elapsed() < READY_TIMEOUT, "the entry never joined");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(entry.signal("TERM"));
    let status = tokio::task::spawn_blocking(move || entry.wait())
        .await
        .expect("the wait does not panic");
    assert_eq!(status.and_then(|status| status.code()), Some(0));
    assert!(control.entries().is_empty());
}
