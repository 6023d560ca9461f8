//! Updates the statistics of a replica from the outcomes of its sub-requests.

use std::time::Duration;

use rand::RngExt;

use crate::prelude::*;
use crate::search::route::{RouteKey, RouteState, RouteTable};
use crate::vocabulary::replica::KeeperLoad;
use crate::vocabulary::subrequest::SubRefusal;

/// Backoff after a first failure; it doubles with each consecutive failure.
pub const BACKOFF_FIRST: Duration = Duration::from_millis(50);

/// Longest backoff after consecutive failures.
pub const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Maximum number of doublings of the backoff.
const DOUBLINGS_MAX: u32 = 6;

/// Backoff from a busy replica without a retry hint.
const BUSY_BACKOFF: Duration = Duration::from_millis(5);

/// Backoff from a replica that accepts no new work, until its published record reflects that.
const CLOSED_BACKOFF: Duration = Duration::from_millis(200);

/// Outcome of a sub-request as it affects the statistics of its replica.
#[derive(Clone, Copy, Debug)]
pub(super) enum DispatchEnd {
    Answered {
        took: Duration,
        /// Expected time in microseconds; 0 if unknown.
        expected_us: u64,
        load: KeeperLoad,
    },
    Refused(SubRefusal),
    Cancelled {
        ran: Duration,
        /// Expected time in microseconds; 0 if unknown.
        expected_us: u64,
    },
}

impl RouteTable {
    /// Counts a sub-request as outstanding.
    pub(super) fn begin_dispatch(&mut self, key: RouteKey) {
        if let Some(state) = self.state_mut(key) {
            state.estimate.in_flight += 1;
        }
    }

    /// Updates the statistics of a replica and its service at the end of a sub-request.
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
                state.update_load(now, load);
                state.estimate.record_latency(now, took);
                state.estimate.record_excess(now, took, expected_us);
                state.estimate.failures = 0;
                state.estimate.backoff_until = MonotonicTime::default();
                let keeper = state.keeper as usize;
                self.keepers[keeper].failures = 0;
                self.keepers[keeper].backoff_until = MonotonicTime::default();
                self.services[service as usize].latency.record(took);
            }
            DispatchEnd::Refused(refusal) => self.record_refusal(key, refusal),
            DispatchEnd::Cancelled { ran, expected_us } => {
                // The time until cancellation is a lower bound; without it, slow replicas would go
                // unnoticed.
                if ran > Duration::from_micros(expected_us) {
                    state.estimate.record_excess(now, ran, expected_us);
                }
                self.services[service as usize].latency.record(ran);
            }
        }
    }

    fn record_refusal(&mut self, key: RouteKey, refusal: SubRefusal) {
        let now = self.now;
        let jitter: u32 = self.generator.random_range(512..=1_024);
        let with_jitter = |delay: Duration| delay * jitter / 1_024;
        let retry_after = Duration::from_millis(refusal.retry_ms);
        let Some(state) = self.state_mut(key) else {
            return;
        };
        let keeper = state.keeper as usize;
        match refusal.code {
            ResultCode::KeeperUnreachable => {
                let keeper_row = &mut self.keepers[keeper];
                keeper_row.failures += 1;
                keeper_row.backoff_until = now + with_jitter(backoff_after(keeper_row.failures));
            }
            ResultCode::SlotsBusy | ResultCode::ServerShed | ResultCode::ServerCold => {
                state.update_load(now, refusal.load);
                let wait = retry_after.clamp(BUSY_BACKOFF, BACKOFF_MAX);
                state.estimate.backoff_until = now + with_jitter(wait);
            }
            ResultCode::NoLease
            | ResultCode::NotKeeper
            | ResultCode::KeeperWaiting
            | ResultCode::ReplicaDraining
            | ResultCode::CentreOut
            | ResultCode::PowerCapReached => {
                let wait = retry_after.clamp(CLOSED_BACKOFF, BACKOFF_MAX);
                state.estimate.backoff_until = now + with_jitter(wait);
            }
            // These codes carry no information about the replica.
            ResultCode::SnapshotNotHeld | ResultCode::RequestPoisoned | ResultCode::Cancelled => {}
            ResultCode::SubRequestExpired if refusal.run == RunState::NotRun => {}
            _ => {
                state.estimate.failures += 1;
                let wait = backoff_after(state.estimate.failures);
                state.estimate.backoff_until = now + with_jitter(wait);
            }
        }
    }
}

impl RouteState {
    fn update_load(&mut self, now: MonotonicTime, load: KeeperLoad) {
        self.load = load;
        self.load_at = now;
        self.estimate.in_flight_at_load = self.estimate.in_flight;
    }
}

fn backoff_after(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(DOUBLINGS_MAX);
    (BACKOFF_FIRST * 2_u32.pow(doublings)).min(BACKOFF_MAX)
}
