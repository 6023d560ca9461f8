//! The stream of a client's connection: reads in small steps, and notices when the client does not
//! read.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection::ClientConnection;

/// Maximum number of bytes read at a time. `hyper` starts with a buffer of one byte more and doubles
/// it after a read that has filled it.
const READ_MAX_BYTES: usize = (8 << 10) - 1;

/// A TCP stream of a client.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    connection: Arc<ClientConnection>,
}

impl ClientStream {
    /// Wraps the stream of a connection.
    pub fn open(stream: TcpStream, connection: Arc<ClientConnection>) -> Self {
        Self { stream, connection }
    }

    /// Returns the address of the client.
    ///
    /// # Errors
    /// Those of the socket.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.connection.record_write(written.is_pending());
        written
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let count = buf.remaining().min(READ_MAX_BYTES);
        let mut step = ReadBuf::new(buf.initialize_unfilled_to(count));
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut step);
        let received = step.filled().len();
        buf.advance(received);
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
