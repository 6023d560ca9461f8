//! Versions of the links to control processes, and the handshake that selects one.
//!
//! Version 1 has no handshake and encodes with bincode by field order, so both ends must know
//! exactly the same fields. Version 2 encodes with `MessagePack` and field names, so that builds with
//! different fields can talk. The client sends [`LINK_PREAMBLE`] with the versions that it supports,
//! and the server answers likewise. A server that knows only version 1 takes the preamble for the
//! length of a frame above its limit and closes the connection.

use std::borrow::Cow;
use std::io::{self, Read, Write};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// First bytes of both directions of a handshake. Read as the length of a frame of version 1, they
/// exceed the limit of 8 MiB, and no such frame starts with the same byte.
pub const LINK_PREAMBLE: [u8; 8] = *b"dhlink\r\n";
/// Size of a handshake message: the preamble, then the lowest and the highest supported version,
/// big endian.
const HELLO_BYTES: usize = LINK_PREAMBLE.len() + 4;
/// First byte of every frame of version 1, since frames are limited to 8 MiB.
const FRAME_FIRST_BYTE: u8 = 0;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for the answer to a handshake, the same as for a short call: a process that needs longer
/// could not serve the caller either.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// Handshakes that end with the connection before the server counts as one without it. A single one
/// may have been ended by a process that stopped or had too many connections.
const HELLO_ATTEMPTS: u32 = 2;
/// Timeout for the first bytes of an accepted connection.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Version of a link.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u16)]
pub enum LinkVersion {
    /// Bincode by field order.
    Ordered = 1,
    /// `MessagePack` with field names.
    Named = 2,
}

/// Range of link versions that a process supports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionRange {
    /// Lowest supported version.
    pub lowest: u16,
    /// Highest supported version.
    pub highest: u16,
}

impl VersionRange {
    /// Versions that this build supports.
    pub const SUPPORTED: Self = Self {
        lowest: LinkVersion::Ordered as u16,
        highest: LinkVersion::Named as u16,
    };

    /// Returns the highest version that this build shares with a process that supports `self`;
    /// `None` if there is none.
    pub fn select(self) -> Option<LinkVersion> {
        let shared = self.highest.min(Self::SUPPORTED.highest);
        match shared {
            _ if shared < self.lowest => None,
            1 => Some(LinkVersion::Ordered),
            2 => Some(LinkVersion::Named),
            _ => None,
        }
    }

    fn encode(self) -> [u8; HELLO_BYTES] {
        let mut hello = [0; HELLO_BYTES];
        let (preamble, range) = hello.split_at_mut(LINK_PREAMBLE.len());
        preamble.copy_from_slice(&LINK_PREAMBLE);
        range[..2].copy_from_slice(&self.lowest.to_be_bytes());
        range[2..].copy_from_slice(&self.highest.to_be_bytes());
        hello
    }

    fn decode(hello: [u8; HELLO_BYTES]) -> Option<Self> {
        let range = hello.strip_prefix(&LINK_PREAMBLE)?;
        Some(Self {
            lowest: u16::from_be_bytes([range[0], range[1]]),
            highest: u16::from_be_bytes([range[2], range[3]]),
        })
    }
}

/// Opens a connection to the process at `address` and selects the link version. `None` if the
/// process cannot be reached, does not answer in time or shares no version.
///
/// Every new connection starts with the handshake again, since the process may have been upgraded.
pub async fn open_link(address: SocketAddr) -> Option<(TcpStream, LinkVersion)> {
    for _ in 0..HELLO_ATTEMPTS {
        let mut stream = connect(address).await?;
        let hello = timeout(HELLO_TIMEOUT, exchange_hello(&mut stream)).await;
        if let Ok(range) = hello.ok()? {
            return Some((stream, range?.select()?));
        }
    }
    // A server without the handshake closes the connection.
    Some((connect(address).await?, LinkVersion::Ordered))
}

/// Selects the link version of an accepted connection; `None` if it is closed, sends neither a
/// handshake nor a frame, or shares no version.
pub async fn accept_link(stream: &mut TcpStream) -> Option<LinkVersion> {
    let version = timeout(ACCEPT_TIMEOUT, answer_hello(stream)).await;
    version.ok()?.ok()?
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Returns the versions that the other side supports; `None` if its answer is no handshake.
async fn exchange_hello(stream: &mut TcpStream) -> io::Result<Option<VersionRange>> {
    stream.write_all(&VersionRange::SUPPORTED.encode()).await?;
    read_hello(stream).await
}

async fn answer_hello(stream: &mut TcpStream) -> io::Result<Option<LinkVersion>> {
    let mut first = [0];
    if stream.peek(&mut first).await? == 0 {
        return Ok(None);
    }
    if first[0] == FRAME_FIRST_BYTE {
        return Ok(Some(LinkVersion::Ordered));
    }
    let Some(range) = read_hello(stream).await? else {
        return Ok(None);
    };
    stream.write_all(&VersionRange::SUPPORTED.encode()).await?;
    Ok(range.select())
}

async fn read_hello(stream: &mut TcpStream) -> io::Result<Option<VersionRange>> {
    let mut hello = [0; HELLO_BYTES];
    stream.read_exact(&mut hello).await?;
    Ok(VersionRange::decode(hello))
}

/// First byte of a message of [`LinkVersion::Named`] that is not compressed.
const PLAIN_MARK: u8 = 0;
/// First byte of a compressed message.
const PACKED_MARK: u8 = 1;
/// Size from which messages are compressed. Field names repeat with each record, and links cross
/// regions.
const PACKED_MIN_BYTES: usize = 200;
/// Maximum size of a decompressed message.
const MESSAGE_MAX_BYTES: u64 = 64 << 20;

/// Codec of [`LinkVersion::Named`]. Fields that the receiver does not know are ignored; fields that
/// it misses need a default.
#[derive(Debug)]
pub struct NamedFormat<Item, SinkItem>(PhantomData<fn(SinkItem) -> Item>);

impl<Item, SinkItem> Default for NamedFormat<Item, SinkItem> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<Item: DeserializeOwned, SinkItem> Deserializer<Item> for NamedFormat<Item, SinkItem> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<Item> {
        let (mark, message) = src.split_first().ok_or(io::ErrorKind::InvalidData)?;
        let message = match *mark {
            PLAIN_MARK => Cow::Borrowed(message),
            PACKED_MARK => Cow::Owned(unpack(message)?),
            _ => return Err(io::ErrorKind::InvalidData.into()),
        };
        rmp_serde::from_slice(&message)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

impl<Item, SinkItem: Serialize> Serializer<SinkItem> for NamedFormat<Item, SinkItem> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &SinkItem) -> io::Result<Bytes> {
        let message = rmp_serde::to_vec_named(item)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        if message.len() < PACKED_MIN_BYTES {
            let mut plain = Vec::with_capacity(message.len() + 1);
            plain.push(PLAIN_MARK);
            plain.extend_from_slice(&message);
            return Ok(plain.into());
        }
        let mut encoder = DeflateEncoder::new(vec![PACKED_MARK], Compression::fast());
        encoder.write_all(&message)?;
        Ok(encoder.finish()?.into())
    }
}

/// Decompresses a message.
///
/// # Errors
/// If it is damaged or larger than [`MESSAGE_MAX_BYTES`].
fn unpack(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut message = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(MESSAGE_MAX_BYTES + 1);
    let length = decoder.read_to_end(&mut message)?;
    if length as u64 > MESSAGE_MAX_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(message)
}

/// Encodes a value with field names.
///
/// # Panics
/// If the type can't be encoded, which is a bug.
pub fn encode_named<T: Serialize>(value: &T) -> Bytes {
    let encoded = rmp_serde::to_vec_named(value);
    encoded.expect("stored types can be encoded").into()
}

/// Decodes a value with field names; `None` if the bytes are invalid.
pub fn decode_named<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}
