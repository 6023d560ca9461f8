//! Permission to write a request to a connection.

use std::sync::atomic::{AtomicBool, Ordering};

/// Acquired by an attempt immediately before it writes its request. Revoked if another attempt
/// supersedes one that is still connecting.
#[derive(Debug, Default)]
pub struct WritePermit {
    acquired: AtomicBool,
    revoked: AtomicBool,
}

impl WritePermit {
    /// Acquires the permit. Returns `false` if it was revoked.
    pub fn try_acquire(&self) -> bool {
        let granted = !self.revoked.load(Ordering::Acquire);
        self.acquired.store(granted, Ordering::Release);
        granted
    }

    /// Returns whether the attempt may have written anything.
    pub fn is_acquired(&self) -> bool {
        self.acquired.load(Ordering::Acquire)
    }

    /// Revokes the permit. Permits are acquired and revoked by the task that drives the request, so
    /// the two never race.
    pub fn revoke(&self) {
        self.revoked.store(true, Ordering::Release);
    }
}
