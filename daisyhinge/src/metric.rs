//! Metric families, served in the text format of `OpenMetrics`.
//!
//! Names are shared strings, so that labels cost no allocation once a family member exists. A
//! service's members are fetched once and kept as a handle. Label values come from the
//! configuration and from announced replicas, never from what a caller sends, which bounds them.

pub mod control;
pub mod entry;
pub mod forward;
pub mod label;
pub mod replica;
pub mod service;

pub use control::ControlMetrics;
pub use entry::EntryMetrics;
pub use replica::ReplicaMetrics;
pub use service::ServiceMetrics;

/// The registry that families are registered with.
pub use prometheus_client::registry::Registry as MetricRegistry;
