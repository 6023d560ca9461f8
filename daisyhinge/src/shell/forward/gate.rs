//! Whether an attempt may still be written.

use std::sync::atomic::{AtomicBool, Ordering};

/// Passed by an attempt right before it is written. It is closed when another attempt takes the
/// place of one that is still connecting.
#[derive(Debug, Default)]
pub(super) struct AttemptGate {
    passed: AtomicBool,
    closed: AtomicBool,
}

impl AttemptGate {
    /// Passes the gate; `false` if it is closed.
    pub(super) fn pass(&self) -> bool {
        let open = !self.closed.load(Ordering::Acquire);
        self.passed.store(open, Ordering::Release);
        open
    }

    /// Whether anything of the attempt may have been written.
    pub(super) fn is_passed(&self) -> bool {
        self.passed.load(Ordering::Acquire)
    }

    /// Closes it. Gates are passed and closed by the task that drives the request.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }
}
