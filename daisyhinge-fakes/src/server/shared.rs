//! State shared by the tasks of one fake backend server.
//!
//! Lock order: `core` before `run`; no lock is held across an await.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use daisyhinge::vocabulary::announcement::AnnounceReply;
use parking_lot::Mutex;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::server::core::FakeCore;
use crate::server::settings::FakeSettings;
use crate::server::task::SubTask;

/// One run of the server: from its start to its next crash or collapse.
#[derive(Clone, Debug)]
pub(crate) struct ServerRun {
    /// Cancelled when the run ends: connections are reset and work is lost.
    pub end: CancellationToken,
    /// One permit for each slot.
    pub slots: Arc<Semaphore>,
}

impl ServerRun {
    fn new(slots: u32) -> Self {
        let slots = usize::try_from(slots.max(1)).unwrap_or(1);
        Self {
            end: CancellationToken::new(),
            slots: Arc::new(Semaphore::new(slots)),
        }
    }
}

#[derive(Debug)]
pub(crate) struct ServerShared {
    pub settings: FakeSettings,
    /// Address that the server listens on.
    pub address: SocketAddr,
    pub core: Mutex<FakeCore>,
    pub run: Mutex<ServerRun>,
    /// Wakes the announcer before its interval has elapsed.
    pub announce: Notify,
    pub stop: CancellationToken,
    /// Sub-request answered last, for crossed answers.
    pub previous: Mutex<Option<SubTask>>,
    down: AtomicBool,
    /// Entries that the last reply assigned to the replica.
    assigned: Mutex<Vec<SocketAddr>>,
    announced: Mutex<SocketAddr>,
    last_reply: Mutex<Option<AnnounceReply>>,
}

impl ServerShared {
    pub fn new(settings: FakeSettings, address: SocketAddr) -> Self {
        Self {
            core: Mutex::new(FakeCore::new(&settings)),
            run: Mutex::new(ServerRun::new(settings.slots)),
            announce: Notify::new(),
            stop: CancellationToken::new(),
            previous: Mutex::new(None),
            down: AtomicBool::new(false),
            assigned: Mutex::new(Vec::new()),
            announced: Mutex::new(address),
            last_reply: Mutex::new(None),
            settings,
            address,
        }
    }

    /// Whether the server is down after a crash or collapse.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Acquire)
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Release);
    }

    /// Ends the current run and starts the next one.
    pub fn end_run(&self) {
        let mut run = self.run.lock();
        run.end.cancel();
        *run = ServerRun::new(self.settings.slots);
    }

    pub fn record_reply(&self, reply: &AnnounceReply) {
        if !reply.entries.is_empty() {
            self.assigned.lock().clone_from(&reply.entries);
        }
        *self.last_reply.lock() = Some(reply.clone());
    }

    pub fn last_reply(&self) -> Option<AnnounceReply> {
        self.last_reply.lock().clone()
    }

    pub fn assigned_entries(&self) -> Vec<SocketAddr> {
        self.assigned.lock().clone()
    }

    /// Address that announcements state.
    pub fn announced_address(&self) -> SocketAddr {
        *self.announced.lock()
    }

    pub fn set_announced_address(&self, address: SocketAddr) {
        *self.announced.lock() = address;
    }
}
