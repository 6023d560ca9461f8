//! Selection of the link version, over loopback connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::shell::link_version::{
    LINK_PREAMBLE, LinkVersion, VersionRange, accept_link, open_link,
};
use daisyhinge::shell::site::follow::{EntryReports, FollowSettings, run_following};
use daisyhinge::shell::site::{SiteLinkV1, SiteLinkV1Client, serve_site};
use daisyhinge::vocabulary::feature::FeatureLevel;
use daisyhinge::vocabulary::quota::UsageReport;
use daisyhinge::vocabulary::registration::{CrashReport, EntryPhase, SyncReply, SyncRequest};
use daisyhinge::vocabulary::rollout::RolloutReport;
use daisyhinge::vocabulary::version_one::{SyncReplyV1, SyncRequestV1};
use futures::{FutureExt, StreamExt};
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Timeout of every wait; reached only if the test fails.
const WAIT_MAX: Duration = Duration::from_secs(20);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn make_reply(request: &SyncRequest) -> SyncReply {
    SyncReply {
        epoch: 3,
        mark: request.mark + 1,
        replicas: Vec::new(),
        entries: Vec::new(),
        crashes: Vec::new(),
        rollouts: Vec::new(),
        report_mark: 0,
        complete: true,
        site: None,
        quorum_age_ms: Some(5),
        data_centre: "near".into(),
        control: Vec::new(),
        feature_level: FeatureLevel::SUPPORTED,
        usage: daisyhinge::vocabulary::quota::UsageReply::default(),
        restored: None,
    }
}

/// Control process of the previous build: bincode without a handshake. Counts its replies.
#[derive(Clone)]
struct FormerControl(Arc<AtomicUsize>);

impl SiteLinkV1 for FormerControl {
    async fn sync(self, _: Context, request: SyncRequestV1) -> SyncReplyV1 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        self.0.fetch_add(1, Ordering::Relaxed);
        make_reply(&request.into()).into()
    }
}

async fn spawn_former() -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, address) = listen().await;
    let replies = Arc::new(AtomicUsize::new(0));
    let control = FormerControl(Arc::clone(&replies));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let transport = Transport::from((stream, Bincode::default()));
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(control.clone().serve());
            tokio::spawn(calls.for_each_concurrent(None, |call| call));
        }
    });
    (address, replies)
}

async fn spawn_current(lowest: LinkVersion) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, address) = listen().await;
    let replies = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&replies);
    let handler = move |request: SyncRequest| {
        let counter = Arc::clone(&counter);
        async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            counter.fetch_add(1, Ordering::Relaxed);
            make_reply(&request)
        }
        .boxed()
    };
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_site(handler.clone(), stream, lowest));
        }
    });
    (address, replies)
}

/// Guards against a handshake that settles on another version than both sides support.
#[tokio::test]
async fn both_sides_select_the_highest_shared_version() {
    let (current, _) = spawn_current(LinkVersion::Ordered).await;
    let (former, _) = spawn_former().await;
    let select = async |address| open_link(address).await.expect("a link").1;
    assert_eq!(select(current).await, LinkVersion::Named);
    assert_eq!(select(former).await, LinkVersion::Ordered);
    let range = |lowest, highest| VersionRange { lowest, highest }.select();
    assert_eq!(range(1, 1), Some(LinkVersion::Ordered));
    assert_eq!(range(1, 7), Some(LinkVersion::Named));
    assert_eq!(range(3, 7), None);
}

/// Guards against a link without rollouts and quotas after the end of one connection.
#[tokio::test]
async fn connection_that_ends_during_the_handshake_is_no_previous_build() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        drop(listener.accept().await.expect("a connection"));
        while let Ok((stream, _)) = listener.accept().await {
            let handler = |request: SyncRequest| async move { make_reply(&request) }.boxed();
            tokio::spawn(serve_site(handler, stream, LinkVersion::Ordered));
        }
    });
    let link = open_link(address).await;
    assert_eq!(link.expect("a link").1, LinkVersion::Named);
}

/// Guards against a control process that a previous build's entry can't follow.
#[tokio::test]
async fn client_without_a_handshake_is_served_in_version_one() {
    let (address, replies) = spawn_current(LinkVersion::Ordered).await;
    let stream = TcpStream::connect(address).await.expect("a connection");
    let transport = Transport::from((stream, Bincode::default()));
    let client = SiteLinkV1Client::new(tarpc::client::Config::default(), transport).spawn();
    let request = super::named::make_request();
    let reply = client
        .sync(tarpc::context::current(), request.into())
        .await
        .expect("a reply");
    assert_eq!(SyncReply::from(reply).feature_level, FeatureLevel::BASE);
    assert_eq!(replies.load(Ordering::Relaxed), 1);
}

/// Guards against an entry that follows without rollouts once there are some: a connection that ends
/// during the handshake makes a new build fall back to version 1, too.
#[tokio::test]
async fn version_one_is_refused_where_rollouts_are_in_use() {
    let (address, replies) = spawn_current(LinkVersion::Named).await;
    let stream = TcpStream::connect(address).await.expect("a connection");
    let transport = Transport::from((stream, Bincode::default()));
    let client = SiteLinkV1Client::new(tarpc::client::Config::default(), transport).spawn();
    let request = super::named::make_request();
    let reply = client.sync(tarpc::context::current(), request.into()).await;
    assert!(reply.is_err(), "{reply:?}");
    assert_eq!(replies.load(Ordering::Relaxed), 0);
    let link = open_link(address).await;
    assert_eq!(link.expect("a link").1, LinkVersion::Named);
}

/// Guards against an upgraded entry that leaves a control process of the previous build for another
/// one, since the refused handshake looks like a failure.
#[tokio::test]
async fn entry_stays_with_a_control_process_of_the_previous_build() {
    let (former, former_replies) = spawn_former().await;
    let (current, current_replies) = spawn_current(LinkVersion::Ordered).await;
    let settings = FollowSettings {
        location: FleetLocation {
            vm: "entry-1".into(),
            data_centre: "near".into(),
            regions: [("near".into(), "north".into())].into(),
        },
        address: ([127, 0, 0, 1], 80).into(),
        seeds: vec![former, current],
    };
    let (_phases, phases) = watch::channel(EntryPhase::Serving);
    let (_crashes, crashes) = watch::channel(CrashReport::empty("entry-1".into(), 1));
    let (_rollouts, rollouts) = watch::channel(RolloutReport::empty("entry-1".into(), 1));
    let (_usage, usage) = watch::channel(UsageReport::empty("entry-1".into(), 1));
    let reports = EntryReports {
        phases,
        crashes,
        rollouts,
        usage,
    };
    let follow = run_following(settings, reports, Arc::new(|_, _| {}), Arc::new(|_, _| {}));
    let follow_task = tokio::spawn(follow);
    let started = Instant::now();
    while former_replies.load(Ordering::Relaxed) + current_replies.load(Ordering::Relaxed) < 10 {
        assert!(started.elapsed() < WAIT_MAX, "no replies");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    follow_task.abort();
    // Which of the two is tried first depends on a random number; the entry stays with it.
    let replies = [&former_replies, &current_replies].map(|count| count.load(Ordering::Relaxed));
    assert!(
        replies.contains(&0),
        "replies by control process: {replies:?}"
    );
}

/// Guards against a preamble that the previous build takes for a frame, for which it would wait.
#[tokio::test]
async fn previous_build_closes_the_connection_on_the_preamble() {
    let (former, _) = spawn_former().await;
    let mut stream = TcpStream::connect(former).await.expect("a connection");
    stream.write_all(&LINK_PREAMBLE).await.expect("a write");
    let mut buffer = [0; 16];
    let read = tokio::time::timeout(WAIT_MAX, stream.read(&mut buffer)).await;
    let ended = read.expect("the connection ends");
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
}

/// Guards against servers that wait for, or run, what is neither a handshake nor a frame.
#[tokio::test]
async fn other_bytes_are_refused() {
    let (listener, address) = listen().await;
    let mut client = TcpStream::connect(address).await.expect("a connection");
    let (mut accepted, _) = listener.accept().await.expect("a connection");
    client
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("a write");
    assert_eq!(accept_link(&mut accepted).await, None);
}
