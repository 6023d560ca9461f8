//! Incarnations of replicas that have left or said that they leave.

use std::collections::{HashMap, VecDeque};

use crate::prelude::*;
use crate::vocabulary::registration::ReplicaRecord;

/// Maximum number of departures that are remembered; the oldest ones are dropped first.
const DEPARTED_MAX: usize = 16_384;

/// Departed incarnations, which stay unusable whatever control reports later. A process that lags
/// behind or has restarted may still report them as ready.
#[derive(Debug, Default)]
pub(super) struct DepartedReplicas {
    /// Start of the departed incarnation in milliseconds since the Unix epoch, if it stated one.
    born: HashMap<ReplicaName, Option<u64>>,
    order: VecDeque<ReplicaName>,
}

impl DepartedReplicas {
    pub(super) fn insert(&mut self, name: &ReplicaName, born_ms: Option<u64>) {
        if let Some(known) = self.born.get_mut(name) {
            *known = born_ms.max(*known);
            return;
        }
        if self.order.len() == DEPARTED_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.born.remove(&oldest);
        }
        self.born.insert(name.clone(), born_ms);
        self.order.push_back(name.clone());
    }

    /// Returns whether the record is of a departed incarnation or an earlier one.
    pub(super) fn contains(&self, record: &ReplicaRecord) -> bool {
        let departed = self.born.get(&record.name);
        departed.is_some_and(|born_ms| record.born_ms <= *born_ms)
    }
}
