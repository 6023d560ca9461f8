//! Metrics of an entry process.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::metric::intake::IntakeCounters;
use crate::metric::label::{CodeLabel, ReplicaLabel};
use crate::metric::replica::{ReplicaFamilies, ReplicaMetrics};
use crate::metric::service::{ServiceFamilies, ServiceMetrics};
use crate::prelude::*;

/// Name prefix of every metric family.
pub const METRIC_PREFIX: &str = "daisyhinge";

/// Metrics of an entry process; clones share them.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Connections of callers and backend servers, and the memory that they hold.
    pub intake: IntakeCounters,
    /// Number of replicas whose keeper this entry is.
    pub kept_replicas: Gauge,
    /// Number of open connections to backend servers.
    pub server_connections: Gauge,
    /// Number of requests that are no longer run because they crashed backend servers.
    pub poisoned_requests: Counter,
    services: ServiceFamilies,
    replicas: ReplicaFamilies,
    front_refusals: Family<CodeLabel, Counter>,
    announcements: Family<CodeLabel, Counter>,
    lease_held: Gauge,
    lease_age: Gauge<f64, AtomicU64>,
    version: Gauge<u64, AtomicU64>,
}

impl EntryMetrics {
    /// Registers every family of an entry under [`METRIC_PREFIX`].
    pub fn register(registry: &mut Registry) -> Self {
        let intake = IntakeCounters::default();
        intake.register(registry);
        let registry = registry.sub_registry_with_prefix(METRIC_PREFIX);
        let metrics = Self {
            intake,
            kept_replicas: Gauge::default(),
            server_connections: Gauge::default(),
            poisoned_requests: Counter::default(),
            services: ServiceFamilies::register(registry),
            replicas: ReplicaFamilies::register(registry),
            front_refusals: Family::default(),
            announcements: Family::default(),
            lease_held: Gauge::default(),
            lease_age: Gauge::default(),
            version: Gauge::default(),
        };
        metrics.register_keeping(registry);
        metrics.register_lease(registry);
        metrics
    }

    fn register_keeping(&self, registry: &mut Registry) {
        let help = "Replicas that this entry keeps";
        registry.register("kept_replicas", help, self.kept_replicas.clone());
        let help = "Open connections to backend servers";
        registry.register("server_connections", help, self.server_connections.clone());
        let help = "Requests not run any more since they crashed backend servers";
        registry.register("poisoned_requests", help, self.poisoned_requests.clone());
        let help = "Announcements and leaves taken, by outcome";
        registry.register("announcements", help, self.announcements.clone());
    }

    fn register_lease(&self, registry: &mut Registry) {
        let help = "Requests refused before their service was known, by reason";
        registry.register("front_refusals", help, self.front_refusals.clone());
        let help = "1 while this entry can prove that its configuration is the newest";
        registry.register("lease_held", help, self.lease_held.clone());
        let help = "Age in seconds of the newest proof of freshness";
        registry.register("lease_age_seconds", help, self.lease_age.clone());
        let help = "Version of configuration and membership in force";
        registry.register("version_in_force", help, self.version.clone());
    }

    /// Returns the metrics of a service; the service must be named in the environment document.
    pub fn open_service(&self, service: &ServiceName) -> Arc<ServiceMetrics> {
        self.services.open_service(service)
    }

    /// Returns the metrics of a replica whose keeper this entry is.
    pub fn open_replica(&self, label: &ReplicaLabel) -> ReplicaMetrics {
        self.replicas.open_replica(label)
    }

    /// Removes the metrics of a replica whose keeper this entry no longer is.
    pub fn remove_replica(&self, label: &ReplicaLabel) {
        self.replicas.remove_replica(label);
    }

    /// Counts a request that was refused before its service was known.
    pub fn record_front_refusal(&self, code: ResultCode) {
        self.front_refusals
            .get_or_create(&CodeLabel::new(code))
            .inc();
    }

    /// Counts an announcement or a departure by its result code.
    pub fn record_announcement(&self, code: ResultCode) {
        self.announcements
            .get_or_create(&CodeLabel::new(code))
            .inc();
    }

    /// Sets the gauges of the freshness lease and the version in force. `age` is the time since the
    /// newest proof of freshness.
    pub fn set_lease(&self, held: bool, age: Duration, version: VersionNumber) {
        self.lease_held.set(i64::from(held));
        self.lease_age.set(age.as_secs_f64());
        self.version.set(version.0);
    }
}
