//! The configuration of a deployment as compressed text.
//!
//! Each new configuration is sent to every control process and every entry. It compresses well
//! because it repeats the same names many times.

use std::fmt;
use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::text_digest::TextDigest;

/// Maximum size of the uncompressed text in bytes.
const TEXT_MAX_BYTES: u64 = 64 << 20;

/// A configuration as submitted by an operator.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteDocument {
    /// Version chosen by the operator; the highest version is in force.
    pub version: u64,
    /// Compressed text of the configuration.
    packed: Bytes,
}

impl fmt::Debug for SiteDocument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The text may contain API keys, and compression leaves short texts readable.
        f.debug_struct("SiteDocument")
            .field("version", &self.version)
            .field("compressed_len", &self.packed.len())
            .finish_non_exhaustive()
    }
}

impl SiteDocument {
    /// Compresses the text of a configuration.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail.
    pub fn pack(version: u64, text: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        encoder
            .write_all(text)
            .expect("writing to memory does not fail");
        let packed = encoder.finish().expect("writing to memory does not fail");
        Self {
            version,
            packed: packed.into(),
        }
    }

    /// Decompresses the text of the configuration.
    ///
    /// # Errors
    ///
    /// [`ResultCode::RecordDamaged`] if decompression fails or the text is larger than the limit.
    pub fn unpack(&self) -> Result<Vec<u8>, ResultCode> {
        let mut text = Vec::new();
        let mut decoder = DeflateDecoder::new(&*self.packed).take(TEXT_MAX_BYTES + 1);
        let read = decoder.read_to_end(&mut text);
        match read {
            Ok(length) if length as u64 <= TEXT_MAX_BYTES => Ok(text),
            _ => Err(ResultCode::RecordDamaged),
        }
    }

    /// Returns digest and size of the text; those of an empty text if it cannot be decompressed.
    pub fn digest(&self) -> TextDigest {
        self.unpack()
            .map_or_else(|_error| TextDigest::default(), |text| TextDigest::of(&text))
    }

    /// Returns the compressed size in bytes.
    pub fn compressed_len(&self) -> usize {
        self.packed.len()
    }
}
