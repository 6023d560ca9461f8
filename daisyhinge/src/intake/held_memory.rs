//! Limit on the memory for the bodies of requests and answers that a process holds at a time.
//!
//! All bodies share one part. Each holder may be allowed an amount of its own, which is taken from
//! another part, so that large bodies cannot keep small answers out.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size of the first buffer of a body, in bytes.
const FIRST_BUFFER_BYTES: usize = 4 << 10;
/// Factor by which a full buffer grows. Each growth copies what has arrived.
const BUFFER_GROWTH: usize = 4;

/// Returns the capacity that a buffer of `capacity` bytes gets for `needed` bytes of a body of at most
/// `bytes_max`. What a client has announced but not sent takes little memory.
pub fn grow_capacity(capacity: usize, needed: usize, bytes_max: usize) -> usize {
    if needed <= capacity {
        return capacity;
    }
    let grown = (BUFFER_GROWTH * capacity).max(FIRST_BUFFER_BYTES);
    grown.min(bytes_max).max(needed)
}

/// Limits on the memory for bodies and answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryLimits {
    /// Bytes that all holders share beyond what each is allowed.
    pub shared_max: usize,
    /// Bytes that all holders together may take of what each is allowed.
    pub own_max: usize,
}

/// Memory for bodies and answers.
#[derive(Debug)]
pub struct HeldMemory {
    limits: MemoryLimits,
    shared: AtomicUsize,
    own: AtomicUsize,
}

impl HeldMemory {
    /// Creates memory that nobody holds yet.
    pub fn open(limits: MemoryLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            shared: AtomicUsize::new(0),
            own: AtomicUsize::new(0),
        })
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.shared.load(Ordering::Relaxed) + self.own.load(Ordering::Relaxed)
    }

    /// Returns whether more is held than the limits allow, by [`MemoryLease::charge`].
    pub fn is_exceeded(&self) -> bool {
        self.shared.load(Ordering::Relaxed) > self.limits.shared_max
            || self.own.load(Ordering::Relaxed) > self.limits.own_max
    }
}

/// Adds `bytes` to `held` unless that exceeds `max`.
fn acquire(held: &AtomicUsize, bytes: usize, max: usize) -> bool {
    let before = held.fetch_add(bytes, Ordering::Relaxed);
    let fits = bytes == 0 || before + bytes <= max;
    if !fits {
        held.fetch_sub(bytes, Ordering::Relaxed);
    }
    fits
}

/// Memory that one body or answer holds; released when dropped.
#[derive(Debug)]
pub struct MemoryLease {
    memory: Arc<HeldMemory>,
    /// Bytes that are not taken from the shared part.
    own_allowance: usize,
    bytes: usize,
}

impl MemoryLease {
    /// Creates a lease of 0 bytes, whose first `own_allowance` bytes are not shared.
    pub fn open(memory: &Arc<HeldMemory>, own_allowance: usize) -> Self {
        Self {
            memory: Arc::clone(memory),
            own_allowance,
            bytes: 0,
        }
    }

    /// Extends the lease to `bytes`. Returns `false` if the memory does not suffice; the lease is
    /// unchanged then.
    pub fn extend_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let own = self.own_of(bytes) - self.own_of(self.bytes);
        let shared = self.shared_of(bytes) - self.shared_of(self.bytes);
        let memory = &self.memory;
        if !acquire(&memory.own, own, memory.limits.own_max) {
            return false;
        }
        if !acquire(&memory.shared, shared, memory.limits.shared_max) {
            memory.own.fetch_sub(own, Ordering::Relaxed);
            return false;
        }
        self.bytes = bytes;
        true
    }

    /// Extends the lease to `bytes` of content that exists already, beyond the limits if need be.
    pub fn charge(&mut self, bytes: usize) {
        if bytes > self.bytes {
            let own = self.own_of(bytes) - self.own_of(self.bytes);
            let shared = self.shared_of(bytes) - self.shared_of(self.bytes);
            self.memory.own.fetch_add(own, Ordering::Relaxed);
            self.memory.shared.fetch_add(shared, Ordering::Relaxed);
            self.bytes = bytes;
        }
    }

    fn own_of(&self, bytes: usize) -> usize {
        bytes.min(self.own_allowance)
    }

    fn shared_of(&self, bytes: usize) -> usize {
        bytes.saturating_sub(self.own_allowance)
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        let (own, shared) = (self.own_of(self.bytes), self.shared_of(self.bytes));
        self.memory.own.fetch_sub(own, Ordering::Relaxed);
        self.memory.shared.fetch_sub(shared, Ordering::Relaxed);
    }
}
