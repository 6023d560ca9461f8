//! The encoding of commands and of the book in the log.

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};

use crate::control::core::StateCodec;

/// The encoding that control processes use.
pub const STATE_CODEC: StateCodec = StateCodec {
    encode_command: encode,
    decode_command: decode,
    encode_state: encode,
    decode_state: decode,
};

/// Encodes `value`.
///
/// # Panics
/// If its type can't be encoded, which is a fault of the program.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    pin!(Bincode::<(), T>::default())
        .serialize(value)
        .expect("types of the log encode")
}

/// Decodes a value; unset if the bytes are not one.
pub fn decode<T: DeserializeOwned>(bytes: &Bytes) -> Option<T> {
    let bytes = BytesMut::from(bytes.as_ref());
    pin!(Bincode::<T, ()>::default()).deserialize(&bytes).ok()
}
