//! Connections to other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tarpc::client::Config;
use tarpc::context::Context;

use crate::prelude::*;
use crate::shell::link::PeerLinkClient;
use crate::shell::transport::connect_link;
use crate::vocabulary::announcement::{AnnounceReply, ReplicaAnnouncement, ReplicaDeparture};
use crate::vocabulary::replica::{TableDelta, TableRequest};
use crate::vocabulary::subrequest::{SubRefusal, SubReply, SubRequest};

/// Longest wait for a connection to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a reply about tables and announcements.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Calls in flight on one connection at most.
pub(super) const CALLS_MAX: usize = 4_096;

/// One multiplexed connection to each other entry, opened when first needed.
#[derive(Debug, Default)]
pub struct PeerPool {
    links: Mutex<HashMap<SocketAddr, PeerLinkClient>>,
}

impl PeerPool {
    async fn link(&self, address: SocketAddr) -> Option<PeerLinkClient> {
        if let Some(link) = self.links.lock().get(&address) {
            return Some(link.clone());
        }
        let transport = connect_link(address, CONNECT_TIMEOUT).await?;
        let mut config = Config::default();
        config.max_in_flight_requests = CALLS_MAX;
        config.pending_request_buffer = CALLS_MAX;
        let link = PeerLinkClient::new(config, transport).spawn();
        Some(self.links.lock().entry(address).or_insert(link).clone())
    }

    fn forget(&self, address: SocketAddr) {
        self.links.lock().remove(&address);
    }

    /// Runs a sub-request at the keeper behind `address`. Dropping the future cancels it there.
    ///
    /// # Errors
    ///
    /// The keeper's refusal, or [`ResultCode::KeeperUnreachable`].
    pub async fn run(&self, address: SocketAddr, ask: SubRequest) -> SubReply {
        let failed = |run| SubRefusal::with_run(ResultCode::KeeperUnreachable, run);
        let Some(link) = self.link(address).await else {
            return Err(failed(RunState::NotRun));
        };
        let left = Duration::from_micros(ask.expires_us);
        match link.run(context_for(left), ask).await {
            Ok(reply) => reply,
            Err(tarpc::client::RpcError::DeadlineExceeded) => Err(SubRefusal {
                code: ResultCode::SubRequestExpired,
                ..failed(RunState::Unknown)
            }),
            Err(_) => {
                self.forget(address);
                Err(failed(RunState::Unknown))
            }
        }
    }

    /// Forwards an announcement.
    pub async fn announce(
        &self,
        address: SocketAddr,
        announcement: ReplicaAnnouncement,
    ) -> Option<AnnounceReply> {
        let link = self.link(address).await?;
        let reply = link.announce(context_for(CALL_TIMEOUT), announcement).await;
        self.keep_or_forget(address, reply)
    }

    /// Forwards a leave.
    pub async fn leave(
        &self,
        address: SocketAddr,
        leave: ReplicaDeparture,
    ) -> Option<AnnounceReply> {
        let link = self.link(address).await?;
        let reply = link.leave(context_for(CALL_TIMEOUT), leave).await;
        self.keep_or_forget(address, reply)
    }

    /// Asks for what changed in a keeper's table.
    pub async fn table(&self, address: SocketAddr, ask: TableRequest) -> Option<TableDelta> {
        let link = self.link(address).await?;
        let reply = link.table(context_for(CALL_TIMEOUT), ask).await;
        self.keep_or_forget(address, reply)
    }

    fn keep_or_forget<T>(
        &self,
        address: SocketAddr,
        reply: Result<T, tarpc::client::RpcError>,
    ) -> Option<T> {
        if let Ok(reply) = reply {
            Some(reply)
        } else {
            self.forget(address);
            None
        }
    }
}

fn context_for(left: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + left;
    context
}
