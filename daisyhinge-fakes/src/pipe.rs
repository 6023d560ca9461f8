//! A TCP relay that stands for a link: it delays bytes, freezes them, or cuts the link.

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

/// Bytes read at a time.
const CHUNK_BYTES: usize = 16 << 10;
/// Chunks under way in each direction of one connection.
const CHUNKS_MAX: usize = 64;

/// Settings of a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PipeSettings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Where it connects.
    pub target: SocketAddr,
    /// One-way latency, in microseconds; timers round it up to the next millisecond or so.
    #[serde(default)]
    pub one_way_us: u64,
}

/// State of a link.
#[derive(Clone, Copy, Debug)]
struct PipeState {
    one_way: Duration,
    frozen: bool,
}

/// A running link. It ends when the handle is dropped.
#[derive(Debug)]
pub struct TcpPipe {
    address: SocketAddr,
    share: Arc<PipeShare>,
}

#[derive(Debug)]
struct PipeShare {
    target: SocketAddr,
    state: watch::Sender<PipeState>,
    /// Ends the connections of now; replaced by each cut.
    connections: Mutex<CancellationToken>,
    cut: Mutex<bool>,
    stop: CancellationToken,
}

/// Bytes with the time at which they come out at the other end.
#[derive(Debug)]
struct TimedChunk {
    due: Instant,
    bytes: Vec<u8>,
}

impl TcpPipe {
    /// Starts a link.
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
            .map_err(|_gone| ResultCode::BindFailed)?;
        let one_way = Duration::from_micros(settings.one_way_us);
        let share = Arc::new(PipeShare {
            target: settings.target,
            state: watch::Sender::new(PipeState {
                one_way,
                frozen: false,
            }),
            connections: Mutex::new(CancellationToken::new()),
            cut: Mutex::new(false),
            stop: CancellationToken::new(),
        });
        tokio::spawn(run_pipe(Arc::clone(&share), listener));
        Ok(Self { address, share })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the one-way latency of bytes read from now on.
    pub fn delay(&self, one_way: Duration) {
        self.share
            .state
            .send_modify(|state| state.one_way = one_way);
    }

    /// Holds all bytes back while `frozen`; connections stay open.
    pub fn freeze(&self, frozen: bool) {
        self.share.state.send_modify(|state| state.frozen = frozen);
    }

    /// Resets all connections and, while `cut`, each new one.
    pub fn cut(&self, cut: bool) {
        *self.share.cut.lock() = cut;
        if cut {
            let mut connections = self.share.connections.lock();
            connections.cancel();
            *connections = CancellationToken::new();
        }
    }
}

impl Drop for TcpPipe {
    fn drop(&mut self) {
        self.cut(true);
        self.share.stop.cancel();
    }
}

async fn run_pipe(share: Arc<PipeShare>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = share.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _peer)) = accepted {
            drop(stream.set_zero_linger());
            if !*share.cut.lock() {
                tokio::spawn(relay_connection(Arc::clone(&share), stream));
            }
        }
    }
}

async fn relay_connection(share: Arc<PipeShare>, near: TcpStream) {
    let end = share.connections.lock().clone();
    let Ok(far) = TcpStream::connect(share.target).await else {
        return;
    };
    drop((
        near.set_nodelay(true),
        far.set_nodelay(true),
        far.set_zero_linger(),
    ));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forth = relay_bytes(share.state.subscribe(), near_read, far_write);
    let back = relay_bytes(share.state.subscribe(), far_read, near_write);
    tokio::select! {
        () = end.cancelled() => {}
        ((), ()) = async { tokio::join!(forth, back) } => {}
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
        let due = Instant::now() + state.borrow().one_way;
        let chunk = TimedChunk {
            due,
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
        sleep_until(chunk.due).await;
        if state.wait_for(|state| !state.frozen).await.is_err()
            || to.write_all(&chunk.bytes).await.is_err()
        {
            return;
        }
    }
    drop(to.shutdown().await);
}
