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

/// Reason for the failure to obtain a connection. Nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolError {
    /// The connection limit of the backend server is reached.
    Full,
    /// The connection could not be established.
    ConnectFailed,
}

/// Connections to one incarnation of a backend server, up to the limit that it announced.
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

/// A connection that carries one request at a time. It is closed when dropped, so that a late
/// answer cannot be mistaken for the answer to another request.
#[derive(Debug)]
pub struct ServerConnection {
    /// Sender for HTTP requests on this connection.
    pub sender: SendRequest<CheckedBody>,
    pool: ServerPool,
}

impl ServerPool {
    /// Creates a pool that opens its connections on demand.
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

    /// Returns whether the pool was created for this address, incarnation and connection limit.
    pub fn matches(
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

    /// Address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Number of open connections, including those being established.
    pub fn open_count(&self) -> u32 {
        self.inner.open.load(Ordering::Acquire)
    }

    /// Takes an idle connection from the pool.
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
    /// [`PoolError`]. Nothing was sent.
    pub async fn connect(&self) -> Result<ServerConnection, PoolError> {
        let count = OpenConnectionGuard::acquire(&self.inner)?;
        let stream = TcpStream::connect(self.inner.address)
            .await
            .map_err(|_err| PoolError::ConnectFailed)?;
        let _nodelay_is_optional = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_err| PoolError::ConnectFailed)?;
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
    /// Returns the connection to the pool. To be called only after a complete response was read
    /// from it.
    pub fn release(self) {
        let Self { sender, pool } = self;
        pool.inner.idle.lock().push(sender);
    }
}

#[derive(Debug)]
struct OpenConnectionGuard {
    inner: Arc<PoolInner>,
}

impl OpenConnectionGuard {
    fn acquire(inner: &Arc<PoolInner>) -> Result<Self, PoolError> {
        let increment = |open: u32| (open < inner.connections_max).then_some(open + 1);
        match inner
            .open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, increment)
        {
            Ok(_) => Ok(Self {
                inner: Arc::clone(inner),
            }),
            Err(_) => Err(PoolError::Full),
        }
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.inner.open.fetch_sub(1, Ordering::AcqRel);
    }
}
