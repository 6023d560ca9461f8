//! The operators' token.

use std::fmt;
use std::path::Path;

use subtle::ConstantTimeEq;

use crate::prelude::*;
use crate::shell::setting::read_bounded;

/// Shortest token, in bytes.
pub const TOKEN_MIN_BYTES: usize = 16;

/// Longest token, in bytes.
pub const TOKEN_MAX_BYTES: usize = 256;

/// The operators' token, never shown.
#[derive(Clone)]
pub struct OperatorToken {
    text: String,
}

impl OperatorToken {
    /// Reads the token from a file; white space around it does not count.
    ///
    /// # Errors
    ///
    /// [`ResultCode::StorageFailed`] if the file cannot be read, [`ResultCode::OutOfRange`] if
    /// the token has not 16 to 256 visible ASCII characters.
    pub fn read(path: &Path) -> Result<Self, ResultCode> {
        let bytes =
            read_bounded(path, TOKEN_MAX_BYTES + 64).map_err(|_error| ResultCode::StorageFailed)?;
        let text = String::from_utf8(bytes).map_err(|_error| ResultCode::OutOfRange)?;
        Self::parse(text.trim())
    }

    /// Takes `text` as the token.
    ///
    /// # Errors
    ///
    /// [`ResultCode::OutOfRange`] if it has not 16 to 256 visible ASCII characters.
    pub fn parse(text: &str) -> Result<Self, ResultCode> {
        let sized = (TOKEN_MIN_BYTES..=TOKEN_MAX_BYTES).contains(&text.len());
        if sized && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            Ok(Self {
                text: text.to_owned(),
            })
        } else {
            Err(ResultCode::OutOfRange)
        }
    }

    /// Whether `shown` is the token, in a time that depends on neither.
    pub fn matches(&self, shown: &[u8]) -> bool {
        let (own, other) = (pad_token(self.text.as_bytes()), pad_token(shown));
        let same_length = self.text.len().ct_eq(&shown.len());
        bool::from(own[..].ct_eq(&other[..]) & same_length)
    }

    /// The token's text, to be sent.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken")
    }
}

/// The start of `text` in a buffer of fixed length, so that comparing never shows the length.
fn pad_token(text: &[u8]) -> [u8; TOKEN_MAX_BYTES] {
    let mut padded = [0; TOKEN_MAX_BYTES];
    let length = text.len().min(TOKEN_MAX_BYTES);
    padded[..length].copy_from_slice(&text[..length]);
    padded
}
