//! The control process's side of site distribution: owns the registry of replicas and entries, and
//! answers the long polls of followers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures::FutureExt;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::ahead::AheadEntry;
use super::entry_states::{EntryDeriver, EntryStates};
use super::publish::{PUBLISH_INTERVAL, publish_states};
use super::serve_site;
use super::store_request::StoreRequest;
use crate::prelude::*;
use crate::registry::{HeartbeatOutcome, ServerRegistry};
use crate::shell::control::ControlShell;
use crate::shell::link_version::LinkVersion;
use crate::vocabulary::feature::FeatureLevel;
use crate::vocabulary::registration::{ControlLocation, EntryPresence, ReplicaRecord, SyncCaller};
use crate::vocabulary::site::SiteState;

/// Time between two checks for expired registrations.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks after which this process was stopped.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// Maximum number of open connections.
const CONNECTIONS_MAX: usize = 1_024;
/// Delay before the next accept after a failed one, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Address and data centre of a control process.
#[derive(Clone, Debug)]
pub struct SiteEndpoint {
    /// Address at which the process accepts long polls.
    pub address: SocketAddr,
    /// Data centre of the process, from which entries derive the nearest process.
    pub data_centre: CentreName,
}

/// Handle to the registry of a control process, which followers read; clones share the registry.
#[derive(Clone, Debug)]
pub struct SiteRegistry {
    pub(super) shell: ControlShell,
    pub(super) endpoint: SiteEndpoint,
    pub(super) opened_at: MonotonicTime,
    pub(super) registry: Arc<Mutex<ServerRegistry>>,
    /// Reported data centres of control processes, by address.
    data_centres: Arc<Mutex<BTreeMap<SocketAddr, CentreName>>>,
    /// Feature levels that other members of control state on the present connections.
    levels: Arc<Mutex<BTreeMap<SocketAddr, FeatureLevel>>>,
    /// Mark of the latest registry change, on which long polls wait.
    pub(super) mark: Arc<watch::Sender<u64>>,
    /// Marks of the latest reports on rollouts and quotas, on which control processes wait.
    pub(super) report_mark: Arc<watch::Sender<u64>>,
    pub(super) usage_mark: Arc<watch::Sender<u64>>,
    /// Site state with which long polls of entries are answered.
    pub(super) published: Arc<watch::Sender<Arc<SiteState>>>,
    /// Latest entry that was found to have a newer state than this process.
    pub(super) ahead: Arc<watch::Sender<Option<AheadEntry>>>,
    /// Requests to the task that stores the known replicas.
    pub(super) store_requests: Arc<OnceLock<mpsc::Sender<StoreRequest>>>,
}

impl SiteRegistry {
    /// Accepts long polls at the address of `endpoint`, and receives registry changes from the
    /// other control processes, which must listen on the same port. Entries receive the documents that
    /// `derive` returns. Requires a tokio runtime.
    ///
    /// # Errors
    /// [`ResultCode::BindFailed`] if the address cannot be bound.
    pub async fn spawn(
        shell: ControlShell,
        endpoint: SiteEndpoint,
        heartbeat_interval: Duration,
        derive: EntryDeriver,
    ) -> Result<Self, ResultCode> {
        let listener = TcpListener::bind(endpoint.address)
            .await
            .map_err(|_error| ResultCode::BindFailed)?;
        let registry = ServerRegistry::open(rand::random(), heartbeat_interval);
        let data_centres = BTreeMap::from([(endpoint.address, endpoint.data_centre.clone())]);
        let site_registry = Self {
            opened_at: shell.clock().now(),
            shell,
            endpoint,
            registry: Arc::new(Mutex::new(registry)),
            data_centres: Arc::new(Mutex::new(data_centres)),
            levels: Arc::default(),
            mark: Arc::new(watch::Sender::new(0)),
            report_mark: Arc::new(watch::Sender::new(0)),
            usage_mark: Arc::new(watch::Sender::new(0)),
            published: Arc::new(watch::Sender::new(Arc::default())),
            ahead: Arc::default(),
            store_requests: Arc::default(),
        };
        let states = site_registry.shell.published_site().state.subscribe();
        let published = Arc::clone(&site_registry.published);
        tokio::spawn(async move {
            let deriver = EntryStates::open(derive);
            publish_states(states, &published, PUBLISH_INTERVAL, deriver).await;
        });
        tokio::spawn(run_server(site_registry.clone(), listener));
        tokio::spawn(run_expiry(site_registry.clone()));
        tokio::spawn(super::gossip::run_gossip(site_registry.clone()));
        tokio::spawn(super::level::run_levels(site_registry.clone()));
        Ok(site_registry)
    }

    /// Returns the handle to the control process.
    pub fn shell(&self) -> &ControlShell {
        &self.shell
    }

    /// Returns the state with which long polls of entries are answered.
    pub fn watch_published(&self) -> watch::Receiver<Arc<SiteState>> {
        self.published.subscribe()
    }

    /// Returns the latest entry that was found to have a newer state than this process.
    pub fn watch_ahead(&self) -> watch::Receiver<Option<AheadEntry>> {
        self.ahead.subscribe()
    }

    /// Records that an entry has a newer state than this process, if it has. For logs only.
    pub(super) fn record_revision(&self, vm: Option<&VmName>, entry_revision: u64) {
        let applied = Arc::clone(&self.shell.published_site().state.borrow());
        let Some(vm) = vm.filter(|_| entry_revision > applied.revision) else {
            return;
        };
        let ahead = AheadEntry {
            vm: vm.clone(),
            entry_revision,
            revision: applied.revision,
            quorum_age: self.shell.quorum_age(),
        };
        self.ahead.send_replace(Some(ahead));
    }

    /// Returns the address and the data centre of this process.
    pub(super) fn endpoint(&self) -> &SiteEndpoint {
        &self.endpoint
    }

    /// Records the data centre of another control process.
    pub(super) fn record_centre(&self, address: SocketAddr, centre: CentreName) {
        self.data_centres.lock().insert(address, centre);
    }

    /// Records the feature level that another control process states on its connection, or `None`
    /// when the connection ends.
    pub(super) fn record_level(&self, address: SocketAddr, level: Option<FeatureLevel>) {
        let mut levels = self.levels.lock();
        match level {
            Some(level) => drop(levels.insert(address, level)),
            None => drop(levels.remove(&address)),
        }
    }

    /// Returns the feature levels of all other members of control; the base level for those that
    /// state none.
    pub(super) fn control_levels(&self) -> Vec<FeatureLevel> {
        let own = self.endpoint.address;
        let members = self.shell.published_site().members.borrow().clone();
        let levels = self.levels.lock();
        let addresses = members
            .into_iter()
            .map(|member| SocketAddr::new(member.ip(), own.port()));
        addresses
            .filter(|address| *address != own)
            .map(|address| levels.get(&address).copied().unwrap_or_default())
            .collect()
    }

    /// Removes the data centres of all control processes except `members` and this one.
    pub(super) fn retain_centres(&self, members: &[SocketAddr]) {
        let own = self.endpoint.address;
        let is_member = |address: &SocketAddr| *address == own || members.contains(address);
        self.data_centres
            .lock()
            .retain(|address, _| is_member(address));
    }

    /// Lists the members of control with their addresses for followers.
    pub(super) fn list_control(&self) -> Vec<ControlLocation> {
        let members = self.shell.published_site().members.borrow().clone();
        let data_centres = self.data_centres.lock();
        let to_location = |member: SocketAddr| {
            let address = SocketAddr::new(member.ip(), self.endpoint.address.port());
            ControlLocation {
                address,
                data_centre: data_centres.get(&address).cloned(),
            }
        };
        members.into_iter().map(to_location).collect()
    }

    /// Returns the lowest link version that may be used. Version 1 carries no rollouts: an entry that
    /// follows over it would send requests to versions that must not get any.
    fn lowest_version(&self) -> LinkVersion {
        if self
            .shell
            .published_site()
            .state
            .borrow()
            .supports_rollouts()
        {
            LinkVersion::Named
        } else {
            LinkVersion::Ordered
        }
    }

    pub(super) fn now(&self) -> MonotonicTime {
        self.shell.clock().now()
    }

    /// Changes the registry, and answers the waiting long polls if the mark of the registry has
    /// advanced.
    pub(super) fn update<T>(
        &self,
        change: impl FnOnce(MonotonicTime, &mut ServerRegistry) -> T,
    ) -> T {
        let now = self.now();
        let mut registry = self.registry.lock();
        let result = change(now, &mut registry);
        let mark = registry.mark();
        let report_mark = registry.report_mark();
        let usage_mark = registry.usage_mark();
        drop(registry);
        advance_mark(&self.mark, mark);
        advance_mark(&self.report_mark, report_mark);
        advance_mark(&self.usage_mark, usage_mark);
        result
    }

    /// Records a heartbeat that this process received from a replica.
    pub fn record_heartbeat(&self, record: ReplicaRecord) -> HeartbeatOutcome {
        self.update(|now, registry| registry.record_heartbeat(now, record))
    }

    /// Records the departure of a replica. An unknown replica is recorded as having left.
    pub fn record_departure(&self, name: &ReplicaName) -> HeartbeatOutcome {
        self.update(|now, registry| registry.record_departure(now, name))
    }

    /// Calls `read` with the registry locked.
    pub fn with_registry<T>(&self, read: impl FnOnce(&ServerRegistry) -> T) -> T {
        read(&self.registry.lock())
    }

    pub(super) fn record_caller(&self, caller: SyncCaller) {
        let SyncCaller::Entry {
            vm,
            incarnation,
            address,
            data_centre,
            phase,
            feature_level,
        } = caller
        else {
            return;
        };
        let presence = EntryPresence {
            vm,
            incarnation,
            address,
            data_centre,
            phase,
            stamp: 0,
            holder: 0,
            feature_level,
        };
        self.update(|now, registry| registry.record_entry(now, presence));
    }
}

/// Notifies the waiting long polls if the mark has advanced.
fn advance_mark(marks: &watch::Sender<u64>, mark: u64) {
    marks.send_if_modified(|current| {
        let newer = mark > *current;
        *current = mark;
        newer
    });
}

async fn run_expiry(site_registry: SiteRegistry) {
    let mut checked_at = site_registry.now();
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        site_registry.update(|now, registry| {
            let pause = now.since(checked_at);
            if pause >= PAUSE_MIN {
                registry.skip_pause(now, pause);
            }
            registry.expire(now);
            checked_at = now;
        });
    }
}

async fn run_server(site_registry: SiteRegistry, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if connections.len() < CONNECTIONS_MAX {
            let lowest = site_registry.lowest_version();
            let site_registry = site_registry.clone();
            let handler = move |request| {
                let site_registry = site_registry.clone();
                async move { site_registry.answer(request).await }.boxed()
            };
            connections.spawn(serve_site(handler, stream, lowest));
        }
    }
}
