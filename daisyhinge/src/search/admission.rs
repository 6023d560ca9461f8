//! Admission control: bounds the concurrent requests of an entry and refuses at once requests that
//! would miss their deadline.

use std::collections::HashMap;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::clock::{duration_to_micros, duration_to_millis};

/// Shortest retry hint for a refused caller.
pub const RETRY_MIN: Duration = Duration::from_millis(5);

/// Longest retry hint for a refused caller.
pub const RETRY_MAX: Duration = Duration::from_secs(5);

/// Age after which a service's latency estimate no longer causes refusals.
const ESTIMATE_STALE: Duration = Duration::from_secs(1);

/// Refusal of a request at admission. Nothing ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Result code to send to the caller.
    pub code: ResultCode,
    /// Milliseconds until the caller may retry.
    pub retry_ms: u64,
}

/// Concurrency limits that apply to one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionLimits {
    /// Maximum concurrent requests of the service.
    pub running_max: u32,
    /// Maximum concurrent requests of all services.
    pub total_max: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceLoad {
    running: u32,
    /// Smoothed latency of finished requests, in microseconds.
    smoothed_us: u64,
    finished_at: MonotonicTime,
}

/// Admission controller of one entry; counts running requests by service.
#[derive(Clone, Debug, Default)]
pub struct AdmissionController {
    services: HashMap<ServiceName, ServiceLoad>,
    running: u32,
}

impl AdmissionController {
    /// Admits a request or refuses it at once. Each admitted request must be followed by one call
    /// of [`Self::leave`].
    ///
    /// # Errors
    ///
    /// [`ResultCode::Overloaded`] if a limit is reached or the answer would be late.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        bounds: AdmissionLimits,
        allowed: Duration,
    ) -> Result<(), AdmissionRefusal> {
        let load = self.services.entry(service.clone()).or_default();
        let expected = Duration::from_micros(load.smoothed_us);
        let is_full = load.running >= bounds.running_max || self.running >= bounds.total_max;
        let is_recent = now.since(load.finished_at) < ESTIMATE_STALE;
        // With half of the limit in use and a typical latency above the allowed time, the answer
        // would be late.
        let is_busy = load.running >= bounds.running_max.div_ceil(2);
        if is_full || (is_busy && is_recent && expected > allowed) {
            // Expected time until the first of the `running` requests ends.
            let next_end = expected / load.running.max(1);
            return Err(AdmissionRefusal {
                code: ResultCode::Overloaded,
                retry_ms: duration_to_millis(next_end.clamp(RETRY_MIN, RETRY_MAX)),
            });
        }
        load.running += 1;
        self.running += 1;
        Ok(())
    }

    /// Removes an admitted request that has been answered or refused.
    pub fn leave(&mut self, now: MonotonicTime, service: &ServiceName, took: Duration) {
        let Some(load) = self.services.get_mut(service) else {
            return;
        };
        load.running = load.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        let sample = duration_to_micros(took);
        load.smoothed_us = match load.smoothed_us {
            0 => sample,
            old => old - old / 8 + sample / 8,
        };
        load.finished_at = now;
    }

    /// Number of running requests of all services.
    pub fn running(&self) -> u32 {
        self.running
    }
}
