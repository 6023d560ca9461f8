//! The entry process: answers callers, runs the keepers of its replicas and polls control.

pub mod control_pool;
pub mod entry_metrics;
pub mod http_server;
pub mod keeper;
pub mod keeper_table;
pub mod peer_pool;
pub mod peer_server;
pub mod polling;
pub mod progress;
pub mod query_parser;
pub mod response;
pub mod search_driver;
mod search_metrics;
pub mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::metric::EntryMetrics;
use crate::prelude::*;
use crate::shell::intake::accept::bind_clients;
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::freshness::LEASE_DURATION;
use crate::vocabulary::setting::EntrySettings;
use state::{EntryPhase, EntryState, EventSink};

/// Interval at which shutdown checks for remaining work.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handle to a running entry. Its tasks run until [`Self::shutdown`] or [`Self::stop`] is called.
#[derive(Debug)]
pub struct EntryShell {
    state: Arc<EntryState>,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryShell {
    /// Binds the addresses of `settings` (port 0 selects a free port) and starts the tasks of the
    /// entry.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if an address cannot be bound.
    pub async fn spawn(
        mut settings: EntrySettings,
        metrics: EntryMetrics,
        event_sink: EventSink,
    ) -> Result<Self, ResultCode> {
        let callers = bind_clients(settings.caller_address)?;
        settings.caller_address = local_address(&callers)?;
        let peers = TcpListener::bind(settings.peer_address).await;
        let peers = peers.map_err(|_err| ResultCode::BindFailed)?;
        settings.peer_address = local_address(&peers)?;
        let state = Arc::new(EntryState::new(settings, metrics, event_sink));
        let tasks = vec![
            tokio::spawn(http_server::serve_callers(Arc::clone(&state), callers)),
            tokio::spawn(peer_server::serve_peers(Arc::clone(&state), peers)),
            tokio::spawn(polling::poll_control(Arc::clone(&state))),
            tokio::spawn(polling::poll_tables(Arc::clone(&state))),
            tokio::spawn(keeper::tick_keepers(Arc::clone(&state))),
            tokio::spawn(entry_metrics::refresh_gauges(Arc::clone(&state))),
        ];
        Ok(Self { state, tasks })
    }

    /// Bound address for callers and backend servers.
    pub fn caller_address(&self) -> SocketAddr {
        self.state.settings.caller_address
    }

    /// Bound address for other entries.
    pub fn peer_address(&self) -> SocketAddr {
        self.state.settings.peer_address
    }

    /// State shared by the tasks of the entry.
    pub fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Shuts down gracefully: the entry is no longer offered to callers and releases its replicas,
    /// but answers callers until their cached addresses of this entry have expired and running
    /// requests are complete, at most for `shutdown_max_ms`.
    pub async fn shutdown(self) {
        let limits = self.state.settings.limits;
        self.state.set_phase(EntryPhase::Leaving);
        self.state
            .record_event(EventDraft::new(EventKind::ShutdownStarted));
        let started = tokio::time::Instant::now();
        let max_wait = Duration::from_millis(limits.shutdown_max_ms);
        // Other entries offer this address until they adopt the view in which it leaves or lose
        // their lease, and a caller that received it at the last moment caches it for the full TTL.
        let min_wait = self.state.address_ttl() + LEASE_DURATION;
        loop {
            let waited = started.elapsed();
            let drained = self.state.is_released() && self.state.running_count() == 0;
            if waited >= max_wait || (drained && waited >= min_wait) {
                break;
            }
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        self.state.set_phase(EntryPhase::Closed);
        self.state
            .wait_connections(SHUTDOWN_POLL_INTERVAL * 50)
            .await;
        self.state
            .record_event(EventDraft::new(EventKind::ShutdownEnded));
        self.stop().await;
    }

    /// Stops immediately without a graceful shutdown, like a crash.
    pub async fn stop(self) {
        self.state.stopped.store(true, Ordering::Release);
        for task in &self.tasks {
            task.abort();
        }
        join_all(self.tasks).await;
    }
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, ResultCode> {
    listener.local_addr().map_err(|_err| ResultCode::BindFailed)
}
