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

/// Timeout for connecting to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of calls about tables, announcements and departures.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of concurrent calls on one connection.
pub(super) const CALLS_MAX: usize = 4_096;

/// One multiplexed connection to each other entry, opened on first use.
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

    fn disconnect(&self, address: SocketAddr) {
        self.links.lock().remove(&address);
    }

    /// Runs a sub-request at the keeper with the given address. Dropping the future cancels the
    /// sub-request at the keeper.
    ///
    /// # Errors
    ///
    /// The keeper's refusal, [`ResultCode::KeeperUnreachable`] or
    /// [`ResultCode::SubRequestExpired`].
    pub async fn run(&self, address: SocketAddr, sub_request: SubRequest) -> SubReply {
        let failed = |run| SubRefusal::with_run(ResultCode::KeeperUnreachable, run);
        let Some(link) = self.link(address).await else {
            return Err(failed(RunState::NotRun));
        };
        let remaining = Duration::from_micros(sub_request.expires_us);
        match link.run(context_for(remaining), sub_request).await {
            Ok(reply) => reply,
            Err(tarpc::client::RpcError::DeadlineExceeded) => Err(SubRefusal {
                code: ResultCode::SubRequestExpired,
                ..failed(RunState::Unknown)
            }),
            Err(_) => {
                self.disconnect(address);
                Err(failed(RunState::Unknown))
            }
        }
    }

    /// Forwards an announcement. Returns `None` if the entry did not reply.
    pub async fn announce(
        &self,
        address: SocketAddr,
        announcement: ReplicaAnnouncement,
    ) -> Option<AnnounceReply> {
        let link = self.link(address).await?;
        let reply = link.announce(context_for(CALL_TIMEOUT), announcement).await;
        self.reply_or_disconnect(address, reply)
    }

    /// Forwards a departure. Returns `None` if the entry did not reply.
    pub async fn leave(
        &self,
        address: SocketAddr,
        departure: ReplicaDeparture,
    ) -> Option<AnnounceReply> {
        let link = self.link(address).await?;
        let reply = link.leave(context_for(CALL_TIMEOUT), departure).await;
        self.reply_or_disconnect(address, reply)
    }

    /// Requests the changes in a keeper's table. Returns `None` if the entry did not reply.
    pub async fn table(&self, address: SocketAddr, request: TableRequest) -> Option<TableDelta> {
        let link = self.link(address).await?;
        let reply = link.table(context_for(CALL_TIMEOUT), request).await;
        self.reply_or_disconnect(address, reply)
    }

    fn reply_or_disconnect<T>(
        &self,
        address: SocketAddr,
        reply: Result<T, tarpc::client::RpcError>,
    ) -> Option<T> {
        if let Ok(reply) = reply {
            Some(reply)
        } else {
            self.disconnect(address);
            None
        }
    }
}

fn context_for(remaining: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + remaining;
    context
}
