//! What all requests of an entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::pool::ConnectionPool;
use super::relay::table::PeerLinks;
use super::wire::HeaderNames;
use crate::dispatch::Dispatcher;
use crate::dispatch::budget::BudgetLimits;
use crate::dispatch::fleet::{FleetLocation, ReplicaIndex};
use crate::metric::forward::ForwardCounters;
use crate::prelude::*;
use crate::routing::RouteTable;
use crate::shell::clock::ProcessClock;
use crate::shell::decision::DecisionLog;
use crate::vocabulary::registration::SyncReply;
use crate::vocabulary::site::{CallerLimits, SiteConfig, SiteDocument};

/// Decodes a configuration as operators send it.
pub type ConfigDecoder = fn(&[u8]) -> Result<SiteConfig, ResultCode>;

/// A configuration in force.
#[derive(Debug, Default)]
pub struct ActiveSite {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: RouteTable,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// What an entry is made of.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// Where it is.
    pub place: FleetLocation,
    /// Extra requests that all entries together may send a service.
    pub budget: BudgetLimits,
    /// Names of headers.
    pub names: HeaderNames,
    /// Decodes configurations.
    pub decode: ConfigDecoder,
}

/// The shared state of an entry that forwards requests.
#[expect(
    missing_debug_implementations,
    reason = "connections and tables show nothing of use"
)]
pub struct ForwardState {
    /// Its clock.
    pub clock: ProcessClock,
    /// Counters and histograms.
    pub counters: ForwardCounters,
    /// Set while the entry shuts down: callers are told to connect elsewhere.
    pub leaving: CancellationToken,
    pub(super) names: HeaderNames,
    pub(super) dispatcher: Mutex<Dispatcher>,
    pub(super) pool: ConnectionPool,
    pub(super) links: PeerLinks,
    pub(super) log: DecisionLog,
    site: RwLock<Option<Arc<ActiveSite>>>,
    revision: Mutex<u64>,
    /// Whether a quorum stood behind what was told.
    confirmed: AtomicBool,
    told: Notify,
    decode: ConfigDecoder,
    /// Number of the last request.
    number: AtomicU64,
}

impl ForwardState {
    /// The state of an entry that knows nothing yet.
    pub fn open(settings: ForwardSettings) -> Arc<Self> {
        Arc::new(Self {
            clock: ProcessClock::open(),
            counters: ForwardCounters::default(),
            leaving: CancellationToken::new(),
            names: settings.names,
            dispatcher: Mutex::new(Dispatcher::open(settings.place, settings.budget)),
            pool: ConnectionPool::default(),
            links: PeerLinks::default(),
            log: DecisionLog::open(),
            site: RwLock::new(None),
            revision: Mutex::new(0),
            confirmed: AtomicBool::new(false),
            told: Notify::new(),
            decode: settings.decode,
            number: AtomicU64::new(0),
        })
    }

    /// The configuration in force, if one is known.
    pub fn site(&self) -> Option<Arc<ActiveSite>> {
        self.site.read().clone()
    }

    /// Whether a quorum of control stood behind what was told last or earlier.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.load(Ordering::Relaxed)
    }

    /// Waits until something is told, at most for `span`.
    pub async fn changed(&self, span: Duration) {
        // Whoever waits looks again either way.
        drop(tokio::time::timeout(span, self.told.notified()).await);
    }

    /// Takes what control tells. What is older than what is held is ignored.
    pub fn take_reply(&self, reply: SyncReply, confirmed: bool) {
        self.take_content(reply);
        if confirmed && self.site().is_some() {
            self.confirmed.store(true, Ordering::Relaxed);
        }
        self.told.notify_waiters();
    }

    fn take_content(&self, reply: SyncReply) {
        let now = self.clock.now();
        if let Some(site) = &reply.site {
            let mut revision = self.revision.lock();
            if site.revision > *revision {
                *revision = site.revision;
                drop(revision);
                if let Some(document) = &site.document {
                    self.take_document(document);
                }
                let evacuated = site.evacuated.clone();
                self.log
                    .note_view(site.revision, site.version(), evacuated.len());
                self.dispatcher.lock().fleet.set_evacuated(evacuated);
            }
        }
        let mut dispatcher = self.dispatcher.lock();
        for record in &reply.replicas {
            self.log.note_replica(record);
        }
        dispatcher.fleet.update_replicas(now, reply.replicas);
        if !reply.entries.is_empty() {
            dispatcher.fleet.update_entries(reply.entries);
        }
    }

    fn take_document(&self, document: &SiteDocument) {
        let held = self.site().map_or(0, |site| site.version);
        if document.version <= held {
            return;
        }
        let config = document.unpack().and_then(|text| (self.decode)(&text));
        match config {
            Ok(config) => {
                self.dispatcher.lock().apply_config(&config);
                let site = ActiveSite {
                    version: config.version,
                    routes: RouteTable::open(&config),
                    limits: config.limits,
                };
                *self.site.write() = Some(Arc::new(site));
            }
            Err(code) => self.log.note_bad_document(document.version, code),
        }
    }

    /// A number for a request, which no other one of this process has.
    pub(super) fn next_number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells the choice how many idle connections to the replica there are.
    pub(super) fn record_idle(&self, replica: ReplicaIndex) {
        let idle = self.pool.idle(replica);
        self.dispatcher.lock().fleet.record_idle(replica, idle);
    }

    /// Whether a connection to the replica may stay open while nothing uses it.
    pub(super) fn may_keep(&self, replica: ReplicaIndex) -> bool {
        let dispatcher = self.dispatcher.lock();
        let known = dispatcher.fleet.replica(replica);
        known.is_some_and(|replica| replica.connections_max > 0)
    }

    /// Notes that the link to control was gained or lost.
    pub fn note_link(&self, address: std::net::SocketAddr, gained: bool) {
        self.log.note_link(address, gained);
    }

    /// Whether a link to an entry of the region is open.
    pub fn has_link(&self, region: &RegionName) -> bool {
        self.links.holds(region)
    }

    /// Closes all links to entries of other regions.
    pub fn drop_links(&self) {
        self.links.clear();
    }

    /// Notes that a link to an entry of another region was gained or lost.
    pub(super) fn note_peer(&self, address: std::net::SocketAddr, gained: bool) {
        self.log.note_peer(address, gained);
    }

    /// Writes a line of the process's own.
    pub fn note_text(&self, text: &str) {
        self.log.note_text(text);
    }
}
