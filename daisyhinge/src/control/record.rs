//! Checksummed records, the format of every file in the data folder.
//!
//! Layout, little endian: magic number (4 bytes), body length (4), CRC-32 of the rest (4), batch
//! number (8), flags (1), kind (1), body. All records written with one sync have the same batch
//! number, and the last of them is flagged. An incomplete batch was never acknowledged.

use bytes::Bytes;

use crate::control::log::{LogEntry, LogPayload};
use crate::control::member::VoterSet;

/// Size of a record's header, in bytes.
pub const RECORD_HEADER_BYTES: usize = 22;
/// Maximum size of a record's body, in bytes.
pub const RECORD_MAX_BYTES: usize = 16 << 20;

const RECORD_MAGIC: u32 = 0x31_44_48_44;
const FLAG_LAST: u8 = 1;

/// Kind of data in a record of a log or snapshot file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum RecordKind {
    /// Term and vote, as JSON.
    Hard = 1,
    /// A log entry; it replaces all stored entries from its index on.
    Entry = 2,
    /// Header of a snapshot, as JSON.
    SnapshotHead = 3,
    /// Chunk of an encoded replicated state that a snapshot file contains.
    SnapshotPart = 4,
    /// Identity of the voter, as JSON.
    Identity = 5,
}

impl RecordKind {
    fn from_number(number: u8) -> Option<Self> {
        [
            Self::Hard,
            Self::Entry,
            Self::SnapshotHead,
            Self::SnapshotPart,
            Self::Identity,
        ]
        .into_iter()
        .find(|kind| *kind as u8 == number)
    }
}

/// A valid record read from a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// Number of the batch with which the record was written.
    pub batch: u64,
    /// Whether this is the last record of its batch.
    pub last: bool,
    /// Kind of data in the body.
    pub kind: RecordKind,
    /// Body of the record, with a valid checksum.
    pub body: Bytes,
    /// Offset of the first byte after the record.
    pub end: usize,
}

/// Appends a record to `out`.
///
/// # Panics
/// If the body is longer than [`RECORD_MAX_BYTES`].
pub fn write_record(out: &mut Vec<u8>, batch: u64, last: bool, kind: RecordKind, body: &[u8]) {
    let length = u32::try_from(body.len()).expect("the body is too long");
    assert!(body.len() <= RECORD_MAX_BYTES, "the body is too long");
    out.extend_from_slice(&RECORD_MAGIC.to_le_bytes());
    out.extend_from_slice(&length.to_le_bytes());
    let checksum_at = out.len();
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&batch.to_le_bytes());
    out.push(if last { FLAG_LAST } else { 0 });
    out.push(kind as u8);
    out.extend_from_slice(body);
    let checksum = crc32fast::hash(&out[checksum_at + 4..]);
    out[checksum_at..checksum_at + 4].copy_from_slice(&checksum.to_le_bytes());
}

/// Reads the record at `offset`; `None` if it is incomplete or its checksum is wrong.
pub fn read_record(bytes: &Bytes, offset: usize) -> Option<StoredRecord> {
    let head = bytes.get(offset..offset.checked_add(RECORD_HEADER_BYTES)?)?;
    if read_u32(head, 0)? != RECORD_MAGIC {
        return None;
    }
    let length = usize::try_from(read_u32(head, 4)?).ok()?;
    if length > RECORD_MAX_BYTES {
        return None;
    }
    let end = offset + RECORD_HEADER_BYTES + length;
    let covered = bytes.get(offset + 12..end)?;
    if crc32fast::hash(covered) != read_u32(head, 8)? {
        return None;
    }
    Some(StoredRecord {
        batch: read_u64(head, 12)?,
        last: head[20] & FLAG_LAST != 0,
        kind: RecordKind::from_number(head[21])?,
        body: bytes.slice(offset + RECORD_HEADER_BYTES..end),
        end,
    })
}

/// Returns the largest batch number of all valid records that start after `offset`.
pub fn find_later_batch(bytes: &Bytes, offset: usize) -> Option<u64> {
    let magic = RECORD_MAGIC.to_le_bytes();
    let mut at = offset + 1;
    let mut newest = None;
    while let Some(found) = bytes.get(at..).and_then(|rest| find_bytes(rest, &magic)) {
        match read_record(bytes, at + found) {
            Some(record) => {
                newest = newest.max(Some(record.batch));
                at = record.end;
            }
            None => at += found + 1,
        }
    }
    newest
}

fn find_bytes(text: &[u8], pattern: &[u8]) -> Option<usize> {
    text.windows(pattern.len())
        .position(|window| window == pattern)
}

/// Encodes a log entry as the body of a record.
///
/// # Panics
/// Never: a voter set always encodes.
pub fn encode_entry(entry: &LogEntry) -> Vec<u8> {
    let mut body = Vec::with_capacity(32 + entry.payload.command().len());
    body.extend_from_slice(&entry.index.to_le_bytes());
    body.extend_from_slice(&entry.term.to_le_bytes());
    match &entry.payload {
        LogPayload::Blank => body.push(0),
        LogPayload::Command(_) => body.push(1),
        LogPayload::Voters(set, _) => {
            body.push(2);
            let set = serde_json::to_vec(set).expect("a voter set always encodes");
            let length = u32::try_from(set.len()).expect("a voter set is small");
            body.extend_from_slice(&length.to_le_bytes());
            body.extend_from_slice(&set);
        }
    }
    body.extend_from_slice(entry.payload.command());
    body
}

/// Decodes a log entry from the body of a record; `None` if the body is invalid.
pub fn decode_entry(body: &Bytes) -> Option<LogEntry> {
    let index = read_u64(body, 0)?;
    let term = read_u64(body, 8)?;
    let payload = match *body.get(16)? {
        0 => LogPayload::Blank,
        1 => LogPayload::Command(body.slice(17..)),
        2 => {
            let length = usize::try_from(read_u32(body, 17)?).ok()?;
            let end = 21_usize.checked_add(length)?;
            let set: VoterSet = serde_json::from_slice(body.get(21..end)?).ok()?;
            LogPayload::Voters(set, body.slice(end..))
        }
        _ => return None,
    };
    Some(LogEntry {
        index,
        term,
        payload,
    })
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at.checked_add(4)?)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

fn read_u64(bytes: &[u8], at: usize) -> Option<u64> {
    let field = bytes.get(at..at.checked_add(8)?)?;
    Some(u64::from_le_bytes(field.try_into().ok()?))
}
