//! A deployment's configuration as text, compressed.
//!
//! A configuration is sent to every control process and every entry each time it changes, and
//! repeats the same names many times.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Largest text, in bytes.
const TEXT_MAX_BYTES: u64 = 64 << 20;

/// A configuration as an operator sent it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteDocument {
    /// Its version, which the operator chose; the highest one is in force.
    pub version: u64,
    /// The text that was sent, compressed.
    packed: Bytes,
}

impl SiteDocument {
    /// Compresses a text.
    ///
    /// # Panics
    /// Never: writing to memory does not fail.
    pub fn pack(version: u64, text: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        encoder.write_all(text).expect("memory takes all bytes");
        let packed = encoder.finish().expect("memory takes all bytes");
        Self {
            version,
            packed: packed.into(),
        }
    }

    /// The text that was sent.
    ///
    /// # Errors
    /// [`ResultCode::RecordDamaged`] if it can't be had again, or is longer than any that is taken.
    pub fn unpack(&self) -> Result<Vec<u8>, ResultCode> {
        let mut text = Vec::new();
        let mut decoder = DeflateDecoder::new(&*self.packed).take(TEXT_MAX_BYTES + 1);
        let read = decoder.read_to_end(&mut text);
        match read {
            Ok(length) if length as u64 <= TEXT_MAX_BYTES => Ok(text),
            _ => Err(ResultCode::RecordDamaged),
        }
    }

    /// Bytes that it takes.
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
