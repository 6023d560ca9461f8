//! Operations on the data folder and faults found in it.

use std::fmt;

use bytes::Bytes;

use crate::prelude::*;

/// One operation on the data folder. Names are relative to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DiskOp {
    /// Adds bytes at the end of a file; makes the file if it is missing.
    Append {
        /// The file.
        file: String,
        /// What is added.
        bytes: Vec<u8>,
    },
    /// Cuts a file to a length in bytes.
    Cut {
        /// The file.
        file: String,
        /// Its new length, in bytes.
        length: u64,
    },
    /// Makes the contents of a file last.
    SyncFile(String),
    /// Makes the names in the folder last.
    SyncFolder,
    /// Renames a file over any other.
    Rename {
        /// The present name.
        from: String,
        /// The new name.
        to: String,
    },
    /// Removes a file, if it is there.
    Remove(String),
}

/// A file of the data folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredFile {
    /// Its name.
    pub name: String,
    /// Its contents.
    pub bytes: Bytes,
}

/// Why the data folder can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreFault {
    /// The code.
    pub code: ResultCode,
    /// The file, if one is at fault.
    pub file: String,
    /// Where in the file, in bytes.
    pub offset: u64,
    /// What to do.
    pub advice: &'static str,
}

impl fmt::Display for StoreFault {
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

impl std::error::Error for StoreFault {}

pub(super) const ADVICE_DAMAGED: &str = "the disk damaged what was synced; keep a copy of the \
     folder, then empty it and start again: the VM learns everything from the other control VMs \
     under a new identity. With a quorum damaged, restore the folders from the same copy first";
pub(super) const ADVICE_MISMATCH: &str =
    "point the setting `data_folder` at this VM's own folder, or at an empty one";
