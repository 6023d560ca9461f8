//! What the tasks of one entry share.
//!
//! Lock order: none of these locks is taken while another is held, but for `keeping`, under
//! which `view` and `lease` may be read.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::sync::{Semaphore, watch};

use crate::lease::FreshnessLease;
use crate::metric::EntryMetrics;
use crate::prelude::*;
use crate::search::admission::{AdmissionController, AdmissionLimits, AdmissionRefusal};
use crate::search::plan::SEQUENCE_STRIDE;
use crate::search::route::RouteTable;
use crate::shell::clock::{ProcessClock, wall_micros};
use crate::shell::entry::control_pool::ControlPool;
use crate::shell::entry::keeping_table::KeepingTable;
use crate::shell::entry::peer_pool::PeerPool;
use crate::vocabulary::environment::{EnvironmentDocument, ServiceEntry};
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::setting::EntrySettings;
use crate::vocabulary::view::{ControlView, EntryRecord, EntryState as MemberState};

/// An entry that was heard of within this time is named to callers before others.
const HEARD_SPAN: Duration = Duration::from_secs(2);

/// Takes events for the time line.
pub type NoteSink = Arc<dyn Fn(EventDraft) + Send + Sync>;

/// How far an entry is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryPhase {
    /// Serves.
    Serving,
    /// Leaves: keeps nothing, still answers callers.
    Leaving,
    /// Refuses callers.
    Closed,
}

/// Shared state of one entry.
pub struct EntryState {
    /// Its settings, with the addresses that were bound.
    pub settings: EntrySettings,
    /// The process's clock.
    pub clock: ProcessClock,
    /// Random number drawn at start, by which its attempts are told apart.
    pub origin: u64,
    /// Connections from callers and backend servers that may still be accepted.
    pub connections: Arc<Semaphore>,
    /// Its metrics.
    pub metrics: EntryMetrics,
    /// Set when the process stops.
    pub stopped: AtomicBool,
    pub(super) routes: Mutex<RouteTable>,
    pub(super) keeping: Mutex<KeepingTable>,
    pub(super) peers: PeerPool,
    pub(super) control: ControlPool,
    incarnation: IncarnationNumber,
    view: RwLock<Arc<ControlView>>,
    lease: Mutex<FreshnessLease>,
    phase: watch::Sender<EntryPhase>,
    heard: Mutex<HashMap<VmName, MonotonicTime>>,
    released: AtomicBool,
    admission: Mutex<AdmissionController>,
    recording: AtomicU32,
    sequence: AtomicU64,
    note: NoteSink,
}

impl fmt::Debug for EntryState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryState")
            .field("vm", &self.settings.vm)
            .finish_non_exhaustive()
    }
}

impl EntryState {
    pub(super) fn new(settings: EntrySettings, metrics: EntryMetrics, note: NoteSink) -> Self {
        let origin = rand::random();
        let incarnation = IncarnationNumber(wall_micros());
        Self {
            connections: Arc::new(Semaphore::new(settings.limits.connections_max as usize)),
            clock: ProcessClock::open(),
            origin,
            stopped: AtomicBool::new(false),
            routes: Mutex::new(RouteTable::seeded(origin)),
            keeping: Mutex::new(KeepingTable::new(&settings, incarnation, origin)),
            peers: PeerPool::default(),
            control: ControlPool::default(),
            incarnation,
            view: RwLock::default(),
            lease: Mutex::default(),
            phase: watch::Sender::new(EntryPhase::Serving),
            heard: Mutex::default(),
            released: AtomicBool::new(false),
            admission: Mutex::default(),
            recording: AtomicU32::new(0),
            metrics,
            sequence: AtomicU64::new(0),
            note,
            settings,
        }
    }

    /// The current reading of the clock.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Puts an event on the time line.
    pub fn note(&self, draft: EventDraft) {
        (self.note)(draft);
    }

    /// The view in force here.
    pub fn view(&self) -> Arc<ControlView> {
        Arc::clone(&self.view.read())
    }

    /// The document of this entry's environment, if there is one.
    pub fn document(&self) -> Option<Arc<EnvironmentDocument>> {
        self.view
            .read()
            .environments
            .get(&self.settings.environment)
            .cloned()
    }

    /// The lease as it is now.
    pub fn lease(&self) -> FreshnessLease {
        *self.lease.lock()
    }

    /// Whether work may be dispatched now. To be asked immediately before each dispatch.
    pub fn may_dispatch(&self) -> bool {
        self.lease().holds(self.now())
    }

    pub(super) fn renew_lease(&self, version: VersionNumber, asked: MonotonicTime, age: Duration) {
        self.lease.lock().renew(version, asked, age);
    }

    pub(super) fn adopt_view(&self, view: Arc<ControlView>) {
        let mut current = self.view.write();
        assert!(
            view.version >= current.version,
            "an accepted configuration never reverts"
        );
        *current = view;
    }

    /// How far this entry is in its life.
    pub fn phase(&self) -> EntryPhase {
        *self.phase.borrow()
    }

    pub(super) fn set_phase(&self, phase: EntryPhase) {
        self.phase.send_replace(phase);
    }

    /// Tells of changes of the phase.
    pub(super) fn watch_phase(&self) -> watch::Receiver<EntryPhase> {
        self.phase.subscribe()
    }

    pub(super) fn note_heard(&self, vm: &VmName) {
        self.heard.lock().insert(vm.clone(), self.now());
    }

    /// Forgets entries that are no members any more.
    pub(super) fn retain_heard(&self, keeps: impl Fn(&VmName) -> bool) {
        self.heard.lock().retain(|vm, _| keeps(vm));
    }

    /// Whether another entry was heard of lately.
    pub fn is_reachable(&self, vm: &VmName) -> bool {
        let heard = self.heard.lock().get(vm).copied();
        heard.is_some_and(|heard| self.now().since(heard) < HEARD_SPAN)
    }

    /// Whether a leaving entry has given up all that it kept.
    pub fn is_released(&self) -> bool {
        self.released.load(Ordering::Acquire)
    }

    pub(super) fn set_released(&self) {
        self.released.store(true, Ordering::Release);
    }

    /// This entry as it wants to be listed.
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

    /// How long callers may keep an address.
    pub fn address_keep(&self) -> Duration {
        let keep_ms = self
            .document()
            .map_or(0, |document| document.addresses.keep_ms);
        Duration::from_millis(keep_ms)
    }

    /// Where callers should go instead of here, in order of preference.
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

    /// Numbers for the attempts of one request.
    pub(super) fn next_sequence_base(&self) -> u64 {
        self.sequence.fetch_add(SEQUENCE_STRIDE, Ordering::Relaxed)
    }

    /// Admits a caller's request; the guard counts it out.
    ///
    /// # Errors
    ///
    /// [`AdmissionRefusal`] if too much runs.
    pub(super) fn admit_request(
        self: &Arc<Self>,
        service: &ServiceEntry,
        deadline: Option<Duration>,
    ) -> Result<RunningGuard, AdmissionRefusal> {
        let started = self.now();
        let total_max = self.settings.limits.running_max;
        let bounds = AdmissionLimits {
            running_max: service.running_max,
            total_max,
        };
        let allowed = deadline.unwrap_or(Duration::from_millis(service.deadline_ms));
        self.admission
            .lock()
            .admit(started, &service.name, bounds, allowed)?;
        Ok(RunningGuard {
            state: Arc::clone(self),
            service: service.name.clone(),
            started,
        })
    }

    /// Counts a claim's outcome that is being recorded; the guard counts it out.
    pub(super) fn begin_recording(self: &Arc<Self>) -> RecordingGuard {
        self.recording.fetch_add(1, Ordering::AcqRel);
        RecordingGuard {
            state: Arc::clone(self),
        }
    }

    /// Requests of callers that run here and outcomes that are being recorded.
    pub fn running_count(&self) -> u32 {
        self.admission.lock().running() + self.recording.load(Ordering::Acquire)
    }

    /// Waits until all connections of callers ended, at most `longest`.
    pub(super) async fn wait_connections(&self, longest: Duration) {
        let all = self.settings.limits.connections_max;
        let _closed_or_late =
            tokio::time::timeout(longest, self.connections.acquire_many(all)).await;
    }
}

/// Counts a running request out when dropped.
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

/// Counts a recording out when dropped.
#[derive(Debug)]
pub struct RecordingGuard {
    state: Arc<EntryState>,
}

impl Drop for RecordingGuard {
    fn drop(&mut self) {
        self.state.recording.fetch_sub(1, Ordering::AcqRel);
    }
}
