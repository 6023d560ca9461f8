//! How the deployment's state reaches all processes: configuration, replicas and entries.
//!
//! Whoever follows keeps one question open, which is answered as soon as something changed, or
//! after a while without; the answer carries only what changed. Control processes follow one
//! another, entries follow the control process nearest to them.
//!
//! The registry's lock is held across no await.

pub mod follow;
pub mod gossip;
pub mod serve;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::vocabulary::registration::{SyncReply, SyncRequest};

/// Longest wait for a connection.
const CONNECT_SPAN: Duration = Duration::from_millis(200);

/// Calls that a control process takes from entries and other control processes.
#[tarpc::service]
pub trait SiteLink {
    /// Tells what changed.
    async fn sync(ask: SyncRequest) -> SyncReply;
}

/// Opens a connection to the control process at `address`.
async fn connect_site(address: SocketAddr) -> Option<SiteLinkClient> {
    let stream = timeout(CONNECT_SPAN, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let transport = Transport::from((stream, Bincode::default()));
    Some(SiteLinkClient::new(client::Config::default(), transport).spawn())
}

fn call_context(span: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + span;
    context
}
