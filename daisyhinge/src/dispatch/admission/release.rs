//! How fast capacity becomes free at each service, and who takes it.

use std::collections::HashMap;
use std::time::Duration;

use super::ServiceLoad;
use super::class::{ClassIndex, ClassTable};
use crate::prelude::*;

/// Weight of a new sample in the average time for which an attempt holds capacity.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Multiple of the average time for which attempts hold capacity after which a service whose attempts
/// do not end counts as stalled. It is then expected to stay so for as long again. Attempts that began
/// together also end together, so shorter times say nothing.
const STALL_FACTOR: u32 = 2;
/// Minimum time between two halvings of the counts of slots taken. They are halved only when a slot
/// is taken, so once after any pause.
const HALVING_INTERVAL: Duration = Duration::from_secs(1);
/// Count below which a class is removed from the counts of slots taken.
const TAKEN_MIN: f64 = 0.1;
/// Slots that are assumed to have been taken by no class ahead, so that a few samples do not
/// determine an estimate.
const TAKEN_PRIOR: f64 = 5.0;
/// Maximum share of the slots that others are expected to take first.
const TAKEN_SHARE_MAX: f64 = 0.95;

/// Time for which a refusal counts as recent. If all requests are refused at once, none waits although
/// the service is overloaded.
const REFUSAL_MEMORY: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct ReleaseRate {
    /// Average time for which an attempt holds capacity.
    held: Duration,
    samples: u32,
    freed_at: MonotonicTime,
    /// Slots taken lately while requests waited, by class.
    taken: Vec<(ClassIndex, f64)>,
    halve_at: MonotonicTime,
    /// End of the last slot that refused callers of a class were told to return in.
    returns: Vec<(ClassIndex, MonotonicTime)>,
    /// Time until which a refusal counts as recent.
    refused_until: MonotonicTime,
}

/// Times for which attempts hold capacity, by service.
#[derive(Debug, Default)]
pub(super) struct ReleaseTable {
    rates: HashMap<ServiceName, ReleaseRate>,
}

impl ReleaseTable {
    /// Records that a slot has become free after `held`.
    pub(super) fn record_freed(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        held: Duration,
    ) {
        let release = self.find(service);
        release.samples = release.samples.saturating_add(1);
        let weight = f64::max(SAMPLE_WEIGHT, 1.0 / f64::from(release.samples));
        release.held = release.held.mul_f64(1.0 - weight) + held.mul_f64(weight);
        release.freed_at = now;
    }

    /// Records that a slot was taken while requests waited.
    pub(super) fn record_taken(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        class: ClassIndex,
    ) {
        let release = self.find(service);
        if now >= release.halve_at {
            release.halve_at = now + HALVING_INTERVAL;
            release.taken.retain_mut(|(_, count)| {
                *count /= 2.0;
                *count >= TAKEN_MIN
            });
        }
        match release.taken.iter_mut().find(|(other, _)| *other == class) {
            Some((_, count)) => *count += 1.0,
            None => release.taken.push((class, 1.0)),
        }
    }

    /// Records that a request was refused since the service lacked capacity.
    pub(super) fn record_refused(&mut self, now: MonotonicTime, service: &ServiceName) {
        self.find(service).refused_until = now + REFUSAL_MEMORY;
    }

    /// Returns whether a request was refused lately since the service lacked capacity.
    pub(super) fn has_refused(&self, now: MonotonicTime, service: &ServiceName) -> bool {
        let release = self.rates.get(service);
        release.is_some_and(|release| now < release.refused_until)
    }

    /// Forgets who took slots, since the indices of the classes have changed.
    pub(super) fn forget_classes(&mut self) {
        for release in self.rates.values_mut() {
            release.taken.clear();
            release.returns.clear();
        }
    }

    fn find(&mut self, service: &ServiceName) -> &mut ReleaseRate {
        if !self.rates.contains_key(service) {
            self.rates.insert(service.clone(), ReleaseRate::default());
        }
        self.rates
            .get_mut(service)
            .expect("a missing service was inserted above")
    }

    /// Returns the expected time between two slots that become free, or `None` without samples.
    pub(super) fn gap(&self, service: &ServiceName, load: &ServiceLoad) -> Option<Duration> {
        let running = u32::try_from(load.running).unwrap_or(u32::MAX).max(1);
        let release = self.rates.get(service);
        let release = release.filter(|release| release.samples > 0)?;
        Some(release.held / running)
    }

    /// Returns the end of the last slot that refused callers of a class were told, or zero.
    pub(super) fn last_retry(&self, service: &ServiceName, class: ClassIndex) -> MonotonicTime {
        let returns = self.rates.get(service).into_iter();
        let mut returns = returns.flat_map(|release| &release.returns);
        let found = returns.find(|(other, _)| *other == class);
        found.map(|(_, end)| *end).unwrap_or_default()
    }

    /// Sets the end of the last slot that refused callers of a class were told.
    pub(super) fn set_last_retry(
        &mut self,
        service: &ServiceName,
        class: ClassIndex,
        end: MonotonicTime,
    ) {
        let returns = &mut self.find(service).returns;
        match returns.iter_mut().find(|(other, _)| *other == class) {
            Some((_, known)) => *known = end,
            None => returns.push((class, end)),
        }
    }

    /// Returns the expected time until `missing` slots of a fully loaded service have become free, or
    /// `None` if nothing is known. Others may take them. A service without samples counts as stalled
    /// after the `objective` of its requests.
    pub(super) fn expected_wait(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        load: &ServiceLoad,
        missing: u32,
        objective: Duration,
    ) -> Option<Duration> {
        let running = u32::try_from(load.running).unwrap_or(u32::MAX);
        if running == 0 {
            return None;
        }
        let release = self.rates.get(service);
        let changed_at = release.map_or(load.newest, |release| release.freed_at.max(load.newest));
        // All attempts in flight have held their capacity for at least this long.
        let silence = now.since(changed_at);
        let held = match release.filter(|release| release.samples > 0) {
            Some(release) => release.held,
            None if silence > objective => silence / (STALL_FACTOR + 1),
            None => return None,
        };
        let stall = if silence > held * STALL_FACTOR {
            silence
        } else {
            Duration::ZERO
        };
        let gap = held.max(silence) / running;
        // Half of the first gap has passed on average. Without it, a service with one slot that is
        // held for longer than the maximum wait would never be waited for.
        let gaps = match missing {
            1 => gap / 2,
            _ => gap.saturating_mul(missing),
        };
        Some(stall + gaps)
    }

    /// Returns the share of the slots of a service that requests ahead of a class, which arrive
    /// later, are expected to take.
    pub(super) fn share_ahead(
        &self,
        service: &ServiceName,
        class: ClassIndex,
        classes: &ClassTable,
    ) -> f64 {
        let taken = self.rates.get(service).into_iter();
        let mut all = TAKEN_PRIOR;
        let mut ahead = 0.0;
        for (other, count) in taken.flat_map(|release| &release.taken) {
            all += count;
            if classes.compare(*other, class).is_lt() {
                ahead += count;
            }
        }
        f64::min(ahead / all, TAKEN_SHARE_MAX)
    }
}
