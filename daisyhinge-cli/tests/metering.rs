//! Metrics and timeline events of a partial answer and of refusals, end to end.

#[path = "support/real_group.rs"]
mod real_group;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyhinge::shell::http_port::fetch::{PortReply, PortRequest, fetch};
use daisyhinge_fakes::server::{FakeServer, FakeSettings, build_snapshot};
use hyper::Method;
use real_group::RealGroup;

/// Timeout of every wait; reached only by a failing run.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Starts a replica of the first of two shards; no replica of the second shard exists.
async fn spawn_first_shard(entries: &[SocketAddr]) -> FakeServer {
    let mut settings = FakeSettings::new("card-view", "card-0", "lagos-1", entries);
    settings.snapshots = vec![build_snapshot(1, 0, 2)];
    FakeServer::spawn(settings).await.unwrap()
}

fn send_query(group: &RealGroup, service: &str) -> PortReply {
    let request = PortRequest {
        method: Method::POST,
        target: format!("/v1/services/{service}/query"),
        token: None,
        body: "{}".into(),
    };
    let address = group.entries[0].shell.caller_address();
    group
        .runtime
        .block_on(fetch(address, &request, WAIT_TIMEOUT))
        .unwrap()
}

fn read_metrics(group: &RealGroup) -> String {
    let address = group.entries[0].metric.address();
    let request = PortRequest::get("/metrics");
    let reply = group
        .runtime
        .block_on(fetch(address, &request, WAIT_TIMEOUT))
        .unwrap();
    String::from_utf8(reply.body.to_vec()).unwrap()
}

#[test]
fn partial_answer_and_refusals_show_with_their_reasons() {
    let group = RealGroup::open();
    let document = include_str!("../examples/production.json");
    std::fs::write(group.folder.path().join("production.json"), document).unwrap();
    let applied = group.run("daisyhinge env apply production production.json --base 0 --wait");
    assert!(
        applied.status.success(),
        "{}",
        String::from_utf8_lossy(&applied.stderr)
    );
    let callers: Vec<_> = group
        .entries
        .iter()
        .map(|entry| entry.shell.caller_address())
        .collect();
    let server = group.runtime.block_on(spawn_first_shard(&callers));

    let started = Instant::now();
    let answer = loop {
        let reply = send_query(&group, "card-view");
        if reply.status == 200 {
            break serde_json::from_slice::<serde_json::Value>(&reply.body).unwrap();
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "no answer before the timeout"
        );
        std::thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(answer["complete"], false);
    assert_eq!(send_query(&group, "no-such").status, 404);

    let metrics = read_metrics(&group);
    for line in [
        "daisyhinge_answers_partial_total{service=\"card-view\"} 1",
        "daisyhinge_missing_shards_total{service=\"card-view\",code=\"3017\",name=\"ShardAbsent\"} 1",
        "daisyhinge_sub_requests_total{service=\"card-view\"} ",
        "daisyhinge_running_requests{service=\"card-view\"} 0",
        "daisyhinge_front_refusals_total{code=\"1004\",name=\"UnknownService\"} 1",
        "daisyhinge_lease_held 1",
    ] {
        assert!(metrics.contains(line), "{line}\n{metrics}");
    }
    let zero_line = "daisyhinge_sub_requests_total{service=\"card-view\"} 0";
    assert!(!metrics.contains(zero_line), "{metrics}");
    assert!(
        !metrics.contains("no-such"),
        "a service name sent by a caller became a label"
    );

    let request = answer["request"].as_str().unwrap();
    let lines = group.run(&format!(
        "daisyhinge timeline --processes \"$PROCESSES\" --request {request}"
    ));
    let lines = String::from_utf8(lines.stdout).unwrap();
    let kinds: Vec<_> = lines
        .lines()
        .map(|line| line.split(' ').next().unwrap())
        .collect();
    assert_eq!(kinds.first(), Some(&"event=request-arrived"), "{lines}");
    assert_eq!(kinds.last(), Some(&"event=request-answered"), "{lines}");
    assert!(lines.contains("event=sub-dispatched"), "{lines}");
    assert!(
        lines.contains("code=3017 reason=ShardAbsent value=1"),
        "{lines}"
    );
    assert!(lines.contains("value=500000"), "{lines}");
    server.stop();
    group.close();
}
