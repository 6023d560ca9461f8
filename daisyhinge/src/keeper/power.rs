//! Concurrency of each data centre under this entry's share of the power cap.

use std::collections::HashMap;

use crate::prelude::*;

/// Running sub-requests of one entry, counted by data centre.
#[derive(Clone, Debug, Default)]
pub struct PowerTracker {
    running: HashMap<CentreName, u32>,
}

impl PowerTracker {
    /// Returns the number of sub-requests running in `centre`.
    pub fn running(&self, centre: &CentreName) -> u32 {
        self.running.get(centre).copied().unwrap_or(0)
    }

    /// Returns how many more sub-requests may start in `centre` now if at most `share` may run
    /// there at a time. Without a share, the number is not limited.
    pub fn headroom(&self, centre: &CentreName, share: Option<u32>) -> u32 {
        share.map_or(u32::MAX, |share| share.saturating_sub(self.running(centre)))
    }

    /// Records that a replica of `centre` changed from `before` to `after` running sub-requests.
    ///
    /// # Panics
    ///
    /// Panics if a start exceeds `share`, which is a bug in this program.
    pub fn record(&mut self, centre: &CentreName, before: u32, after: u32, share: Option<u32>) {
        if before == after {
            return;
        }
        let running = self.running(centre) + after - before;
        assert!(
            after < before || share.is_none_or(|share| running <= share),
            "running sub-requests exceed the share of the power cap"
        );
        if running == 0 {
            self.running.remove(centre);
        } else {
            self.running.insert(centre.clone(), running);
        }
    }
}
