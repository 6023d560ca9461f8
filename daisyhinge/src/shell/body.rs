//! A request body that is checked immediately before it is written to the connection.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Check that returns whether the request may still be written.
pub type WriteCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// Error of a request body whose check failed.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum BodyStopped {
    /// the request may no longer be written
    Stopped,
}

impl std::error::Error for BodyStopped {}

/// A complete request body that runs a check before it is written.
///
/// The connection polls the body on its own task, some time after the request was submitted, and
/// flushes nothing before that. A process that was frozen in between therefore detects here that
/// the request is out of date.
pub struct CheckedBody {
    bytes: Option<Bytes>,
    check: Option<WriteCheck>,
}

impl fmt::Debug for CheckedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CheckedBody")
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}

impl CheckedBody {
    /// Creates a body that is written only if `check` returns `true` at that time.
    pub fn new(bytes: Bytes, check: WriteCheck) -> Self {
        Self {
            bytes: Some(bytes),
            check: Some(check),
        }
    }

    /// Creates an empty body without a check.
    pub fn empty() -> Self {
        Self {
            bytes: None,
            check: None,
        }
    }
}

impl Body for CheckedBody {
    type Data = Bytes;
    type Error = BodyStopped;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyStopped>>> {
        let Some(bytes) = self.bytes.take() else {
            return Poll::Ready(None);
        };
        if self.check.as_ref().is_some_and(|check| !check()) {
            return Poll::Ready(Some(Err(BodyStopped::Stopped)));
        }
        // An empty body ends without a data frame.
        Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
