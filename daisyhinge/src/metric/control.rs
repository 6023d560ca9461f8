//! Metrics of a control process.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::metric::entry::METRIC_PREFIX;
use crate::metric::label::CodeLabel;
use crate::prelude::*;

/// Metrics of a control process; clones share them.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    /// 1 while this control VM is the leader, otherwise 0.
    pub leading: Gauge,
    /// Number of members of the group that vote; learners are not counted.
    pub voters: Gauge,
    /// Number of member entries known to this control VM.
    pub entries: Gauge,
    /// Number of claims in the replicated state.
    pub claims: Gauge,
    /// 1 while this control VM is a member of the group, otherwise 0.
    pub member: Gauge,
    committed: Gauge<u64, AtomicU64>,
    snapshot: Gauge<u64, AtomicU64>,
    term: Gauge<u64, AtomicU64>,
    version: Gauge<u64, AtomicU64>,
    changes: Family<CodeLabel, Counter>,
}

impl ControlMetrics {
    /// Registers every family of a control process under [`METRIC_PREFIX`].
    pub fn register(registry: &mut Registry) -> Self {
        let registry = registry.sub_registry_with_prefix(METRIC_PREFIX);
        let metrics = Self {
            leading: Gauge::default(),
            voters: Gauge::default(),
            entries: Gauge::default(),
            claims: Gauge::default(),
            member: Gauge::default(),
            committed: Gauge::default(),
            snapshot: Gauge::default(),
            term: Gauge::default(),
            version: Gauge::default(),
            changes: Family::default(),
        };
        metrics.register_log(registry);
        metrics.register_service(registry);
        metrics
    }

    fn register_log(&self, registry: &mut Registry) {
        let help = "1 while this control VM leads";
        registry.register("control_leading", help, self.leading.clone());
        let help = "Newest term seen";
        registry.register("control_term", help, self.term.clone());
        let help = "Voters of the group";
        registry.register("control_voters", help, self.voters.clone());
        let help = "1 while this control VM is a member of the group";
        registry.register("control_member", help, self.member.clone());
        let help = "Last entry of the log that is known to be committed";
        registry.register("control_committed", help, self.committed.clone());
        let help = "Last entry of the log that the newest snapshot covers";
        registry.register("control_snapshot", help, self.snapshot.clone());
    }

    fn register_service(&self, registry: &mut Registry) {
        let help = "Newest version of configuration and membership";
        registry.register("control_version", help, self.version.clone());
        let help = "Entries that are members";
        registry.register("control_entries", help, self.entries.clone());
        let help = "Changes by operators, by outcome";
        registry.register("control_changes", help, self.changes.clone());
        let help = "Claims kept";
        registry.register("control_claims", help, self.claims.clone());
    }

    /// Sets the gauges of the term and the version.
    pub fn set_term_and_version(&self, term: u64, version: VersionNumber) {
        self.term.set(term);
        self.version.set(version.0);
    }

    /// Counts a change requested by an operator, by its result code.
    pub fn record_change(&self, code: ResultCode) {
        self.changes.get_or_create(&CodeLabel::new(code)).inc();
    }

    /// Sets the gauges of the last committed log entry and the last one covered by a snapshot.
    pub fn set_log_progress(&self, committed: u64, snapshot: u64) {
        self.committed.set(committed);
        self.snapshot.set(snapshot);
    }
}
