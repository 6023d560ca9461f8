//! A bounded list of errors.

use crate::prelude::*;
use crate::vocabulary::field_error::FieldError;

/// Maximum number of errors reported for one document. The first errors are enough to start fixing
/// it.
pub const ERRORS_MAX: usize = 200;

/// Collects errors while a document is checked.
#[derive(Clone, Debug, Default)]
pub struct ErrorList {
    errors: Vec<FieldError>,
}

impl ErrorList {
    /// Adds an error, unless the list is full.
    pub fn add(&mut self, path: impl Into<String>, code: ResultCode, detail: impl Into<String>) {
        if self.errors.len() < ERRORS_MAX {
            self.errors.push(FieldError::new(path, code, detail));
        }
    }

    /// Returns the result of `value` if no errors were collected.
    ///
    /// # Errors
    ///
    /// The collected errors in the order in which they were added, or the error returned by
    /// `value`.
    pub fn finish<T>(
        self,
        value: impl FnOnce() -> Result<T, FieldError>,
    ) -> Result<T, Vec<FieldError>> {
        if self.errors.is_empty() {
            value().map_err(|error| vec![error])
        } else {
            Err(self.errors)
        }
    }
}
