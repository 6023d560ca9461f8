//! Recovery of the log from the data folder at start.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::disk::{ADVICE_DAMAGED, ADVICE_MISMATCH};
use super::{
    DiskOp, IDENTITY_FILE, IDENTITY_TEMP_FILE, LogSegment, SNAPSHOT_TEMP_FILE, StoreError,
    StoreWriter, StoredFile, plan_folder, segment_file, snapshot_file,
};
use crate::control::log::{HardState, LogEntry, LogSnapshot, StoredLog};
use crate::control::member::{VoterId, VoterSet};
use crate::control::record::{
    RecordKind, StoredRecord, decode_entry, find_later_batch, read_record,
};
use crate::prelude::*;

const FOLDER_FORMAT: u32 = 1;

#[derive(Debug, Deserialize, Serialize)]
pub(super) struct FolderIdentity {
    format: u32,
    id: VoterId,
}

impl FolderIdentity {
    pub(super) fn new(id: &VoterId) -> Self {
        Self {
            format: FOLDER_FORMAT,
            id: id.clone(),
        }
    }
}

#[derive(Debug, Deserialize, Serialize)]
pub(super) struct SnapshotHead {
    pub index: u64,
    pub term: u64,
    pub voters: VoterSet,
    pub total: u64,
}

/// Contents of a data folder that was opened at start.
#[derive(Debug)]
pub struct OpenedStore {
    /// Identity stored in the folder.
    pub id: VoterId,
    /// Persistent state read from the folder.
    pub stored: StoredLog,
    /// Plans the file operations of further saves.
    pub writer: StoreWriter,
    /// Operations to run before any other use of the folder.
    pub ops: Vec<DiskOp>,
}

/// Opens the data folder of `vm` from its files. An empty folder is initialised with the identity
/// number `number`. Segments grow to about `segment_bytes`.
///
/// # Errors
/// [`ResultCode::RecordDamaged`] if synced data is damaged, and [`ResultCode::FolderMismatch`] if
/// the folder belongs to another VM or has unknown contents.
pub fn open_store(
    vm: &VmName,
    number: u64,
    segment_bytes: u64,
    files: &[StoredFile],
) -> Result<OpenedStore, StoreError> {
    let Some(identity) = find_file(files, IDENTITY_FILE) else {
        return create_store(vm, number, segment_bytes, files);
    };
    let id = read_identity(vm, identity)?;
    let snapshot = read_newest_snapshot(files)?;
    let mut reader = LogReader::default();
    let mut ops = Vec::new();
    let segments = list_segments(files);
    let count = segments.len();
    for (position, (first_batch, file)) in segments.into_iter().enumerate() {
        if position > 0 && first_batch != reader.batch {
            return Err(damaged(file, 0));
        }
        reader.batch = first_batch;
        reader.read_segment(file, position + 1 == count, &mut ops)?;
    }
    let Some(hard) = reader.hard.take() else {
        // Every folder with an identity has a complete first batch with term and vote.
        return Err(damaged(identity, 0));
    };
    remove_stale(files, &snapshot, &mut ops);
    let mut writer = StoreWriter {
        hard: hard.clone(),
        batch: reader.batch,
        segments: reader.segments,
        snapshot_index: snapshot.index,
        segment_bytes,
    };
    let has_entries = !reader.entries.is_empty();
    let selected = select_entries(reader.entries, &snapshot);
    let selected = selected.map_err(|()| damaged(identity, 0))?;
    if selected.is_none() && has_entries {
        // A crash happened after the snapshot was stored and before the obsolete log was removed.
        writer.plan_segment(snapshot.index, true, &mut ops);
    }
    Ok(OpenedStore {
        id,
        writer,
        stored: StoredLog {
            hard,
            snapshot,
            entries: selected.unwrap_or_default(),
        },
        ops,
    })
}

fn create_store(
    vm: &VmName,
    number: u64,
    segment_bytes: u64,
    files: &[StoredFile],
) -> Result<OpenedStore, StoreError> {
    // A crash during the initialisation of a folder leaves at most the first segment and a
    // temporary file.
    let first = segment_file(1);
    let foreign = files
        .iter()
        .find(|file| file.name != first && file.name != IDENTITY_TEMP_FILE);
    if let Some(file) = foreign {
        return Err(mismatch(file));
    }
    let id = VoterId {
        vm: vm.clone(),
        number,
    };
    let (writer, ops) = plan_folder(&id, segment_bytes, files);
    Ok(OpenedStore {
        id,
        stored: StoredLog::default(),
        writer,
        ops,
    })
}

fn find_file<'a>(files: &'a [StoredFile], name: &str) -> Option<&'a StoredFile> {
    files.iter().find(|file| file.name == name)
}

fn damaged(file: &StoredFile, offset: usize) -> StoreError {
    StoreError {
        code: ResultCode::RecordDamaged,
        file: file.name.clone(),
        offset: offset as u64,
        advice: ADVICE_DAMAGED,
    }
}

fn mismatch(file: &StoredFile) -> StoreError {
    StoreError {
        code: ResultCode::FolderMismatch,
        file: file.name.clone(),
        offset: 0,
        advice: ADVICE_MISMATCH,
    }
}

fn read_identity(vm: &VmName, file: &StoredFile) -> Result<VoterId, StoreError> {
    let record = read_record(&file.bytes, 0).ok_or_else(|| damaged(file, 0))?;
    let identity: FolderIdentity = (record.kind == RecordKind::Identity)
        .then(|| serde_json::from_slice(&record.body).ok())
        .flatten()
        .ok_or_else(|| mismatch(file))?;
    if identity.format != FOLDER_FORMAT || identity.id.vm != *vm {
        return Err(mismatch(file));
    }
    Ok(identity.id)
}

fn list_segments(files: &[StoredFile]) -> Vec<(u64, &StoredFile)> {
    let mut segments: Vec<(u64, &StoredFile)> = files
        .iter()
        .filter_map(|file| {
            let number = file.name.strip_prefix("log-")?.parse().ok()?;
            Some((number, file))
        })
        .collect();
    segments.sort_by_key(|(number, _)| *number);
    segments
}

fn read_newest_snapshot(files: &[StoredFile]) -> Result<LogSnapshot, StoreError> {
    let newest = files
        .iter()
        .filter(|file| file.name.starts_with("snapshot-"))
        .max_by(|a, b| a.name.cmp(&b.name));
    newest.map_or_else(
        || Ok(LogSnapshot::default()),
        |file| read_snapshot(file).ok_or_else(|| damaged(file, 0)),
    )
}

fn read_snapshot(file: &StoredFile) -> Option<LogSnapshot> {
    let first = read_record(&file.bytes, 0)?;
    if first.kind != RecordKind::SnapshotHead {
        return None;
    }
    let head: SnapshotHead = serde_json::from_slice(&first.body).ok()?;
    let mut bytes = Vec::new();
    let (mut end, mut last) = (first.end, first.last);
    while !last {
        let part = read_record(&file.bytes, end)?;
        if part.kind != RecordKind::SnapshotPart {
            return None;
        }
        bytes.extend_from_slice(&part.body);
        (end, last) = (part.end, part.last);
    }
    let complete = bytes.len() as u64 == head.total && file.name == snapshot_file(head.index);
    complete.then(|| LogSnapshot {
        index: head.index,
        term: head.term,
        voters: head.voters,
        bytes: bytes.into(),
    })
}

fn remove_stale(files: &[StoredFile], snapshot: &LogSnapshot, ops: &mut Vec<DiskOp>) {
    let current = snapshot_file(snapshot.index);
    let stale = files.iter().filter(|file| {
        file.name == SNAPSHOT_TEMP_FILE
            || file.name == IDENTITY_TEMP_FILE
            || (file.name.starts_with("snapshot-") && file.name != current)
    });
    let before = ops.len();
    ops.extend(stale.map(|file| DiskOp::Remove(file.name.clone())));
    if ops.len() > before {
        ops.push(DiskOp::SyncFolder);
    }
}

/// Returns the entries after the snapshot, or `None` if the stored entries belong to a log that the
/// snapshot replaced.
fn select_entries(
    entries: Vec<LogEntry>,
    snapshot: &LogSnapshot,
) -> Result<Option<Vec<LogEntry>>, ()> {
    let at_snapshot = entries.iter().find(|entry| entry.index == snapshot.index);
    let first = entries.first().map_or(0, |entry| entry.index);
    let agrees = match at_snapshot {
        Some(entry) => entry.term == snapshot.term,
        None => first == snapshot.index + 1,
    };
    if agrees {
        let after = entries
            .into_iter()
            .filter(|entry| entry.index > snapshot.index);
        return Ok(Some(after.collect()));
    }
    if first > snapshot.index + 1 {
        return Err(());
    }
    Ok(None)
}

/// State of the log after the records that were read so far.
#[derive(Debug, Default)]
struct LogReader {
    hard: Option<HardState>,
    entries: Vec<LogEntry>,
    segments: Vec<LogSegment>,
    /// Number of the next batch.
    batch: u64,
}

impl LogReader {
    fn read_segment(
        &mut self,
        file: &StoredFile,
        newest: bool,
        ops: &mut Vec<DiskOp>,
    ) -> Result<(), StoreError> {
        self.segments.push(LogSegment {
            first_batch: self.batch,
            bytes: 0,
            last_index: 0,
        });
        let mut end = 0;
        while end < file.bytes.len() {
            let Some(batch) = read_batch(&file.bytes, end, self.batch) else {
                self.check_torn(file, end, newest)?;
                ops.push(DiskOp::Truncate {
                    file: file.name.clone(),
                    length: end as u64,
                });
                ops.push(DiskOp::SyncFile(file.name.clone()));
                break;
            };
            end = batch.last().map_or(end, |record| record.end);
            for record in batch {
                self.add_record(&record).ok_or_else(|| damaged(file, end))?;
            }
            self.batch += 1;
        }
        self.segments
            .last_mut()
            .expect("a segment was pushed above")
            .bytes = end as u64;
        Ok(())
    }

    /// Checks that an incomplete batch was torn by a crash, which can only be the very last batch.
    /// A later batch is written only after this one was synced, so its presence shows that this one
    /// was damaged afterwards.
    fn check_torn(&self, file: &StoredFile, end: usize, newest: bool) -> Result<(), StoreError> {
        let later = find_later_batch(&file.bytes, end);
        if !newest || later.is_some_and(|batch| batch > self.batch) {
            return Err(damaged(file, end));
        }
        Ok(())
    }

    fn add_record(&mut self, record: &StoredRecord) -> Option<()> {
        match record.kind {
            RecordKind::Hard => self.hard = Some(serde_json::from_slice(&record.body).ok()?),
            RecordKind::Entry => self.add_entry(decode_entry(&record.body)?)?,
            _ => return None,
        }
        Some(())
    }

    fn add_entry(&mut self, entry: LogEntry) -> Option<()> {
        let segment = self.segments.last_mut()?;
        segment.last_index = segment.last_index.max(entry.index);
        if let Some(first) = self.entries.first() {
            // Earlier entries may have been in segments that a later snapshot made obsolete. An
            // entry that replaces one of them replaces all that follow.
            let retained = entry.index.saturating_sub(first.index);
            let retained = usize::try_from(retained).ok()?;
            if retained > self.entries.len() {
                return None;
            }
            self.entries.truncate(retained);
        }
        self.entries.push(entry);
        Some(())
    }
}

/// Reads the batch `number` at `offset`; `None` if it is incomplete.
fn read_batch(bytes: &Bytes, offset: usize, number: u64) -> Option<Vec<StoredRecord>> {
    let mut batch = Vec::new();
    let mut end = offset;
    loop {
        let record = read_record(bytes, end)?;
        if record.batch != number {
            return None;
        }
        end = record.end;
        let last = record.last;
        batch.push(record);
        if last {
            return Some(batch);
        }
    }
}
