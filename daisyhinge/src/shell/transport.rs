//! Framed, serialised messages over TCP for the calls between processes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Serialize, de::DeserializeOwned};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

/// Longest message between processes, in bytes.
pub const FRAME_MAX_BYTES: usize = 16 << 20;

/// A transport that receives `Item` and sends `SinkItem`.
pub type LinkTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Wraps a connection.
pub fn wrap_stream<Item, SinkItem>(stream: TcpStream) -> LinkTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let _delay_is_advisory = stream.set_nodelay(true);
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_framed(stream);
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// Connects, or gives `None` after `longest`.
pub async fn connect_link<Item, SinkItem>(
    address: SocketAddr,
    longest: Duration,
) -> Option<LinkTransport<Item, SinkItem>>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let stream = tokio::time::timeout(longest, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    Some(wrap_stream(stream))
}
