//! Crashes of one request, as counted by several sources.

use super::CRASH_RETENTION;
use crate::prelude::*;

/// Maximum number of sources recorded for one request; the strongest decides.
const SOURCES_MAX: usize = 8;

/// Crashes of one request as counted by one keeper.
#[derive(Clone, Debug)]
pub(super) struct CrashCount {
    /// VM of the keeper that counted the crashes; `None` for this keeper.
    pub keeper: Option<VmName>,
    /// Random identity of the keeper's table, chosen when the keeper starts.
    pub table: u64,
    pub crashes: u32,
    pub last_crash_at: MonotonicTime,
}

#[derive(Clone, Debug, Default)]
pub(super) struct RequestCrashes {
    pub sources: Vec<CrashCount>,
    /// Time of the last answer, which refutes all earlier crashes.
    pub cleared: Option<MonotonicTime>,
}

impl RequestCrashes {
    /// Iterates over the sources whose crashes have neither expired nor been refuted.
    pub(super) fn counted_sources(&self, now: MonotonicTime) -> impl Iterator<Item = &CrashCount> {
        self.sources.iter().filter(move |source| {
            now.since(source.last_crash_at) < CRASH_RETENTION
                && self.cleared.is_none_or(|at| source.last_crash_at > at)
        })
    }

    pub(super) fn crash_count(&self, now: MonotonicTime) -> u32 {
        // The maximum, not the sum: crashes at several keepers may have one cause, such as the loss
        // of a rack. A probe's crash includes the count of the crash before it.
        let counts = self.counted_sources(now).map(|source| source.crashes);
        counts.max().unwrap_or(0)
    }

    /// Adds a source. If there are too many, the weakest received one goes.
    pub(super) fn add_source(&mut self, source: CrashCount) {
        self.sources.push(source);
        if self.sources.len() <= SOURCES_MAX {
            return;
        }
        let received = self.sources.iter().enumerate();
        let weakest = received
            .filter(|(_, source)| source.keeper.is_some())
            .min_by_key(|(_, source)| (source.crashes, source.last_crash_at));
        if let Some((index, _)) = weakest {
            self.sources.swap_remove(index);
        }
    }

    pub(super) fn last_crash_at(&self) -> MonotonicTime {
        self.sources
            .iter()
            .map(|source| source.last_crash_at)
            .max()
            .unwrap_or_default()
    }
}
