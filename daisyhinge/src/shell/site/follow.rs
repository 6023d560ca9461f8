//! The entry's side of site distribution: receives the deployment's state from the nearest control
//! process that has a quorum.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{BoxFuture, Fuse, FusedFuture};
use futures::{FutureExt, future};
use tokio::sync::watch;

use super::reported_usage::ReportedUsage;
use super::{SiteClient, call_context, connect_site};
use crate::dispatch::fleet::FleetLocation;
use crate::shell::clock::ProcessClock;
use crate::upstream::ControlList;
use crate::vocabulary::feature::FeatureLevel;
use crate::vocabulary::freshness::QUORUM_AGE_MAX;
use crate::vocabulary::quota::{UsageReport, UsageRequest};
use crate::vocabulary::registration::{
    CrashReport, EntryPhase, SyncCaller, SyncReply, SyncRequest,
};
use crate::vocabulary::rollout::RolloutReport;

/// Long-poll timeout: how long a control process waits for a change before it replies.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the reply, added to the long-poll timeout.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the control processes are tried again after all of them have failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Long-poll timeout at a control process that has not seen a quorum since it started. Builds that
/// do not reply at the first contact to a quorum are asked again after it.
const STARTUP_POLL_TIMEOUT: Duration = Duration::from_millis(40);
/// Pause between two of these calls, so that replies without a wait do not cause a busy loop.
const STARTUP_POLL_PAUSE: Duration = Duration::from_millis(5);
/// Maximum time for which an entry follows a control process that has not seen a quorum since it
/// started.
const STARTUP_FOLLOW_MAX: Duration = Duration::from_millis(1_200);
/// Maximum time for which an entry follows a control process that also knows no members, because
/// its disk was lost or the log has not been bootstrapped yet.
const EMPTY_FOLLOW_MAX: Duration = Duration::from_millis(300);

/// Location and address of an entry, and the control processes that it tries first.
#[derive(Clone, Debug)]
pub struct FollowSettings {
    /// Location of the entry, which determines the nearest control process.
    pub location: FleetLocation,
    /// Address of the entry for callers, as reported to control.
    pub address: SocketAddr,
    /// Addresses of the control processes known at startup.
    pub seeds: Vec<SocketAddr>,
}

/// What an entry reports to control.
#[derive(Clone, Debug)]
pub struct EntryReports {
    /// Phase of the entry.
    pub phases: watch::Receiver<EntryPhase>,
    /// Crash records of the entry; revision 0 if there have been none.
    pub crashes: watch::Receiver<CrashReport>,
    /// Outcomes of rollouts counted by the entry; revision 0 if there have been none.
    pub rollouts: watch::Receiver<RolloutReport>,
    /// Use of quotas counted by the entry, for all customers.
    pub usage: watch::Receiver<UsageReport>,
}

impl EntryReports {
    /// Whether a sender is gone.
    fn is_closed(&self) -> bool {
        self.phases.has_changed().is_err()
            || self.crashes.has_changed().is_err()
            || self.rollouts.has_changed().is_err()
            || self.usage.has_changed().is_err()
    }
}

/// Revisions of the latest reports that a control process has.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedRevisions {
    crashes: u64,
    rollouts: u64,
}

/// How recent a reply from control is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplyProof {
    /// Whether a quorum confirmed the state in the reply recently.
    pub fresh: bool,
    /// Time from sending the request to the reply.
    pub waited: Duration,
}

/// Callback for received state.
pub type ReplySink = Arc<dyn Fn(SyncReply, ReplyProof) + Send + Sync>;

/// Callback with the address of a control process, invoked when the entry starts (`true`) or stops
/// (`false`) receiving state from that process.
pub type LinkSink = Arc<dyn Fn(SocketAddr, bool) + Send + Sync>;

struct ControlLink {
    address: SocketAddr,
    client: SiteClient,
    opened: Instant,
}

/// Pending probe of a nearer control process. Yields `None` if that process is unreachable or has
/// no quorum.
type NearerProbe = Fuse<BoxFuture<'static, Option<ControlLink>>>;

/// Event during a long poll.
enum FollowEvent {
    Reply(Option<(Box<SyncReply>, Duration)>),
    ReportChanged,
    Closed,
    Probed(Option<ControlLink>),
}

struct ControlFollower {
    settings: FollowSettings,
    clock: ProcessClock,
    incarnation: u64,
    list: ControlList,
    /// Epoch of the process that issued `mark`.
    epoch: u64,
    /// Mark of the latest registry change that was received.
    mark: u64,
    /// Latest revision of the site state that was received.
    revision: u64,
    /// Whether that state had no document, which another control process may be able to derive.
    lacks_document: bool,
    /// Reports that the followed process has.
    reported: ReportedRevisions,
    reported_usage: ReportedUsage,
    sink: ReplySink,
    link: LinkSink,
}

/// Follows control processes until the future is dropped or a sender of `reports` is gone.
pub async fn run_following(
    settings: FollowSettings,
    mut reports: EntryReports,
    sink: ReplySink,
    link: LinkSink,
) {
    let incarnation = rand::random();
    let list = ControlList::open(
        settings.location.clone(),
        settings.seeds.clone(),
        incarnation,
    );
    let mut follower = ControlFollower {
        settings,
        clock: ProcessClock::open(),
        incarnation,
        list,
        epoch: 0,
        mark: 0,
        revision: 0,
        lacks_document: false,
        reported: ReportedRevisions::default(),
        reported_usage: ReportedUsage::default(),
        sink,
        link,
    };
    while let Some(address) = follower.list.next_address() {
        let last_address = match open_link(address).await {
            Some(opened) => follower.follow_link(opened, &mut reports).await,
            None => address,
        };
        if reports.is_closed() {
            return;
        }
        if follower.list.mark_failed(last_address) {
            tokio::time::sleep(RETRY_DELAY).await;
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

/// Connects to a control process and checks that a quorum has recently confirmed its state.
async fn probe_control(address: SocketAddr) -> Option<ControlLink> {
    let link = open_link(address).await?;
    let request = SyncRequest {
        caller: SyncCaller::Probe,
        epoch: 0,
        mark: 0,
        revision: 0,
        crashes: None,
        rollouts: None,
        report_mark: 0,
        usage: UsageRequest::default(),
        wait_ms: 0,
    };
    let reply = link.client.sync(call_context(REPLY_TIMEOUT), request).await;
    reply.ok().filter(is_fresh).map(|_| link)
}

/// Returns the maximum time after connecting for which an entry follows a control process that has
/// not seen a quorum since it started.
fn startup_follow_limit(reply: &SyncReply) -> Duration {
    match (reply.quorum_age_ms, reply.control.is_empty()) {
        (Some(_), _) => Duration::ZERO,
        (None, true) => EMPTY_FOLLOW_MAX,
        (None, false) => STARTUP_FOLLOW_MAX,
    }
}

/// Returns whether a quorum has recently confirmed the state of a control process.
fn is_fresh(reply: &SyncReply) -> bool {
    let age = reply.quorum_age_ms.map(Duration::from_millis);
    age.is_some_and(|age| age < QUORUM_AGE_MAX)
}

fn report_event(changed: Result<(), watch::error::RecvError>) -> FollowEvent {
    match changed {
        Ok(()) => FollowEvent::ReportChanged,
        Err(_closed) => FollowEvent::Closed,
    }
}

impl ControlFollower {
    /// Follows a control process, and switches to nearer ones as they become available, until the
    /// current one fails or has no quorum. Returns the address of the last one.
    async fn follow_link(
        &mut self,
        mut current: ControlLink,
        reports: &mut EntryReports,
    ) -> SocketAddr {
        self.start_following(&current);
        let mut probe = Fuse::terminated();
        let mut wait = Duration::ZERO;
        loop {
            self.probe_nearer(&mut probe);
            match self.next_event(&current, wait, reports, &mut probe).await {
                FollowEvent::Reply(Some((reply, waited))) => {
                    wait = LONG_POLL_TIMEOUT;
                    let fresh = is_fresh(&reply);
                    let follow_limit = startup_follow_limit(&reply);
                    self.apply_reply(*reply, ReplyProof { fresh, waited });
                    if !fresh && current.opened.elapsed() < follow_limit {
                        // All control processes may have just started. Moving on to the next one
                        // would only delay the election of a leader.
                        tokio::time::sleep(STARTUP_POLL_PAUSE).await;
                        wait = STARTUP_POLL_TIMEOUT;
                    } else if !fresh {
                        break;
                    }
                }
                FollowEvent::Reply(None) | FollowEvent::Closed => break,
                // Changes are reported at once.
                FollowEvent::ReportChanged => wait = Duration::ZERO,
                FollowEvent::Probed(None) => {}
                FollowEvent::Probed(Some(nearer)) => {
                    (self.link)(current.address, false);
                    current = nearer;
                    self.start_following(&current);
                    wait = Duration::ZERO;
                }
            }
        }
        (self.link)(current.address, false);
        current.address
    }

    fn start_following(&mut self, current: &ControlLink) {
        (self.link)(current.address, true);
        self.reported = ReportedRevisions::default();
        self.reported_usage.clear();
        if self.lacks_document {
            self.revision = 0;
        }
        self.list.set_followed(current.address);
    }

    /// Starts a probe of a nearer control process unless one is pending.
    fn probe_nearer(&mut self, probe: &mut NearerProbe) {
        if !probe.is_terminated() {
            return;
        }
        if let Some(address) = self.list.find_nearer(self.clock.now()) {
            *probe = probe_control(address).boxed().fuse();
        }
    }

    async fn next_event(
        &mut self,
        current: &ControlLink,
        wait: Duration,
        reports: &mut EntryReports,
        probe: &mut NearerProbe,
    ) -> FollowEvent {
        let (request, revisions) = self.build_request(reports, wait);
        let usage = request.usage.report.clone();
        let sent_at = self.clock.now();
        let call = current
            .client
            .sync(call_context(wait + REPLY_TIMEOUT), request);
        let probed = async {
            if probe.is_terminated() {
                future::pending().await
            } else {
                probe.await
            }
        };
        tokio::select! {
            reply = call => {
                if reply.is_ok() {
                    self.reported = revisions;
                    self.reported_usage.note_sent(usage);
                }
                let waited = self.clock.now().since(sent_at);
                FollowEvent::Reply(reply.ok().map(|reply| (Box::new(reply), waited)))
            }
            changed = reports.phases.changed() => report_event(changed),
            // A short call is not called off: it ends soon, and the next one carries the report.
            changed = reports.crashes.changed(), if !wait.is_zero() => report_event(changed),
            changed = reports.rollouts.changed(), if !wait.is_zero() => report_event(changed),
            changed = reports.usage.changed(), if !wait.is_zero() => report_event(changed),
            nearer = probed => FollowEvent::Probed(nearer),
        }
    }

    /// Builds a request with the reports that the followed process does not have, and returns the
    /// revisions that it has afterwards.
    fn build_request(
        &self,
        reports: &mut EntryReports,
        wait: Duration,
    ) -> (SyncRequest, ReportedRevisions) {
        let phase = *reports.phases.borrow_and_update();
        let crashes = reports.crashes.borrow_and_update().clone();
        let rollouts = reports.rollouts.borrow_and_update().clone();
        let revisions = ReportedRevisions {
            crashes: crashes.revision,
            rollouts: rollouts.revision,
        };
        let request = SyncRequest {
            caller: SyncCaller::Entry {
                vm: self.settings.location.vm.clone(),
                incarnation: self.incarnation,
                address: self.settings.address,
                data_centre: self.settings.location.data_centre.clone(),
                phase,
                feature_level: FeatureLevel::SUPPORTED,
            },
            epoch: self.epoch,
            mark: self.mark,
            revision: self.revision,
            crashes: (crashes.revision > self.reported.crashes).then_some(crashes),
            rollouts: (rollouts.revision > self.reported.rollouts).then_some(rollouts),
            report_mark: 0,
            usage: self
                .reported_usage
                .build_request(&reports.usage.borrow_and_update()),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        (request, revisions)
    }

    fn apply_reply(&mut self, reply: SyncReply, proof: ReplyProof) {
        self.epoch = reply.epoch;
        self.mark = reply.mark;
        self.reported_usage.note_reply(&reply.usage);
        if let Some(site) = &reply.site
            && site.revision >= self.revision
        {
            self.revision = site.revision;
            self.lacks_document = site.document.is_none();
        }
        self.list.update_known(&reply.control);
        if proof.fresh {
            self.list.mark_serving(self.clock.now());
        }
        (self.sink)(reply, proof);
    }
}
