//! Metrics derived from the events of a search.

use crate::prelude::*;
use crate::shell::entry::state::EntryState;
use crate::vocabulary::event::{EventDraft, EventKind};

/// Increments the metric that corresponds to an event of a search.
pub fn count_event(state: &EntryState, service: &ServiceName, draft: &EventDraft) {
    let metrics = state.metrics.open_service(service);
    let counter = match draft.kind {
        EventKind::SubDispatched => &metrics.sub_requests,
        EventKind::SubHedged => &metrics.hedges,
        EventKind::SubRetried => &metrics.retries,
        EventKind::BudgetSpent => &metrics.budget_spent,
        EventKind::SubCancelled => &metrics.cancelled,
        EventKind::RequestPoisoned => &state.metrics.poisoned_requests,
        EventKind::SubFailed => {
            metrics.record_sub_failure(draft.code.unwrap_or(ResultCode::Ok));
            return;
        }
        _ => return,
    };
    counter.inc();
}
