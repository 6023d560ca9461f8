//! Waits for admission before anything is sent.

use std::time::Duration;

use super::target::TargetPhase;
use super::{Dispatcher, RequestMachine};
use crate::dispatch::admission::{
    Admission, AdmissionRequest, AdmissionTicket, NeededService, RefusalReason,
};
use crate::dispatch::fleet::{Choice, ChoiceQuery};
use crate::prelude::*;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum AdmissionState {
    /// Not checked yet.
    #[default]
    New,
    /// In the admission queue.
    Waiting {
        ticket: AdmissionTicket,
        check_at: MonotonicTime,
    },
    Admitted,
    /// Refused, since it would not be admitted in time.
    Refused {
        retry_after: Duration,
        reason: RefusalReason,
    },
}

/// What admission control did with a request, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdmissionRecord {
    /// Time in the queue; unset if the request did not wait.
    pub waited: Option<Duration>,
    /// Reason, if the request was refused.
    pub refusal: Option<RefusalReason>,
}

impl AdmissionState {
    pub(super) fn is_admitted(self) -> bool {
        self == Self::Admitted
    }

    /// Returns the number in the admission queue.
    pub(super) fn ticket(self) -> Option<AdmissionTicket> {
        match self {
            Self::Waiting { ticket, .. } => Some(ticket),
            _ => None,
        }
    }

    /// Returns the time of the next check.
    pub(super) fn check_at(self) -> Option<MonotonicTime> {
        match self {
            Self::Waiting { check_at, .. } => Some(check_at),
            _ => None,
        }
    }
}

impl RequestMachine {
    /// Returns what admission control did with the request.
    pub fn admission_record(&self) -> AdmissionRecord {
        AdmissionRecord {
            waited: self.waited,
            refusal: match self.admission {
                AdmissionState::Refused { reason, .. } => Some(reason),
                _ => None,
            },
        }
    }

    /// Admits the request, or lets it wait or be refused.
    pub(super) fn check_admission(&mut self, now: MonotonicTime, dispatcher: &mut Dispatcher) {
        if dispatcher.admission.is_empty() && self.has_capacity(now, dispatcher) {
            let customer = self.plan.customer.as_ref();
            dispatcher
                .admission
                .record_unhindered(now, self.plan.priority, customer);
            self.admission = AdmissionState::Admitted;
            return;
        }
        let objective = self.plan.route.objective.saturating_sub(self.plan.spent);
        let request = AdmissionRequest {
            priority: self.plan.priority,
            customer: self.plan.customer.as_ref(),
            digest: self.plan.digest,
            min_services: self.min_targets,
            admit_until: self.admit_until,
            objective: self.plan.route.objective,
            objective_at: self.plan.started + objective,
            deadline: self.plan.deadline,
        };
        let open = self.names.iter().zip(&self.targets).enumerate();
        let (indices, services): (Vec<usize>, Vec<NeededService<'_>>) = open
            .filter(|(_, (_, target))| target.phase == TargetPhase::Open)
            .map(|(index, (name, _))| {
                let query = ChoiceQuery {
                    service: name,
                    tried: &[],
                    allowed_regions: &self.plan.allowed_regions,
                };
                let load = dispatcher.fleet.load(now, &query);
                (index, NeededService { name, load })
            })
            .unzip();
        let mut ready = Vec::new();
        let admission =
            dispatcher
                .admission
                .check(now, self.ticket(), &request, &services, &mut ready);
        let has_waited = self.ticket().is_some();
        self.waited = has_waited.then(|| now.since(self.plan.started));
        self.admission = match admission {
            Admission::Admitted => {
                for index in ready {
                    self.targets[indices[index]].admitted = true;
                }
                AdmissionState::Admitted
            }
            Admission::Waiting { ticket, check_at } => AdmissionState::Waiting { ticket, check_at },
            Admission::Refused {
                retry_after,
                reason,
            } => AdmissionState::Refused {
                retry_after,
                reason,
            },
        };
    }

    /// Whether enough targets have a replica with capacity.
    fn has_capacity(&self, now: MonotonicTime, dispatcher: &Dispatcher) -> bool {
        let open = self.names.iter().zip(&self.targets);
        let available = open.filter(|(name, target)| {
            let query = ChoiceQuery {
                service: name,
                tried: &target.tried,
                allowed_regions: &self.plan.allowed_regions,
            };
            target.phase == TargetPhase::Open
                && matches!(dispatcher.fleet.choose(now, &query), Choice::Replica(_))
        });
        available.count() >= self.min_targets
    }

    /// Whether a target must leave the capacity of its service to first attempts of other requests.
    /// What the request was admitted with is its own. Retries, and targets beyond those that it was
    /// admitted with, take only what no waiting request of the same or a higher priority needs.
    /// A target is not hedged while a request waits for its service, or was refused in the last 100 ms
    /// since the service lacked capacity.
    pub(super) fn must_yield(
        &self,
        now: MonotonicTime,
        index: usize,
        dispatcher: &Dispatcher,
    ) -> bool {
        let target = &self.targets[index];
        let service = &self.names[index];
        let is_hedge = target.is_waiting() && !target.is_connecting();
        if is_hedge {
            return dispatcher.admission.is_overloaded(now, service);
        }
        if dispatcher.admission.is_empty() || (target.admitted && !target.arrived) {
            return false;
        }
        let waiting = dispatcher
            .admission
            .count_waiting(service, self.plan.priority);
        let query = ChoiceQuery {
            service,
            tried: &target.tried,
            allowed_regions: &self.plan.allowed_regions,
        };
        waiting > 0 && dispatcher.fleet.load(now, &query).free <= waiting
    }
}
