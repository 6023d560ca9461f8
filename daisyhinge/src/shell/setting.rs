//! Reading of the settings file at startup.

use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;

use crate::prelude::*;
use crate::setting::SETTINGS_MAX_BYTES;
use crate::vocabulary::field_error::FieldError;

/// Exit code of a program whose settings, document or arguments are invalid.
pub const EXIT_BAD_INPUT: u8 = 2;

/// Reads the file at `path` and validates it with `check`, such as
/// [`check_entry_settings`](crate::setting::check_entry_settings).
///
/// # Errors
///
/// All errors of the file, or a single one if the file could not be read.
pub fn read_settings<T>(
    path: &Path,
    check: impl FnOnce(&[u8]) -> Result<T, Vec<FieldError>>,
) -> Result<T, Vec<FieldError>> {
    let text = read_bounded(path, SETTINGS_MAX_BYTES).map_err(|error| {
        let detail = format!("{}: {error}", path.display());
        vec![FieldError::new("$", ResultCode::StorageFailed, detail)]
    })?;
    check(&text)
}

/// Reads a file up to one byte beyond `max_bytes`, so that a later check of its size detects a file
/// that is too large.
///
/// # Errors
///
/// I/O errors of opening and reading the file.
pub fn read_bounded(path: &Path, max_bytes: usize) -> std::io::Result<Vec<u8>> {
    let mut text = Vec::new();
    let bound = u64::try_from(max_bytes)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    File::open(path)?.take(bound).read_to_end(&mut text)?;
    Ok(text)
}

/// Writes each error to standard error, on its own line with the path and the number of the error.
pub fn print_errors(path: &Path, errors: &[FieldError]) {
    let mut stderr = std::io::stderr().lock();
    for error in errors {
        // If standard error is closed, only the exit code reports the error.
        let _ = writeln!(stderr, "{}: {error}", path.display());
    }
}
