//! Entries that have a newer state than the control process that they follow.

use std::time::Duration;

use crate::prelude::*;

/// An entry that has a newer state than this control process, which lacks changes that a quorum has
/// committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AheadEntry {
    /// VM of the entry.
    pub vm: VmName,
    /// Revision that the entry has.
    pub entry_revision: u64,
    /// Revision that this process has applied.
    pub revision: u64,
    /// Time since a quorum last confirmed the state of this process; `None` if it never did.
    pub quorum_age: Option<Duration>,
}
