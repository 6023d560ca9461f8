//! Bounds how many requests an entry runs at a time, and refuses at once what it cannot finish.

use std::collections::HashMap;
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::clock::{span_to_micros, span_to_millis};

/// Shortest time after which a refused caller is asked to come back.
pub const RETRY_MIN: Duration = Duration::from_millis(5);

/// Longest time after which a refused caller is asked to come back.
pub const RETRY_MAX: Duration = Duration::from_secs(5);

/// The estimate of a service that finished nothing for this long is not refused by.
const ESTIMATE_STALE: Duration = Duration::from_secs(1);

/// A refusal at the door. Nothing ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// The reason.
    pub code: ResultCode,
    /// When to come back, in milliseconds.
    pub retry_ms: u64,
}

/// Bounds of one request's service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionBounds {
    /// Requests of the service that run at a time.
    pub running_max: u32,
    /// Requests of all services that run at a time.
    pub total_max: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceLoad {
    running: u32,
    /// Smoothed time from start to finish, in microseconds.
    took_us: u64,
    finished_at: MonotonicTime,
}

/// Requests that run at this entry, by service.
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate {
    services: HashMap<ServiceName, ServiceLoad>,
    running: u32,
}

impl AdmissionGate {
    /// Admits a request, to be followed by [`Self::leave`], or refuses it at once.
    ///
    /// # Errors
    ///
    /// [`ResultCode::Overloaded`] if the bounds are reached or it would be answered late.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        bounds: AdmissionBounds,
        allowed: Duration,
    ) -> Result<(), AdmissionRefusal> {
        let load = self.services.entry(service.clone()).or_default();
        let usual = Duration::from_micros(load.took_us);
        let is_full = load.running >= bounds.running_max || self.running >= bounds.total_max;
        let is_recent = now.since(load.finished_at) < ESTIMATE_STALE;
        // Half of the bound runs and requests take longer than allowed: it would be late.
        let is_busy = load.running >= bounds.running_max.div_ceil(2);
        if is_full || (is_busy && is_recent && usual > allowed) {
            // The next of `running` requests ends after about this long.
            let next = usual / load.running.max(1);
            return Err(AdmissionRefusal {
                code: ResultCode::Overloaded,
                retry_ms: span_to_millis(next.clamp(RETRY_MIN, RETRY_MAX)),
            });
        }
        load.running += 1;
        self.running += 1;
        Ok(())
    }

    /// An admitted request was answered or refused.
    pub fn leave(&mut self, now: MonotonicTime, service: &ServiceName, took: Duration) {
        let Some(load) = self.services.get_mut(service) else {
            return;
        };
        load.running = load.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        let sample = span_to_micros(took);
        load.took_us = match load.took_us {
            0 => sample,
            old => old - old / 8 + sample / 8,
        };
        load.finished_at = now;
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.running
    }
}
