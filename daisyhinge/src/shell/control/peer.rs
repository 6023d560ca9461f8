//! Client connections to other control VMs.

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

/// Timeout for opening a connection to another control VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a call to another control VM.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before reconnecting after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay before reconnecting after another identity answered.
const IDENTITY_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of queued messages; further ones are dropped, and the voter sends them again.
pub(super) const PEER_QUEUE_MAX: usize = 64;
/// Size of the messages in one call at which no further ones are added, in bytes.
const CALL_MAX_BYTES: usize = 2 << 20;

/// Connects to another control VM; `None` if that fails or takes longer than [`CONNECT_TIMEOUT`].
pub(super) async fn connect_voter(address: SocketAddr) -> Option<VoterLinkClient> {
    let connect = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(&VOTER_PREFACE).await.ok()?;
        let transport = Transport::from((stream, Bincode::default()));
        Some(VoterLinkClient::new(client::Config::default(), transport).spawn())
    };
    timeout(CONNECT_TIMEOUT, connect).await.ok()?
}

/// Context whose deadline is `duration` from now.
pub(super) fn call_context(duration: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + duration;
    context
}

/// Fetches the identity and state of the voter at `address`.
pub(super) async fn fetch_hello(address: SocketAddr) -> Option<HelloReply> {
    let client = connect_voter(address).await?;
    client.hello(call_context(CALL_TIMEOUT)).await.ok()
}

/// Fetches the identity of the voter at `address`.
pub(super) async fn fetch_identity(address: SocketAddr) -> Option<VoterId> {
    fetch_hello(address).await.map(|reply| reply.id)
}

/// Task that sends messages to one voter at one address, in order, until the queue is closed.
pub(super) struct PeerSender {
    /// Identity of the sender.
    pub id: VoterId,
    /// Address of the sender.
    pub address: SocketAddr,
    /// Identity of the receiver.
    pub peer: VoterId,
    /// Address of the receiver.
    pub peer_address: SocketAddr,
    /// Queue of the driver, which is notified when another identity answers.
    pub inputs: mpsc::Sender<DriverInput>,
}

impl PeerSender {
    pub(super) async fn run(self, mut queue: mpsc::Receiver<VoterMessage>) {
        // Connects in advance, because the first message may decide an election.
        let mut client = self.connect().await;
        while let Some(first) = queue.recv().await {
            if client.is_none() {
                client = self.connect().await;
                if client.is_none() {
                    // The queued messages are out of date by now.
                    while queue.try_recv().is_ok() {}
                    continue;
                }
            }
            let messages = drain_queue(first, &mut queue);
            if let Some(connected) = &client {
                let call = connected.deliver(
                    call_context(CALL_TIMEOUT),
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
            tokio::time::sleep(RETRY_DELAY).await;
            return None;
        };
        let Ok(reply) = client.hello(call_context(CALL_TIMEOUT)).await else {
            tokio::time::sleep(RETRY_DELAY).await;
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
        tokio::time::sleep(IDENTITY_RETRY_DELAY).await;
        None
    }
}

fn drain_queue(first: VoterMessage, queue: &mut mpsc::Receiver<VoterMessage>) -> Vec<VoterMessage> {
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
        VoterBody::Append(append) => append
            .entries
            .iter()
            .map(|entry| entry.payload.size_bytes())
            .sum(),
        VoterBody::SnapshotPart(part) => part.bytes.len(),
        _ => 64,
    }
}
