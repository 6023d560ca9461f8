//! A planned stop of an entry: which requests it still accepts, and when it answers the last ones.

use std::time::Duration;

use hyper::Response;

use super::answer::{AnswerBody, refuse};
use super::state::ForwardState;
use crate::dispatch::planned_stop::PlannedStop;
use crate::dispatch::request::RequestPlan;
use crate::prelude::*;
use crate::shell::line_budget::LineClass;

/// `Retry-After` of a request that is refused since the entry stops: another entry serves it.
const RETRY_AFTER: Duration = Duration::from_millis(100);

impl ForwardState {
    /// Begins a planned stop. The process is killed after `grace`.
    pub fn begin_stop(&self, grace: Duration) {
        let stop = PlannedStop::open(self.clock.now(), grace);
        self.planned_stop.get_or_init(|| stop);
        self.leaving.cancel();
    }

    /// Returns the time at which every request gets its final answer; `None` unless the entry stops.
    pub(super) fn answer_by(&self) -> Option<MonotonicTime> {
        self.planned_stop.get().map(PlannedStop::answer_by)
    }

    /// Returns the time left until every request gets its final answer; zero unless the entry stops.
    pub(super) fn time_to_answer(&self) -> Duration {
        let answer_by = self.answer_by();
        answer_by.map_or(Duration::ZERO, |at| at.since(self.clock.now()))
    }

    /// Waits until every request gets its final answer; forever unless the entry stops.
    pub(super) async fn answers_due(&self) {
        self.leaving.cancelled().await;
        match self.answer_by() {
            Some(at) => tokio::time::sleep_until(self.clock.instant(at).into()).await,
            None => std::future::pending().await,
        }
    }

    /// Returns whether a request that has not been sent yet can be expected to end before the stop.
    pub(super) fn accepts(&self, plan: &RequestPlan) -> bool {
        let Some(stop) = self.planned_stop.get() else {
            return true;
        };
        let usual = self.dispatcher.lock().usual_duration(&plan.route);
        stop.accepts(self.clock.now(), usual, plan.deadline)
    }

    /// Refuses a request that has not been sent, since the entry stops.
    pub(super) fn refuse_at_stop(&self, route: &str, id: &str) -> Response<AnswerBody> {
        self.log.log_line(LineClass::Request, || {
            let left_ms = self.time_to_answer().as_millis();
            format!("event=stop_refused request={id} route={route} left_ms={left_ms}")
        });
        refuse(ResultCode::ShuttingDown, Some(RETRY_AFTER))
    }
}
