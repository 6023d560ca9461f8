//! The body of a replica's answer as it arrives.

use bytes::Bytes;

use super::drop_reason::DropReason;
use crate::dispatch::merge::RecordMerge;
use crate::intake::held_memory::{MemoryLease, grow_capacity};
use crate::shell::intake::ClientIntake;
use crate::shell::piece_limit::PieceLimit;

/// Maximum size of an answer that is returned to a caller, headers included, in bytes.
const WHOLE_MAX_BYTES: usize = 8 << 20;
/// Maximum size of a part of a gather, headers included, in bytes.
const PART_MAX_BYTES: usize = 256 << 10;

/// Bytes of an answer that are not taken from the memory that bodies and large answers share.
const OWN_BYTES: usize = 64 << 10;

/// Collects a body within the entry's limit on memory.
#[derive(Debug)]
pub(super) struct AnswerCollector {
    intake: ClientIntake,
    lease: MemoryLease,
    content: CollectedContent,
    /// Maximum size of the body, in bytes.
    bytes_max: usize,
    pieces: PieceLimit,
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
    pub(super) fn open(intake: &ClientIntake, top_records: Option<usize>) -> Self {
        Self {
            intake: intake.clone(),
            lease: MemoryLease::open(intake.memory(), OWN_BYTES),
            content: match top_records {
                Some(top) => CollectedContent::Part(RecordMerge::open(top)),
                None => CollectedContent::Whole(Vec::new()),
            },
            bytes_max: WHOLE_MAX_BYTES,
            pieces: PieceLimit::default(),
        }
    }

    /// Returns the maximum size of the answer on the wire, in bytes.
    pub(super) fn wire_max_bytes(&self) -> usize {
        match self.content {
            CollectedContent::Whole(_) => WHOLE_MAX_BYTES,
            CollectedContent::Part(_) => PART_MAX_BYTES,
        }
    }

    /// Sets the size of the body, if the replica has stated it.
    pub(super) fn set_size(&mut self, bytes: Option<u64>) {
        let bytes = bytes.and_then(|bytes| usize::try_from(bytes).ok());
        self.bytes_max = bytes.unwrap_or(WHOLE_MAX_BYTES).min(WHOLE_MAX_BYTES);
    }

    /// Adds the next piece of the body.
    ///
    /// # Errors
    /// [`DropReason::Fragmented`] if the pieces are too small, [`DropReason::NoMemory`] if there is no
    /// memory for the piece.
    pub(super) async fn add_piece(&mut self, bytes: &[u8]) -> Result<(), DropReason> {
        if !self.pieces.add(bytes.len()) {
            return Err(DropReason::Fragmented);
        }
        let fits = match &mut self.content {
            CollectedContent::Whole(body) => {
                let needed = body.len() + bytes.len();
                let capacity = grow_capacity(body.capacity(), needed, self.bytes_max);
                let fits = self.intake.extend(&mut self.lease, capacity).await;
                if fits {
                    body.reserve_exact(capacity - body.len());
                    body.extend_from_slice(bytes);
                }
                fits
            }
            CollectedContent::Part(merge) => {
                merge.add_bytes(bytes);
                self.intake
                    .extend(&mut self.lease, merge.held_bytes())
                    .await
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

/// Attributes `content`, which exists already, to the memory for answers until it is dropped.
pub(super) fn lease_bytes(intake: &ClientIntake, content: Vec<u8>) -> Bytes {
    let mut lease = MemoryLease::open(intake.memory(), OWN_BYTES);
    lease.charge(content.len());
    Bytes::from_owner(LeasedBytes {
        content,
        _lease: lease,
    })
}

struct LeasedBytes {
    content: Vec<u8>,
    _lease: MemoryLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
