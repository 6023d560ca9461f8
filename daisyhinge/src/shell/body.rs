//! A request body that is asked for at the very moment of writing.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Says whether the request may still be written.
pub type WriteCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// The request was not to be written any more.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum BodyStopped {
    /// the request may not be written any more
    Stopped,
}

impl std::error::Error for BodyStopped {}

/// A whole body. The connection takes it on its own task, some time after the request was handed
/// over, and nothing is flushed before: a process that was frozen in between finds out here.
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
    /// A body that is written only if `check` still says so.
    pub fn new(bytes: Bytes, check: WriteCheck) -> Self {
        Self {
            bytes: Some(bytes),
            check: Some(check),
        }
    }

    /// An empty body that is written in any case.
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
        // An empty frame tells nothing; the end does.
        Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
