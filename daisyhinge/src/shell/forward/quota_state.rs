//! The quotas of customers at this entry, and its reports on their use.

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::prelude::*;
use crate::quota::QuotaLedger;
use crate::vocabulary::quota::UsageReport;
use crate::vocabulary::registration::SyncReply;

/// Quotas as this entry knows them, and its reports on their use.
#[derive(Debug)]
pub(super) struct QuotaState {
    pub ledger: Mutex<QuotaLedger>,
    pub reports: watch::Sender<UsageReport>,
    /// Notified when a request was counted.
    pub counted: Notify,
    /// Requests beyond the burst that are admitted.
    pub slack: f64,
}

impl QuotaState {
    pub(super) fn open(vm: VmName, slack: f64) -> Self {
        let report = UsageReport::empty(vm, rand::random());
        Self {
            ledger: Mutex::new(QuotaLedger::open(rand::random())),
            reports: watch::Sender::new(report),
            counted: Notify::new(),
            slack,
        }
    }

    /// Applies the use at other entries from a reply of control.
    pub(super) fn apply(&self, now: MonotonicTime, is_confirmed: bool, reply: &SyncReply) {
        let mut ledger = self.ledger.lock();
        ledger.apply_reply(now, reply.epoch, is_confirmed, &reply.usage);
    }
}
