//! Holds answers until their clients have read them.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::http::response::Parts;

use super::connection::{ClientConnection, ClientHold};
use crate::prelude::*;

/// Size up to which an answer is part of what every connection may need, in bytes.
const SMALL_REPLY_BYTES: usize = 4 << 10;

/// Attributes the memory of a reply to its connection until the client has read it.
///
/// # Errors
/// [`ResultCode::MemoryShort`] if there is no memory for it.
pub async fn hold_reply(
    connection: &Arc<ClientConnection>,
    reply: Response<Full<Bytes>>,
) -> Result<Response<Full<Bytes>>, ResultCode> {
    let (head, body) = take_body(reply).await;
    let mut hold = connection.hold();
    if body.len() > SMALL_REPLY_BYTES && !hold.extend_to(body.len()).await {
        return Err(ResultCode::MemoryShort);
    }
    Ok(join_held(head, body, hold))
}

/// Like [`hold_reply`], for an answer that must be sent whatever memory there is. Others give way.
pub async fn charge_answer(
    connection: &Arc<ClientConnection>,
    answer: Response<Full<Bytes>>,
) -> Response<Full<Bytes>> {
    let (head, body) = take_body(answer).await;
    let mut hold = connection.hold();
    if body.len() > SMALL_REPLY_BYTES {
        hold.charge(body.len()).await;
    }
    join_held(head, body, hold)
}

/// Lets the memory of an answer, which another lease accounts for, be released when its connection is
/// cut off.
pub async fn tie_answer(
    connection: &Arc<ClientConnection>,
    answer: Response<Full<Bytes>>,
) -> Response<Full<Bytes>> {
    let (head, body) = take_body(answer).await;
    let mut hold = connection.hold();
    hold.record_held(body.len());
    join_held(head, body, hold)
}

async fn take_body(reply: Response<Full<Bytes>>) -> (Parts, Bytes) {
    let (head, body) = reply.into_parts();
    // The body is one piece that is there already.
    let Ok(body) = body.collect().await;
    (head, body.to_bytes())
}

fn join_held(head: Parts, body: Bytes, hold: ClientHold) -> Response<Full<Bytes>> {
    let body = if body.len() > SMALL_REPLY_BYTES {
        Bytes::from_owner(HeldReply { body, _hold: hold })
    } else {
        body
    };
    Response::from_parts(head, Full::new(body))
}

struct HeldReply {
    body: Bytes,
    _hold: ClientHold,
}

impl AsRef<[u8]> for HeldReply {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
