//! Log lines for replicas of different services that announce the same address.

use super::serve::SiteRegistry;
use crate::prelude::*;
use crate::shell::decision::DecisionLog;

impl SiteRegistry {
    /// Logs the replicas of other services that have announced the address of the replica `name`.
    pub fn log_shared_address(&self, log: &DecisionLog, name: &ReplicaName) {
        let sharing = self.with_registry(|registry| registry.list_sharing(name));
        for other in sharing {
            log.write_line(&format!(
                "event=address_shared replica={name} address={} other={} other_service={}",
                other.address, other.name, other.service
            ));
        }
    }
}
