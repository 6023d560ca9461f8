//! Data folder on disk.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use super::ControlError;
use crate::control::store::{DiskOp, OpenedStore, StoredFile, open_store};
use crate::prelude::*;

const LOCK_FILE: &str = "lock";
const OWN_PREFIXES: [&str; 3] = ["identity", "log-", "snapshot"];

/// Open data folder, locked against other processes.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
    /// Name and handle of the file that was last appended to.
    appended: Option<(String, File)>,
}

impl DataFolder {
    /// Opens the data folder of `vm`, creates it if it is missing, and reads its files. A new
    /// folder gets the identity number `number`. Segments grow to about `segment_bytes`.
    ///
    /// # Errors
    /// [`ResultCode::FolderInUse`], [`ResultCode::FolderMismatch`],
    /// [`ResultCode::RecordDamaged`] or [`ResultCode::StorageFailed`].
    pub fn open(
        path: &Path,
        vm: &VmName,
        number: u64,
        segment_bytes: u64,
    ) -> Result<(Self, OpenedStore), ControlError> {
        create_folder(path).map_err(|error| storage_error(path, &error))?;
        let lock = lock_folder(path)?;
        let mut folder = Self {
            path: path.to_owned(),
            _lock: lock,
            appended: None,
        };
        let files = folder.read().map_err(|error| storage_error(path, &error))?;
        let opened =
            open_store(vm, number, segment_bytes, &files).map_err(|error| ControlError {
                code: error.code,
                detail: format!(
                    "{}, byte {}: {}",
                    path.join(&error.file).display(),
                    error.offset,
                    error.advice
                ),
            })?;
        folder.run_all(&opened.ops)?;
        Ok((folder, opened))
    }

    fn read(&self) -> io::Result<Vec<StoredFile>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if OWN_PREFIXES.iter().any(|prefix| name.starts_with(prefix)) {
                let bytes = fs::read(entry.path())?.into();
                files.push(StoredFile { name, bytes });
            }
        }
        Ok(files)
    }

    /// Performs `ops` in order.
    ///
    /// # Errors
    /// [`ResultCode::StorageFailed`]. It is then unknown what was written, and the process must
    /// exit.
    pub fn run_all(&mut self, ops: &[DiskOp]) -> Result<(), ControlError> {
        ops.iter()
            .try_for_each(|op| self.run(op))
            .map_err(|error| storage_error(&self.path, &error))
    }

    fn run(&mut self, op: &DiskOp) -> io::Result<()> {
        match op {
            DiskOp::Append { file, bytes } => self.open_appended(file)?.write_all(bytes),
            DiskOp::Truncate { file, length } => {
                let file = OpenOptions::new().write(true).open(self.path.join(file))?;
                file.set_len(*length)
            }
            DiskOp::SyncFile(file) => self.open_appended(file)?.sync_data(),
            DiskOp::SyncFolder => File::open(&self.path)?.sync_all(),
            DiskOp::Rename { from, to } => {
                self.appended = None;
                fs::rename(self.path.join(from), self.path.join(to))
            }
            DiskOp::Remove(file) => {
                self.appended = None;
                match fs::remove_file(self.path.join(file)) {
                    Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
                    result => result,
                }
            }
        }
    }

    fn open_appended(&mut self, name: &str) -> io::Result<&mut File> {
        let opened = match self.appended.take() {
            Some((open_name, file)) if open_name == name => (open_name, file),
            _ => {
                let path = self.path.join(name);
                let file = OpenOptions::new().append(true).create(true).open(path)?;
                (name.to_owned(), file)
            }
        };
        Ok(&mut self.appended.insert(opened).1)
    }
}

/// Creates the folder and syncs its parent, so that the new directory entry is durable.
fn create_folder(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(path)?;
    match path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
    {
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}

fn lock_folder(path: &Path) -> Result<File, ControlError> {
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path.join(LOCK_FILE))
        .map_err(|error| storage_error(path, &error))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(ControlError {
            code: ResultCode::FolderInUse,
            detail: format!("{}: stop the other process first", path.display()),
        }),
        Err(TryLockError::Error(error)) => Err(storage_error(path, &error)),
    }
}

fn storage_error(path: &Path, error: &io::Error) -> ControlError {
    ControlError {
        code: ResultCode::StorageFailed,
        detail: format!(
            "{}: {error}; check the disk and the file permissions, then restart",
            path.display()
        ),
    }
}
