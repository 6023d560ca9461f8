//! Whether the entry can prove that its configuration is the newest, and what it does if not.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::state::ForwardState;
use crate::lease::LapsePolicy;
use crate::prelude::*;
use crate::shell::site::follow::ReplyProof;
use crate::vocabulary::registration::SyncReply;

/// What an entry has in force, and how long it has been known to be the newest.
#[derive(Clone, Copy, Debug)]
pub struct ForceReport {
    /// Revision of the received state.
    pub revision: u64,
    /// Version of the configuration in force; 0 if there is none.
    pub version: u64,
    /// Whether the entry can prove that its configuration is the newest.
    pub lease_held: bool,
    /// Time since the state was last known to be the newest; `None` if it never was.
    pub confirmed_age: Option<Duration>,
}

impl ForwardState {
    /// Returns what this entry has in force.
    pub fn report_force(&self) -> ForceReport {
        let now = self.clock.now();
        let lease = *self.lease.lock();
        ForceReport {
            revision: self.revision(),
            version: self.summarise_site().version,
            lease_held: lease.holds(now),
            confirmed_age: lease.confirmed_at().map(|at| now.since(at)),
        }
    }

    /// Applies an update from control, and extends the lease if a quorum confirmed it.
    pub fn apply_proven(&self, reply: SyncReply, proof: ReplyProof) {
        let age = reply.quorum_age_ms.map(Duration::from_millis);
        self.apply_reply(reply, proof.fresh);
        let now = self.clock.now();
        let sent_at = now.before(proof.waited);
        {
            let fleet = &mut self.dispatcher.lock().fleet;
            fleet.record_contact(now, sent_at);
            if proof.fresh {
                fleet.record_confirmed(sent_at);
            }
        }
        if let Some(age) = age.filter(|_| proof.fresh) {
            let version = VersionNumber(self.revision());
            self.lease.lock().renew(version, sent_at, age);
        }
    }

    /// Whether a request may be sent to a replica now.
    pub(super) fn may_serve(&self) -> bool {
        self.policy == LapsePolicy::Serve || self.lease.lock().holds(self.clock.now())
    }

    /// Logs if the lease has lapsed or been regained since the last call.
    pub(super) fn review_lease(&self) {
        let now = self.clock.now();
        let lease = *self.lease.lock();
        let held = lease.holds(now);
        if self.holds_lease.swap(held, Ordering::Relaxed) == held {
            return;
        }
        let event = if held { "lease_gained" } else { "lease_lapsed" };
        let policy = self.policy;
        self.write_line(&format!(
            "event={event} revision={} lapsed_ms={} policy={policy:?}",
            lease.version(),
            now.since(lease.expires_at()).as_millis()
        ));
    }
}
