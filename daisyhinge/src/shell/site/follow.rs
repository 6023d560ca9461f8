//! The entry's side: follows the nearest control process that a quorum stands behind.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{BoxFuture, Fuse, FusedFuture};
use futures::{FutureExt, future};
use tokio::sync::watch;

use super::{SiteLinkClient, call_context, connect_site};
use crate::dispatch::fleet::FleetLocation;
use crate::shell::clock::ProcessClock;
use crate::upstream::ControlList;
use crate::vocabulary::registration::{EntryPhase, SyncCaller, SyncReply, SyncRequest};

/// Longest wait for something new.
const WAIT_SPAN: Duration = Duration::from_millis(500);
/// Longest wait for an answer besides.
const ANSWER_SPAN: Duration = Duration::from_millis(500);
/// Pause after all control processes failed.
const RETRY_SPAN: Duration = Duration::from_millis(100);
/// Evidence of a quorum older than this sends an entry to another control process.
const QUORUM_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Time between questions to a control process that has not seen a quorum since it started.
const START_POLL_SPAN: Duration = Duration::from_millis(40);
/// Time for which a control process is followed that has not seen a quorum since it started.
const START_SPAN: Duration = Duration::from_millis(1_200);
/// The same for one that knows no members: its disk was lost, or the log is not founded yet.
const EMPTY_SPAN: Duration = Duration::from_millis(300);

/// Who follows, and where control processes are.
#[derive(Clone, Debug)]
pub struct FollowSettings {
    /// Where the entry is.
    pub place: FleetLocation,
    /// Where callers connect to it.
    pub address: SocketAddr,
    /// Control processes that are known at the start, as followers connect to them.
    pub seeds: Vec<SocketAddr>,
}

/// Takes what is told; the flag says whether a quorum stands behind it.
pub type ReplySink = Arc<dyn Fn(SyncReply, bool) + Send + Sync>;

/// Tells of the link to control: gained or lost, with the address.
pub type LinkSink = Arc<dyn Fn(SocketAddr, bool) + Send + Sync>;

/// A connection to a control process.
struct ControlLink {
    address: SocketAddr,
    client: SiteLinkClient,
    opened: Instant,
}

/// A nearer control process on its way to be followed; unset if it does not serve.
type NearerProbe = Fuse<BoxFuture<'static, Option<ControlLink>>>;

/// What happened while a question was open.
enum FollowEvent {
    Reply(Option<SyncReply>),
    PhaseChanged,
    Closed,
    Probed(Option<ControlLink>),
}

/// What the follower knows of control processes.
struct ControlFollower {
    settings: FollowSettings,
    clock: ProcessClock,
    incarnation: u64,
    list: ControlList,
    epoch: u64,
    mark: u64,
    revision: u64,
    sink: ReplySink,
    link: LinkSink,
}

/// Follows until it is dropped or `phases` ends. `phases` says whether the entry takes requests.
pub async fn run_following(
    settings: FollowSettings,
    mut phases: watch::Receiver<EntryPhase>,
    sink: ReplySink,
    link: LinkSink,
) {
    let incarnation = rand::random();
    let list = ControlList::open(settings.place.clone(), settings.seeds.clone(), incarnation);
    let mut follower = ControlFollower {
        settings,
        clock: ProcessClock::open(),
        incarnation,
        list,
        epoch: 0,
        mark: 0,
        revision: 0,
        sink,
        link,
    };
    while let Some(address) = follower.list.next_address() {
        let left = match open_link(address).await {
            Some(opened) => follower.follow_link(opened, &mut phases).await,
            None => address,
        };
        if phases.has_changed().is_err() {
            return;
        }
        if follower.list.mark_failed(left) {
            tokio::time::sleep(RETRY_SPAN).await;
        }
    }
}

async fn open_link(address: SocketAddr) -> Option<ControlLink> {
    let client = connect_site(address).await?;
    Some(ControlLink {
        address,
        client,
        opened: Instant::now(),
    })
}

/// Connects to a control process and asks whether it serves.
async fn probe_control(address: SocketAddr) -> Option<ControlLink> {
    let link = open_link(address).await?;
    let ask = SyncRequest {
        caller: SyncCaller::Probe,
        epoch: 0,
        mark: 0,
        revision: 0,
        wait_ms: 0,
    };
    let reply = link.client.sync(call_context(ANSWER_SPAN), ask).await;
    reply.ok().filter(is_fresh).map(|_| link)
}

/// How long a control process is followed from when it was connected to, though no quorum
/// confirms what it tells.
fn find_start_span(reply: &SyncReply) -> Duration {
    match (reply.quorum_age_ms, reply.control.is_empty()) {
        (Some(_), _) => Duration::ZERO,
        (None, true) => EMPTY_SPAN,
        (None, false) => START_SPAN,
    }
}

/// Whether a quorum confirmed lately what a control process tells.
fn is_fresh(reply: &SyncReply) -> bool {
    let age = reply.quorum_age_ms.map(Duration::from_millis);
    age.is_some_and(|age| age < QUORUM_AGE_MAX)
}

impl ControlFollower {
    /// Follows one control process, or nearer ones as they turn up, until it does not serve.
    /// Returns the address that was followed last.
    async fn follow_link(
        &mut self,
        mut held: ControlLink,
        phases: &mut watch::Receiver<EntryPhase>,
    ) -> SocketAddr {
        self.begin(&held);
        let mut probe = Fuse::terminated();
        let mut wait = Duration::ZERO;
        loop {
            self.look_nearer(&mut probe);
            match self.wait_event(&held, wait, phases, &mut probe).await {
                FollowEvent::Reply(Some(reply)) => {
                    wait = WAIT_SPAN;
                    let fresh = is_fresh(&reply);
                    let span = find_start_span(&reply);
                    self.take_reply(reply, fresh);
                    if !fresh && held.opened.elapsed() < span {
                        // All of them may have just started: going from one to the next would
                        // only keep them from finding a leader.
                        tokio::time::sleep(START_POLL_SPAN).await;
                        wait = Duration::ZERO;
                    } else if !fresh {
                        break;
                    }
                }
                FollowEvent::Reply(None) | FollowEvent::Closed => break,
                // What changed here is told at once.
                FollowEvent::PhaseChanged => wait = Duration::ZERO,
                FollowEvent::Probed(None) => {}
                FollowEvent::Probed(Some(nearer)) => {
                    (self.link)(held.address, false);
                    held = nearer;
                    self.begin(&held);
                    wait = Duration::ZERO;
                }
            }
        }
        (self.link)(held.address, false);
        held.address
    }

    fn begin(&mut self, held: &ControlLink) {
        (self.link)(held.address, true);
        self.list.set_followed(held.address);
    }

    /// Starts to try a nearer control process, unless one is being tried.
    fn look_nearer(&mut self, probe: &mut NearerProbe) {
        if !probe.is_terminated() {
            return;
        }
        if let Some(address) = self.list.find_nearer(self.clock.now()) {
            *probe = probe_control(address).boxed().fuse();
        }
    }

    async fn wait_event(
        &self,
        held: &ControlLink,
        wait: Duration,
        phases: &mut watch::Receiver<EntryPhase>,
        probe: &mut NearerProbe,
    ) -> FollowEvent {
        let phase = *phases.borrow_and_update();
        let ask = self.ask(phase, wait);
        let call = held.client.sync(call_context(wait + ANSWER_SPAN), ask);
        let probed = async {
            if probe.is_terminated() {
                future::pending().await
            } else {
                probe.await
            }
        };
        tokio::select! {
            reply = call => FollowEvent::Reply(reply.ok()),
            changed = phases.changed() => match changed {
                Ok(()) => FollowEvent::PhaseChanged,
                Err(_closed) => FollowEvent::Closed,
            },
            nearer = probed => FollowEvent::Probed(nearer),
        }
    }

    fn ask(&self, phase: EntryPhase, wait: Duration) -> SyncRequest {
        SyncRequest {
            caller: SyncCaller::Entry {
                vm: self.settings.place.vm.clone(),
                incarnation: self.incarnation,
                address: self.settings.address,
                data_centre: self.settings.place.data_centre.clone(),
                phase,
            },
            epoch: self.epoch,
            mark: self.mark,
            revision: self.revision,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn take_reply(&mut self, reply: SyncReply, fresh: bool) {
        self.epoch = reply.epoch;
        self.mark = reply.mark;
        if let Some(site) = &reply.site {
            self.revision = self.revision.max(site.revision);
        }
        self.list.update_known(&reply.control);
        if fresh {
            self.list.mark_serving(self.clock.now());
        }
        (self.sink)(reply, fresh);
    }
}
