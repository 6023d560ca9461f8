//! Operations on the data folder and errors found in it.

use std::fmt;

use bytes::Bytes;

use crate::prelude::*;

/// An operation on the data folder. File names are relative to the folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DiskOp {
    /// Appends bytes to a file, creating it if necessary.
    Append {
        /// Name of the file to append to.
        file: String,
        /// Bytes to append.
        bytes: Vec<u8>,
    },
    /// Truncates a file.
    Truncate {
        /// Name of the file to truncate.
        file: String,
        /// Length after the operation, in bytes.
        length: u64,
    },
    /// Syncs the contents of a file to disk.
    SyncFile(String),
    /// Syncs the folder's file names to disk.
    SyncFolder,
    /// Renames a file, replacing any file with the new name.
    Rename {
        /// Current name of the file.
        from: String,
        /// New name of the file.
        to: String,
    },
    /// Removes a file if it exists.
    Remove(String),
}

/// A file of the data folder, as read at start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredFile {
    /// Name of the file.
    pub name: String,
    /// Complete contents of the file.
    pub bytes: Bytes,
}

/// Error that prevents the use of a data folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreError {
    /// Result code that classifies the error.
    pub code: ResultCode,
    /// Name of the damaged or foreign file.
    pub file: String,
    /// Offset of the first invalid byte or record in the file, in bytes.
    pub offset: u64,
    /// Action that the operator should take.
    pub advice: &'static str,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} (file {}, byte {}): {}",
            self.code.number(),
            self.code,
            self.file,
            self.offset,
            self.advice
        )
    }
}

impl std::error::Error for StoreError {}

pub(super) const ADVICE_DAMAGED: &str = "synced data is damaged on disk; keep a copy of the \
     folder, then empty it and start again: the VM receives the log from the other control VMs \
     under a new identity. If a quorum is damaged, restore the folders from the same copy first";
pub(super) const ADVICE_MISMATCH: &str =
    "set `data_folder` to this VM's own folder or to an empty one";
