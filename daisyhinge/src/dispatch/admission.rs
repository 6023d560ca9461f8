//! Admission of the requests of an entry while its services lack capacity, without I/O.
//!
//! Requests that find no capacity wait in one queue. They are ranked by priority, then by customer;
//! then those within their objective come first, then callers that retry at the time they were told,
//! then those with the least time left. Each waiting request reserves one slot at every service that
//! it needs; requests of a lower rank are admitted only to slots that are not reserved. A request whose
//! turn is not expected in time is refused before anything is sent.

use std::collections::HashMap;
use std::time::Duration;

use crate::prelude::*;

mod class;
mod estimate;
mod rank;
mod release;
mod retry;
use class::{ClassIndex, ClassTable};
use rank::Rank;
use release::ReleaseTable;
use retry::RetryTable;

/// Maximum number of waiting requests. It bounds the work of a check while nothing is known yet of
/// how fast capacity becomes free.
const QUEUE_MAX: usize = 1_024;
/// Interval between the checks of a request that is the first for one of its services. Capacity can
/// also become free without the end of an attempt, for example when a replica is announced.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(4);
/// Interval between the checks of all other requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(12);
/// Assumed wait if nothing is known of the services.
const UNKNOWN_WAIT: Duration = Duration::from_millis(100);
/// Factor by which the expected wait of a request that already waits must exceed the time left for
/// it to be refused. Estimates vary from check to check.
const REVIEW_FACTOR: u32 = 2;

/// Number of a waiting request, unique within the entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdmissionTicket(pub u64);

/// Capacity of the replicas of a service that a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceLoad {
    /// Requests that may be sent now.
    pub free: usize,
    /// Requests of this entry in flight.
    pub running: usize,
    /// Time at which the newest of them was sent.
    pub newest: MonotonicTime,
}

/// A service that a request needs, with its load.
#[derive(Clone, Copy, Debug)]
pub struct NeededService<'request> {
    /// Name of the service.
    pub name: &'request ServiceName,
    /// Capacity at present.
    pub load: ServiceLoad,
}

/// What determines the rank of a request and how long it may wait.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'request> {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Customer, if known.
    pub customer: Option<&'request CustomerName>,
    /// Digest, the same when the caller sends the request again.
    pub digest: RequestDigest,
    /// Number of services that must have capacity at the same time.
    pub min_services: usize,
    /// Time until which the request may wait.
    pub admit_until: MonotonicTime,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time at which the request should be answered.
    pub objective_at: MonotonicTime,
    /// Time at which the request ends, answered or not.
    pub deadline: MonotonicTime,
}

/// Result of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may be sent.
    Admitted,
    /// The request waits until it is woken, or checked at the stated time.
    Waiting {
        /// Number of the request in the queue.
        ticket: AdmissionTicket,
        /// Time of the next check.
        check_at: MonotonicTime,
    },
    /// The request will not be admitted in time.
    Refused {
        /// Time after which capacity is expected for the caller's next try.
        retry_after: Duration,
        /// Why the request is refused.
        reason: RefusalReason,
    },
}

/// Why a request was refused by admission control.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// Its turn was not expected in time.
    Unlikely,
    /// Its wait has ended.
    TimedOut,
    /// Too many requests wait.
    QueueFull,
}

impl RefusalReason {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unlikely => "unlikely",
            Self::TimedOut => "timed_out",
            Self::QueueFull => "queue_full",
        }
    }
}

/// Waiting requests of an entry, with what their customers have used lately.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    classes: ClassTable,
    releases: ReleaseTable,
    /// Services of each waiting request.
    waiting: HashMap<AdmissionTicket, Vec<ServiceName>>,
    /// Ranks of the waiting requests by service.
    ranks: HashMap<ServiceName, Vec<Rank>>,
    retries: RetryTable,
    wakeups: Vec<AdmissionTicket>,
    tickets: u64,
}

impl AdmissionQueue {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Records a request that found capacity while none waited.
    pub fn record_unhindered(
        &mut self,
        now: MonotonicTime,
        priority: u32,
        customer: Option<&CustomerName>,
    ) {
        let class = self.find_class(now, priority, customer);
        self.classes.record_arrival(class);
        self.classes.record_admission(class);
    }

    /// Records that an attempt at a service has ended. `held` is the time for which it held capacity,
    /// if that is typical of the service.
    pub fn record_freed(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        held: Option<Duration>,
    ) {
        if let Some(held) = held {
            self.releases.record_freed(now, service, held);
        }
        if !self.is_empty() {
            self.wake_first(service);
        }
    }

    /// Returns the requests that should be checked now, since capacity may have become free for
    /// them.
    pub fn take_wakeups(&mut self) -> Vec<AdmissionTicket> {
        std::mem::take(&mut self.wakeups)
    }

    /// Checks a request. `ticket` is the one that an earlier check returned; `services` are those
    /// that may still answer, and `ready` receives the indices of those to which an admitted request
    /// may be sent now.
    pub fn check(
        &mut self,
        now: MonotonicTime,
        ticket: Option<AdmissionTicket>,
        request: &AdmissionRequest<'_>,
        services: &[NeededService<'_>],
        ready: &mut Vec<usize>,
    ) -> Admission {
        let rank = self.rank(now, ticket, request, services);
        let ahead: Vec<usize> = services
            .iter()
            .map(|service| self.count_ahead(service.name, &rank))
            .collect();
        ready.clear();
        let pairs = services.iter().zip(&ahead).enumerate();
        ready.extend(
            pairs
                .filter(|(_, (service, ahead))| service.load.free > **ahead)
                .map(|(index, _)| index),
        );
        if ready.len() >= request.min_services {
            self.leave(ticket);
            self.classes.record_admission(rank.class);
            for index in ready.iter() {
                let name = services[*index].name;
                self.releases.record_taken(now, name, rank.class);
            }
            return Admission::Admitted;
        }
        let left = request.admit_until.since(now);
        let expected = self.expected_turn(now, request, &rank, services, &ahead);
        let limit = match ticket {
            Some(_) => left * REVIEW_FACTOR,
            None => left,
        };
        let is_full = ticket.is_none() && self.waiting.len() >= QUEUE_MAX;
        let is_unlikely = expected.is_some_and(|(expected, _)| expected > limit);
        let reason = match (left.is_zero(), is_full, is_unlikely) {
            (true, _, _) => Some(RefusalReason::TimedOut),
            (false, true, _) => Some(RefusalReason::QueueFull),
            (false, false, true) => Some(RefusalReason::Unlikely),
            (false, false, false) => None,
        };
        if let Some(reason) = reason {
            self.leave(ticket);
            let retry_after = self.refuse(now, request, &rank, services, ready, expected);
            return Admission::Refused {
                retry_after,
                reason,
            };
        }
        if ticket.is_none() {
            self.enlist(rank, services);
        } else {
            self.wake_next(&rank, services, &ahead);
        }
        let blocked = services.iter().zip(&ahead);
        let is_first = blocked
            .filter(|(service, _)| service.load.free == 0)
            .any(|(_, ahead)| *ahead == 0);
        let interval = if is_first {
            FIRST_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        Admission::Waiting {
            ticket: rank.ticket,
            check_at: (now + interval).min(request.admit_until),
        }
    }

    /// Records a refusal at the services without a slot, and returns when the caller should retry.
    fn refuse(
        &mut self,
        now: MonotonicTime,
        request: &AdmissionRequest<'_>,
        rank: &Rank,
        services: &[NeededService<'_>],
        ready: &[usize],
        expected: Option<(Duration, usize)>,
    ) -> Duration {
        for (index, service) in services.iter().enumerate() {
            if !ready.contains(&index) {
                self.releases.record_refused(now, service.name);
            }
        }
        // If nothing is known, the first service stands for all.
        let (wait, index) = expected.unwrap_or((UNKNOWN_WAIT, 0));
        self.assign_retry(now, request, rank, wait, services.get(index))
    }

    /// Removes a request from the queue.
    pub fn leave(&mut self, ticket: Option<AdmissionTicket>) {
        let Some((ticket, services)) =
            ticket.and_then(|ticket| Some((ticket, self.waiting.remove(&ticket)?)))
        else {
            return;
        };
        for service in &services {
            if let Some(ranks) = self.ranks.get_mut(service) {
                ranks.retain(|rank| rank.ticket != ticket);
                if ranks.is_empty() {
                    self.ranks.remove(service);
                }
            }
            self.wake_first(service);
        }
    }

    /// Returns the number of waiting requests of at least the given priority that need a service.
    pub fn count_waiting(&self, service: &ServiceName, priority: u32) -> usize {
        let ranks = self.ranks.get(service).into_iter().flatten();
        ranks
            .filter(|rank| self.classes.priority(rank.class) <= priority)
            .count()
    }

    /// Returns whether requests wait for a service, or were refused a short time ago since it lacked
    /// capacity.
    pub fn is_overloaded(&self, now: MonotonicTime, service: &ServiceName) -> bool {
        self.ranks.contains_key(service) || self.releases.has_refused(now, service)
    }

    fn rank(
        &mut self,
        now: MonotonicTime,
        ticket: Option<AdmissionTicket>,
        request: &AdmissionRequest<'_>,
        services: &[NeededService<'_>],
    ) -> Rank {
        let known = ticket.and_then(|ticket| {
            let mut ranks = services
                .iter()
                .filter_map(|service| self.ranks.get(service.name))
                .flatten();
            ranks.find(|rank| rank.ticket == ticket).copied()
        });
        if let Some(rank) = known {
            return rank;
        }
        let class = self.find_class(now, request.priority, request.customer);
        if ticket.is_none() {
            self.classes.record_arrival(class);
            self.tickets += 1;
        }
        Rank {
            class,
            is_late: now >= request.objective_at,
            is_new: !self.retries.take(now, request.digest),
            objective_at: request.objective_at,
            ticket: ticket.unwrap_or(AdmissionTicket(self.tickets)),
        }
    }

    fn find_class(
        &mut self,
        now: MonotonicTime,
        priority: u32,
        customer: Option<&CustomerName>,
    ) -> ClassIndex {
        if self.classes.decay(now, self.waiting.is_empty()) {
            self.releases.forget_classes();
        }
        self.classes.find(priority, customer)
    }

    fn count_ahead(&self, service: &ServiceName, rank: &Rank) -> usize {
        let ranks = self.ranks.get(service).into_iter().flatten();
        let ahead = ranks.filter(|other| {
            other.ticket != rank.ticket && other.compare(rank, &self.classes).is_lt()
        });
        ahead.count()
    }

    fn enlist(&mut self, rank: Rank, services: &[NeededService<'_>]) {
        let names: Vec<ServiceName> = services
            .iter()
            .map(|service| service.name.clone())
            .collect();
        for name in &names {
            self.ranks.entry(name.clone()).or_default().push(rank);
        }
        self.waiting.insert(rank.ticket, names);
    }

    fn wake_first(&mut self, service: &ServiceName) {
        let ranks = self.ranks.get(service).into_iter().flatten();
        let first = ranks.min_by(|one, other| one.compare(other, &self.classes));
        self.wake(first.map(|rank| rank.ticket));
    }

    /// Wakes the next requests for the services that have more slots than are reserved for a request
    /// that stays in the queue and those ahead of it.
    fn wake_next(&mut self, rank: &Rank, services: &[NeededService<'_>], ahead: &[usize]) {
        for (service, ahead) in services.iter().zip(ahead) {
            if service.load.free <= ahead + 1 {
                continue;
            }
            let ranks = self.ranks.get(service.name).into_iter().flatten();
            let behind = ranks.filter(|other| rank.compare(other, &self.classes).is_lt());
            let next = behind.min_by(|one, other| one.compare(other, &self.classes));
            self.wake(next.map(|rank| rank.ticket));
        }
    }

    fn wake(&mut self, ticket: Option<AdmissionTicket>) {
        self.wakeups
            .extend(ticket.filter(|ticket| !self.wakeups.contains(ticket)));
    }
}
