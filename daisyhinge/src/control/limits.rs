//! Sizes that bound the log, its snapshots and its files.

use std::time::Duration;

/// Sizes that bound the log, its snapshots and its files. Tests make them small.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogLimits {
    /// Entries of one append, in bytes, unless a single one is larger.
    pub append_bytes: usize,
    /// Part of a snapshot in one message, in bytes.
    pub part_bytes: usize,
    /// Entries kept in memory below the snapshot, so that a voter slightly behind needs none.
    pub tail_entries: u64,
    /// Applied entries after which a snapshot is taken.
    pub compact_entries: u64,
    /// Bytes of applied commands after which a snapshot is taken.
    pub compact_bytes: usize,
    /// Size at which a new segment file is begun, in bytes.
    pub segment_bytes: u64,
    /// Silence after which a leader removes a member that others can do without; unset where
    /// operators remove members.
    pub silent_span: Option<Duration>,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            append_bytes: 512 << 10,
            part_bytes: 256 << 10,
            tail_entries: 1_024,
            compact_entries: 8_192,
            compact_bytes: 16 << 20,
            segment_bytes: 8 << 20,
            silent_span: None,
        }
    }
}
