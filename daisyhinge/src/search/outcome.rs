//! What the end of a dispatch teaches about its replica.

use std::time::Duration;

use rand::RngExt;

use crate::prelude::*;
use crate::search::route::{RouteKey, RouteState, RouteTable};
use crate::vocabulary::replica::KeeperLoad;
use crate::vocabulary::subrequest::SubRefusal;

/// First backoff after a failure; it doubles with each further failure in a row.
pub const BACKOFF_FIRST: Duration = Duration::from_millis(50);

/// Longest backoff after failures in a row.
pub const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Doublings of the backoff at most.
const DOUBLINGS_MAX: u32 = 6;

/// Backoff from a replica that said it is busy and did not say until when.
const BUSY_BACKOFF: Duration = Duration::from_millis(5);

/// Backoff from a replica that takes nothing new, until its record catches up.
const CLOSED_BACKOFF: Duration = Duration::from_millis(200);

/// How a dispatch ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum DispatchEnd {
    /// An answer came.
    Answered {
        /// From dispatch to answer.
        took: Duration,
        /// What was expected in microseconds, 0 if nothing.
        expected_us: u64,
        /// Load that the answer brought.
        load: KeeperLoad,
    },
    /// No answer came.
    Refused(SubRefusal),
    /// This entry gave it up.
    Cancelled {
        /// How long it had run.
        ran: Duration,
        /// What was expected in microseconds, 0 if nothing.
        expected_us: u64,
    },
}

impl RouteTable {
    /// Counts a dispatch as under way.
    pub(super) fn begin_dispatch(&mut self, key: RouteKey) {
        if let Some(state) = self.state_mut(key) {
            state.estimate.in_flight += 1;
        }
    }

    /// Learns from the end of a dispatch.
    pub(super) fn end_dispatch(&mut self, service: u32, key: RouteKey, end: DispatchEnd) {
        let now = self.now;
        let Some(state) = self.state_mut(key) else {
            return;
        };
        state.estimate.in_flight = state.estimate.in_flight.saturating_sub(1);
        match end {
            DispatchEnd::Answered {
                took,
                expected_us,
                load,
            } => {
                state.take_load(now, load);
                state.estimate.record_latency(now, took);
                state.estimate.record_excess(now, took, expected_us);
                state.estimate.failures = 0;
                state.estimate.backoff_until = MonotonicTime::default();
                let keeper = state.keeper as usize;
                self.keepers[keeper].failures = 0;
                self.keepers[keeper].backoff_until = MonotonicTime::default();
                self.services[service as usize].latency.record(took);
            }
            DispatchEnd::Refused(refusal) => self.note_refusal(key, refusal),
            DispatchEnd::Cancelled { ran, expected_us } => {
                // It would have taken longer still: without it, slow replicas would go unseen.
                if ran > Duration::from_micros(expected_us) {
                    state.estimate.record_excess(now, ran, expected_us);
                }
                self.services[service as usize].latency.record(ran);
            }
        }
    }

    fn note_refusal(&mut self, key: RouteKey, refusal: SubRefusal) {
        let now = self.now;
        let jitter: u32 = self.generator.random_range(512..=1_024);
        let spread = |span: Duration| span * jitter / 1_024;
        let told = Duration::from_millis(refusal.retry_ms);
        let Some(state) = self.state_mut(key) else {
            return;
        };
        let keeper = state.keeper as usize;
        match refusal.code {
            ResultCode::KeeperUnreachable => {
                let row = &mut self.keepers[keeper];
                row.failures += 1;
                row.backoff_until = now + spread(backoff_after(row.failures));
            }
            ResultCode::SlotsBusy | ResultCode::ServerShed | ResultCode::ServerCold => {
                state.take_load(now, refusal.load);
                let wait = told.clamp(BUSY_BACKOFF, BACKOFF_MAX);
                state.estimate.backoff_until = now + spread(wait);
            }
            ResultCode::NoLease
            | ResultCode::NotKeeper
            | ResultCode::KeeperWaiting
            | ResultCode::ReplicaDraining
            | ResultCode::CentreOut
            | ResultCode::PowerCapReached => {
                let wait = told.clamp(CLOSED_BACKOFF, BACKOFF_MAX);
                state.estimate.backoff_until = now + spread(wait);
            }
            // These say nothing of the replica.
            ResultCode::SnapshotNotHeld | ResultCode::RequestPoisoned | ResultCode::Cancelled => {}
            ResultCode::SubRequestExpired if refusal.run == RunState::NotRun => {}
            _ => {
                state.estimate.failures += 1;
                let wait = backoff_after(state.estimate.failures);
                state.estimate.backoff_until = now + spread(wait);
            }
        }
    }
}

impl RouteState {
    fn take_load(&mut self, now: MonotonicTime, load: KeeperLoad) {
        self.load = load;
        self.load_at = now;
        self.estimate.in_flight_at_load = self.estimate.in_flight;
    }
}

fn backoff_after(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(DOUBLINGS_MAX);
    (BACKOFF_FIRST * 2_u32.pow(doublings)).min(BACKOFF_MAX)
}
