//! The reports of this entry for control.

use tokio::sync::{Notify, watch};

use crate::prelude::*;
use crate::vocabulary::registration::CrashReport;
use crate::vocabulary::replica::CrashRecord;
use crate::vocabulary::rollout::{RolloutReport, ServiceCounts};

/// The crash reports of this entry, and the notices that lead to the next one.
#[derive(Debug)]
pub(super) struct CrashReporter {
    pub reports: watch::Sender<CrashReport>,
    /// Notified when records have changed.
    pub changed: Notify,
    /// Notified when a request is refused from now on.
    pub poisoned: Notify,
}

impl CrashReporter {
    pub(super) fn open(vm: VmName) -> Self {
        let report = CrashReport::empty(vm, rand::random());
        Self {
            reports: watch::Sender::new(report),
            changed: Notify::new(),
            poisoned: Notify::new(),
        }
    }

    /// Publishes the records. Receivers are notified only if more than the ages has changed.
    pub(super) fn publish(&self, records: Vec<CrashRecord>) {
        let counts = |records: &[CrashRecord]| -> Vec<(RequestDigest, u32)> {
            let counts = records.iter().map(|record| (record.digest, record.crashes));
            counts.collect()
        };
        self.reports.send_if_modified(|report| {
            let differs = counts(&report.records) != counts(&records);
            report.revision += u64::from(differs);
            report.records = records;
            differs
        });
    }
}

/// The reports of this entry on rollouts.
#[derive(Debug)]
pub(super) struct RolloutReporter {
    pub reports: watch::Sender<RolloutReport>,
}

impl RolloutReporter {
    pub(super) fn open(vm: VmName) -> Self {
        let report = RolloutReport {
            vm,
            incarnation: rand::random(),
            revision: 0,
            services: Vec::new(),
        };
        Self {
            reports: watch::Sender::new(report),
        }
    }

    /// Publishes outcomes that have changed.
    pub(super) fn publish(&self, services: Vec<ServiceCounts>) {
        self.reports.send_modify(|report| {
            report.revision += 1;
            report.services = services;
        });
    }
}
