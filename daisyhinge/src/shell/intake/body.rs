//! Receives the bodies of clients' requests within the memory of the process.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use super::connection::{ClientConnection, ClientHold};
use crate::intake::held_memory::grow_capacity;
use crate::prelude::*;

/// Bytes that have to arrive for a body to count as moving. A client that sends single bytes stalls.
const STEP_BYTES: usize = 4 << 10;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub max_bytes: usize,
    /// Time by which the whole body must have arrived.
    pub deadline: Instant,
    /// Maximum time without movement.
    pub stall_timeout: Duration,
}

/// Receives a body to its end.
///
/// # Errors
/// [`ResultCode::BodyTooLarge`], [`ResultCode::MalformedRequest`] if it ends early or cannot be decoded,
/// [`ResultCode::BodyTimeout`] if it does not arrive in time, [`ResultCode::MemoryShort`] if there is no
/// memory for it.
pub async fn receive_body(
    connection: &Arc<ClientConnection>,
    body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, ResultCode> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if expected > limits.max_bytes {
        return Err(ResultCode::BodyTooLarge);
    }
    let _receiving = connection.begin_body();
    let buffer = BodyBuffer {
        content: Vec::new(),
        // The size of a body in chunks is not known before its end.
        bytes_max: body
            .size_hint()
            .exact()
            .map_or(limits.max_bytes, |_| expected),
        hold: connection.hold(),
    };
    collect_body(connection, body, limits, buffer).await
}

async fn collect_body(
    connection: &Arc<ClientConnection>,
    mut body: Incoming,
    limits: BodyLimits,
    mut buffer: BodyBuffer,
) -> Result<Bytes, ResultCode> {
    let mut step_at = STEP_BYTES;
    let mut due = limits.deadline.min(Instant::now() + limits.stall_timeout);
    loop {
        let frame = tokio::time::timeout_at(due, body.frame()).await;
        let frame = frame.map_err(|_elapsed| ResultCode::BodyTimeout)?;
        let Some(frame) = frame else {
            return Ok(buffer.into_bytes());
        };
        let frame = frame.map_err(|_error| ResultCode::MalformedRequest)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buffer.content.len() + data.len() > limits.max_bytes {
            return Err(ResultCode::BodyTooLarge);
        }
        buffer.add(data).await?;
        if buffer.content.len() >= step_at {
            step_at = buffer.content.len() + STEP_BYTES;
            connection.record_move();
            due = limits.deadline.min(Instant::now() + limits.stall_timeout);
        }
    }
}

/// The bytes of a body that have arrived, copied from the small pieces in which they came. A piece
/// keeps the buffer into which it was read, however small it is.
struct BodyBuffer {
    content: Vec<u8>,
    /// Maximum size of the body.
    bytes_max: usize,
    hold: ClientHold,
}

impl BodyBuffer {
    async fn add(&mut self, data: &[u8]) -> Result<(), ResultCode> {
        let needed = self.content.len() + data.len();
        if needed > self.content.capacity() {
            let capacity = grow_capacity(self.content.capacity(), needed, self.bytes_max);
            if !self.hold.extend_to(capacity).await {
                return Err(ResultCode::MemoryShort);
            }
            self.content.reserve_exact(capacity - self.content.len());
        }
        self.content.extend_from_slice(data);
        Ok(())
    }

    /// Returns the body. Its memory is released when the last reference to it is dropped.
    fn into_bytes(self) -> Bytes {
        Bytes::from_owner(HeldBody {
            content: self.content,
            _hold: self.hold,
        })
    }
}

struct HeldBody {
    content: Vec<u8>,
    _hold: ClientHold,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
