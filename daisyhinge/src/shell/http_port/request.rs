//! Reads request bodies.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::prelude::*;
use crate::shell::intake::body::{BodyLimits, receive_body};
use crate::shell::intake::connection::ClientConnection;

/// Timeout for receiving the body of a request.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for a body that does not move.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the body, of at most `max_bytes`, of a request to an [`HttpPort`](super::HttpPort).
///
/// # Errors
///
/// [`ResultCode::BodyTooLarge`], [`ResultCode::MalformedRequest`] if the body ends early,
/// [`ResultCode::BodyTimeout`] if it takes longer than [`BODY_TIMEOUT`] or does not move,
/// [`ResultCode::MemoryShort`] if there is no memory for it.
pub async fn read_body(
    mut request: Request<Incoming>,
    max_bytes: usize,
) -> Result<Bytes, ResultCode> {
    let client = request.extensions_mut().remove::<Arc<ClientConnection>>();
    let client = client.ok_or(ResultCode::MalformedRequest)?;
    let limits = BodyLimits {
        max_bytes,
        deadline: Instant::now() + BODY_TIMEOUT,
        stall_timeout: STALL_TIMEOUT,
    };
    receive_body(&client, request.into_body(), limits).await
}
