//! Framed and serialised messages over TCP for RPC between processes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Serialize, de::DeserializeOwned};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum size of a message between processes, in bytes.
pub const FRAME_MAX_BYTES: usize = 16 << 20;

/// Transport that receives `Item` and sends `SinkItem`.
pub type LinkTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Wraps a connection in a transport with length-delimited frames.
pub fn wrap_stream<Item, SinkItem>(stream: TcpStream) -> LinkTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let _nodelay_result = stream.set_nodelay(true);
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_framed(stream);
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// Opens a connection; `None` if it fails or is not open within `timeout`.
pub async fn connect_link<Item, SinkItem>(
    address: SocketAddr,
    timeout: Duration,
) -> Option<LinkTransport<Item, SinkItem>>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    Some(wrap_stream(stream))
}
