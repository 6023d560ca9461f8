//! Metric families, served in the text format of `OpenMetrics`.
//!
//! Names are shared strings, so that labels cost no allocation once a family member exists. The
//! members of a service are looked up once and stored in a handle. Label values come from the
//! configuration and from announced replicas, never from caller input, which bounds their number.

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

/// Registry of the metric families.
pub use prometheus_client::registry::Registry as MetricRegistry;
