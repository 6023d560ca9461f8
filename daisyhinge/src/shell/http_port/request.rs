//! Reads request bodies.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::prelude::*;

/// Timeout for receiving the body of a request.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a body of at most `max_bytes`.
///
/// # Errors
///
/// [`ResultCode::BodyTooLarge`], or [`ResultCode::MalformedRequest`] if the body ends early or
/// takes longer than [`BODY_TIMEOUT`].
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, ResultCode> {
    let collected = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect())
        .await
        .map_err(|_elapsed| ResultCode::MalformedRequest)?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ResultCode::BodyTooLarge),
        Err(_error) => Err(ResultCode::MalformedRequest),
    }
}
