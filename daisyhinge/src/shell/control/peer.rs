//! Connections to other control VMs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::input::DriverInput;
use super::link::{HelloReply, VOTER_PREFACE, VoterLinkClient};
use crate::control::member::VoterId;
use crate::control::message::{VoterBody, VoterMessage};

/// Longest wait for a connection.
const CONNECT_SPAN: Duration = Duration::from_millis(200);
/// Longest wait for a call.
const CALL_SPAN: Duration = Duration::from_secs(1);
/// Pause after a failure.
const RETRY_SPAN: Duration = Duration::from_millis(50);
/// Pause after another identity answered.
const IDENTITY_RETRY_SPAN: Duration = Duration::from_millis(500);
/// Messages that wait for a connection; more are dropped, and sent again by their sender.
pub(super) const PEER_QUEUE_MAX: usize = 64;
/// Messages in one call, in bytes, unless a single one is larger.
const CALL_MAX_BYTES: usize = 2 << 20;

/// Opens a connection to a control VM.
pub(super) async fn connect_voter(address: SocketAddr) -> Option<VoterLinkClient> {
    let connect = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(&VOTER_PREFACE).await.ok()?;
        let transport = Transport::from((stream, Bincode::default()));
        Some(VoterLinkClient::new(client::Config::default(), transport).spawn())
    };
    timeout(CONNECT_SPAN, connect).await.ok()?
}

/// A context whose deadline is `span` from now.
pub(super) fn call_context(span: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + span;
    context
}

/// Asks who answers at `address`.
pub(super) async fn ask_hello(address: SocketAddr) -> Option<HelloReply> {
    let client = connect_voter(address).await?;
    client.hello(call_context(CALL_SPAN)).await.ok()
}

/// The identity that answers at `address`.
pub(super) async fn ask_identity(address: SocketAddr) -> Option<VoterId> {
    ask_hello(address).await.map(|reply| reply.id)
}

/// Sends messages to one identity at one address, in order, until the queue is closed.
pub(super) struct PeerSender {
    /// The sender itself.
    pub id: VoterId,
    /// Where the sender is reached.
    pub address: SocketAddr,
    /// The receiver.
    pub peer: VoterId,
    /// Where the receiver is reached.
    pub peer_address: SocketAddr,
    /// Told where another identity answers.
    pub inputs: mpsc::Sender<DriverInput>,
}

impl PeerSender {
    pub(super) async fn run(self, mut queue: mpsc::Receiver<VoterMessage>) {
        // The first message, which may decide an election, is not to wait for it.
        let mut client = self.connect().await;
        while let Some(first) = queue.recv().await {
            if client.is_none() {
                client = self.connect().await;
                if client.is_none() {
                    // What has gathered is old by now.
                    while queue.try_recv().is_ok() {}
                    continue;
                }
            }
            let messages = gather(first, &mut queue);
            if let Some(open) = &client {
                let call = open.deliver(
                    call_context(CALL_SPAN),
                    self.id.clone(),
                    self.address,
                    messages,
                );
                if call.await.is_err() {
                    client = None;
                }
            }
        }
    }

    async fn connect(&self) -> Option<VoterLinkClient> {
        let Some(client) = connect_voter(self.peer_address).await else {
            tokio::time::sleep(RETRY_SPAN).await;
            return None;
        };
        let Ok(reply) = client.hello(call_context(CALL_SPAN)).await else {
            tokio::time::sleep(RETRY_SPAN).await;
            return None;
        };
        if reply.id == self.peer {
            return Some(client);
        }
        if reply.id.vm == self.peer.vm {
            let input = DriverInput::IdentityChanged {
                id: reply.id,
                address: self.peer_address,
            };
            self.inputs.send(input).await.ok()?;
        }
        tokio::time::sleep(IDENTITY_RETRY_SPAN).await;
        None
    }
}

fn gather(first: VoterMessage, queue: &mut mpsc::Receiver<VoterMessage>) -> Vec<VoterMessage> {
    let mut bytes = size_bytes(&first);
    let mut messages = vec![first];
    while bytes < CALL_MAX_BYTES
        && let Ok(message) = queue.try_recv()
    {
        bytes += size_bytes(&message);
        messages.push(message);
    }
    messages
}

fn size_bytes(message: &VoterMessage) -> usize {
    match &message.body {
        VoterBody::Append(ask) => ask
            .entries
            .iter()
            .map(|entry| entry.payload.size_bytes())
            .sum(),
        VoterBody::SnapshotPart(part) => part.bytes.len(),
        _ => 64,
    }
}
