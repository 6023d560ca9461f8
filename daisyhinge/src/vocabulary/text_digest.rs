//! Digest and size of a configuration's text, by which log lines of several processes are compared.

use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes of the SHA-256 digest that are shown.
const SHOWN_BYTES: usize = 8;

/// Digest and size of a text. Logs show it in place of the text, which may contain API keys.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TextDigest {
    start: [u8; SHOWN_BYTES],
    len: usize,
}

impl TextDigest {
    /// Returns the digest of `text`.
    pub fn of(text: &[u8]) -> Self {
        let digest = Sha256::digest(text);
        let mut start = [0; SHOWN_BYTES];
        start.copy_from_slice(&digest[..SHOWN_BYTES]);
        Self {
            start,
            len: text.len(),
        }
    }
}

impl fmt::Display for TextDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.len == 0 {
            return write!(f, "digest=- bytes=0");
        }
        let digest = u64::from_be_bytes(self.start);
        write!(f, "digest={digest:016x} bytes={}", self.len)
    }
}
