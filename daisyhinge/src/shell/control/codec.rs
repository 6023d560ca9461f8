//! Encoding of commands and of the replicated state in the log.

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};

use crate::control::core::StateCodec;

/// Encoding used by control processes.
pub const STATE_CODEC: StateCodec = StateCodec {
    encode_command: encode,
    decode_command: decode,
    encode_state: encode,
    decode_state: decode,
};

/// Encodes a value with bincode.
///
/// # Panics
/// If the type can't be encoded, which is a bug.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    pin!(Bincode::<(), T>::default())
        .serialize(value)
        .expect("log types can be encoded")
}

/// Decodes a value; `None` if the bytes are invalid.
pub fn decode<T: DeserializeOwned>(bytes: &Bytes) -> Option<T> {
    let bytes = BytesMut::from(bytes.as_ref());
    pin!(Bincode::<T, ()>::default()).deserialize(&bytes).ok()
}
