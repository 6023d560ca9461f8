//! A fake backend server: one replica that announces itself, works on sub-requests in a bounded
//! number of slots, keeps its own records, and fails in all the ways that a real one does.

pub mod answer;
pub mod fault;
pub mod record;
pub mod settings;

mod announce;
mod core;
mod listen;
mod plan;
mod share;
mod sub;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{AnnounceReply, ReplicaSnapshot, ServerState};
use tokio::net::TcpListener;

pub use crate::server::answer::EchoPayload;
pub(crate) use crate::server::core::read_wall_us;
pub use crate::server::fault::{ColdSettings, DamageKind, FaultSettings};
pub use crate::server::record::{FakeRecord, SubRecord};
pub use crate::server::settings::{FakeSettings, SHARD_WEIGHT, hold_snapshot};
use crate::server::share::FakeShare;

/// A running fake backend server. It stops when the handle is dropped.
#[derive(Debug)]
pub struct FakeServer {
    share: Arc<FakeShare>,
}

impl FakeServer {
    /// Starts a server and its announcements.
    ///
    /// # Errors
    ///
    /// `BindFailed` if the address is in use.
    pub async fn spawn(settings: FakeSettings) -> Result<Self, ResultCode> {
        let listener = TcpListener::bind(settings.address)
            .await
            .map_err(|_in_use| ResultCode::BindFailed)?;
        let address = listener
            .local_addr()
            .map_err(|_gone| ResultCode::BindFailed)?;
        let share = Arc::new(FakeShare::new(settings, address));
        tokio::spawn(listen::run_listener(Arc::clone(&share), listener));
        if !share.settings.entries.is_empty() {
            tokio::spawn(announce::run_announcer(Arc::clone(&share)));
        }
        Ok(Self { share })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.share.address
    }

    /// Its settings at the start.
    pub fn settings(&self) -> &FakeSettings {
        &self.share.settings
    }

    /// The replica that it holds.
    pub fn replica(&self) -> &ReplicaName {
        &self.share.settings.replica
    }

    /// A copy of its records.
    pub fn record(&self) -> FakeRecord {
        self.share.core.lock().record.clone()
    }

    /// Its incarnation now.
    pub fn incarnation(&self) -> IncarnationNumber {
        self.share.core.lock().incarnation
    }

    /// The last reply to an announcement.
    pub fn last_reply(&self) -> Option<AnnounceReply> {
        self.share.last_reply()
    }

    /// Names another address in announcements from now on, such as that of a pipe before it.
    pub fn name_address(&self, address: SocketAddr) {
        self.share.set_named_address(address);
        self.announce_now();
    }

    /// Changes faults; a cold state begins with [`Self::turn_cold`], not here.
    pub fn change_faults(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.share.core.lock().faults);
        self.announce_now();
    }

    /// Turns it cold now.
    pub fn turn_cold(&self, settings: ColdSettings) {
        self.share.core.lock().turn_cold(settings);
        self.announce_now();
    }

    /// Holds `snapshots` from now on, newest first: a roll or a new partition.
    pub fn hold(&self, snapshots: Vec<ReplicaSnapshot>) {
        self.share.core.lock().snapshots = snapshots;
        self.announce_now();
    }

    /// Holds `newer` beside the newest one that it holds, and only `newer` after `overlap`.
    pub fn roll(&self, newer: ReplicaSnapshot, overlap: Duration) {
        let older = self.share.core.lock().snapshots.first().copied();
        self.hold(std::iter::once(newer).chain(older).collect());
        let share = Arc::clone(&self.share);
        tokio::spawn(async move {
            tokio::time::sleep(overlap).await;
            share
                .core
                .lock()
                .snapshots
                .retain(|held| held.snapshot >= newer.snapshot);
            share.announce.notify_one();
        });
    }

    /// Announces that it drains.
    pub fn drain(&self) {
        self.announce_state(ServerState::Draining);
    }

    /// Announces `state` from now on.
    pub fn announce_state(&self, state: ServerState) {
        self.share.core.lock().state = state;
        self.announce_now();
    }

    /// Says that it leaves, stops its announcements and sets the mark; it goes on to serve.
    pub async fn leave(&self) -> Option<AnnounceReply> {
        self.share.core.lock().left = true;
        let reply = announce::send_leave(&self.share).await;
        self.mark();
        reply
    }

    /// Counts sub-requests from now on as after the mark.
    pub fn mark(&self) {
        listen::set_mark(&self.share);
    }

    /// Crashes it now; it restarts with a new incarnation after the pause of its faults.
    pub fn crash(&self) {
        work::crash_server(&self.share);
    }

    /// Ends it for good: connections are reset and the port is closed.
    pub fn stop(&self) {
        self.share.stop.cancel();
        self.share.end_life();
    }

    fn announce_now(&self) {
        self.share.announce.notify_one();
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.stop();
    }
}
