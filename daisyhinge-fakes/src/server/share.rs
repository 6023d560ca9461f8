//! What the tasks of one fake backend server share.
//!
//! Lock order: `core` before `life`; no lock is held across an await.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use daisyhinge::vocabulary::announcement::AnnounceReply;
use parking_lot::Mutex;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::server::core::FakeCore;
use crate::server::settings::FakeSettings;
use crate::server::sub::SubTask;

/// One life of the server: from its start to its next crash or collapse.
#[derive(Clone, Debug)]
pub(crate) struct ServerLife {
    /// Fires when the life ends: connections are reset, work is lost.
    pub end: CancellationToken,
    /// Slots of this life.
    pub slots: Arc<Semaphore>,
}

impl ServerLife {
    fn new(slots: u32) -> Self {
        let slots = usize::try_from(slots.max(1)).unwrap_or(1);
        Self {
            end: CancellationToken::new(),
            slots: Arc::new(Semaphore::new(slots)),
        }
    }
}

#[derive(Debug)]
pub(crate) struct FakeShare {
    pub settings: FakeSettings,
    /// Where it listens.
    pub address: SocketAddr,
    pub core: Mutex<FakeCore>,
    pub life: Mutex<ServerLife>,
    pub announce: Notify,
    pub stop: CancellationToken,
    pub former: Mutex<Option<SubTask>>,
    down: AtomicBool,
    told: Mutex<Vec<SocketAddr>>,
    named: Mutex<SocketAddr>,
    last_reply: Mutex<Option<AnnounceReply>>,
}

impl FakeShare {
    pub fn new(settings: FakeSettings, address: SocketAddr) -> Self {
        Self {
            core: Mutex::new(FakeCore::new(&settings)),
            life: Mutex::new(ServerLife::new(settings.slots)),
            announce: Notify::new(),
            stop: CancellationToken::new(),
            former: Mutex::new(None),
            down: AtomicBool::new(false),
            told: Mutex::new(Vec::new()),
            named: Mutex::new(address),
            last_reply: Mutex::new(None),
            settings,
            address,
        }
    }

    /// Whether it is down after a crash or collapse.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Acquire)
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Release);
    }

    /// Ends this life and begins the next.
    pub fn end_life(&self) {
        let mut life = self.life.lock();
        life.end.cancel();
        *life = ServerLife::new(self.settings.slots);
    }

    pub fn note_reply(&self, reply: &AnnounceReply) {
        if !reply.entries.is_empty() {
            self.told.lock().clone_from(&reply.entries);
        }
        *self.last_reply.lock() = Some(reply.clone());
    }

    pub fn last_reply(&self) -> Option<AnnounceReply> {
        self.last_reply.lock().clone()
    }

    pub fn told_entries(&self) -> Vec<SocketAddr> {
        self.told.lock().clone()
    }

    /// The address that announcements name.
    pub fn named_address(&self) -> SocketAddr {
        *self.named.lock()
    }

    pub fn set_named_address(&self, address: SocketAddr) {
        *self.named.lock() = address;
    }
}
