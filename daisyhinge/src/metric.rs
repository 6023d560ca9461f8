//! Metric families, served in the text format of `OpenMetrics`.
//!
//! Names of services, replicas and data centres are reference-counted strings, so that updating an
//! existing metric allocates nothing. The metrics of a service are looked up once and stored in a
//! handle. Label values come from the configuration and from announced replicas, never from caller
//! input, which bounds the number of metrics.

pub mod control;
pub mod entry;
pub mod forward;
pub mod intake;
pub mod label;
pub mod replica;
pub mod service;

pub use control::ControlMetrics;
pub use entry::EntryMetrics;
pub use replica::ReplicaMetrics;
pub use service::ServiceMetrics;

/// Registry of the metric families.
pub use prometheus_client::registry::Registry as MetricRegistry;
