//! Reviews the crash records at regular intervals, and logs and counts what changes in them.

use std::sync::Arc;
use std::time::Duration;

use super::state::ForwardState;
use crate::dispatch::crash::{CrashChange, CrashEvent};
use crate::metric::forward::CrashLabels;

/// Time between two reviews of the crash records.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

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
        state.log_crashes(&events);
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
    /// Logs and counts changes of the crash records.
    pub(super) fn log_crashes(&self, events: &[CrashEvent]) {
        for event in events {
            let change = change_label(event.change);
            let labels = CrashLabels {
                change: change.to_owned(),
            };
            self.counters.crashes.get_or_create(&labels).inc();
            self.log.log_request(true, || {
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
