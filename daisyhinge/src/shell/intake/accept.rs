//! Listening and accepting for ports that clients reach.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};

use super::connection::ClientGuard;
use super::stream::ClientStream;
use super::{CHECK_INTERVAL, ClientPort};
use crate::intake::process_limits::RECEIVE_BUFFER_BYTES;
use crate::prelude::*;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Delay before the next accept after a failed one, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens on `address`. Connections have small receive buffers, so that what arrives beyond a running
/// request stays at its client.
///
/// # Errors
/// [`ResultCode::BindFailed`] if the address cannot be bound.
pub fn bind_clients(address: SocketAddr) -> Result<TcpListener, ResultCode> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|_error: std::io::Error| ResultCode::BindFailed)
}

/// Accepts the next connection that is admitted. Meanwhile cuts off clients that have not read anything
/// of an answer for `unread_timeout`.
pub async fn accept_client(
    listener: &TcpListener,
    port: &ClientPort,
    unread_timeout: impl Fn() -> Duration,
) -> (ClientStream, ClientGuard) {
    loop {
        let accepted = tokio::time::timeout(CHECK_INTERVAL, listener.accept()).await;
        // Also after an accept: others may connect all the time.
        port.review_unread(unread_timeout());
        let Ok(accepted) = accepted else {
            continue;
        };
        let Ok((stream, _peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Some(guard) = port.admit().await {
            // Without TCP_NODELAY the connection is slower but works.
            drop(stream.set_nodelay(true));
            let stream = ClientStream::open(stream, Arc::clone(guard.connection()));
            return (stream, guard);
        }
    }
}
