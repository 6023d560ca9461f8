//! Limit on the memory for the bodies of all answers that an entry holds at a time.
//!
//! Each answer may hold a small amount that is its own, so that servers that send without end
//! cannot keep others from being answered. Larger bodies share what is left.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that each answer may hold without a part of the shared memory.
const OWN_BYTES: usize = 64 << 10;

/// Memory that the bodies of all answers share.
#[derive(Debug)]
pub struct AnswerMemory {
    shared_max: usize,
    shared: AtomicUsize,
    held: AtomicUsize,
}

impl AnswerMemory {
    /// Creates the limit of an entry whose answers may share `shared_max` bytes.
    pub fn open(shared_max: usize) -> Arc<Self> {
        Arc::new(Self {
            shared_max,
            shared: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
        })
    }

    /// Returns the number of bytes that all answers hold.
    pub fn held_bytes(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    fn acquire_shared(&self, bytes: usize) -> bool {
        let shared = self.shared.fetch_add(bytes, Ordering::Relaxed);
        let fits = shared + bytes <= self.shared_max;
        if !fits {
            self.shared.fetch_sub(bytes, Ordering::Relaxed);
        }
        fits
    }
}

/// Memory that one answer holds; released when dropped.
#[derive(Debug)]
pub struct AnswerLease {
    memory: Arc<AnswerMemory>,
    bytes: usize,
}

impl AnswerLease {
    /// Creates the lease of an answer without a body.
    pub fn open(memory: &Arc<AnswerMemory>) -> Self {
        Self {
            memory: Arc::clone(memory),
            bytes: 0,
        }
    }

    /// Extends the lease to `bytes`. Returns `false` if the shared memory does not suffice; the
    /// lease is unchanged then.
    pub fn extend_to(&mut self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes) else {
            return true;
        };
        let shared = shared_bytes(bytes) - shared_bytes(self.bytes);
        if !self.memory.acquire_shared(shared) {
            return false;
        }
        self.memory.held.fetch_add(more, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }
}

impl Drop for AnswerLease {
    fn drop(&mut self) {
        let shared = shared_bytes(self.bytes);
        self.memory.shared.fetch_sub(shared, Ordering::Relaxed);
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

fn shared_bytes(bytes: usize) -> usize {
    bytes.saturating_sub(OWN_BYTES)
}
