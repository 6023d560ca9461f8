//! A planned stop of an entry: which requests it still accepts, and when it answers the last ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
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

/// Assumed duration of a request of another entry, whose route is not known here.
const RELAYED_USUAL: Duration = Duration::from_secs(1);
/// Time between two checks whether requests of other entries are running.
const RELAYED_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the last replies to other entries are written.
const REPLY_WRITE_TIME: Duration = Duration::from_millis(50);

/// A request of another entry that is running.
#[derive(Debug)]
pub(super) struct RelayedGuard(Arc<AtomicUsize>);

impl RelayedGuard {
    /// Counts a request in `running` until the guard is dropped.
    pub(super) fn open(running: &Arc<AtomicUsize>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(running))
    }
}

impl Drop for RelayedGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

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

    /// Returns whether a request of another entry can be expected to end before the stop.
    pub(super) fn accepts_relayed(&self, deadline: MonotonicTime) -> bool {
        let stop = self.planned_stop.get();
        stop.is_none_or(|stop| stop.accepts(self.clock.now(), RELAYED_USUAL, deadline))
    }

    /// Waits until the requests of other entries have ended, at most until the last answers of a
    /// planned stop are due, and until the replies are written.
    pub async fn finish_relayed(&self) {
        let ended = async {
            while self.relayed_running.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(RELAYED_CHECK_INTERVAL).await;
            }
        };
        drop(tokio::time::timeout(self.time_to_answer() + RELAYED_CHECK_INTERVAL, ended).await);
        tokio::time::sleep(REPLY_WRITE_TIME).await;
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
