//! Sub-requests running in each data centre, under this entry's share of its power cap.

use std::collections::HashMap;

use crate::prelude::*;

/// Sub-requests of one entry that run in each data centre.
#[derive(Clone, Debug, Default)]
pub struct PowerBook {
    running: HashMap<CentreName, u32>,
}

impl PowerBook {
    /// Sub-requests that run in `centre`.
    pub fn running(&self, centre: &CentreName) -> u32 {
        self.running.get(centre).copied().unwrap_or(0)
    }

    /// Sub-requests that may be added in `centre`, of which `share` may run at a time.
    pub fn room(&self, centre: &CentreName, share: Option<u32>) -> u32 {
        share.map_or(u32::MAX, |share| share.saturating_sub(self.running(centre)))
    }

    /// Takes in that one replica of `centre` runs `after` sub-requests now and ran `before`.
    ///
    /// # Panics
    ///
    /// Panics if more were started than `share` allows: that is a fault of this program.
    pub fn record(&mut self, centre: &CentreName, before: u32, after: u32, share: Option<u32>) {
        if before == after {
            return;
        }
        let running = self.running(centre) + after - before;
        assert!(
            after < before || share.is_none_or(|share| running <= share),
            "a data centre runs more than its power cap"
        );
        if running == 0 {
            self.running.remove(centre);
        } else {
            self.running.insert(centre.clone(), running);
        }
    }
}
