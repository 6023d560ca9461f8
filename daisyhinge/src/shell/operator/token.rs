//! Operator token.

use std::fmt;
use std::path::Path;

use subtle::ConstantTimeEq;

use crate::prelude::*;
use crate::shell::setting::read_bounded;

/// Minimum length of a token, in bytes.
pub const TOKEN_MIN_BYTES: usize = 16;

/// Maximum length of a token, in bytes.
pub const TOKEN_MAX_BYTES: usize = 256;

/// Operator token; its `Debug` output hides the text.
#[derive(Clone)]
pub struct OperatorToken {
    text: String,
}

impl OperatorToken {
    /// Reads the token from a file; surrounding white space is ignored.
    ///
    /// # Errors
    ///
    /// [`ResultCode::StorageFailed`] if the file cannot be read, [`ResultCode::OutOfRange`] if the
    /// token does not have 16 to 256 visible ASCII characters.
    pub fn read(path: &Path) -> Result<Self, ResultCode> {
        let bytes =
            read_bounded(path, TOKEN_MAX_BYTES + 64).map_err(|_error| ResultCode::StorageFailed)?;
        let text = String::from_utf8(bytes).map_err(|_error| ResultCode::OutOfRange)?;
        Self::parse(text.trim())
    }

    /// Checks the text of a token.
    ///
    /// # Errors
    ///
    /// [`ResultCode::OutOfRange`] if `text` does not have 16 to 256 visible ASCII characters.
    pub fn parse(text: &str) -> Result<Self, ResultCode> {
        let has_valid_length = (TOKEN_MIN_BYTES..=TOKEN_MAX_BYTES).contains(&text.len());
        if has_valid_length && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            Ok(Self {
                text: text.to_owned(),
            })
        } else {
            Err(ResultCode::OutOfRange)
        }
    }

    /// Compares `presented` with the token in constant time.
    pub fn matches(&self, presented: &[u8]) -> bool {
        let (own, other) = (pad_token(self.text.as_bytes()), pad_token(presented));
        let same_length = self.text.len().ct_eq(&presented.len());
        bool::from(own[..].ct_eq(&other[..]) & same_length)
    }

    /// Text of the token, for the `Authorization` header.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken")
    }
}

/// Copies `text`, truncated if necessary, to a buffer of fixed length, so that the time of a
/// comparison does not reveal the length.
fn pad_token(text: &[u8]) -> [u8; TOKEN_MAX_BYTES] {
    let mut padded = [0; TOKEN_MAX_BYTES];
    let length = text.len().min(TOKEN_MAX_BYTES);
    padded[..length].copy_from_slice(&text[..length]);
    padded
}
