//! Reports of requests that crash replicas, between this entry and the others, and their log lines.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::state::ForwardState;
use crate::dispatch::crash::{CrashChange, CrashEvent};
use crate::metric::forward::CrashLabels;
use crate::prelude::*;
use crate::shell::line_budget::LineClass;
use crate::vocabulary::registration::CrashReport;

/// Time between two reviews of the crash records.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Time before a first crash is reported; most are explained by then. A second one is reported at
/// once.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the records are compared with the last report in any case.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Reviews the crash records at regular intervals. Never returns.
pub async fn run_crash_review(state: Arc<ForwardState>) {
    loop {
        tokio::time::sleep(REVIEW_INTERVAL).await;
        let now = state.clock.now();
        let (events, records) = {
            let mut dispatcher = state.dispatcher.lock();
            let events = dispatcher.review_crashes(now);
            (events, dispatcher.crashes.len())
        };
        let records = i64::try_from(records).unwrap_or(i64::MAX);
        state.counters.crash_records.set(records);
        state.review_lease();
        state.log_crashes(&events);
    }
}

/// Publishes this entry's crash records when they have changed. Never returns.
pub async fn run_crash_reports(state: Arc<ForwardState>) {
    let reporter = &state.reporter;
    loop {
        let delayed = async {
            reporter.changed.notified().await;
            tokio::time::sleep(REPORT_DELAY).await;
        };
        tokio::select! {
            () = reporter.poisoned.notified() => {}
            () = delayed => {}
            () = tokio::time::sleep(COMPARE_INTERVAL) => {}
        }
        let records = {
            let dispatcher = state.dispatcher.lock();
            dispatcher.crashes.list_records(state.clock.now())
        };
        reporter.publish(records);
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

fn change_label(change: CrashChange) -> &'static str {
    match change {
        CrashChange::Suspected => "suspected",
        CrashChange::Withdrawn => "withdrawn",
        CrashChange::Confirmed => "confirmed",
        CrashChange::Cleared => "cleared",
    }
}

impl ForwardState {
    /// Returns a receiver of this entry's crash reports.
    pub fn crash_reports(&self) -> watch::Receiver<CrashReport> {
        self.reporter.reports.subscribe()
    }

    /// Applies the crash reports of other entries. `complete` is set if control has no others.
    pub(super) fn apply_crashes(
        &self,
        now: MonotonicTime,
        complete: bool,
        reports: &[CrashReport],
    ) {
        let own = self.reporter.reports.borrow().incarnation;
        let mut dispatcher = self.dispatcher.lock();
        for report in reports.iter().filter(|report| report.incarnation != own) {
            dispatcher.crashes.merge(now, report);
            self.log.log_crash_report(report);
        }
        if complete {
            dispatcher.crashes.retain_listed(now, reports);
        }
    }

    /// Logs and counts changes of the crash records, and lets them be reported.
    pub(super) fn log_crashes(&self, events: &[CrashEvent]) {
        if events.is_empty() {
            return;
        }
        self.reporter.changed.notify_one();
        if events.iter().any(|event| event.poisoned) {
            self.reporter.poisoned.notify_one();
        }
        for event in events {
            let change = change_label(event.change);
            let labels = CrashLabels {
                change: change.to_owned(),
            };
            self.counters.crashes.get_or_create(&labels).inc();
            self.log.log_line(LineClass::State, || {
                format!(
                    "event=crash_record digest={:016x} replica={} change={change} age_ms={} \
                     poisoned={}",
                    event.digest.0,
                    event.replica,
                    event.age.as_millis(),
                    event.poisoned
                )
            });
        }
    }
}
