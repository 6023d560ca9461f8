//! A fake backend server: one replica that announces itself, processes sub-requests in a bounded
//! number of slots, records its activity, and simulates the failures of a real server.

pub mod answer;
pub mod fault;
pub mod record;
pub mod settings;

mod announce;
mod core;
mod listen;
mod plan;
mod shared;
mod task;
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
pub use crate::server::settings::{FakeSettings, SHARD_WEIGHT, build_snapshot};
use crate::server::shared::ServerShared;

/// A running fake backend server, stopped when the handle is dropped.
#[derive(Debug)]
pub struct FakeServer {
    shared: Arc<ServerShared>,
}

impl FakeServer {
    /// Starts a server, and its announcements if entries are configured.
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
            .map_err(|_no_address| ResultCode::BindFailed)?;
        let shared = Arc::new(ServerShared::new(settings, address));
        tokio::spawn(listen::run_listener(Arc::clone(&shared), listener));
        if !shared.settings.entries.is_empty() {
            tokio::spawn(announce::run_announcer(Arc::clone(&shared)));
        }
        Ok(Self { shared })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Settings that the server was started with.
    pub fn settings(&self) -> &FakeSettings {
        &self.shared.settings
    }

    /// Name of the replica that the server hosts.
    pub fn replica(&self) -> &ReplicaName {
        &self.shared.settings.replica
    }

    /// Returns a copy of the activity record: counters since the start, and arrivals.
    pub fn record(&self) -> FakeRecord {
        self.shared.core.lock().record.clone()
    }

    /// Current incarnation of the server.
    pub fn incarnation(&self) -> IncarnationNumber {
        self.shared.core.lock().incarnation
    }

    /// Last reply to an announcement, possibly a refusal; `None` before the first reply.
    pub fn last_reply(&self) -> Option<AnnounceReply> {
        self.shared.last_reply()
    }

    /// Sets the address that announcements state, such as that of a relay in front of the server.
    pub fn announce_address(&self, address: SocketAddr) {
        self.shared.set_announced_address(address);
        self.announce_now();
    }

    /// Changes the injected faults; a cold state is started by [`Self::turn_cold`] instead.
    pub fn change_faults(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.shared.core.lock().faults);
        self.announce_now();
    }

    /// Makes the server cold: slow, and with a small capacity, until it has answered enough
    /// sub-requests.
    pub fn turn_cold(&self, settings: ColdSettings) {
        self.shared.core.lock().turn_cold(settings);
        self.announce_now();
    }

    /// Replaces the stored snapshots, newest first, as in a roll or for a new partition.
    pub fn set_snapshots(&self, snapshots: Vec<ReplicaSnapshot>) {
        self.shared.core.lock().snapshots = snapshots;
        self.announce_now();
    }

    /// Rolls to `newer`: keeps the current newest snapshot next to it for `overlap`, then drops it.
    pub fn roll(&self, newer: ReplicaSnapshot, overlap: Duration) {
        let older = self.shared.core.lock().snapshots.first().copied();
        self.set_snapshots(std::iter::once(newer).chain(older).collect());
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            tokio::time::sleep(overlap).await;
            shared
                .core
                .lock()
                .snapshots
                .retain(|stored| stored.snapshot >= newer.snapshot);
            shared.announce.notify_one();
        });
    }

    /// Announces the state `Draining`.
    pub fn drain(&self) {
        self.announce_state(ServerState::Draining);
    }

    /// Sets the announced state and announces it without waiting for the next interval.
    pub fn announce_state(&self, state: ServerState) {
        self.shared.core.lock().state = state;
        self.announce_now();
    }

    /// Announces the departure of the replica, stops announcements and calls [`Self::mark`]; the
    /// server continues to serve. Returns the reply of the entry that accepted the departure, or
    /// `None` if no entry did.
    pub async fn leave(&self) -> Option<AnnounceReply> {
        self.shared.core.lock().has_left = true;
        let reply = announce::send_departure(&self.shared).await;
        self.mark();
        reply
    }

    /// Counts later sub-requests in [`FakeRecord::after_mark`], starting from 0. Called when the
    /// replica should get no further work.
    pub fn mark(&self) {
        listen::set_mark(&self.shared);
    }

    /// Crashes the server; it restarts with a new incarnation after [`FaultSettings::restart_ms`].
    pub fn crash(&self) {
        work::crash_server(&self.shared);
    }

    /// Stops the server permanently: connections are reset and the port is closed.
    pub fn stop(&self) {
        self.shared.stop.cancel();
        self.shared.end_run();
    }

    fn announce_now(&self) {
        self.shared.announce.notify_one();
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.stop();
    }
}
