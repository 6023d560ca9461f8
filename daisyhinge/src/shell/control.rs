//! The shell of a control process: sockets, disk and clock around [`ControlCore`].
//!
//! One task owns the core. A thread writes the data folder, with one sync for all that has
//! gathered meanwhile. Asks reach the task through a channel and wait for their reply. No locks
//! but those of the table of relay connections, which is held across no await.
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

pub mod codec;
mod disk;
mod driver;
pub mod folder;
mod found;
mod input;
pub mod link;
mod peer;
mod serve;
mod site;

use driver::ControlDriver;
pub use driver::SiteBoard;
use folder::DataFolder;
use input::DriverInput;

/// Longest wait for a change, a read or a claim.
const ASK_SPAN: Duration = Duration::from_secs(5);
/// Inputs that may wait for the task.
const INPUTS_MAX: usize = 16_384;

/// Takes events of the time line.
pub type EventSink = Arc<dyn Fn(EventDraft) + Send + Sync>;

/// Why a control process can't start or go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlFault {
    /// The code.
    pub code: ResultCode,
    /// What happened and what to do.
    pub detail: String,
}

impl fmt::Display for ControlFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code.number(), self.code, self.detail)
    }
}

impl std::error::Error for ControlFault {}

/// Settings of a control process that knows others by their addresses only.
#[derive(Clone, Debug)]
pub struct SeededSettings {
    /// Its VM.
    pub vm: VmName,
    /// Where other control VMs connect.
    pub address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// The one folder that files live under.
    pub data_folder: std::path::PathBuf,
    /// Sizes of the log.
    pub limits: LogLimits,
    /// Addresses of the VMs that found the log, this one among them or not.
    pub seeds: Vec<SocketAddr>,
    /// Whether all VMs start for the first time.
    pub first_start: bool,
}

/// What every control process is made of.
struct ShellParts {
    vm: VmName,
    address: SocketAddr,
    operator_address: SocketAddr,
    data_folder: std::path::PathBuf,
    limits: LogLimits,
}

/// A running control process; clones share it.
#[derive(Clone, Debug)]
pub struct ControlShell {
    id: VoterId,
    address: SocketAddr,
    clock: ProcessClock,
    board: Arc<SiteBoard>,
    inputs: mpsc::Sender<DriverInput>,
    failure: watch::Receiver<Option<ControlFault>>,
    tasks: Arc<parking_lot::Mutex<Vec<JoinHandle<()>>>>,
    driver: Arc<parking_lot::Mutex<Option<JoinHandle<()>>>>,
}

impl ControlShell {
    /// Opens the data folder, binds the address and runs. Needs a tokio runtime.
    ///
    /// # Errors
    /// [`ResultCode::FolderInUse`], [`ResultCode::FolderMismatch`],
    /// [`ResultCode::RecordDamaged`], [`ResultCode::StorageFailed`] or
    /// [`ResultCode::BindFailed`], each with what to do.
    pub fn spawn(settings: ControlSettings, note: EventSink) -> Result<Self, ControlFault> {
        let parts = ShellParts {
            vm: settings.vm,
            address: settings.address,
            operator_address: settings.operator_address,
            data_folder: settings.data_folder,
            limits: LogLimits::default(),
        };
        let shell = Self::open(&parts, note)?;
        let founding = found::run_founding(shell.clone(), settings.voters);
        shell.tasks.lock().push(tokio::spawn(founding));
        Ok(shell)
    }

    /// As [`Self::spawn`], for a VM that knows other control VMs by their addresses only: it
    /// founds the log with them at the first start, and otherwise joins it by itself.
    ///
    /// # Errors
    /// As [`Self::spawn`].
    pub fn spawn_seeded(settings: SeededSettings, note: EventSink) -> Result<Self, ControlFault> {
        let parts = ShellParts {
            vm: settings.vm,
            address: settings.address,
            operator_address: settings.operator_address,
            data_folder: settings.data_folder,
            limits: settings.limits,
        };
        let shell = Self::open(&parts, note)?;
        let mut tasks = shell.tasks.lock();
        if settings.first_start {
            let founding = found::run_seeded(shell.clone(), settings.seeds.clone());
            tasks.push(tokio::spawn(founding));
        }
        let joining = found::run_joining(shell.clone(), settings.seeds);
        tasks.push(tokio::spawn(joining));
        drop(tasks);
        Ok(shell)
    }

    fn open(parts: &ShellParts, note: EventSink) -> Result<Self, ControlFault> {
        let limits = parts.limits;
        let (folder, opened) = DataFolder::open(
            &parts.data_folder,
            &parts.vm,
            rand::random(),
            limits.segment_bytes,
        )?;
        let listener = bind_listener(parts.address)?;
        let address = listener.local_addr().map_err(|error| bind_fault(&error))?;
        let id = opened.id.clone();
        let (inputs, receiver) = mpsc::channel(INPUTS_MAX);
        let (failed, failure) = watch::channel(None);
        let clock = ProcessClock::open();
        let board = Arc::new(SiteBoard::default());
        let driver = ControlDriver::open(driver::DriverParts {
            clock,
            board: Arc::clone(&board),
            address,
            operator_address: parts.operator_address,
            limits,
            folder,
            opened,
            rng: ChaCha8Rng::from_seed(rand::random()),
            inputs: inputs.clone(),
            failed,
            note,
        });
        let shell = Self {
            id,
            address,
            clock,
            board,
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

    /// The process's clock.
    pub fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// What is known of the deployment without asking the log.
    pub fn board(&self) -> &Arc<SiteBoard> {
        &self.board
    }

    /// How long ago a quorum is known to have stood behind the board's state.
    pub fn quorum_age(&self) -> Option<Duration> {
        let seen_us = self
            .board
            .quorum_us
            .load(std::sync::atomic::Ordering::Relaxed);
        (seen_us > 0).then(|| self.clock.now().since(MonotonicTime(seen_us)))
    }

    /// Its identity.
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// Where control VMs and entries connect to it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn ask(&self, ask: CoreRequest) -> Option<CoreReply> {
        let (reply, replied) = oneshot::channel();
        let input = DriverInput::Ask { ask, reply };
        self.inputs.send(input).await.ok()?;
        tokio::time::timeout(ASK_SPAN, replied).await.ok()?.ok()
    }

    /// Makes a change. It is accepted once a quorum has it on synced disks.
    ///
    /// # Errors
    /// The refusal; with [`ResultCode::ChangeOutcomeUnknown`] it may yet come in force, and the
    /// same change is to be sent again.
    pub async fn change(&self, ask: ChangeRequest) -> Result<CommittedChange, ChangeRefusal> {
        let id = match &ask.kind {
            ChangeKind::AddVoter { address, .. } => peer::ask_identity(*address).await,
            _ => None,
        };
        match self.ask(CoreRequest::Change(ask, id)).await {
            Some(CoreReply::Change(reply)) => reply,
            _ => Err(refuse(ResultCode::ChangeOutcomeUnknown)),
        }
    }

    /// The newest view, confirmed by a quorum.
    ///
    /// # Errors
    /// [`ResultCode::NotLeader`] or [`ResultCode::NoQuorum`].
    pub async fn read_view(&self) -> Result<Arc<ControlView>, ChangeRefusal> {
        match self.ask(CoreRequest::View).await {
            Some(CoreReply::View(reply)) => reply,
            _ => Err(refuse(ResultCode::NoQuorum)),
        }
    }

    /// An environment's document and the version at which it last changed, confirmed by a quorum.
    ///
    /// # Errors
    /// [`ResultCode::UnknownEnvironment`], [`ResultCode::NotLeader`] or [`ResultCode::NoQuorum`].
    pub async fn read_environment(
        &self,
        name: &EnvironmentName,
    ) -> Result<EnvironmentReading, ChangeRefusal> {
        match self.ask(CoreRequest::Environment(name.clone())).await {
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
        match self.ask(CoreRequest::History(name.clone())).await {
            Some(CoreReply::History(reply)) => reply,
            _ => Err(refuse(ResultCode::NoQuorum)),
        }
    }

    /// Proves freshness to an entry, if this VM leads.
    ///
    /// # Errors
    /// Why there is no proof.
    pub async fn fresh(&self, ask: FreshnessRequest) -> FreshnessReply {
        match self.ask(CoreRequest::Fresh(ask)).await {
            Some(CoreReply::Fresh(reply)) => reply,
            _ => Err(ResultCode::NoQuorum),
        }
    }

    /// Claims a request, if this VM leads.
    pub async fn claim(&self, ask: ClaimRequest) -> ClaimReply {
        match self.ask(CoreRequest::Claim(ask)).await {
            Some(CoreReply::Claim(reply)) => reply,
            _ => ClaimReply::Refused(ResultCode::NoQuorum),
        }
    }

    /// Records how a claimed request ended, if this VM leads.
    pub async fn end_claim(&self, end: EndClaimRequest) -> bool {
        matches!(
            self.ask(CoreRequest::EndClaim(end)).await,
            Some(CoreReply::EndClaim(true))
        )
    }

    /// Its state; unset once it has stopped.
    pub async fn status(&self) -> Option<ControlStatus> {
        let (reply, replied) = oneshot::channel();
        self.inputs.send(DriverInput::Status(reply)).await.ok()?;
        replied.await.ok()
    }

    /// Where the leader is reached, if another VM leads.
    async fn find_leader(&self) -> Option<SocketAddr> {
        let (reply, replied) = oneshot::channel();
        self.inputs.send(DriverInput::Leader(reply)).await.ok()?;
        replied.await.ok()?
    }

    /// Waits until it fails for good; never returns if it is stopped.
    pub async fn failed(&self) -> ControlFault {
        let mut failure = self.failure.clone();
        loop {
            if let Some(fault) = failure.borrow_and_update().clone() {
                return fault;
            }
            if failure.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Stops it; what is under way is synced first.
    pub async fn stop(&self) {
        let sent = self.inputs.send(DriverInput::Stop).await;
        let driver = self.driver.lock().take();
        if let (Ok(()), Some(driver)) = (sent, driver) {
            // An error would be a panic of the task, which has reported itself.
            let _: Result<(), _> = driver.await;
        }
        let tasks: Vec<JoinHandle<()>> = self.tasks.lock().drain(..).collect();
        tasks.iter().for_each(JoinHandle::abort);
        for task in tasks {
            // Awaited so that the address is free again; that it was aborted is no news.
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

fn bind_listener(address: SocketAddr) -> Result<TcpListener, ControlFault> {
    std::net::TcpListener::bind(address)
        .and_then(|listener| {
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        })
        .map_err(|error| bind_fault(&error))
}

fn bind_fault(error: &std::io::Error) -> ControlFault {
    ControlFault {
        code: ResultCode::BindFailed,
        detail: format!("{error}; check the setting `address`"),
    }
}
