//! Size limits of the log, its snapshots and its files.

use std::time::Duration;

/// Size limits of the log, its snapshots and its files. Tests use small values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogLimits {
    /// Maximum size of the entries in one append, in bytes; a single larger entry is sent alone.
    pub append_bytes: usize,
    /// Size of a snapshot part in one message, in bytes.
    pub part_bytes: usize,
    /// Number of entries before the snapshot that stay in memory, so that a voter that lags
    /// slightly behind needs no snapshot.
    pub tail_entries: u64,
    /// Number of applied entries after which a snapshot is taken.
    pub compact_entries: u64,
    /// Size of applied commands after which a snapshot is taken, in bytes.
    pub compact_bytes: usize,
    /// Size at which a new segment file is started, in bytes.
    pub segment_bytes: u64,
    /// Silence after which the leader removes a member that the quorum does not need. `None` if
    /// operators remove members.
    pub silent_timeout: Option<Duration>,
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
            silent_timeout: None,
        }
    }
}
