//! An allocator that counts the memory in use, whatever the system's allocator keeps.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The system's allocator with the bytes in use and their peak.
#[derive(Debug)]
pub struct CountingAllocator {
    used: AtomicUsize,
    peak: AtomicUsize,
}

impl CountingAllocator {
    pub const fn new() -> Self {
        Self {
            used: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
        }
    }

    /// Starts a new peak. Returns the bytes in use.
    pub fn reset_peak(&self) -> usize {
        let used = self.used.load(Ordering::SeqCst);
        self.peak.store(used, Ordering::SeqCst);
        used
    }

    /// Returns the most bytes in use since the peak was reset.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::SeqCst)
    }
}

#[expect(unsafe_code, reason = "required by the trait of allocators")]
// SAFETY: all memory is the system's allocator's, which gets the layouts that the caller states.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let used = self.used.fetch_add(layout.size(), Ordering::SeqCst) + layout.size();
        self.peak.fetch_max(used, Ordering::SeqCst);
        // SAFETY: the caller keeps the conditions of the trait.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        self.used.fetch_sub(layout.size(), Ordering::SeqCst);
        // SAFETY: the caller keeps the conditions of the trait, and `alloc` returned it.
        unsafe { System.dealloc(ptr, layout) }
    }
}
