//! The entry process: takes callers' requests, keeps replicas, follows control.

pub mod answering;
pub mod control_pool;
mod counting;
pub mod driving;
pub mod following;
pub mod keeping;
pub mod keeping_table;
pub mod metering;
pub mod peer_pool;
pub mod peering;
pub mod progress;
pub mod querying;
pub mod serving;
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
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::freshness::LEASE_DURATION;
use crate::vocabulary::setting::EntrySettings;
use state::{EntryPhase, EntryState, NoteSink};

/// How often shutdown looks whether work is left.
const SHUTDOWN_POLL: Duration = Duration::from_millis(20);

/// A running entry.
#[derive(Debug)]
pub struct EntryShell {
    state: Arc<EntryState>,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryShell {
    /// Binds the addresses of `settings` (port 0 takes a free one) and starts to serve.
    ///
    /// # Errors
    ///
    /// [`ResultCode::BindFailed`] if an address cannot be bound.
    pub async fn spawn(
        mut settings: EntrySettings,
        metrics: EntryMetrics,
        note: NoteSink,
    ) -> Result<Self, ResultCode> {
        let callers = bind_listener(&mut settings.caller_address).await?;
        let peers = bind_listener(&mut settings.peer_address).await?;
        let state = Arc::new(EntryState::new(settings, metrics, note));
        let tasks = vec![
            tokio::spawn(serving::serve_callers(Arc::clone(&state), callers)),
            tokio::spawn(peering::serve_peers(Arc::clone(&state), peers)),
            tokio::spawn(following::follow_control(Arc::clone(&state))),
            tokio::spawn(following::follow_tables(Arc::clone(&state))),
            tokio::spawn(keeping::tick_keepers(Arc::clone(&state))),
            tokio::spawn(metering::follow_state(Arc::clone(&state))),
        ];
        Ok(Self { state, tasks })
    }

    /// Where callers and backend servers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.state.settings.caller_address
    }

    /// Where other entries connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.state.settings.peer_address
    }

    /// The shared state, for metrics and progress.
    pub fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Leaves: is named to no caller any more, hands its replicas over, answers callers that
    /// still hold its address for as long as they may keep it, finishes what runs, then stops.
    pub async fn shutdown(self) {
        let limits = self.state.settings.limits;
        self.state.set_phase(EntryPhase::Leaving);
        self.state.note(EventDraft::new(EventKind::ShutdownStarted));
        let started = tokio::time::Instant::now();
        let longest = Duration::from_millis(limits.shutdown_max_ms);
        // Others name this entry until they adopt the view that it leaves in or lose their lease,
        // and a caller that was told its address just then keeps it for the whole keeping time.
        let keep = self.state.address_keep() + LEASE_DURATION;
        loop {
            let waited = started.elapsed();
            let drained = self.state.is_released() && self.state.running_count() == 0;
            if waited >= longest || (drained && waited >= keep) {
                break;
            }
            tokio::time::sleep(SHUTDOWN_POLL).await;
        }
        self.state.set_phase(EntryPhase::Closed);
        self.state.wait_connections(SHUTDOWN_POLL * 50).await;
        self.state.note(EventDraft::new(EventKind::ShutdownEnded));
        self.stop().await;
    }

    /// Stops at once, as a crash would.
    pub async fn stop(self) {
        self.state.stopped.store(true, Ordering::Release);
        for task in &self.tasks {
            task.abort();
        }
        join_all(self.tasks).await;
    }
}

async fn bind_listener(address: &mut SocketAddr) -> Result<TcpListener, ResultCode> {
    let listener = TcpListener::bind(*address)
        .await
        .map_err(|_fault| ResultCode::BindFailed)?;
    *address = listener
        .local_addr()
        .map_err(|_fault| ResultCode::BindFailed)?;
    Ok(listener)
}
