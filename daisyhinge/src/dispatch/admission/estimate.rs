//! When requests are expected to be admitted, and when refused callers should return.

use std::time::Duration;

use super::rank::Rank;
use super::retry::RetryQuery;
use super::{AdmissionQueue, AdmissionRequest, NeededService};
use crate::prelude::*;

impl AdmissionQueue {
    /// Returns the time until enough services are expected to have a slot for a request, and the index
    /// of the last of them; `None` if nothing is known of it.
    pub(super) fn expected_turn(
        &self,
        now: MonotonicTime,
        request: &AdmissionRequest<'_>,
        rank: &Rank,
        services: &[NeededService<'_>],
        ahead: &[usize],
    ) -> Option<(Duration, usize)> {
        let pairs = services.iter().zip(ahead);
        let mut waits: Vec<(Option<Duration>, usize)> = pairs
            .enumerate()
            .map(|(index, (service, ahead))| {
                let missing = (ahead + 1).saturating_sub(service.load.free);
                let missing = u32::try_from(missing).unwrap_or(u32::MAX);
                if missing == 0 {
                    return (Some(Duration::ZERO), index);
                }
                let releases = &self.releases;
                let wait = releases.expected_wait(
                    now,
                    service.name,
                    &service.load,
                    missing,
                    request.objective,
                );
                let taken = self
                    .releases
                    .share_ahead(service.name, rank.class, &self.classes);
                (wait.map(|wait| wait.div_f64(1.0 - taken)), index)
            })
            .collect();
        // `None` comes first: services of which nothing is known count as the soonest to have a slot, so
        // that nothing is refused because of them.
        waits.sort_unstable();
        let last = request.min_services.checked_sub(1)?;
        let (wait, index) = *waits.get(last)?;
        Some((wait?, index))
    }

    /// Returns after which time a refused caller should return. The callers of a class are told
    /// consecutive slots.
    pub(super) fn assign_retry(
        &mut self,
        now: MonotonicTime,
        request: &AdmissionRequest<'_>,
        rank: &Rank,
        wait: Duration,
        service: Option<&NeededService<'_>>,
    ) -> Duration {
        let mut query = RetryQuery {
            digest: request.digest,
            deadline: request.deadline,
            earliest: now + wait,
            gap: wait,
        };
        if let Some(service) = service
            && let Some(gap) = self.releases.gap(service.name, &service.load)
        {
            let taken = self
                .releases
                .share_ahead(service.name, rank.class, &self.classes);
            query.gap = gap.div_f64(1.0 - taken);
            let after = self.releases.last_retry(service.name, rank.class);
            query.earliest = query.earliest.max(after);
        }
        let at = self.retries.assign(now, &query);
        if let Some(service) = service {
            let next = query.earliest + query.gap;
            // A time that had to be cut leaves the next slot where it is.
            if at >= query.earliest {
                self.releases.set_last_retry(service.name, rank.class, next);
            }
        }
        at.since(now)
    }
}
