//! State shared by the tasks of an entry.
//!
//! Lock order: none of these locks is acquired while another is held, except that `view` and
//! `lease` may be read under `keepers`.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use rustix::process::{Resource, getrlimit};
use tokio::sync::watch;

use crate::intake::process_limits::derive_limits;
use crate::lease::FreshnessLease;
use crate::metric::EntryMetrics;
use crate::prelude::*;
use crate::search::admission::{AdmissionController, AdmissionLimits, AdmissionRefusal};
use crate::search::plan::SEQUENCE_STRIDE;
use crate::search::route::RouteTable;
use crate::shell::clock::{ProcessClock, wall_micros};
use crate::shell::entry::control_pool::ControlPool;
use crate::shell::entry::keeper_table::KeeperTable;
use crate::shell::entry::peer_pool::PeerPool;
use crate::shell::intake::{ClientIntake, ClientPort};
use crate::vocabulary::environment::{EnvironmentDocument, ServiceEntry};
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::setting::EntrySettings;
use crate::vocabulary::view::{ControlView, EntryRecord, EntryState as MemberState};

/// Time since the last contact within which an entry counts as reachable. Reachable entries are
/// offered to callers first.
const REACHABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Callback that records an event on the timeline.
pub type EventSink = Arc<dyn Fn(EventDraft) + Send + Sync>;

/// Phase in the life cycle of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryPhase {
    /// Answers callers and dispatches to the replicas assigned to it.
    Serving,
    /// Releases its replicas but still answers callers.
    Leaving,
    /// Has released its replicas and refuses callers' requests.
    Closed,
}

/// State of one entry that all its tasks share.
pub struct EntryState {
    /// Settings; their addresses contain the ports that were actually bound.
    pub settings: EntrySettings,
    /// Monotonic clock for all decisions of this entry.
    pub clock: ProcessClock,
    /// Random number drawn at start. It distinguishes the attempts of this entry from those of
    /// others.
    pub origin: u64,
    /// Connections from callers and backend servers.
    pub(super) callers: ClientPort,
    /// Prometheus metrics of this entry.
    pub metrics: EntryMetrics,
    /// Set by [`EntryShell::stop`](super::EntryShell::stop) before it aborts the tasks.
    pub stopped: AtomicBool,
    pub(super) routes: Mutex<RouteTable>,
    pub(super) keepers: Mutex<KeeperTable>,
    pub(super) peers: PeerPool,
    pub(super) control: ControlPool,
    incarnation: IncarnationNumber,
    view: RwLock<Arc<ControlView>>,
    lease: Mutex<FreshnessLease>,
    phase: watch::Sender<EntryPhase>,
    last_contacts: Mutex<HashMap<VmName, MonotonicTime>>,
    released: AtomicBool,
    admission: Mutex<AdmissionController>,
    pending_claim_ends: AtomicU32,
    sequence: AtomicU64,
    event_sink: EventSink,
}

impl fmt::Debug for EntryState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryState")
            .field("vm", &self.settings.vm)
            .finish_non_exhaustive()
    }
}

impl EntryState {
    pub(super) fn new(
        settings: EntrySettings,
        metrics: EntryMetrics,
        event_sink: EventSink,
    ) -> Self {
        let origin = rand::random();
        let incarnation = IncarnationNumber(wall_micros());
        Self {
            callers: open_caller_port(&settings, &metrics),
            clock: ProcessClock::open(),
            origin,
            stopped: AtomicBool::new(false),
            routes: Mutex::new(RouteTable::seeded(origin)),
            keepers: Mutex::new(KeeperTable::new(&settings, incarnation, origin)),
            peers: PeerPool::default(),
            control: ControlPool::default(),
            incarnation,
            view: RwLock::default(),
            lease: Mutex::default(),
            phase: watch::Sender::new(EntryPhase::Serving),
            last_contacts: Mutex::default(),
            released: AtomicBool::new(false),
            admission: Mutex::default(),
            pending_claim_ends: AtomicU32::new(0),
            metrics,
            sequence: AtomicU64::new(0),
            event_sink,
            settings,
        }
    }

    /// Returns the current time of the process clock.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Records an event on the timeline.
    pub fn record_event(&self, draft: EventDraft) {
        (self.event_sink)(draft);
    }

    /// Returns the control view that this entry last adopted.
    pub fn view(&self) -> Arc<ControlView> {
        Arc::clone(&self.view.read())
    }

    /// Returns the document of this entry's environment, if the adopted view contains one.
    pub fn document(&self) -> Option<Arc<EnvironmentDocument>> {
        self.view
            .read()
            .environments
            .get(&self.settings.environment)
            .cloned()
    }

    /// Returns the freshness lease from the last proof received.
    pub fn lease(&self) -> FreshnessLease {
        *self.lease.lock()
    }

    /// Returns whether work may be dispatched now. Must be called immediately before each dispatch.
    pub fn may_dispatch(&self) -> bool {
        self.lease().holds(self.now())
    }

    pub(super) fn renew_lease(
        &self,
        version: VersionNumber,
        sent_at: MonotonicTime,
        age: Duration,
    ) {
        self.lease.lock().renew(version, sent_at, age);
    }

    pub(super) fn adopt_view(&self, view: Arc<ControlView>) {
        let mut current = self.view.write();
        assert!(
            view.version >= current.version,
            "an adopted view is never replaced by an older one"
        );
        *current = view;
    }

    /// Current phase of the entry.
    pub fn phase(&self) -> EntryPhase {
        *self.phase.borrow()
    }

    pub(super) fn set_phase(&self, phase: EntryPhase) {
        self.phase.send_replace(phase);
    }

    /// Returns a receiver that is notified of phase changes.
    pub(super) fn watch_phase(&self) -> watch::Receiver<EntryPhase> {
        self.phase.subscribe()
    }

    pub(super) fn record_contact(&self, vm: &VmName) {
        self.last_contacts.lock().insert(vm.clone(), self.now());
    }

    /// Removes the contact times of entries that are no longer members.
    pub(super) fn retain_contacts(&self, is_member: impl Fn(&VmName) -> bool) {
        self.last_contacts.lock().retain(|vm, _| is_member(vm));
    }

    /// Returns whether another entry replied within `REACHABLE_TIMEOUT`.
    pub fn is_reachable(&self, vm: &VmName) -> bool {
        let last_contact = self.last_contacts.lock().get(vm).copied();
        last_contact.is_some_and(|at| self.now().since(at) < REACHABLE_TIMEOUT)
    }

    /// Returns whether a leaving entry has released all of its replicas.
    pub fn is_released(&self) -> bool {
        self.released.load(Ordering::Acquire)
    }

    pub(super) fn set_released(&self) {
        self.released.store(true, Ordering::Release);
    }

    /// The record of this entry to be listed in the view.
    pub fn record(&self) -> EntryRecord {
        let serving = self.phase() == EntryPhase::Serving;
        EntryRecord {
            vm: self.settings.vm.clone(),
            environment: self.settings.environment.clone(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.incarnation,
            caller_address: self.settings.caller_address,
            peer_address: self.settings.peer_address,
            state: if serving {
                MemberState::Live
            } else {
                MemberState::Leaving
            },
        }
    }

    /// Time for which callers may cache an address.
    pub fn address_ttl(&self) -> Duration {
        let keep_ms = self
            .document()
            .map_or(0, |document| document.addresses.keep_ms);
        Duration::from_millis(keep_ms)
    }

    /// Addresses of other live entries for callers, those in the same data centre first.
    pub fn other_addresses(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let usable = view.entries.iter().filter(|entry| {
            entry.state == MemberState::Live
                && entry.environment == self.settings.environment
                && entry.vm != self.settings.vm
        });
        let mut others: Vec<&EntryRecord> = usable.collect();
        others.sort_by_key(|entry| entry.data_centre != self.settings.data_centre);
        others.iter().map(|entry| entry.caller_address).collect()
    }

    /// Reserves a range of sequence numbers for the attempts of one request.
    pub(super) fn next_sequence_base(&self) -> u64 {
        self.sequence.fetch_add(SEQUENCE_STRIDE, Ordering::Relaxed)
    }

    /// Admits a caller's request, which counts as running until the guard is dropped.
    ///
    /// # Errors
    ///
    /// [`AdmissionRefusal`] if too many requests are running.
    pub(super) fn admit_request(
        self: &Arc<Self>,
        service: &ServiceEntry,
        deadline: Option<Duration>,
    ) -> Result<RunningGuard, AdmissionRefusal> {
        let started = self.now();
        let total_max = self.settings.limits.running_max;
        let admission_limits = AdmissionLimits {
            running_max: service.running_max,
            total_max,
        };
        let time_limit = deadline.unwrap_or(Duration::from_millis(service.deadline_ms));
        self.admission
            .lock()
            .admit(started, &service.name, admission_limits, time_limit)?;
        Ok(RunningGuard {
            state: Arc::clone(self),
            service: service.name.clone(),
            started,
        })
    }

    /// Counts a claim outcome as being recorded until the guard is dropped.
    pub(super) fn track_claim_end(self: &Arc<Self>) -> ClaimEndGuard {
        self.pending_claim_ends.fetch_add(1, Ordering::AcqRel);
        ClaimEndGuard {
            state: Arc::clone(self),
        }
    }

    /// Number of running requests from callers plus claim outcomes that are being recorded.
    pub fn running_count(&self) -> u32 {
        self.admission.lock().running() + self.pending_claim_ends.load(Ordering::Acquire)
    }

    /// Waits until all connections of callers have ended, at most for `max_wait`.
    pub(super) async fn wait_connections(&self, max_wait: Duration) {
        let _closed_or_late = tokio::time::timeout(max_wait, self.callers.closed()).await;
    }
}

/// Opens the port for callers and backend servers.
fn open_caller_port(settings: &EntrySettings, metrics: &EntryMetrics) -> ClientPort {
    let memory_bytes = settings.limits.memory_mb as usize * (1 << 20);
    let limits = derive_limits(memory_bytes, descriptors_max());
    let connections_max = settings.limits.connections_max as usize;
    let intake = ClientIntake::open(limits, metrics.intake.clone(), None);
    intake.open_port("callers", connections_max.min(limits.connections_max))
}

/// Returns the number of descriptors that this process may open.
fn descriptors_max() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    })
}

/// Ends the accounting of a running request when dropped.
#[derive(Debug)]
pub struct RunningGuard {
    state: Arc<EntryState>,
    service: ServiceName,
    started: MonotonicTime,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state
            .admission
            .lock()
            .leave(now, &self.service, now.since(self.started));
    }
}

/// Ends the accounting of a claim outcome that is being recorded when dropped.
#[derive(Debug)]
pub struct ClaimEndGuard {
    state: Arc<EntryState>,
}

impl Drop for ClaimEndGuard {
    fn drop(&mut self) {
        self.state.pending_claim_ends.fetch_sub(1, Ordering::AcqRel);
    }
}
