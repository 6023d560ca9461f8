//! Kills, freezes and terminates processes of a complete system under load.

mod support {
    pub mod fleet;
}

use std::time::{Duration, Instant};

use daisyhinge_fakes::checker::{CallerStats, run_caller};
use support::fleet::{TestFleet, WAIT_TIMEOUT};
use tokio::task::JoinHandle;

/// Number of callers per service.
const CALLERS: usize = 3;
const LOAD_DURATION: Duration = Duration::from_secs(12);
const FAULT_DELAY: Duration = Duration::from_secs(2);

fn spawn_callers(fleet: &TestFleet, duration: Duration) -> Vec<JoinHandle<CallerStats>> {
    let deadline = Instant::now() + duration;
    let entries = fleet.entry_addresses();
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        for service in ["labels", "prints"] {
            let name = format!("{service}-{index}");
            callers.push(tokio::spawn(run_caller(
                entries.clone(),
                service,
                name,
                deadline,
            )));
        }
    }
    callers
}

/// Checks the invariants of a run and returns the number of truncated replies.
async fn check_callers(fleet: &TestFleet, callers: Vec<JoinHandle<CallerStats>>) -> u64 {
    let mut connection_resets = 0;
    for caller in callers {
        let stats = caller.await.unwrap();
        assert!(stats.failures.is_empty(), "{:?}", stats.failures);
        assert!(stats.answered > 0);
        connection_resets += stats.connection_resets;
    }
    let doubled: Vec<_> = fleet
        .single_runs()
        .into_iter()
        .filter(|run| run.1 > 1)
        .collect();
    assert!(doubled.is_empty(), "ran more than once: {doubled:?}");
    assert_eq!(
        fleet.overloads(),
        0,
        "a backend server got more work or connections than it announced"
    );
    connection_resets
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_entry_loses_and_duplicates_no_request() {
    let mut fleet = TestFleet::spawn().await;
    let callers = spawn_callers(&fleet, LOAD_DURATION);
    tokio::time::sleep(FAULT_DELAY).await;
    let killed = fleet.entries.remove(1);
    assert!(killed.signal("KILL"));
    check_callers(&fleet, callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_control_leader_loses_and_duplicates_no_request() {
    let mut fleet = TestFleet::spawn().await;
    let callers = spawn_callers(&fleet, LOAD_DURATION);
    for index in 0..3 {
        tokio::time::sleep(FAULT_DELAY).await;
        assert!(fleet.controls[index].signal("KILL"));
        fleet.controls[index].wait();
        fleet.controls[index] = fleet.spawn_control(index);
    }
    check_callers(&fleet, callers).await;
    let output = fleet.run(&["env", "show", "production", "--json"]);
    assert!(output.status.success(), "{output:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_sends_nothing_to_a_data_centre_taken_out_meanwhile() {
    let fleet = TestFleet::spawn().await;
    let callers = spawn_callers(&fleet, LOAD_DURATION);
    tokio::time::sleep(FAULT_DELAY).await;
    let frozen = &fleet.entries[2];
    assert!(frozen.signal("STOP"));
    let output = fleet.run(&["data-centre", "take-out", "production", "kano-1"]);
    assert!(output.status.success(), "{output:?}");
    tokio::time::sleep(Duration::from_secs(5)).await;
    let in_kano = |server: &&daisyhinge_fakes::server::FakeServer| {
        server.settings().data_centre.as_str() == "kano-1"
    };
    let servers: Vec<_> = fleet.servers.iter().filter(in_kano).collect();
    for server in &servers {
        server.mark();
    }
    assert!(frozen.signal("CONT"));
    check_callers(&fleet, callers).await;
    let late_sub_requests: u64 = servers
        .iter()
        .map(|server| server.record().after_mark)
        .sum();
    assert_eq!(
        late_sub_requests, 0,
        "new work reached a data centre that was taken out of service"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_entry_truncates_no_reply() {
    let mut fleet = TestFleet::spawn().await;
    let callers = spawn_callers(&fleet, LOAD_DURATION);
    tokio::time::sleep(FAULT_DELAY).await;
    let mut leaving = fleet.entries.remove(0);
    assert!(leaving.signal("TERM"));
    let terminated_at = Instant::now();
    let status = tokio::task::spawn_blocking(move || leaving.wait())
        .await
        .unwrap();
    assert_eq!(status.and_then(|status| status.code()), Some(0));
    assert!(terminated_at.elapsed() < WAIT_TIMEOUT);
    assert_eq!(
        check_callers(&fleet, callers).await,
        0,
        "a reply was truncated"
    );
}
