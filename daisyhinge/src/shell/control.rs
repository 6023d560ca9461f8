//! I/O of a control process: sockets, disk and clock around [`ControlCore`].
//!
//! One task, the driver, owns the core. A thread writes the data folder and syncs all saves that
//! are queued together. Requests reach the driver through a channel and wait for their reply. The
//! only locks are those of the task handles and of the relay connection; neither is held across an
//! await.
//!
//! [`ControlCore`]: crate::control::core::ControlCore

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use crate::control::core::{CoreReply, CoreRequest};
use crate::control::limits::LogLimits;
use crate::control::member::VoterId;
use crate::control::state_machine::EnvironmentReading;
use crate::prelude::*;
use crate::shell::clock::ProcessClock;
use crate::vocabulary::change::{
    ChangeKind, ChangeRecord, ChangeRefusal, ChangeRequest, CommittedChange,
};
use crate::vocabulary::claim::{ClaimReply, ClaimRequest, EndClaimRequest};
use crate::vocabulary::control::ControlStatus;
use crate::vocabulary::event::EventDraft;
use crate::vocabulary::freshness::{FreshnessReply, FreshnessRequest};
use crate::vocabulary::setting::ControlSettings;
use crate::vocabulary::view::ControlView;

mod bootstrap;
pub mod codec;
mod confirmations;
mod disk;
mod driver;
pub mod folder;
mod input;
pub mod link;
mod peer;
mod serve;
mod site;

use driver::ControlDriver;
pub use driver::PublishedSiteState;
use folder::DataFolder;
use input::DriverInput;
pub use site::ChangeOutcome;

/// Timeout of a change, a read or a claim.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of inputs queued for the driver.
const INPUTS_MAX: usize = 16_384;

/// Callback that receives timeline events.
pub type EventSink = Arc<dyn Fn(EventDraft) + Send + Sync>;

/// Error that prevents a control process from starting or continuing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlError {
    /// Code that identifies the error.
    pub code: ResultCode,
    /// Cause and remedy.
    pub detail: String,
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code.number(), self.code, self.detail)
    }
}

impl std::error::Error for ControlError {}

/// Settings of a control process that knows the other control VMs only by their addresses.
#[derive(Clone, Debug)]
pub struct SeededSettings {
    /// Name of the VM that this process runs on.
    pub vm: VmName,
    /// Address for other control VMs and entries.
    pub address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Folder that contains all files of the process.
    pub data_folder: std::path::PathBuf,
    /// Size limits of the log.
    pub limits: LogLimits,
    /// Addresses of the VMs that bootstrap the log, with or without this one.
    pub seeds: Vec<SocketAddr>,
    /// Set if all control VMs start for the first time, so that they have to bootstrap the log.
    pub first_start: bool,
}

/// Settings used by every control process.
struct ShellParts {
    vm: VmName,
    address: SocketAddr,
    operator_address: SocketAddr,
    data_folder: std::path::PathBuf,
    limits: LogLimits,
}

/// Handle to a running control process; clones share the process.
#[derive(Clone, Debug)]
pub struct ControlShell {
    id: VoterId,
    address: SocketAddr,
    clock: ProcessClock,
    published_site: Arc<PublishedSiteState>,
    inputs: mpsc::Sender<DriverInput>,
    failure: watch::Receiver<Option<ControlError>>,
    tasks: Arc<parking_lot::Mutex<Vec<JoinHandle<()>>>>,
    driver: Arc<parking_lot::Mutex<Option<JoinHandle<()>>>>,
}

impl ControlShell {
    /// Opens the data folder, binds the address and starts the tasks. Requires a tokio runtime.
    ///
    /// # Errors
    /// [`ResultCode::FolderInUse`], [`ResultCode::FolderMismatch`],
    /// [`ResultCode::RecordDamaged`], [`ResultCode::StorageFailed`] or
    /// [`ResultCode::BindFailed`], each with a remedy.
    pub fn spawn(settings: ControlSettings, sink: EventSink) -> Result<Self, ControlError> {
        let parts = ShellParts {
            vm: settings.vm,
            address: settings.address,
            operator_address: settings.operator_address,
            data_folder: settings.data_folder,
            limits: LogLimits::default(),
        };
        let shell = Self::open(&parts, sink)?;
        let bootstrap = bootstrap::run_bootstrap(shell.clone(), settings.voters);
        shell.tasks.lock().push(tokio::spawn(bootstrap));
        Ok(shell)
    }

    /// Like [`Self::spawn`], for a VM that knows the other control VMs only by their addresses: it
    /// bootstraps the log with them on the first start, and requests membership while it is not a
    /// member.
    ///
    /// # Errors
    /// Same as [`Self::spawn`].
    pub fn spawn_seeded(settings: SeededSettings, sink: EventSink) -> Result<Self, ControlError> {
        let parts = ShellParts {
            vm: settings.vm,
            address: settings.address,
            operator_address: settings.operator_address,
            data_folder: settings.data_folder,
            limits: settings.limits,
        };
        let shell = Self::open(&parts, sink)?;
        let mut tasks = shell.tasks.lock();
        if settings.first_start {
            let bootstrap = bootstrap::run_seeded_bootstrap(shell.clone(), settings.seeds.clone());
            tasks.push(tokio::spawn(bootstrap));
        }
        let join = bootstrap::run_join(shell.clone(), settings.seeds);
        tasks.push(tokio::spawn(join));
        drop(tasks);
        Ok(shell)
    }

    fn open(parts: &ShellParts, sink: EventSink) -> Result<Self, ControlError> {
        let limits = parts.limits;
        let (folder, opened) = DataFolder::open(
            &parts.data_folder,
            &parts.vm,
            rand::random(),
            limits.segment_bytes,
        )?;
        let listener = bind_listener(parts.address)?;
        let address = listener.local_addr().map_err(|error| bind_error(&error))?;
        let id = opened.id.clone();
        let (inputs, receiver) = mpsc::channel(INPUTS_MAX);
        let (failed, failure) = watch::channel(None);
        let clock = ProcessClock::open();
        let published_site = Arc::new(PublishedSiteState::default());
        let driver = ControlDriver::open(driver::DriverParts {
            clock,
            published_site: Arc::clone(&published_site),
            address,
            operator_address: parts.operator_address,
            limits,
            folder,
            opened,
            rng: ChaCha8Rng::from_seed(rand::random()),
            inputs: inputs.clone(),
            failed,
            sink,
        });
        let shell = Self {
            id,
            address,
            clock,
            published_site,
            inputs,
            failure,
            tasks: Arc::default(),
            driver: Arc::default(),
        };
        *shell.driver.lock() = Some(tokio::spawn(driver.run(receiver)));
        let server = serve::ControlServer::new(shell.clone());
        shell.tasks.lock().push(tokio::spawn(server.run(listener)));
        Ok(shell)
    }

    /// Monotonic clock of this process, which [`PublishedSiteState::confirmations`] refers to.
    pub fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// State of the deployment after the latest change applied on this VM, shared by the control
    /// task with the other tasks of the process.
    pub fn published_site(&self) -> &Arc<PublishedSiteState> {
        &self.published_site
    }

    /// Identity of this voter.
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// Address for control VMs and entries.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn call_core(&self, request: CoreRequest) -> Option<CoreReply> {
        let (reply, replied) = oneshot::channel();
        let input = DriverInput::Request { request, reply };
        self.inputs.send(input).await.ok()?;
        tokio::time::timeout(CALL_TIMEOUT, replied).await.ok()?.ok()
    }

    /// Commits a change. It is accepted once a quorum has synced it to disk.
    ///
    /// # Errors
    /// The refusal. After [`ResultCode::ChangeOutcomeUnknown`] the change may still take effect;
    /// the caller must send the same change again.
    pub async fn change(&self, request: ChangeRequest) -> Result<CommittedChange, ChangeRefusal> {
        let id = match &request.kind {
            ChangeKind::AddVoter { address, .. } => peer::fetch_identity(*address).await,
            _ => None,
        };
        match self.call_core(CoreRequest::Change(request, id)).await {
            Some(CoreReply::Change(reply)) => reply,
            _ => Err(refuse(ResultCode::ChangeOutcomeUnknown)),
        }
    }

    /// Returns the latest view, confirmed by a quorum.
    ///
    /// # Errors
    /// [`ResultCode::NotLeader`] or [`ResultCode::NoQuorum`].
    pub async fn read_view(&self) -> Result<Arc<ControlView>, ChangeRefusal> {
        match self.call_core(CoreRequest::View).await {
            Some(CoreReply::View(reply)) => reply,
            _ => Err(refuse(ResultCode::NoQuorum)),
        }
    }

    /// Document of an environment and the version of its last change, confirmed by a quorum.
    ///
    /// # Errors
    /// [`ResultCode::UnknownEnvironment`], [`ResultCode::NotLeader`] or [`ResultCode::NoQuorum`].
    pub async fn read_environment(
        &self,
        name: &EnvironmentName,
    ) -> Result<EnvironmentReading, ChangeRefusal> {
        match self.call_core(CoreRequest::Environment(name.clone())).await {
            Some(CoreReply::Environment(reply)) => reply,
            _ => Err(refuse(ResultCode::NoQuorum)),
        }
    }

    /// Accepted changes of an environment, oldest first, confirmed by a quorum.
    ///
    /// # Errors
    /// [`ResultCode::UnknownEnvironment`], [`ResultCode::NotLeader`] or [`ResultCode::NoQuorum`].
    pub async fn history(
        &self,
        name: &EnvironmentName,
    ) -> Result<Vec<ChangeRecord>, ChangeRefusal> {
        match self.call_core(CoreRequest::History(name.clone())).await {
            Some(CoreReply::History(reply)) => reply,
            _ => Err(refuse(ResultCode::NoQuorum)),
        }
    }

    /// Proves freshness to an entry, if this VM is the leader.
    ///
    /// # Errors
    /// The result code that states why no proof was issued.
    pub async fn fresh(&self, request: FreshnessRequest) -> FreshnessReply {
        match self.call_core(CoreRequest::Fresh(request)).await {
            Some(CoreReply::Fresh(reply)) => reply,
            _ => Err(ResultCode::NoQuorum),
        }
    }

    /// Claims a request, if this VM is the leader.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimReply {
        match self.call_core(CoreRequest::Claim(request)).await {
            Some(CoreReply::Claim(reply)) => reply,
            _ => ClaimReply::Refused(ResultCode::NoQuorum),
        }
    }

    /// Records the outcome of a claimed request, if this VM is the leader. Returns `true` once it
    /// is committed.
    pub async fn end_claim(&self, end: EndClaimRequest) -> bool {
        matches!(
            self.call_core(CoreRequest::EndClaim(end)).await,
            Some(CoreReply::EndClaim(true))
        )
    }

    /// Status of this process; `None` after it has stopped.
    pub async fn status(&self) -> Option<ControlStatus> {
        let (reply, replied) = oneshot::channel();
        self.inputs.send(DriverInput::Status(reply)).await.ok()?;
        replied.await.ok()
    }

    /// Address of the leader, if another VM leads and its address is known.
    async fn find_leader(&self) -> Option<SocketAddr> {
        let (reply, replied) = oneshot::channel();
        self.inputs.send(DriverInput::Leader(reply)).await.ok()?;
        replied.await.ok()?
    }

    /// Waits for a fatal error; never returns if the process is stopped.
    pub async fn failed(&self) -> ControlError {
        let mut failure = self.failure.clone();
        loop {
            if let Some(error) = failure.borrow_and_update().clone() {
                return error;
            }
            if failure.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Stops the process after syncing pending writes.
    pub async fn stop(&self) {
        let stop_sent = self.inputs.send(DriverInput::Stop).await;
        let driver = self.driver.lock().take();
        if let (Ok(()), Some(driver)) = (stop_sent, driver) {
            // An error means that the task panicked, which the panic hook has reported.
            let _: Result<(), _> = driver.await;
        }
        let tasks: Vec<JoinHandle<()>> = self.tasks.lock().drain(..).collect();
        tasks.iter().for_each(JoinHandle::abort);
        for task in tasks {
            // Waits until the address is released. The error only reports that the task was
            // aborted.
            let _: Result<(), _> = task.await;
        }
    }
}

fn refuse(code: ResultCode) -> ChangeRefusal {
    ChangeRefusal {
        code,
        current: VersionNumber(0),
        winner: None,
        leader: None,
    }
}

fn bind_listener(address: SocketAddr) -> Result<TcpListener, ControlError> {
    std::net::TcpListener::bind(address)
        .and_then(|listener| {
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        })
        .map_err(|error| bind_error(&error))
}

fn bind_error(error: &std::io::Error) -> ControlError {
    ControlError {
        code: ResultCode::BindFailed,
        detail: format!("{error}; check the setting `address`"),
    }
}
