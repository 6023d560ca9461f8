//! Metrics of a control process.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::metric::entry::METRIC_PREFIX;
use crate::metric::label::CodeLabel;
use crate::prelude::*;

/// Upper bound of the first bucket of sync times, in seconds; each further one is twice as wide.
const SYNC_FIRST_SECONDS: f64 = 0.000_1;
const SYNC_FACTOR: f64 = 2.0;
const SYNC_BUCKETS: u16 = 16;

/// Metrics of a control process; clones share them.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    /// 1 while this control VM leads.
    pub leading: Gauge,
    /// Voters of the group.
    pub voters: Gauge,
    /// Entries that are members.
    pub entries: Gauge,
    /// Claims kept.
    pub claims: Gauge,
    /// Bytes of the log since the last snapshot.
    pub log_bytes: Gauge,
    /// Log entries committed.
    pub commits: Counter,
    /// Proofs of freshness handed out.
    pub proofs: Counter,
    term: Gauge<u64, AtomicU64>,
    version: Gauge<u64, AtomicU64>,
    changes: Family<CodeLabel, Counter>,
    claim_replies: Family<CodeLabel, Counter>,
    sync: Histogram,
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
            log_bytes: Gauge::default(),
            commits: Counter::default(),
            proofs: Counter::default(),
            term: Gauge::default(),
            version: Gauge::default(),
            changes: Family::default(),
            claim_replies: Family::default(),
            sync: Histogram::new(exponential_buckets(
                SYNC_FIRST_SECONDS,
                SYNC_FACTOR,
                SYNC_BUCKETS,
            )),
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
        let help = "Log entries committed";
        registry.register("control_commits", help, self.commits.clone());
        let help = "Bytes of the log since the last snapshot";
        registry.register("control_log_bytes", help, self.log_bytes.clone());
        let help = "Seconds to sync a batch to disk";
        registry.register("control_sync_seconds", help, self.sync.clone());
    }

    fn register_service(&self, registry: &mut Registry) {
        let help = "Newest version of configuration and membership";
        registry.register("control_version", help, self.version.clone());
        let help = "Entries that are members";
        registry.register("control_entries", help, self.entries.clone());
        let help = "Proofs of freshness handed out";
        registry.register("control_proofs", help, self.proofs.clone());
        let help = "Changes by operators, by outcome";
        registry.register("control_changes", help, self.changes.clone());
        let help = "Claims kept";
        registry.register("control_claims", help, self.claims.clone());
        let help = "Claims asked for, by outcome";
        registry.register("control_claim_replies", help, self.claim_replies.clone());
    }

    /// Shows term and version.
    pub fn show_state(&self, term: u64, version: VersionNumber) {
        self.term.set(term);
        self.version.set(version.0);
    }

    /// Counts a change by its outcome.
    pub fn record_change(&self, code: ResultCode) {
        self.changes.get_or_create(&CodeLabel::new(code)).inc();
    }

    /// Counts a claim by its outcome: `Ok` if it was won.
    pub fn record_claim(&self, code: ResultCode) {
        self.claim_replies
            .get_or_create(&CodeLabel::new(code))
            .inc();
    }

    /// Records how long a sync took.
    pub fn record_sync(&self, span: Duration) {
        self.sync.observe(span.as_secs_f64());
    }
}
