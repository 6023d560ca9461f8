//! Wakes requests that wait for admission when capacity may have become free for them.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::Notify;

use crate::dispatch::admission::AdmissionTicket;

/// Requests that wait for admission, by their number in the queue.
#[derive(Debug)]
pub(super) struct AdmissionWaiters {
    waiters: Mutex<HashMap<AdmissionTicket, Arc<Notify>>>,
    /// Number of waiting requests.
    queued: Gauge,
}

impl AdmissionWaiters {
    /// Creates an empty set whose size is shown by a metric.
    pub(super) fn open(queued: Gauge) -> Self {
        Self {
            waiters: Mutex::default(),
            queued,
        }
    }

    /// Wakes requests. One that is not registered yet checks again by itself after some
    /// milliseconds.
    pub(super) fn wake(&self, tickets: &[AdmissionTicket]) {
        if tickets.is_empty() {
            return;
        }
        let waiters = self.waiters.lock();
        for waiter in tickets.iter().filter_map(|ticket| waiters.get(ticket)) {
            waiter.notify_one();
        }
    }

    fn register(&self, ticket: AdmissionTicket) -> Arc<Notify> {
        self.queued.inc();
        Arc::clone(self.waiters.lock().entry(ticket).or_default())
    }

    fn remove(&self, ticket: AdmissionTicket) {
        if self.waiters.lock().remove(&ticket).is_some() {
            self.queued.dec();
        }
    }
}

/// Registration of one request, removed when it is dropped.
#[derive(Debug)]
pub(super) struct AdmissionWaiter<'state> {
    waiters: &'state AdmissionWaiters,
    registered: Option<(AdmissionTicket, Arc<Notify>)>,
}

impl<'state> AdmissionWaiter<'state> {
    /// Creates the registration of a request that does not wait.
    pub(super) fn open(waiters: &'state AdmissionWaiters) -> Self {
        Self {
            waiters,
            registered: None,
        }
    }

    /// Registers the request under its number in the queue, or removes it if it no longer waits.
    pub(super) fn update(&mut self, ticket: Option<AdmissionTicket>) {
        let known = self.registered.as_ref().map(|(known, _)| *known);
        if ticket == known {
            return;
        }
        if let Some(known) = known {
            self.waiters.remove(known);
        }
        self.registered = ticket.map(|ticket| (ticket, self.waiters.register(ticket)));
    }

    /// Completes when the request is woken; never if it does not wait.
    pub(super) async fn woken(&self) {
        match &self.registered {
            Some((_, notify)) => notify.notified().await,
            None => std::future::pending().await,
        }
    }
}

impl Drop for AdmissionWaiter<'_> {
    fn drop(&mut self) {
        self.update(None);
    }
}
