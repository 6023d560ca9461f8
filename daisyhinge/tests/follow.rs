//! An entry follows control processes over loopback.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::shell::site::SiteLink;
use daisyhinge::shell::site::follow::{FollowSettings, run_following};
use daisyhinge::vocabulary::registration::{
    ControlLocation, EntryPhase, SyncCaller, SyncReply, SyncRequest,
};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const PORT: u16 = 27_861;

fn address(stand: u8, number: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, 64, stand, number]), PORT)
}

/// A stand-in for a control process.
#[derive(Clone)]
struct FakeControl {
    epoch: u64,
    centre: &'static str,
    quorum_age_ms: Option<u64>,
    members: Vec<ControlLocation>,
    /// Questions of entries that it took.
    asked: Arc<AtomicUsize>,
}

impl SiteLink for FakeControl {
    async fn sync(self, _: Context, ask: SyncRequest) -> SyncReply {
        let is_entry = matches!(ask.caller, SyncCaller::Entry { .. });
        self.asked
            .fetch_add(usize::from(is_entry), Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(ask.wait_ms)).await;
        SyncReply {
            epoch: self.epoch,
            mark: 1,
            replicas: Vec::new(),
            entries: Vec::new(),
            site: None,
            quorum_age_ms: self.quorum_age_ms,
            data_centre: self.centre.into(),
            control: self.members,
        }
    }
}

impl FakeControl {
    async fn listen(&self, at: SocketAddr) -> JoinHandle<()> {
        let listener = TcpListener::bind(at).await.expect("a free port");
        let control = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let transport = Transport::from((stream, Bincode::default()));
                let channel = BaseChannel::with_defaults(transport);
                let calls = channel.execute(control.clone().serve());
                tokio::spawn(calls.for_each_concurrent(None, |call| call));
            }
        })
    }

    fn asked(&self) -> usize {
        self.asked.load(Ordering::Relaxed)
    }
}

fn control(stand: u8, epoch: u64, centre: &'static str) -> FakeControl {
    let members = [(1, "far"), (2, "near")];
    let place = |(number, centre): (u8, &str)| ControlLocation {
        address: address(stand, number),
        data_centre: Some(centre.into()),
    };
    FakeControl {
        epoch,
        centre,
        quorum_age_ms: Some(10),
        members: members.map(place).into(),
        asked: Arc::default(),
    }
}

/// An entry at data centre `near` that knows `seeds`. Returns how many confirmed states it has
/// taken.
fn follow(stand: u8, seeds: &[u8]) -> (Arc<AtomicUsize>, JoinHandle<()>) {
    let regions = [("near", "north"), ("far", "south")];
    let settings = FollowSettings {
        place: FleetLocation {
            vm: "entry-1".into(),
            data_centre: "near".into(),
            regions: regions
                .map(|(centre, region)| (centre.into(), region.into()))
                .into(),
        },
        address: address(stand, 9),
        seeds: seeds.iter().map(|seed| address(stand, *seed)).collect(),
    };
    let taken = Arc::new(AtomicUsize::new(0));
    let counting = Arc::clone(&taken);
    let following = tokio::spawn(async move {
        let (_phases, phase) = watch::channel(EntryPhase::Serving);
        let sink = Arc::new(move |_: SyncReply, fresh: bool| {
            counting.fetch_add(usize::from(fresh), Ordering::Relaxed);
        });
        run_following(settings, phase, sink, Arc::new(|_, _| {})).await;
    });
    (taken, following)
}

/// Waits until something holds. Returns how long that took.
async fn wait_for(longest: Duration, holds: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < longest, "not within {longest:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

#[tokio::test]
async fn an_entry_goes_to_the_nearest_control_process_and_back_to_it() {
    let far = control(1, 1, "far");
    let near = control(1, 2, "near");
    far.listen(address(1, 1)).await;
    let serving = near.listen(address(1, 2)).await;
    let (taken, following) = follow(1, &[1]);
    wait_for(Duration::from_secs(1), || taken.load(Ordering::Relaxed) > 0).await;
    wait_for(Duration::from_secs(5), || near.asked() > 1).await;
    let before = far.asked();
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(far.asked(), before, "it has left the other one");
    serving.abort();
    following.abort();
}

/// One that takes connections and answers nothing is left within about a second, as the time in
/// which a configuration must be in force demands.
#[tokio::test]
async fn a_control_process_that_hangs_is_left_within_a_second() {
    let silent = TcpListener::bind(address(2, 2)).await.expect("a free port");
    let far = control(2, 1, "far");
    far.listen(address(2, 1)).await;
    let (taken, following) = follow(2, &[2]);
    // The only seed hangs: nothing else is known yet.
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(taken.load(Ordering::Relaxed), 0);
    following.abort();
    let (taken, following) = follow(2, &[1, 2]);
    wait_for(Duration::from_millis(1_500), || {
        taken.load(Ordering::Relaxed) > 0
    })
    .await;
    following.abort();
    drop(silent);
}

/// One whose disk was lost knows no members: it is left soon, though it has just started.
#[tokio::test]
async fn a_control_process_without_members_is_left_soon() {
    let mut empty = control(3, 2, "near");
    empty.quorum_age_ms = None;
    empty.members.clear();
    empty.listen(address(3, 2)).await;
    let far = control(3, 1, "far");
    far.listen(address(3, 1)).await;
    let (taken, following) = follow(3, &[1, 2]);
    wait_for(Duration::from_millis(900), || {
        taken.load(Ordering::Relaxed) > 0
    })
    .await;
    following.abort();
}

/// One without evidence of a quorum is left, and another one followed.
#[tokio::test]
async fn a_control_process_without_a_quorum_is_left() {
    let mut cut = control(4, 2, "near");
    cut.quorum_age_ms = Some(5_000);
    cut.listen(address(4, 2)).await;
    let far = control(4, 1, "far");
    far.listen(address(4, 1)).await;
    let (taken, following) = follow(4, &[2, 1]);
    wait_for(Duration::from_secs(1), || taken.load(Ordering::Relaxed) > 1).await;
    assert!(far.asked() > 0);
    following.abort();
}
