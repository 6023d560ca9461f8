//! The body of a replica's answer as it arrives.

use std::sync::Arc;

use bytes::Bytes;

use super::drop_reason::DropReason;
use crate::dispatch::answer_memory::{AnswerLease, AnswerMemory};
use crate::dispatch::merge::RecordMerge;

/// Maximum size of an answer that is returned to a caller, headers included, in bytes.
const WHOLE_MAX_BYTES: usize = 8 << 20;
/// Maximum size of a part of a gather, headers included, in bytes.
const PART_MAX_BYTES: usize = 256 << 10;

/// Number of pieces of a body that may be of any size.
const PIECES_MAX: usize = 1_024;
/// Minimum average size of further pieces, in bytes. Each piece costs processor time, however small.
const PIECE_MIN_BYTES: usize = 256;

/// Collects a body within the entry's limit on memory.
#[derive(Debug)]
pub(super) struct AnswerCollector {
    lease: AnswerLease,
    content: CollectedContent,
    pieces: usize,
    received: usize,
}

#[derive(Debug)]
enum CollectedContent {
    /// The bytes of the whole body.
    Whole(Vec<u8>),
    /// The greatest records of a part.
    Part(RecordMerge),
}

impl AnswerCollector {
    /// Creates the collector of a whole body, or of the greatest `top_records` of a part.
    pub(super) fn open(memory: &Arc<AnswerMemory>, top_records: Option<usize>) -> Self {
        Self {
            lease: AnswerLease::open(memory),
            content: match top_records {
                Some(top) => CollectedContent::Part(RecordMerge::open(top)),
                None => CollectedContent::Whole(Vec::new()),
            },
            pieces: 0,
            received: 0,
        }
    }

    /// Returns the maximum size of the answer on the wire, in bytes.
    pub(super) fn wire_max_bytes(&self) -> usize {
        match self.content {
            CollectedContent::Whole(_) => WHOLE_MAX_BYTES,
            CollectedContent::Part(_) => PART_MAX_BYTES,
        }
    }

    /// Adds the next piece of the body.
    ///
    /// # Errors
    /// [`DropReason::Fragmented`] if the pieces are too small, [`DropReason::NoMemory`] if there is no
    /// memory for the piece.
    pub(super) fn add_piece(&mut self, bytes: &[u8]) -> Result<(), DropReason> {
        self.pieces += 1;
        self.received += bytes.len();
        if self.pieces > PIECES_MAX + self.received / PIECE_MIN_BYTES {
            return Err(DropReason::Fragmented);
        }
        let fits = match &mut self.content {
            CollectedContent::Whole(body) => {
                let fits = self.lease.extend_to(body.len() + bytes.len());
                if fits {
                    body.extend_from_slice(bytes);
                }
                fits
            }
            CollectedContent::Part(merge) => {
                merge.add_bytes(bytes);
                self.lease.extend_to(merge.held_bytes())
            }
        };
        fits.then_some(()).ok_or(DropReason::NoMemory)
    }

    /// Returns the body. Its memory is released when the last reference to it is dropped.
    pub(super) fn into_bytes(self) -> Bytes {
        let content = match self.content {
            CollectedContent::Whole(body) => body,
            CollectedContent::Part(merge) => merge.into_bytes(),
        };
        Bytes::from_owner(LeasedBytes {
            content,
            _lease: self.lease,
        })
    }
}

struct LeasedBytes {
    content: Vec<u8>,
    _lease: AnswerLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
