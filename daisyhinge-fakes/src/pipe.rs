//! A TCP relay that simulates a network link: it delays bytes, freezes them, or disconnects the
//! link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::prelude::*;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// Size of the read buffer, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Chunks in flight in each direction of one connection.
const CHUNKS_MAX: usize = 64;

/// Settings of a simulated link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PipeSettings {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Address to connect to.
    pub target: SocketAddr,
    /// One-way latency, in microseconds; timers round it up to the next millisecond or so.
    #[serde(default)]
    pub one_way_us: u64,
}

/// Current state of a simulated link.
#[derive(Clone, Copy, Debug)]
struct PipeState {
    one_way: Duration,
    frozen: bool,
}

/// A running simulated link, stopped when the handle is dropped.
#[derive(Debug)]
pub struct TcpPipe {
    address: SocketAddr,
    shared: Arc<PipeShared>,
}

#[derive(Debug)]
struct PipeShared {
    target: SocketAddr,
    state: watch::Sender<PipeState>,
    /// Cancels the open connections; replaced at each disconnection.
    connections: Mutex<CancellationToken>,
    disconnected: Mutex<bool>,
    stop: CancellationToken,
}

/// Bytes with the time at which they are delivered to the other end.
#[derive(Debug)]
struct TimedChunk {
    deliver_at: Instant,
    bytes: Vec<u8>,
}

impl TcpPipe {
    /// Starts a simulated link.
    ///
    /// # Errors
    ///
    /// `BindFailed` if the address is in use.
    pub async fn spawn(settings: PipeSettings) -> Result<Self, ResultCode> {
        let listener = TcpListener::bind(settings.address)
            .await
            .map_err(|_in_use| ResultCode::BindFailed)?;
        let address = listener
            .local_addr()
            .map_err(|_no_address| ResultCode::BindFailed)?;
        let one_way = Duration::from_micros(settings.one_way_us);
        let shared = Arc::new(PipeShared {
            target: settings.target,
            state: watch::Sender::new(PipeState {
                one_way,
                frozen: false,
            }),
            connections: Mutex::new(CancellationToken::new()),
            disconnected: Mutex::new(false),
            stop: CancellationToken::new(),
        });
        tokio::spawn(run_pipe(Arc::clone(&shared), listener));
        Ok(Self { address, shared })
    }

    /// Address that the link listens on, with the actual port if the settings state port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the one-way latency of bytes read after this call.
    pub fn set_latency(&self, one_way: Duration) {
        self.shared
            .state
            .send_modify(|state| state.one_way = one_way);
    }

    /// Withholds all bytes while `frozen`; connections stay open.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.state.send_modify(|state| state.frozen = frozen);
    }

    /// Resets all connections and, while `disconnected`, each new one.
    pub fn set_disconnected(&self, disconnected: bool) {
        *self.shared.disconnected.lock() = disconnected;
        if disconnected {
            let mut connections = self.shared.connections.lock();
            connections.cancel();
            *connections = CancellationToken::new();
        }
    }
}

impl Drop for TcpPipe {
    fn drop(&mut self) {
        self.set_disconnected(true);
        self.shared.stop.cancel();
    }
}

async fn run_pipe(shared: Arc<PipeShared>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _peer)) = accepted {
            drop(stream.set_zero_linger());
            if !*shared.disconnected.lock() {
                tokio::spawn(relay_connection(Arc::clone(&shared), stream));
            }
        }
    }
}

async fn relay_connection(shared: Arc<PipeShared>, downstream: TcpStream) {
    let end = shared.connections.lock().clone();
    let Ok(upstream) = TcpStream::connect(shared.target).await else {
        return;
    };
    drop((
        downstream.set_nodelay(true),
        upstream.set_nodelay(true),
        upstream.set_zero_linger(),
    ));
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let outbound = relay_bytes(shared.state.subscribe(), downstream_read, upstream_write);
    let inbound = relay_bytes(shared.state.subscribe(), upstream_read, downstream_write);
    tokio::select! {
        () = end.cancelled() => {}
        ((), ()) = async { tokio::join!(outbound, inbound) } => {}
    }
}

async fn relay_bytes(state: watch::Receiver<PipeState>, from: OwnedReadHalf, to: OwnedWriteHalf) {
    let (sender, receiver) = mpsc::channel(CHUNKS_MAX);
    tokio::join!(
        read_chunks(state.clone(), from, sender),
        write_chunks(state, receiver, to)
    );
}

async fn read_chunks(
    state: watch::Receiver<PipeState>,
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<TimedChunk>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let deliver_at = Instant::now() + state.borrow().one_way;
        let chunk = TimedChunk {
            deliver_at,
            bytes: buffer[..length].to_vec(),
        };
        if sender.send(chunk).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut state: watch::Receiver<PipeState>,
    mut receiver: mpsc::Receiver<TimedChunk>,
    mut to: OwnedWriteHalf,
) {
    while let Some(chunk) = receiver.recv().await {
        sleep_until(chunk.deliver_at).await;
        if state.wait_for(|state| !state.frozen).await.is_err()
            || to.write_all(&chunk.bytes).await.is_err()
        {
            return;
        }
    }
    drop(to.shutdown().await);
}
