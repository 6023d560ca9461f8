//! State shared by all requests of an entry.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::admission::AdmissionWaiters;
use super::adoption::{FormerSite, SiteSummary, StateOrigin, describe_adoption};
use super::pool::ConnectionPool;
use super::quota_state::QuotaState;
use super::relay::table::PeerLinks;
use super::reporter::{CrashReporter, RolloutReporter};
use super::wire::HeaderNames;
use crate::customer::CustomerTable;
use crate::dispatch::Dispatcher;
use crate::dispatch::budget::BudgetLimits;
use crate::dispatch::fleet::{FleetLocation, ReplicaIndex, ReplicaReach};
use crate::dispatch::planned_stop::PlannedStop;
use crate::intake::process_limits::ProcessLimits;
use crate::lease::{FreshnessLease, LapsePolicy};
use crate::metric::forward::ForwardCounters;
use crate::metric::intake::IntakeCounters;
use crate::prelude::*;
use crate::routing::RouteTable;
use crate::shell::clock::ProcessClock;
use crate::shell::decision::DecisionLog;
use crate::shell::intake::{ClientIntake, ClientPort};
use crate::vocabulary::registration::SyncReply;
use crate::vocabulary::site::{CallerLimits, SiteConfig, SiteDocument};
use crate::vocabulary::text_digest::TextDigest;

/// Number of ports of an entry that only monitoring needs: readiness and metrics.
const MONITORING_PORTS: usize = 2;

/// Decoder for configuration documents in the format that operators submit.
pub type ConfigDecoder = fn(&[u8]) -> Result<SiteConfig, ResultCode>;

/// Decoded configuration that the entry currently applies to requests.
#[derive(Debug, Default)]
pub struct ActiveSite {
    /// Version of the configuration document; a higher one replaces it.
    pub version: u64,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Limits for callers' connections and requests.
    pub limits: CallerLimits,
    /// Customers by the digests of their keys; `None` if requests are not authenticated.
    pub customers: Option<CustomerTable>,
    /// Number of routes.
    pub route_count: usize,
    /// Digest and size of the text.
    pub text: TextDigest,
}

/// Settings of a forwarding entry.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// Location of the entry and the region of each data centre.
    pub location: FleetLocation,
    /// Extra requests that all entries together may send to a service.
    pub budget: BudgetLimits,
    /// Names of the HTTP headers in this deployment.
    pub names: HeaderNames,
    /// Decoder for configuration documents.
    pub decode: ConfigDecoder,
    /// What the entry does while its lease has lapsed.
    pub policy: LapsePolicy,
    /// Time after the last contact with control from which requests with keys are refused; `None` if
    /// they are served with the keys that are known.
    pub revocation_delay: Option<Duration>,
    /// Requests beyond a customer's burst that may be admitted.
    pub quota_slack: f64,
    /// What clients may make the process hold.
    pub limits: ProcessLimits,
    /// Whether the deployment has rollouts. If not, requests go to replicas of any version.
    pub rollouts: bool,
}

/// State of a forwarding entry that the tasks of all requests share.
#[expect(
    missing_debug_implementations,
    reason = "connections and tables have no useful debug output"
)]
pub struct ForwardState {
    /// Monotonic clock for all decisions of this entry.
    pub clock: ProcessClock,
    /// Counters and histograms to be exported as metrics.
    pub counters: ForwardCounters,
    /// Cancelled when the entry shuts down. Answers then carry `Connection: close`, so that callers
    /// connect to another entry.
    pub leaving: CancellationToken,
    /// Times of the planned stop; unset unless the entry stops.
    pub(super) planned_stop: OnceLock<PlannedStop>,
    /// Number of requests of other entries that are running.
    pub(super) relayed_running: Arc<AtomicUsize>,
    pub(super) names: HeaderNames,
    pub(super) dispatcher: Mutex<Dispatcher>,
    pub(super) admission_waiters: AdmissionWaiters,
    pub(super) pool: ConnectionPool,
    pub(super) links: PeerLinks,
    pub(super) log: Arc<DecisionLog>,
    pub(super) reporter: CrashReporter,
    pub(super) quotas: QuotaState,
    pub(super) rollout_reporter: RolloutReporter,
    /// How this entry reaches replicas.
    pub(super) reach: watch::Sender<ReplicaReach>,
    /// Connections of clients, and the memory for bodies and answers.
    pub intake: ClientIntake,
    /// Control process that is followed now.
    pub(super) followed: Mutex<Option<SocketAddr>>,
    site: RwLock<Option<Arc<ActiveSite>>>,
    revision: Mutex<u64>,
    /// Whether the deployment has rollouts.
    pub(super) has_rollouts: bool,
    /// Whether the received state was confirmed by a quorum of control.
    confirmed: AtomicBool,
    updated: Notify,
    pub(super) policy: LapsePolicy,
    pub(super) revocation_delay: Option<Duration>,
    pub(super) lease: Mutex<FreshnessLease>,
    /// Whether the lease was held when it was last reviewed.
    pub(super) holds_lease: AtomicBool,
    decode: ConfigDecoder,
    /// Number of the next request that this entry forwards.
    number: AtomicU64,
}

impl ForwardState {
    /// Creates the state of an entry without a configuration.
    pub fn open(settings: ForwardSettings) -> Arc<Self> {
        let reporter = CrashReporter::open(settings.location.vm.clone());
        let quotas = QuotaState::open(settings.location.vm.clone(), settings.quota_slack);
        let rollout_reporter = RolloutReporter::open(settings.location.vm.clone());
        let counters = ForwardCounters::default();
        let log = Arc::new(DecisionLog::open());
        let mut dispatcher = Dispatcher::open(settings.location, settings.budget);
        if settings.rollouts {
            dispatcher.fleet.enable_rollouts();
        }
        Arc::new(Self {
            clock: ProcessClock::open(),
            admission_waiters: AdmissionWaiters::open(counters.admission_queued.clone()),
            counters,
            leaving: CancellationToken::new(),
            planned_stop: OnceLock::new(),
            relayed_running: Arc::default(),
            names: settings.names,
            dispatcher: Mutex::new(dispatcher),
            pool: ConnectionPool::default(),
            links: PeerLinks::default(),
            intake: ClientIntake::open(
                settings.limits,
                IntakeCounters::default(),
                Some(Arc::clone(&log)),
            ),
            log,
            reporter,
            quotas,
            rollout_reporter,
            reach: watch::Sender::default(),
            followed: Mutex::default(),
            site: RwLock::new(None),
            revision: Mutex::new(0),
            has_rollouts: settings.rollouts,
            confirmed: AtomicBool::new(false),
            updated: Notify::new(),
            policy: settings.policy,
            revocation_delay: settings.revocation_delay,
            lease: Mutex::default(),
            holds_lease: AtomicBool::new(false),
            decode: settings.decode,
            number: AtomicU64::new(0),
        })
    }

    /// Returns the current configuration, or `None` until the first one is received.
    pub fn site(&self) -> Option<Arc<ActiveSite>> {
        self.site.read().clone()
    }

    /// Returns a summary of the configuration in force.
    pub(super) fn summarise_site(&self) -> SiteSummary {
        let site = self.site();
        site.map_or_else(SiteSummary::default, |site| {
            let customers = site.customers.as_ref();
            SiteSummary {
                version: site.version,
                route_count: site.route_count,
                customer_count: customers.map(|customers| customers.customers().len()),
                text: site.text,
            }
        })
    }

    /// Returns the revision of the received state.
    pub(super) fn revision(&self) -> u64 {
        *self.revision.lock()
    }

    /// Returns whether any received state was confirmed by a quorum of control.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.load(Ordering::Relaxed)
    }

    /// Waits for the next update from control, at most for `limit`.
    pub async fn changed(&self, limit: Duration) {
        // The caller checks the state again after a timeout too.
        drop(tokio::time::timeout(limit, self.updated.notified()).await);
    }

    /// Applies an update from control. State older than the current one is ignored.
    pub fn apply_reply(&self, reply: SyncReply, confirmed: bool) {
        let now = self.clock.now();
        self.quotas.apply(now, confirmed, &reply);
        let origin = StateOrigin {
            address: *self.followed.lock(),
            confirmed,
            quorum_age_ms: reply.quorum_age_ms,
        };
        self.apply_content(reply, &origin);
        if confirmed && self.site().is_some() && !self.confirmed.swap(true, Ordering::Relaxed) {
            self.write_line(&format!(
                "event=state_confirmed revision={} version={} {origin}",
                self.revision(),
                self.summarise_site().version
            ));
        }
        self.updated.notify_waiters();
    }

    fn apply_content(&self, reply: SyncReply, origin: &StateOrigin) {
        let now = self.clock.now();
        if let Some(site) = &reply.site {
            let mut revision = self.revision.lock();
            if site.revision > *revision {
                let former = FormerSite {
                    revision: *revision,
                    version: self.summarise_site().version,
                };
                *revision = site.revision;
                drop(revision);
                if let Some(document) = &site.document {
                    self.apply_document(document, origin);
                }
                let evacuated = site.evacuated.clone();
                let in_force = self.summarise_site();
                self.log
                    .log_view(site, &describe_adoption(former, &in_force, origin));
                let mut dispatcher = self.dispatcher.lock();
                dispatcher.fleet.set_evacuated(evacuated);
                let changed = dispatcher.fleet.set_rollouts(&site.rollouts);
                drop(dispatcher);
                self.log_rollouts(&changed);
            } else if let Some(document) = &site.document {
                // The control process that sent this revision before could not derive the document.
                drop(revision);
                self.apply_document(document, origin);
            }
        }
        self.apply_crashes(now, reply.complete, &reply.crashes);
        let mut dispatcher = self.dispatcher.lock();
        for record in &reply.replicas {
            self.log.log_replica(record);
        }
        dispatcher.fleet.update_replicas(now, reply.replicas);
        if !reply.entries.is_empty() {
            dispatcher.fleet.update_entries(reply.entries);
        }
    }

    fn apply_document(&self, document: &SiteDocument, origin: &StateOrigin) {
        let former = self.site();
        let known = former.as_ref().map(|site| site.version);
        if known.is_some_and(|version| document.version <= version) {
            return;
        }
        let text = document.unpack();
        let digest = text
            .as_ref()
            .map_or_else(|_| TextDigest::default(), |text| TextDigest::of(text));
        let config = text.and_then(|text| (self.decode)(&text));
        match config {
            Ok(config) => {
                self.dispatcher.lock().apply_config(&config);
                let site = ActiveSite {
                    version: config.version,
                    routes: RouteTable::open(&config),
                    limits: config.limits,
                    customers: config.customers.map(CustomerTable::open),
                    route_count: config.routes.len(),
                    text: digest,
                };
                if let Some(former) = former {
                    self.remove_customer_metrics(&former, &site);
                }
                *self.site.write() = Some(Arc::new(site));
            }
            Err(code) => {
                self.counters.documents_refused.inc();
                let details = format!("{digest} {origin}");
                self.log.log_bad_document(document.version, code, &details);
            }
        }
    }

    /// Adds the port for callers.
    pub(super) fn open_caller_port(&self) -> ClientPort {
        self.intake
            .open_port("callers", self.caller_connections_max())
    }

    /// Returns the maximum number of callers' connections, which follows from the size of heads.
    pub(super) fn caller_connections_max(&self) -> usize {
        let limits = self.intake.limits();
        let connections_max = limits.client_connections(1, MONITORING_PORTS);
        let site = self.site();
        let callers = site.map_or_else(CallerLimits::default, |site| site.limits);
        limits.connections_with_heads(connections_max, callers.head_max_bytes)
    }

    /// Returns a number for a request that is unique in this process.
    pub(super) fn next_number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }

    /// Reports the number of idle connections to a replica to the dispatcher.
    pub(super) fn record_idle(&self, replica: ReplicaIndex) {
        let idle = self.pool.idle(replica);
        self.dispatcher.lock().fleet.record_idle(replica, idle);
    }

    /// Returns whether a connection to the replica may stay open while it is idle.
    pub(super) fn may_keep(&self, replica: ReplicaIndex) -> bool {
        let dispatcher = self.dispatcher.lock();
        let known = dispatcher.fleet.replica(replica);
        known.is_some_and(|replica| replica.connections_max > 0)
    }

    /// Logs that the link to control was gained or lost.
    pub fn log_link(&self, address: SocketAddr, gained: bool) {
        *self.followed.lock() = gained.then_some(address);
        self.log.log_link(address, gained);
    }

    /// Returns whether a link to an entry in the region is open.
    pub fn has_link(&self, region: &RegionName) -> bool {
        self.links.contains_region(region)
    }

    /// Closes all links to entries in other regions.
    pub fn drop_links(&self) {
        self.links.clear();
    }

    /// Logs that a link to an entry in another region was gained or lost.
    pub(super) fn log_peer(&self, address: SocketAddr, gained: bool) {
        self.log.log_peer(address, gained);
    }

    /// Writes a log line that is exempt from the rate limits.
    pub fn write_line(&self, text: &str) {
        self.log.write_line(text);
    }
}
