//! Plans the writes to the data folder and reads the folder back at start.
//!
//! The folder contains the file `identity`, one snapshot and the segments of the log, each named
//! after its first batch number. Every plan ends with syncs of the written files and, if names
//! changed, of the folder. Nothing is acknowledged before its plan is complete.

use crate::control::log::{HardState, LogEntry, LogSnapshot};
use crate::control::member::VoterId;
use crate::control::record::{RecordKind, encode_entry, write_record};
use crate::control::voter::SaveBatch;

pub mod disk;
mod recover;

pub use disk::{DiskOp, StoreError, StoredFile};
pub use recover::{OpenedStore, open_store};

/// Size of a snapshot part in one record, in bytes.
const SNAPSHOT_RECORD_BYTES: usize = 1 << 20;
const SNAPSHOT_TEMP_FILE: &str = "snapshot.tmp";
const IDENTITY_TEMP_FILE: &str = "identity.tmp";
const IDENTITY_FILE: &str = "identity";

/// A file of the data folder that contains consecutive batches of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
struct LogSegment {
    /// Number of the first batch in the segment.
    first_batch: u64,
    bytes: u64,
    /// Highest index of any entry in the segment.
    last_index: u64,
}

impl LogSegment {
    fn file(&self) -> String {
        segment_file(self.first_batch)
    }
}

fn segment_file(first_batch: u64) -> String {
    format!("log-{first_batch:020}")
}

fn snapshot_file(index: u64) -> String {
    format!("snapshot-{index:020}")
}

/// Translates saves and snapshots into operations on the files of a data folder.
#[derive(Clone, Debug)]
pub struct StoreWriter {
    hard: HardState,
    /// Number of the next batch to write.
    batch: u64,
    segments: Vec<LogSegment>,
    snapshot_index: u64,
    /// Size at which a new segment is started, in bytes.
    segment_bytes: u64,
}

impl StoreWriter {
    /// Plans `saves` as one batch with one sync.
    pub fn plan_saves(&mut self, saves: &[SaveBatch]) -> Vec<DiskOp> {
        let mut ops = Vec::new();
        if let Some(hard) = saves.iter().rev().find_map(|save| save.hard.clone()) {
            self.hard = hard;
        }
        let roll = self
            .segments
            .last()
            .is_none_or(|segment| segment.bytes >= self.segment_bytes);
        if roll {
            self.begin_segment();
        }
        let hard_changed = roll || saves.iter().any(|save| save.hard.is_some());
        let entries: Vec<&LogEntry> = saves.iter().flat_map(|save| &save.entries).collect();
        let mut bodies = Vec::with_capacity(entries.len() + 1);
        if hard_changed || entries.is_empty() {
            bodies.push((RecordKind::Hard, self.hard_body()));
        }
        bodies.extend(
            entries
                .iter()
                .map(|entry| (RecordKind::Entry, encode_entry(entry))),
        );
        let last_index = entries.iter().map(|entry| entry.index).max().unwrap_or(0);
        self.append_batch(&bodies, last_index, &mut ops);
        if roll {
            ops.push(DiskOp::SyncFolder);
        }
        ops
    }

    /// Plans a snapshot and the removal of the files that it makes obsolete. With `reset`, the
    /// snapshot discards all stored entries.
    pub fn plan_snapshot(&mut self, snapshot: &LogSnapshot, reset: bool) -> Vec<DiskOp> {
        let name = snapshot_file(snapshot.index);
        let mut ops = vec![
            DiskOp::Remove(SNAPSHOT_TEMP_FILE.to_owned()),
            DiskOp::Append {
                file: SNAPSHOT_TEMP_FILE.to_owned(),
                bytes: encode_snapshot(snapshot),
            },
            DiskOp::SyncFile(SNAPSHOT_TEMP_FILE.to_owned()),
            DiskOp::Rename {
                from: SNAPSHOT_TEMP_FILE.to_owned(),
                to: name,
            },
            DiskOp::SyncFolder,
        ];
        self.plan_segment(snapshot.index, reset, &mut ops);
        ops
    }

    /// Plans a new segment and the removal of those that the snapshot at `index` makes obsolete.
    fn plan_segment(&mut self, index: u64, reset: bool, ops: &mut Vec<DiskOp>) {
        self.begin_segment();
        let bodies = [(RecordKind::Hard, self.hard_body())];
        self.append_batch(&bodies, 0, ops);
        ops.push(DiskOp::SyncFolder);
        self.remove_obsolete(index, reset, ops);
    }

    fn remove_obsolete(&mut self, index: u64, reset: bool, ops: &mut Vec<DiskOp>) {
        let active = self.segments.len() - 1;
        let obsolete = self.segments[..active]
            .iter()
            .take_while(|segment| reset || segment.last_index <= index)
            .count();
        // Sync after each removal, so that a crash leaves no gap between the segments.
        for segment in self.segments.drain(..obsolete) {
            ops.push(DiskOp::Remove(segment.file()));
            ops.push(DiskOp::SyncFolder);
        }
        if self.snapshot_index > 0 && self.snapshot_index != index {
            ops.push(DiskOp::Remove(snapshot_file(self.snapshot_index)));
        }
        self.snapshot_index = index;
        ops.push(DiskOp::SyncFolder);
    }

    fn hard_body(&self) -> Vec<u8> {
        serde_json::to_vec(&self.hard).expect("term and vote always encode")
    }

    fn begin_segment(&mut self) {
        // After a crash that tore the first batch of a segment, the empty segment already has this
        // name.
        if self
            .segments
            .last()
            .is_some_and(|last| last.first_batch == self.batch)
        {
            return;
        }
        self.segments.push(LogSegment {
            first_batch: self.batch,
            bytes: 0,
            last_index: 0,
        });
    }

    fn append_batch(
        &mut self,
        bodies: &[(RecordKind, Vec<u8>)],
        last_index: u64,
        ops: &mut Vec<DiskOp>,
    ) {
        let mut bytes = Vec::new();
        for (position, (kind, body)) in bodies.iter().enumerate() {
            let last = position + 1 == bodies.len();
            write_record(&mut bytes, self.batch, last, *kind, body);
        }
        self.batch += 1;
        let segment = self
            .segments
            .last_mut()
            .expect("a segment was started before");
        segment.bytes += bytes.len() as u64;
        segment.last_index = segment.last_index.max(last_index);
        let file = segment.file();
        ops.push(DiskOp::Append {
            file: file.clone(),
            bytes,
        });
        ops.push(DiskOp::SyncFile(file));
    }
}

fn encode_snapshot(snapshot: &LogSnapshot) -> Vec<u8> {
    let head = recover::SnapshotHead {
        index: snapshot.index,
        term: snapshot.term,
        voters: snapshot.voters.clone(),
        total: snapshot.bytes.len() as u64,
    };
    let head = serde_json::to_vec(&head).expect("a snapshot header always encodes");
    let parts: Vec<&[u8]> = snapshot.bytes.chunks(SNAPSHOT_RECORD_BYTES).collect();
    let mut out = Vec::with_capacity(snapshot.bytes.len() + head.len() + 64);
    write_record(
        &mut out,
        0,
        parts.is_empty(),
        RecordKind::SnapshotHead,
        &head,
    );
    for (position, part) in parts.iter().enumerate() {
        let last = position + 1 == parts.len();
        write_record(&mut out, 0, last, RecordKind::SnapshotPart, part);
    }
    out
}

/// Plans a new folder. The first segment is written before the identity file, whose presence marks
/// the folder as complete.
fn plan_folder(
    id: &VoterId,
    segment_bytes: u64,
    stale: &[StoredFile],
) -> (StoreWriter, Vec<DiskOp>) {
    let mut ops: Vec<DiskOp> = stale
        .iter()
        .map(|file| DiskOp::Remove(file.name.clone()))
        .collect();
    ops.push(DiskOp::SyncFolder);
    let mut writer = StoreWriter {
        hard: HardState::default(),
        batch: 1,
        segments: Vec::new(),
        snapshot_index: 0,
        segment_bytes,
    };
    ops.extend(writer.plan_saves(&[]));
    let mut bytes = Vec::new();
    let body =
        serde_json::to_vec(&recover::FolderIdentity::new(id)).expect("the identity always encodes");
    write_record(&mut bytes, 0, true, RecordKind::Identity, &body);
    ops.push(DiskOp::Append {
        file: IDENTITY_TEMP_FILE.to_owned(),
        bytes,
    });
    ops.push(DiskOp::SyncFile(IDENTITY_TEMP_FILE.to_owned()));
    ops.push(DiskOp::Rename {
        from: IDENTITY_TEMP_FILE.to_owned(),
        to: IDENTITY_FILE.to_owned(),
    });
    ops.push(DiskOp::SyncFolder);
    (writer, ops)
}
