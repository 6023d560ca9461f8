//! The body of a caller's request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::state::{ActiveSite, ForwardState};
use crate::prelude::*;
use crate::shell::intake::body::{BodyLimits, receive_body};
use crate::shell::intake::connection::ClientConnection;
use crate::shell::line_budget::LineClass;
use crate::vocabulary::site::SiteRoute;

/// Receives a caller's body to its end, at most for `time_left` and until a planned stop answers the last
/// requests. After that the caller would not wait for the answer any more.
///
/// # Errors
/// Those of [`receive_body`], and [`ResultCode::ShuttingDown`] if the entry stops before the end.
pub(super) async fn receive_caller_body(
    state: &ForwardState,
    site: &ActiveSite,
    route: &SiteRoute,
    id: &str,
    client: &Arc<ClientConnection>,
    body: Incoming,
    time_left: Duration,
) -> Result<Bytes, ResultCode> {
    let limits = BodyLimits {
        max_bytes: site.limits.body_max_bytes,
        deadline: Instant::now() + time_left,
        stall_timeout: site.limits.idle_timeout,
    };
    let received = tokio::select! {
        biased;
        received = receive_body(client, body, limits) => received,
        () = state.answers_due() => Err(ResultCode::ShuttingDown),
    };
    received.inspect_err(|code| {
        state.log.log_line(LineClass::Request, || {
            format!(
                "event=body_refused request={id} route={} code={} body_max_bytes={}",
                route.name,
                code.number(),
                limits.max_bytes
            )
        });
    })
}
