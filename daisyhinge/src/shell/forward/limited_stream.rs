//! A connection to a replica that ends if an answer exceeds its maximum size on the wire.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may still be received for the current answer, whatever part of it they belong to:
/// interim answers, headers, body, chunk extensions or trailers.
#[derive(Debug, Default)]
pub(super) struct ReceiveLimit {
    left: AtomicUsize,
    exceeded: AtomicBool,
}

impl ReceiveLimit {
    /// Sets the limit for the next answer.
    pub(super) fn reset(&self, bytes: usize) {
        self.left.store(bytes, Ordering::Relaxed);
    }

    /// Returns whether an answer was larger than its limit.
    pub(super) fn is_exceeded(&self) -> bool {
        self.exceeded.load(Ordering::Relaxed)
    }

    fn record_received(&self, bytes: usize) -> io::Result<()> {
        let left = self.left.load(Ordering::Relaxed);
        let Some(left) = left.checked_sub(bytes) else {
            self.exceeded.store(true, Ordering::Relaxed);
            return Err(io::Error::other("the answer exceeds its maximum size"));
        };
        self.left.store(left, Ordering::Relaxed);
        Ok(())
    }
}

/// A TCP stream with a limit on received bytes.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: Arc<ReceiveLimit>,
}

impl LimitedStream {
    pub(super) fn open(stream: TcpStream, limit: Arc<ReceiveLimit>) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        match read {
            Poll::Ready(Ok(())) => {
                let received = buf.filled().len() - before;
                Poll::Ready(self.limit.record_received(received))
            }
            other => other,
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
