//! Merging of the shards' partial answers.

/// Size of a record in bytes; a shorter remainder of a part is ignored.
pub const RECORD_BYTES: usize = 16;
/// Number of records beyond the greatest ones that are collected before the others are dropped.
const EXCESS_MAX: usize = 256;

type Record = [u8; RECORD_BYTES];

/// Returns the greatest `top` records of all parts, greatest first, compared byte by byte.
/// Duplicates are kept.
pub fn merge_parts<'part>(parts: impl Iterator<Item = &'part [u8]>, top: usize) -> Vec<u8> {
    let mut merge = RecordMerge::open(top);
    for part in parts {
        merge.add_bytes(part);
        merge.remainder.clear();
    }
    merge.into_bytes()
}

/// Keeps the greatest records of a body that arrives in pieces of any size.
#[derive(Clone, Debug)]
pub struct RecordMerge {
    top: usize,
    records: Vec<Record>,
    /// Bytes of the last record, as long as it is incomplete.
    remainder: Vec<u8>,
}

impl RecordMerge {
    /// Creates a merge that keeps the greatest `top` records.
    pub fn open(top: usize) -> Self {
        Self {
            top,
            records: Vec::new(),
            remainder: Vec::new(),
        }
    }

    /// Adds the next bytes of a body.
    pub fn add_bytes(&mut self, mut bytes: &[u8]) {
        if !self.remainder.is_empty() {
            let wanted = RECORD_BYTES - self.remainder.len();
            let (head, rest) = bytes.split_at(wanted.min(bytes.len()));
            self.remainder.extend_from_slice(head);
            bytes = rest;
            if let Ok(record) = Record::try_from(self.remainder.as_slice()) {
                self.add_record(record);
                self.remainder.clear();
            }
        }
        let (records, rest) = bytes.as_chunks::<RECORD_BYTES>();
        for record in records {
            self.add_record(*record);
        }
        self.remainder.extend_from_slice(rest);
    }

    fn add_record(&mut self, record: Record) {
        self.records.push(record);
        if self.records.len() >= self.top.saturating_add(EXCESS_MAX).max(self.top * 2) {
            self.drop_excess();
        }
    }

    fn drop_excess(&mut self) {
        if self.records.len() > self.top {
            self.records
                .select_nth_unstable_by(self.top, |a, b| b.cmp(a));
            self.records.truncate(self.top);
        }
    }

    /// Returns the memory in use for records, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.records.capacity() * RECORD_BYTES
    }

    /// Returns the greatest records in descending order. A remainder shorter than a record is
    /// ignored.
    pub fn into_bytes(mut self) -> Vec<u8> {
        self.drop_excess();
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.into_flattened()
    }
}
