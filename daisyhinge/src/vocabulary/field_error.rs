//! Errors found in a settings file, an environment document or a query.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// An error in untrusted input.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FieldError {
    /// JSON path of the value, such as `$.services[2].name`; `$` is the entire document.
    pub path: String,
    /// Result code that classifies the error.
    pub code: ResultCode,
    /// Description of the value found and the values allowed.
    pub detail: String,
}

impl FieldError {
    /// Creates an error at `path`.
    pub fn new(path: impl Into<String>, code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            code,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} {}: {}",
            self.path,
            self.code.number(),
            self.code,
            self.detail
        )
    }
}

impl std::error::Error for FieldError {}
