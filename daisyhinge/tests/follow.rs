//! Tests how an entry selects the control process from which it receives the deployment's state,
//! over loopback connections.

#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::shell::link_version::LinkVersion;
use daisyhinge::shell::site::follow::{EntryReports, FollowSettings, ReplyProof, run_following};
use daisyhinge::shell::site::serve_site;
use daisyhinge::vocabulary::feature::FeatureLevel;
use daisyhinge::vocabulary::quota::{UsageReply, UsageReport};
use daisyhinge::vocabulary::registration::{
    ControlLocation, CrashReport, EntryPhase, SyncCaller, SyncReply, SyncRequest,
};
use daisyhinge::vocabulary::rollout::RolloutReport;
use futures::FutureExt;
use reserved_network::reserved_host;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const PORT: u16 = 27_861;

fn address(test_index: u8, number: u8) -> SocketAddr {
    SocketAddr::new(reserved_host(64, test_index, number), PORT)
}

/// Fake control process.
#[derive(Clone)]
struct FakeControl {
    epoch: u64,
    centre: &'static str,
    quorum_age_ms: Option<u64>,
    members: Vec<ControlLocation>,
    /// Number of sync requests received from entries.
    entry_requests: Arc<AtomicUsize>,
    /// Number of sync requests with crash records.
    crash_reports: Arc<AtomicUsize>,
    /// Number of sync requests with outcomes of rollouts.
    rollout_reports: Arc<AtomicUsize>,
    /// Whether the process has lost its quorum.
    isolated: Arc<AtomicBool>,
    /// Time that each reply takes, added to the long-poll timeout.
    delay: Duration,
}

impl FakeControl {
    async fn answer(self, request: SyncRequest) -> SyncReply {
        let is_entry = matches!(request.caller, SyncCaller::Entry { .. });
        self.entry_requests
            .fetch_add(usize::from(is_entry), Ordering::Relaxed);
        let has_crashes = request.crashes.is_some();
        self.crash_reports
            .fetch_add(usize::from(has_crashes), Ordering::Relaxed);
        let has_rollouts = request.rollouts.is_some();
        self.rollout_reports
            .fetch_add(usize::from(has_rollouts), Ordering::Relaxed);
        tokio::time::sleep(self.delay + Duration::from_millis(request.wait_ms)).await;
        SyncReply {
            epoch: self.epoch,
            mark: 1,
            replicas: Vec::new(),
            entries: Vec::new(),
            crashes: Vec::new(),
            rollouts: Vec::new(),
            report_mark: 0,
            usage: UsageReply::default(),
            restored: None,
            complete: false,
            site: None,
            quorum_age_ms: if self.isolated.load(Ordering::Relaxed) {
                Some(5_000)
            } else {
                self.quorum_age_ms
            },
            data_centre: self.centre.into(),
            control: self.members,
            feature_level: FeatureLevel::BASE,
        }
    }
}

impl FakeControl {
    async fn listen(&self, bind_address: SocketAddr) -> JoinHandle<()> {
        let listener = TcpListener::bind(bind_address).await.expect("a free port");
        let control = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let control = control.clone();
                let handler = move |request| control.clone().answer(request).boxed();
                tokio::spawn(serve_site(handler, stream, LinkVersion::Ordered));
            }
        })
    }

    fn crash_reports(&self) -> usize {
        self.crash_reports.load(Ordering::Relaxed)
    }

    fn rollout_reports(&self) -> usize {
        self.rollout_reports.load(Ordering::Relaxed)
    }

    fn entry_requests(&self) -> usize {
        self.entry_requests.load(Ordering::Relaxed)
    }
}

fn fake_control(test_index: u8, epoch: u64, centre: &'static str) -> FakeControl {
    let members = [(1, "far"), (2, "near")];
    let location = |(number, centre): (u8, &str)| ControlLocation {
        address: address(test_index, number),
        data_centre: Some(centre.into()),
    };
    FakeControl {
        epoch,
        centre,
        quorum_age_ms: Some(10),
        members: members.map(location).into(),
        entry_requests: Arc::default(),
        crash_reports: Arc::default(),
        rollout_reports: Arc::default(),
        isolated: Arc::default(),
        delay: Duration::ZERO,
    }
}

fn empty_report() -> RolloutReport {
    RolloutReport {
        vm: "entry-1".into(),
        incarnation: 1,
        revision: 0,
        services: Vec::new(),
    }
}

/// Starts an entry in data centre `near` with the given seeds. Returns a counter of the replies
/// received that are confirmed by a quorum.
fn spawn_follower(test_index: u8, seeds: &[u8]) -> (Arc<AtomicUsize>, JoinHandle<()>) {
    let (confirmed_replies, follow_task, _) = spawn_reporting_follower(test_index, seeds);
    (confirmed_replies, follow_task)
}

/// Senders of an entry's reports.
struct ReportSenders {
    crashes: watch::Sender<CrashReport>,
    rollouts: watch::Sender<RolloutReport>,
}

/// Starts an entry like [`spawn_follower`]. Also returns the senders of its reports.
fn spawn_reporting_follower(
    test_index: u8,
    seeds: &[u8],
) -> (Arc<AtomicUsize>, JoinHandle<()>, Arc<ReportSenders>) {
    let regions = [("near", "north"), ("far", "south")];
    let settings = FollowSettings {
        location: FleetLocation {
            vm: "entry-1".into(),
            data_centre: "near".into(),
            regions: regions
                .map(|(centre, region)| (centre.into(), region.into()))
                .into(),
        },
        address: address(test_index, 9),
        seeds: seeds
            .iter()
            .map(|seed| address(test_index, *seed))
            .collect(),
    };
    let confirmed_replies = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&confirmed_replies);
    let (crash_sender, crashes) = watch::channel(CrashReport::empty("entry-1".into(), 1));
    let (rollout_sender, rollouts) = watch::channel(empty_report());
    let senders = Arc::new(ReportSenders {
        crashes: crash_sender,
        rollouts: rollout_sender,
    });
    let kept_senders = Arc::clone(&senders);
    let follow_task = tokio::spawn(async move {
        let _senders = kept_senders;
        let (_phases, phases) = watch::channel(EntryPhase::Serving);
        let (_usage, usage) = watch::channel(UsageReport::empty("entry-1".into(), 1));
        let reports = EntryReports {
            phases,
            crashes,
            rollouts,
            usage,
        };
        let sink = Arc::new(move |_: SyncReply, proof: ReplyProof| {
            counter.fetch_add(usize::from(proof.fresh), Ordering::Relaxed);
        });
        run_following(settings, reports, sink, Arc::new(|_, _| {})).await;
    });
    (confirmed_replies, follow_task, senders)
}

/// Waits until `condition` holds. Returns the elapsed time.
async fn wait_for(timeout: Duration, condition: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < timeout, "not within {timeout:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

#[tokio::test]
async fn entry_switches_to_the_nearest_control_process() {
    let remote_control = fake_control(1, 1, "far");
    let local_control = fake_control(1, 2, "near");
    remote_control.listen(address(1, 1)).await;
    let local_task = local_control.listen(address(1, 2)).await;
    let (confirmed_replies, follow_task) = spawn_follower(1, &[1]);
    wait_for(Duration::from_secs(1), || {
        confirmed_replies.load(Ordering::Relaxed) > 0
    })
    .await;
    wait_for(Duration::from_secs(5), || {
        local_control.entry_requests() > 1
    })
    .await;
    let before = remote_control.entry_requests();
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(
        remote_control.entry_requests(),
        before,
        "the entry no longer calls the remote control process"
    );
    local_task.abort();
    follow_task.abort();
}

/// A control process that accepts connections but never replies is abandoned within about a second,
/// because a new configuration must take effect at every entry within a time limit.
#[tokio::test]
async fn hung_control_process_is_abandoned_within_a_second() {
    let silent = TcpListener::bind(address(2, 2)).await.expect("a free port");
    let remote_control = fake_control(2, 1, "far");
    remote_control.listen(address(2, 1)).await;
    let (confirmed_replies, follow_task) = spawn_follower(2, &[2]);
    // The only seed hangs and no other control process is known yet.
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(confirmed_replies.load(Ordering::Relaxed), 0);
    follow_task.abort();
    let (confirmed_replies, follow_task) = spawn_follower(2, &[1, 2]);
    wait_for(Duration::from_millis(1_500), || {
        confirmed_replies.load(Ordering::Relaxed) > 0
    })
    .await;
    follow_task.abort();
    drop(silent);
}

/// A control process that reports no members has lost its disk. An entry stops following it after
/// 300 ms, without the 1200 ms that other control processes get to contact a quorum after a start.
#[tokio::test]
async fn control_process_without_members_is_abandoned_quickly() {
    let mut empty = fake_control(3, 2, "near");
    empty.quorum_age_ms = None;
    empty.members.clear();
    empty.listen(address(3, 2)).await;
    let remote_control = fake_control(3, 1, "far");
    remote_control.listen(address(3, 1)).await;
    let (confirmed_replies, follow_task) = spawn_follower(3, &[1, 2]);
    wait_for(Duration::from_millis(900), || {
        confirmed_replies.load(Ordering::Relaxed) > 0
    })
    .await;
    follow_task.abort();
}

/// A control process without recent contact to a quorum is abandoned in favour of another one.
#[tokio::test]
async fn control_process_without_a_quorum_is_abandoned() {
    let mut isolated = fake_control(4, 2, "near");
    isolated.quorum_age_ms = Some(5_000);
    isolated.listen(address(4, 2)).await;
    let remote_control = fake_control(4, 1, "far");
    remote_control.listen(address(4, 1)).await;
    let (confirmed_replies, follow_task) = spawn_follower(4, &[2, 1]);
    wait_for(Duration::from_secs(1), || {
        confirmed_replies.load(Ordering::Relaxed) > 1
    })
    .await;
    assert!(remote_control.entry_requests() > 0);
    follow_task.abort();
}

/// A control process that is lost may not have told the others yet.
#[tokio::test]
async fn crash_records_are_reported_at_once_and_again_to_the_next_control_process() {
    let remote_control = fake_control(5, 1, "far");
    remote_control.listen(address(5, 1)).await;
    let local_control = fake_control(5, 2, "near");
    local_control.listen(address(5, 2)).await;
    let (_, follow_task, senders) = spawn_reporting_follower(5, &[2, 1]);
    wait_for(Duration::from_secs(5), || {
        local_control.entry_requests() > 1
    })
    .await;
    senders.crashes.send_modify(|report| report.revision = 1);
    wait_for(Duration::from_millis(300), || {
        local_control.crash_reports() == 1
    })
    .await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(local_control.crash_reports(), 1, "reported once");
    local_control.isolated.store(true, Ordering::Relaxed);
    wait_for(Duration::from_secs(2), || {
        remote_control.crash_reports() == 1
    })
    .await;
    follow_task.abort();
}

/// Each new report called off the request before the reply could arrive.
#[tokio::test]
async fn frequent_crash_reports_do_not_keep_an_entry_from_receiving_state() {
    let mut control = fake_control(6, 2, "near");
    control.delay = Duration::from_millis(60);
    control.listen(address(6, 2)).await;
    let (confirmed_replies, follow_task, senders) = spawn_reporting_follower(6, &[2]);
    wait_for(Duration::from_secs(1), || {
        confirmed_replies.load(Ordering::Relaxed) > 0
    })
    .await;
    let before = confirmed_replies.load(Ordering::Relaxed);
    for revision in 1..60 {
        senders
            .crashes
            .send_modify(|report| report.revision = revision);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let received = confirmed_replies.load(Ordering::Relaxed) - before;
    assert!(received >= 5, "{received} replies in 1.2 s");
    follow_task.abort();
}

/// A control process that is lost takes the outcomes with it that only it has received.
#[tokio::test]
async fn rollout_reports_are_sent_at_once_and_again_to_the_next_control_process() {
    let remote_control = fake_control(7, 1, "far");
    remote_control.listen(address(7, 1)).await;
    let local_control = fake_control(7, 2, "near");
    local_control.listen(address(7, 2)).await;
    let (_, follow_task, senders) = spawn_reporting_follower(7, &[2, 1]);
    wait_for(Duration::from_secs(5), || {
        local_control.entry_requests() > 1
    })
    .await;
    senders.rollouts.send_modify(|report| report.revision = 1);
    wait_for(Duration::from_millis(300), || {
        local_control.rollout_reports() == 1
    })
    .await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(local_control.rollout_reports(), 1, "reported once");
    assert_eq!(local_control.crash_reports(), 0);
    local_control.isolated.store(true, Ordering::Relaxed);
    wait_for(Duration::from_secs(2), || {
        remote_control.rollout_reports() == 1
    })
    .await;
    follow_task.abort();
}

/// Reports of both kinds that call off every request before its reply arrives.
#[tokio::test]
async fn frequent_reports_of_both_kinds_do_not_keep_an_entry_from_receiving_state() {
    let mut control = fake_control(8, 2, "near");
    control.delay = Duration::from_millis(60);
    control.listen(address(8, 2)).await;
    let (confirmed_replies, follow_task, senders) = spawn_reporting_follower(8, &[2]);
    wait_for(Duration::from_secs(1), || {
        confirmed_replies.load(Ordering::Relaxed) > 0
    })
    .await;
    let before = confirmed_replies.load(Ordering::Relaxed);
    for revision in 1..60 {
        if revision % 2 == 0 {
            senders
                .crashes
                .send_modify(|report| report.revision = revision);
        } else {
            senders
                .rollouts
                .send_modify(|report| report.revision = revision);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let received = confirmed_replies.load(Ordering::Relaxed) - before;
    assert!(received >= 5, "{received} replies in 1.2 s");
    follow_task.abort();
}
