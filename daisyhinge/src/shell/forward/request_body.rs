//! The body of a caller's request.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::state::ForwardState;
use crate::prelude::*;
use crate::shell::line_budget::LineClass;
use crate::vocabulary::site::SiteRoute;

/// Reads a caller's body to its end, at most until a planned stop answers the last requests.
///
/// # Errors
/// [`ResultCode::BodyTooLarge`] beyond `limit` bytes, [`ResultCode::MalformedRequest`] if it ends
/// early or cannot be decoded, [`ResultCode::ShuttingDown`] if the entry stops before its end.
pub(super) async fn receive_body(
    state: &ForwardState,
    route: &SiteRoute,
    id: &str,
    body: Incoming,
    limit: usize,
) -> Result<Bytes, ResultCode> {
    let received = tokio::select! {
        biased;
        received = read_body(body, limit) => received,
        () = state.answers_due() => Err(ResultCode::ShuttingDown),
    };
    received.inspect_err(|code| {
        state.log.log_line(LineClass::Request, || {
            format!(
                "event=body_refused request={id} route={} code={} body_max_bytes={limit}",
                route.name,
                code.number()
            )
        });
    })
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, ResultCode> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ResultCode::BodyTooLarge),
        Err(_error) => Err(ResultCode::MalformedRequest),
    }
}
