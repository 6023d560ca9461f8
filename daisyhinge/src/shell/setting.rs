//! Reads a settings file at start.

use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;

use crate::prelude::*;
use crate::setting::SETTINGS_MAX_BYTES;
use crate::vocabulary::field_error::FieldError;

/// Exit code of a program whose settings, document or arguments are faulty.
pub const EXIT_BAD_INPUT: u8 = 2;

/// Reads the file at `path` and checks it by `check`, such as
/// [`check_entry_settings`](crate::setting::check_entry_settings).
///
/// # Errors
///
/// Every fault of the file at once, or one that says why it could not be read.
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

/// Reads a file, but no more than one byte beyond `max_bytes`, so that a check of its size sees
/// that it is too large.
///
/// # Errors
///
/// Those of opening and reading the file.
pub fn read_bounded(path: &Path, max_bytes: usize) -> std::io::Result<Vec<u8>> {
    let mut text = Vec::new();
    let bound = u64::try_from(max_bytes)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    File::open(path)?.take(bound).read_to_end(&mut text)?;
    Ok(text)
}

/// Writes every fault on a line of its own, with its path and number, to standard error.
pub fn print_faults(path: &Path, faults: &[FieldError]) {
    let mut stderr = std::io::stderr().lock();
    for fault in faults {
        // A closed standard error leaves the exit code to tell.
        let _ = writeln!(stderr, "{}: {fault}", path.display());
    }
}
