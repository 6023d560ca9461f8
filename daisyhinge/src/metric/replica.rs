//! Metrics of a replica, exported by its keeper.

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::metric::label::ReplicaLabel;
use crate::vocabulary::replica::{KeeperLoad, ReplicaAvailability};

/// Metric families labelled by replica, registered once per process.
#[derive(Clone, Debug, Default)]
pub struct ReplicaFamilies {
    running: Family<ReplicaLabel, Gauge>,
    queued: Family<ReplicaLabel, Gauge>,
    limit: Family<ReplicaLabel, Gauge>,
    cold: Family<ReplicaLabel, Gauge>,
    closed: Family<ReplicaLabel, Gauge>,
}

/// Handle to the metrics of one replica; clones share them.
#[derive(Clone, Debug)]
pub struct ReplicaMetrics {
    running: Gauge,
    queued: Gauge,
    limit: Gauge,
    cold: Gauge,
    closed: Gauge,
}

impl ReplicaFamilies {
    /// Registers the families; a replica appears in them once [`Self::open_replica`] is called.
    pub fn register(registry: &mut Registry) -> Self {
        let families = Self::default();
        let help = "Sub-requests that the backend server works on or may still work on";
        registry.register("replica_running", help, families.running.clone());
        let help = "Sub-requests that wait at the keeper";
        registry.register("replica_queued", help, families.queued.clone());
        let help = "Sub-requests that may run at a time now; below the slots while cold";
        registry.register("replica_limit", help, families.limit.clone());
        let help = "1 while the replica is cold";
        registry.register("replica_cold", help, families.cold.clone());
        let help = "1 while the replica takes nothing new";
        registry.register("replica_closed", help, families.closed.clone());
        families
    }

    /// Returns the metrics of a replica and creates them if necessary.
    pub fn open_replica(&self, label: &ReplicaLabel) -> ReplicaMetrics {
        ReplicaMetrics {
            running: self.running.get_or_create_owned(label),
            queued: self.queued.get_or_create_owned(label),
            limit: self.limit.get_or_create_owned(label),
            cold: self.cold.get_or_create_owned(label),
            closed: self.closed.get_or_create_owned(label),
        }
    }

    /// Removes the metrics of a replica, for example when it has another keeper.
    pub fn remove_replica(&self, label: &ReplicaLabel) {
        let families = [
            &self.running,
            &self.queued,
            &self.limit,
            &self.cold,
            &self.closed,
        ];
        for family in families {
            family.remove(label);
        }
    }
}

impl ReplicaMetrics {
    /// Sets the gauges of the load and the availability.
    pub fn set_load(&self, load: KeeperLoad, state: ReplicaAvailability) {
        self.running.set(i64::from(load.running));
        self.queued.set(i64::from(load.queued));
        self.limit.set(i64::from(load.limit));
        self.cold.set(i64::from(state == ReplicaAvailability::Cold));
        self.closed
            .set(i64::from(state == ReplicaAvailability::Closed));
    }
}
