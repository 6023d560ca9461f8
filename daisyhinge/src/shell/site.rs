//! Distribution of the deployment's state (configuration, replicas and entries) to all processes.
//!
//! A process follows a control process by keeping one long poll open there, and is then called a
//! follower. The poll is answered as soon as something changes, or after a timeout, and the answer
//! contains only the changes. Control processes follow each other; an entry follows the nearest
//! control process.
//!
//! No lock of the registry is held across an await.

pub mod ahead;
mod answer;
pub mod config_text;
pub mod entry_states;
pub mod follow;
pub mod gossip;
pub mod group_log;
mod level;
pub mod publish;
mod reported_usage;
pub mod rollouts;
pub mod serve;
mod shared_address;
pub mod state_log;
mod store_request;
pub mod stored;
mod usage;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use futures::{Stream, StreamExt};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::shell::link_version::{LinkVersion, NamedFormat, accept_link, open_link};
use crate::vocabulary::registration::{SyncReply, SyncRequest};
use crate::vocabulary::version_one::{SyncReplyV1, SyncRequestV1};

/// RPC service of a control process for entries and other control processes.
#[tarpc::service]
pub trait SiteLink {
    /// Returns the changes since the follower's last call.
    async fn sync(request: SyncRequest) -> SyncReply;
}

/// [`SiteLink`] on links of [`LinkVersion::Ordered`]; frozen.
#[tarpc::service]
pub trait SiteLinkV1 {
    /// Returns the changes since the follower's last call.
    async fn sync(request: SyncRequestV1) -> SyncReplyV1;
}

/// Client of a control process, in the link version that both sides support.
#[derive(Clone, Debug)]
enum SiteClient {
    Ordered(SiteLinkV1Client),
    Named(SiteLinkClient),
}

impl SiteClient {
    async fn sync(&self, context: Context, request: SyncRequest) -> Result<SyncReply, RpcError> {
        match self {
            Self::Ordered(client) => {
                let reply = client.sync(context, request.into()).await;
                reply.map(SyncReply::from)
            }
            Self::Named(client) => client.sync(context, request).await,
        }
    }
}

/// Opens a connection to the control process at `address`.
async fn connect_site(address: SocketAddr) -> Option<SiteClient> {
    let (stream, version) = open_link(address).await?;
    let config = client::Config::default();
    Some(match version {
        LinkVersion::Ordered => {
            let transport = Transport::from((stream, Bincode::default()));
            SiteClient::Ordered(SiteLinkV1Client::new(config, transport).spawn())
        }
        LinkVersion::Named => {
            let transport = Transport::from((stream, NamedFormat::default()));
            SiteClient::Named(SiteLinkClient::new(config, transport).spawn())
        }
    })
}

/// Serves an accepted connection in the link version that both sides support, until it ends.
/// Versions below `lowest` are refused by closing the connection.
pub async fn serve_site<H>(handler: H, mut stream: TcpStream, lowest: LinkVersion)
where
    H: Fn(SyncRequest) -> BoxFuture<'static, SyncReply> + Clone + Send + 'static,
{
    let server = SyncServer(handler);
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let version = accept_link(&mut stream).await;
    match version.filter(|version| *version >= lowest) {
        Some(LinkVersion::Ordered) => {
            let transport = Transport::from((stream, Bincode::default()));
            let channel = BaseChannel::with_defaults(transport);
            run_calls(channel.execute(SiteLinkV1::serve(server))).await;
        }
        Some(LinkVersion::Named) => {
            let transport = Transport::from((stream, NamedFormat::default()));
            let channel = BaseChannel::with_defaults(transport);
            run_calls(channel.execute(SiteLink::serve(server))).await;
        }
        None => {}
    }
}

async fn run_calls<F>(calls: impl Stream<Item = F>)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut calls = std::pin::pin!(calls);
    let mut running = JoinSet::new();
    while let Some(call) = calls.next().await {
        running.spawn(call);
        while running.try_join_next().is_some() {}
    }
}

/// Serves every link version with one handler of the current messages.
#[derive(Clone)]
struct SyncServer<H>(H);

impl<H: Fn(SyncRequest) -> BoxFuture<'static, SyncReply>> SiteLink for SyncServer<H> {
    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        (self.0)(request).await
    }
}

impl<H: Fn(SyncRequest) -> BoxFuture<'static, SyncReply>> SiteLinkV1 for SyncServer<H> {
    async fn sync(self, _: Context, request: SyncRequestV1) -> SyncReplyV1 {
        (self.0)(request.into()).await.into()
    }
}

fn call_context(call_timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + call_timeout;
    context
}
