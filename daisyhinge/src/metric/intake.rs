//! Metrics of clients' connections and of what they make a process hold.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of metrics per port.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PortLabel {
    /// Name of the port.
    pub port: &'static str,
}

/// Labels of the counter of connections that were cut off.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CutLabels {
    /// Name of the port.
    pub port: &'static str,
    /// `connections`, `memory` or `unread`.
    pub reason: &'static str,
}

/// Metrics of the clients of a process.
#[derive(Clone, Debug, Default)]
pub struct IntakeCounters {
    /// Number of open connections by port.
    pub connections: Family<PortLabel, Gauge>,
    /// Number of connections that were cut off for others or since nobody read.
    pub cut: Family<CutLabels, Counter>,
    /// Number of connections that were closed at once, as the port had its maximum.
    pub refused: Family<PortLabel, Counter>,
    /// Memory that bodies and answers hold, in bytes.
    pub held_bytes: Gauge,
}

impl IntakeCounters {
    /// Registers the metrics under their complete names; `registry` must not add a prefix.
    pub fn register(&self, registry: &mut Registry) {
        let connections = "Open connections of clients by port";
        registry.register(
            "daisyhinge_client_connections",
            connections,
            self.connections.clone(),
        );
        let cut = "Connections of clients that were cut off, by port and reason";
        registry.register("daisyhinge_client_cut", cut, self.cut.clone());
        let refused = "Connections of clients that were refused by port";
        registry.register("daisyhinge_client_refused", refused, self.refused.clone());
        let held = "Memory that bodies and answers of clients hold, in bytes";
        registry.register(
            "daisyhinge_client_held_bytes",
            held,
            self.held_bytes.clone(),
        );
    }
}
