//! Connections to one backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::prelude::*;
use crate::shell::body::CheckedBody;

/// Why no connection could be had. Nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolFault {
    /// All that the backend server accepts are open.
    Full,
    /// The backend server did not accept.
    ConnectFailed,
}

/// Connections to one incarnation of one backend server; never more than it announced.
#[derive(Clone, Debug)]
pub struct ServerPool {
    inner: Arc<PoolInner>,
}

#[derive(Debug)]
struct PoolInner {
    address: SocketAddr,
    incarnation: IncarnationNumber,
    connections_max: u32,
    open: AtomicU32,
    idle: Mutex<Vec<SendRequest<CheckedBody>>>,
}

/// A connection that carries one request at a time. Dropping it closes it, so that a late answer
/// can never be taken for the answer to another request.
#[derive(Debug)]
pub struct ServerConnection {
    /// Sends requests.
    pub sender: SendRequest<CheckedBody>,
    pool: ServerPool,
}

impl ServerPool {
    /// A pool without connections.
    pub fn new(address: SocketAddr, incarnation: IncarnationNumber, connections_max: u32) -> Self {
        let (open, idle) = (AtomicU32::new(0), Mutex::new(Vec::new()));
        let inner = PoolInner {
            address,
            incarnation,
            connections_max,
            open,
            idle,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Whether it is for that backend server as it is now.
    pub fn serves(
        &self,
        address: SocketAddr,
        incarnation: IncarnationNumber,
        connections_max: u32,
    ) -> bool {
        let inner = &self.inner;
        inner.address == address
            && inner.incarnation == incarnation
            && inner.connections_max == connections_max
    }

    /// Where it connects to.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Connections that are open, those being opened included.
    pub fn open_count(&self) -> u32 {
        self.inner.open.load(Ordering::Acquire)
    }

    /// Takes an idle connection.
    pub fn take_idle(&self) -> Option<ServerConnection> {
        let mut idle = self.inner.idle.lock();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(ServerConnection {
                    sender,
                    pool: self.clone(),
                });
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`PoolFault`]; nothing was sent.
    pub async fn connect(&self) -> Result<ServerConnection, PoolFault> {
        let count = CountGuard::take(&self.inner)?;
        let stream = TcpStream::connect(self.inner.address)
            .await
            .map_err(|_fault| PoolFault::ConnectFailed)?;
        let _delay_is_advisory = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_fault| PoolFault::ConnectFailed)?;
        tokio::spawn(async move {
            let _end_is_seen_by_sender = connection.await;
            drop(count);
        });
        Ok(ServerConnection {
            sender,
            pool: self.clone(),
        })
    }
}

impl ServerConnection {
    /// Puts the connection back after a whole, matching answer was read from it.
    pub fn give_back(self) {
        let Self { sender, pool } = self;
        pool.inner.idle.lock().push(sender);
    }
}

#[derive(Debug)]
struct CountGuard {
    inner: Arc<PoolInner>,
}

impl CountGuard {
    fn take(inner: &Arc<PoolInner>) -> Result<Self, PoolFault> {
        let raise = |open: u32| (open < inner.connections_max).then_some(open + 1);
        match inner
            .open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, raise)
        {
            Ok(_) => Ok(Self {
                inner: Arc::clone(inner),
            }),
            Err(_) => Err(PoolFault::Full),
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.inner.open.fetch_sub(1, Ordering::AcqRel);
    }
}
