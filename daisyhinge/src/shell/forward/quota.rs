//! Admission of requests within the quotas of their customers, and reports of their use.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::access::RequestAccess;
use super::state::ForwardState;
use crate::quota::{QuotaDecision, QuotaLimit};
use crate::shell::line_budget::LineClass;
use crate::vocabulary::quota::UsageReport;
use crate::vocabulary::site::SiteRoute;

/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two decisions on a request that waits for the use at other entries.
const RECONSIDER_INTERVAL: Duration = Duration::from_millis(20);

/// Publishes the use of quotas after requests were counted. Never returns.
pub async fn run_usage_reports(state: Arc<ForwardState>) {
    loop {
        state.quotas.counted.notified().await;
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = state.clock.now();
        let customers = state.quotas.ledger.lock().list_usage(now);
        state
            .quotas
            .reports
            .send_modify(|report| report.customers = customers);
    }
}

impl ForwardState {
    /// Returns a receiver of this entry's reports on the use of quotas.
    pub fn usage_reports(&self) -> watch::Receiver<UsageReport> {
        self.quotas.reports.subscribe()
    }

    /// Counts a request towards the quota of its customer. Returns when to retry if the request is
    /// beyond the quota. While the entry has just started and does not know the use at the others, the
    /// request waits.
    pub(super) async fn check_quota(
        &self,
        route: &SiteRoute,
        id: &str,
        access: Option<&RequestAccess>,
    ) -> Option<Duration> {
        let customer = &access?.customer;
        let quota = customer.quota?;
        let limit = QuotaLimit {
            per_second: quota.rate_per_second,
            burst: quota.burst + self.quotas.slack,
        };
        let name = &customer.name;
        let now = self.clock.now();
        let mut decision = self.quotas.ledger.lock().admit(now, name, limit);
        self.quotas.counted.notify_one();
        while decision == QuotaDecision::Undecided {
            tokio::time::sleep(RECONSIDER_INTERVAL).await;
            let now = self.clock.now();
            decision = self.quotas.ledger.lock().reconsider(now, name, limit);
        }
        let QuotaDecision::Refused { retry_after } = decision else {
            return None;
        };
        self.counters.requests_over_quota.inc();
        self.log.log_line(LineClass::Request, || {
            format!(
                "event=quota_refused request={id} route={} customer={} retry_after_ms={}",
                route.name,
                customer.name,
                retry_after.as_millis()
            )
        });
        Some(retry_after)
    }
}
