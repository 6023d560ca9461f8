//! Reasons for which an entry drops the answer of a replica.

/// Why an answer was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DropReason {
    /// It is larger than an answer may be.
    Oversized,
    /// It arrives in too many small pieces.
    Fragmented,
    /// The entry has no memory left for large answers.
    NoMemory,
    /// It is no HTTP answer.
    Malformed,
    /// It ended before it was complete.
    Truncated,
    /// It belongs to another request, or a replica would not send it.
    Unusable,
}

impl DropReason {
    /// Returns the name for logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Oversized => "oversized",
            Self::Fragmented => "fragmented",
            Self::NoMemory => "no_memory",
            Self::Malformed => "malformed",
            Self::Truncated => "truncated",
            Self::Unusable => "unusable",
        }
    }
}
