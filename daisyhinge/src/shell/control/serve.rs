//! RPC server for entries and other control VMs on one address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use parking_lot::Mutex;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::ControlShell;
use super::input::DriverInput;
use super::link::{HelloReply, VOTER_PREFACE, VoterLink, VoterLinkClient};
use super::peer::{call_context, connect_voter};
use crate::control::member::VoterId;
use crate::control::message::VoterMessage;
use crate::prelude::*;
use crate::shell::link::ControlLink;
use crate::shell::link_version::{decode_named, encode_named};
use crate::vocabulary::claim::{ClaimReply, ClaimRequest, EndClaimRequest};
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::freshness::{FreshnessReply, FreshnessRequest};
use crate::vocabulary::site::{CommittedSiteChange, SiteChange, SiteState};
use crate::vocabulary::version_one::SiteStateV1;

/// Maximum number of concurrent connections.
const CONNECTIONS_MAX: usize = 8_192;
/// Maximum number of concurrent calls on one connection.
const CALLS_MAX: usize = 1_024;
/// Timeout for the first byte of a connection.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a relayed claim.
const RELAY_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a relayed freshness proof: well below the lease duration, so that the entry has time
/// to try another control VM.
const RELAY_FRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// RPC server of a control process.
#[derive(Clone, Debug)]
pub(super) struct ControlServer {
    shell: ControlShell,
    relay: Arc<Mutex<Option<LeaderLink>>>,
}

/// Connection to the leader for relayed calls.
#[derive(Clone, Debug)]
struct LeaderLink {
    address: SocketAddr,
    client: VoterLinkClient,
}

impl ControlServer {
    pub(super) fn new(shell: ControlShell) -> Self {
        Self {
            shell,
            relay: Arc::default(),
        }
    }

    pub(super) async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        let mut connections = JoinSet::new();
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            while connections.try_join_next().is_some() {}
            let server = self.clone();
            connections.spawn(async move {
                server.serve_connection(stream).await;
                drop(permit);
            });
        }
    }

    async fn serve_connection(self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut first = [0];
        let peeked = tokio::time::timeout(PREFACE_TIMEOUT, stream.peek(&mut first)).await;
        if peeked.ok()?.ok()? == 0 {
            return None;
        }
        if first[0] == VOTER_PREFACE[0] {
            let mut preface = [0; VOTER_PREFACE.len()];
            stream.read_exact(&mut preface).await.ok()?;
            if preface != VOTER_PREFACE {
                return None;
            }
            let transport = Transport::from((stream, Bincode::default()));
            let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(CALLS_MAX);
            run_calls(channel.execute(VoterLink::serve(self))).await;
        } else {
            let transport = Transport::from((stream, Bincode::default()));
            let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(CALLS_MAX);
            run_calls(channel.execute(ControlLink::serve(self))).await;
        }
        Some(())
    }

    /// Connection to the leader, if another VM leads; reused while the leader stays the same.
    async fn open_relay(&self) -> Option<VoterLinkClient> {
        let address = self.shell.find_leader().await?;
        let cached = self.relay.lock().clone();
        if let Some(link) = cached.filter(|link| link.address == address) {
            return Some(link.client);
        }
        let client = connect_voter(address).await?;
        *self.relay.lock() = Some(LeaderLink {
            address,
            client: client.clone(),
        });
        Some(client)
    }

    fn drop_relay(&self) {
        *self.relay.lock() = None;
    }
}

/// Runs the calls of one connection concurrently and aborts them when the connection closes.
async fn run_calls<F: Future<Output = ()> + Send + 'static>(
    calls: impl futures::Stream<Item = F> + Send,
) {
    let mut calls = std::pin::pin!(calls);
    let mut running = JoinSet::new();
    while let Some(call) = calls.next().await {
        running.spawn(call);
        while running.try_join_next().is_some() {}
    }
}

impl ControlLink for ControlServer {
    async fn fresh(self, _: Context, request: FreshnessRequest) -> FreshnessReply {
        let reply = self.shell.fresh(request.clone()).await;
        if reply != Err(ResultCode::NotLeader) {
            return reply;
        }
        let Some(relay) = self.open_relay().await else {
            return Err(ResultCode::NotLeader);
        };
        let sent = Instant::now();
        let Ok(reply) = relay
            .relay_fresh(call_context(RELAY_FRESH_TIMEOUT), request)
            .await
        else {
            self.drop_relay();
            return Err(ResultCode::NotLeader);
        };
        // The proof was made after the relayed call was sent, so the elapsed time is an upper
        // bound of its additional age.
        reply.map(|mut proof| {
            proof.age_us = proof
                .age_us
                .saturating_add(duration_to_micros(sent.elapsed()));
            proof
        })
    }

    async fn claim(self, _: Context, request: ClaimRequest) -> ClaimReply {
        let reply = self.shell.claim(request.clone()).await;
        if reply != ClaimReply::Refused(ResultCode::NotLeader) {
            return reply;
        }
        let Some(relay) = self.open_relay().await else {
            return reply;
        };
        let Ok(reply) = relay
            .relay_claim(call_context(RELAY_TIMEOUT), request)
            .await
        else {
            self.drop_relay();
            return ClaimReply::Refused(ResultCode::NoQuorum);
        };
        reply
    }

    async fn end_claim(self, _: Context, end: EndClaimRequest) -> bool {
        if self.shell.end_claim(end.clone()).await {
            return true;
        }
        let Some(relay) = self.open_relay().await else {
            return false;
        };
        let Ok(recorded) = relay
            .relay_end_claim(call_context(RELAY_TIMEOUT), end)
            .await
        else {
            self.drop_relay();
            return false;
        };
        recorded
    }
}

impl VoterLink for ControlServer {
    async fn hello(self, _: Context) -> HelloReply {
        let status = self.shell.status().await;
        HelloReply {
            id: self.shell.id().clone(),
            // A voter with an unknown status must not be considered empty.
            initialised: status.is_none_or(|status| status.commit > 0),
        }
    }

    async fn deliver(
        self,
        _: Context,
        from: VoterId,
        address: SocketAddr,
        messages: Vec<VoterMessage>,
    ) {
        let input = DriverInput::Delivered {
            from,
            address,
            messages,
        };
        // The driver ends only when the shell stops.
        let _: Result<(), _> = self.shell.inputs.send(input).await;
    }

    async fn relay_fresh(self, _: Context, request: FreshnessRequest) -> FreshnessReply {
        self.shell.fresh(request).await
    }

    async fn relay_claim(self, _: Context, request: ClaimRequest) -> ClaimReply {
        self.shell.claim(request).await
    }

    async fn relay_end_claim(self, _: Context, end: EndClaimRequest) -> bool {
        self.shell.end_claim(end).await
    }

    async fn join(self, _: Context, id: VoterId, address: SocketAddr) -> Option<SocketAddr> {
        let leader = self.shell.find_leader().await;
        if leader.is_none() {
            let input = DriverInput::JoinRequest { id, address };
            // The driver ends only when the shell stops.
            let _: Result<(), _> = self.shell.inputs.send(input).await;
        }
        leader
    }

    async fn relay_site(
        self,
        _: Context,
        change: SiteChange,
    ) -> Result<CommittedSiteChange, ResultCode> {
        self.shell.change_site_locally(change).await
    }

    async fn relay_read_site(self, _: Context) -> Result<SiteStateV1, ResultCode> {
        let state = self.shell.read_site_locally().await?;
        Ok(SiteState::clone(&state).into())
    }

    async fn relay_read_state(self, _: Context) -> Result<Bytes, ResultCode> {
        let state = self.shell.read_site_locally().await?;
        Ok(encode_named(&*state))
    }

    async fn relay_change(
        self,
        _: Context,
        change: Bytes,
    ) -> Result<CommittedSiteChange, ResultCode> {
        let change = decode_named(&change).ok_or(ResultCode::MalformedRequest)?;
        self.shell.change_site_locally(change).await
    }
}
